package wal

// Disk is one flat folder of files. Names carry no path separators. It is safe for concurrent use.
type Disk interface {
	// List returns the names of all files, in no particular order.
	List() ([]string, error)
	// ReadFile returns the whole content of a file; the caller owns it.
	ReadFile(name string) ([]byte, error)
	// Create makes an empty file, or empties one that is there, and opens it for appending.
	Create(name string) (File, error)
	// OpenAppend opens a file that is there for appending.
	OpenAppend(name string) (File, error)
	// Rename gives a file another name, and replaces the file that had it.
	Rename(oldName, newName string) error
	// Remove takes a file out of the folder.
	Remove(name string) error
	// SyncDir makes all names that were made, changed or removed last.
	SyncDir() error
}

// File is a file open for appending.
type File interface {
	// Write appends data. After an error any part of it may have been appended.
	Write(data []byte) (int, error)
	// Sync returns once everything written to the file lasts, and the file's own name if it is new.
	Sync() error
	// Close gives the file back; it syncs nothing.
	Close() error
}
