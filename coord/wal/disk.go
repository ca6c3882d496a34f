package wal

// Disk is a flat directory of files. Names contain no path separators. A Disk is safe for concurrent use.
type Disk interface {
	// List returns the names of all files, in no particular order.
	List() ([]string, error)
	// ReadFile returns the whole content of a file; the caller owns it.
	ReadFile(name string) ([]byte, error)
	// Create creates an empty file, or truncates an existing one, and opens it for appending.
	Create(name string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(name string) (File, error)
	// Rename renames a file and replaces any file that has the new name.
	Rename(oldName, newName string) error
	// Remove removes a file.
	Remove(name string) error
	// SyncDir makes all creations, renames and removals of files durable.
	SyncDir() error
}

// File is a file open for appending.
type File interface {
	// Write appends data. After an error, any part of the data may have been appended.
	Write(data []byte) (int, error)
	// Sync returns once everything written to the file is durable, and also the file's name if the file is new.
	Sync() error
	// Close closes the file without syncing it.
	Close() error
}
