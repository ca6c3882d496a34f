package wal

import (
	"errors"
	"fmt"
)

// ErrNoLog reports that the directory holds no complete log with the given name.
var ErrNoLog = errors.New("no log")

// ReadResult is the result of Read.
type ReadResult struct {
	// Records are in the order in which they were appended.
	Records []Record
	// File is the name of the current generation's file.
	File string
	// Generation is that file's number; each rewrite creates the next one.
	Generation uint64
	// Bytes is the length of the valid part of the file.
	Bytes int64
	// Torn reports that bytes follow that are no valid record, because an append was in progress or was interrupted.
	Torn bool
}

// Read reads a log without changing it, so it may be called while another process writes to the log. A record that is being appended
// then shows as torn. The returned records may not be durable yet. The error wraps ErrNoLog if there is no complete log.
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
		return ReadResult{}, fmt.Errorf("%w named %s (%d incomplete files)", ErrNoLog, name, len(generations))
	}
	generation := found.header.generation
	return ReadResult{Records: found.records, File: generationName(name, generation), Generation: generation, Bytes: found.size,
		Torn: found.torn}, nil
}
