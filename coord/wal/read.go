package wal

import (
	"errors"
	"fmt"
)

// ErrNoLog says that a folder holds no complete log of the name.
var ErrNoLog = errors.New("no log")

// ReadResult is what a look at a log found.
type ReadResult struct {
	// Records are in the order in which they were appended.
	Records []Record
	// File is the name of the file that counts.
	File string
	// Generation is that file's number; each rewrite makes the next one.
	Generation uint64
	// Bytes is how much of the file is valid.
	Bytes int64
	// Torn tells that something follows that is no valid record: an append was under way, or was cut off.
	Torn bool
}

// Read reads a log and changes nothing, so that it may be called while another process writes to the log; a record that is just
// being appended then shows as torn. What it returns may not last yet. The error wraps ErrNoLog if there is no complete log.
func Read(disk Disk, name string) (ReadResult, error) {
	generations, err := listGenerations(disk, name)
	if err != nil {
		return ReadResult{}, err
	}
	found, complete, err := newestComplete(disk, name, generations)
	if err != nil {
		return ReadResult{}, err
	}
	if !complete {
		return ReadResult{}, fmt.Errorf("%w of the name %s (%d incomplete files)", ErrNoLog, name, len(generations))
	}
	generation := found.header.generation
	return ReadResult{Records: found.records, File: generationName(name, generation), Generation: generation, Bytes: found.size,
		Torn: found.torn}, nil
}
