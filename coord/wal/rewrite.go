package wal

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
)

// Rewrite replaces the whole content by the records. Whatever happens meanwhile, a later Open finds the old content or
// the new one. It returns once the new content lasts. After an error of the disk the log is failed, and either content may
// be found.
func (l *Log) Rewrite(records []Record) error {
	if err := checkSizes(records); err != nil {
		return err
	}
	l.syncMu.Lock()
	defer l.syncMu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == logClosed {
		return ErrClosed
	}
	old := l.file
	replaced := l.header.generation
	if err := l.startGeneration(records); err != nil {
		return l.markFailed(fmt.Errorf("rewrite %s: %w", l.name, err))
	}
	_ = old.Close()
	l.obsolete = append(l.obsolete, replaced)
	l.removeObsolete()
	return nil
}

// startGeneration makes the next generation with the records, lasting, and goes on with it. On an error the log's file
// stays what it was.
func (l *Log) startGeneration(records []Record) error {
	l.highestGeneration++
	hdr := header{generation: l.highestGeneration, nonce: rand.Uint64(), baseBytes: uint64(encodedBytes(records))}
	file, err := l.disk.Create(generationName(l.name, hdr.generation))
	if err != nil {
		return err
	}
	outcome, err := l.writeGeneration(file, hdr, records)
	if err != nil {
		_ = file.Close()
		l.abandon(hdr.generation, outcome)
		return err
	}
	l.switchTo(file, hdr, int64(headerBytes)+int64(hdr.baseBytes))
	return nil
}

// writeOutcome tells whether an unfinished generation may turn up complete later.
type writeOutcome uint8

const (
	knownIncomplete writeOutcome = iota
	maybeComplete
)

// writeGeneration writes and syncs a new generation's file, in chunks.
func (l *Log) writeGeneration(file File, hdr header, records []Record) (writeOutcome, error) {
	salt := hdr.salt()
	buffer := hdr.appendTo(l.buffer[:0])
	for _, record := range records {
		if len(buffer) >= rewriteChunkSize {
			if _, err := file.Write(buffer); err != nil {
				return knownIncomplete, err
			}
			buffer = buffer[:0]
		}
		buffer = appendRecord(buffer, salt, record)
	}
	l.retainBuffer(buffer)
	if _, err := file.Write(buffer); err != nil {
		return maybeComplete, err
	}
	return maybeComplete, syncFileAndDir(l.disk, file)
}

// abandon gives the room of an unfinished generation back. One that may be complete must stay: its removal may be lost
// after the log has gone on with an older one, and it would then hide what was appended there.
func (l *Log) abandon(generation uint64, outcome writeOutcome) {
	l.obsolete = append(l.obsolete, generation)
	if outcome == knownIncomplete {
		_ = l.disk.Remove(generationName(l.name, generation))
	}
}

// switchTo is the change to ready, with a lasting file of a complete generation.
func (l *Log) switchTo(file File, hdr header, size int64) {
	l.state = logReady
	l.cause = nil
	l.file = file
	l.header = hdr
	l.salt = hdr.salt()
	l.highestGeneration = max(l.highestGeneration, hdr.generation)
	l.size.Store(size)
}

// removeObsolete removes generations that no longer count, now that the current one lasts. What can't be removed stays
// for the next time; it does no harm but the room that it takes.
func (l *Log) removeObsolete() {
	kept := l.obsolete[:0]
	for _, generation := range l.obsolete {
		err := l.disk.Remove(generationName(l.name, generation))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			kept = append(kept, generation)
		}
	}
	l.obsolete = kept
}

// syncFileAndDir makes a file and its name last.
func syncFileAndDir(disk Disk, file File) error {
	if err := file.Sync(); err != nil {
		return err
	}
	return disk.SyncFolder()
}
