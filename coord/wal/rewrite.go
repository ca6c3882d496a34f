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
	l.syncing.Lock()
	defer l.syncing.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == logClosed {
		return ErrClosed
	}
	old := l.file
	replaced := l.header.generation
	if err := l.startGeneration(records); err != nil {
		return l.fail(fmt.Errorf("rewrite %s: %w", l.name, err))
	}
	_ = old.Close()
	l.obsolete = append(l.obsolete, replaced)
	l.removeObsolete()
	return nil
}

// startGeneration makes the next generation with the records, lasting, and goes on with it. On an error the log's file
// stays what it was.
func (l *Log) startGeneration(records []Record) error {
	l.highest++
	head := header{generation: l.highest, nonce: rand.Uint64(), baseBytes: uint64(encodedBytes(records))}
	file, err := l.disk.Create(generationName(l.name, head.generation))
	if err != nil {
		return err
	}
	outcome, err := l.writeGeneration(file, head, records)
	if err != nil {
		_ = file.Close()
		l.abandon(head.generation, outcome)
		return err
	}
	l.use(file, head, int64(headerBytes)+int64(head.baseBytes))
	return nil
}

// writeOutcome tells whether an unfinished generation may turn up complete later.
type writeOutcome uint8

const (
	surelyIncomplete writeOutcome = iota
	maybeComplete
)

// writeGeneration writes and syncs a new generation's file, in chunks.
func (l *Log) writeGeneration(file File, head header, records []Record) (writeOutcome, error) {
	salt := head.salt()
	buffer := head.appendTo(l.buffer[:0])
	for _, record := range records {
		if len(buffer) >= rewriteChunkSize {
			if _, err := file.Write(buffer); err != nil {
				return surelyIncomplete, err
			}
			buffer = buffer[:0]
		}
		buffer = appendRecord(buffer, salt, record)
	}
	l.keepBuffer(buffer)
	if _, err := file.Write(buffer); err != nil {
		return maybeComplete, err
	}
	return maybeComplete, syncWithFolder(l.disk, file)
}

// abandon gives the room of an unfinished generation back. One that may be complete must stay: its removal may be lost
// after the log has gone on with an older one, and it would then hide what was appended there.
func (l *Log) abandon(generation uint64, outcome writeOutcome) {
	l.obsolete = append(l.obsolete, generation)
	if outcome == surelyIncomplete {
		_ = l.disk.Remove(generationName(l.name, generation))
	}
}

// use is the change to ready, with a lasting file of a complete generation.
func (l *Log) use(file File, head header, size int64) {
	l.state = logReady
	l.cause = nil
	l.file = file
	l.header = head
	l.salt = head.salt()
	l.highest = max(l.highest, head.generation)
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

// syncWithFolder makes a file and its name last.
func syncWithFolder(disk Disk, file File) error {
	if err := file.Sync(); err != nil {
		return err
	}
	return disk.SyncDir()
}
