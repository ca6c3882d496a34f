package wal

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
)

// Rewrite replaces the whole content with the records and returns once the new content is durable. If it is interrupted at
// any point, a later Open finds either the old content or the new one. After a disk error the log is failed, and a later
// Open may find either content. A Rewrite that succeeds makes a failed log usable again.
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

// startGeneration creates the next generation with the records, makes it durable and switches to it. On an error the
// log's file does not change.
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

// writeOutcome says whether a later Open may find an unfinished generation complete.
type writeOutcome uint8

const (
	knownIncomplete writeOutcome = iota
	maybeComplete
)

// writeGeneration writes a new generation's file in chunks and syncs it.
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

// abandon frees the disk space of an unfinished generation. A generation that may be complete must not be removed yet: the
// removal may be lost after the log has continued with an older generation, and the abandoned one would then hide what was
// appended there.
func (l *Log) abandon(generation uint64, outcome writeOutcome) {
	l.obsolete = append(l.obsolete, generation)
	if outcome == knownIncomplete {
		_ = l.disk.Remove(generationName(l.name, generation))
	}
}

// switchTo changes the state to ready, with the durable file of a complete generation.
func (l *Log) switchTo(file File, hdr header, size int64) {
	l.state = logReady
	l.cause = nil
	l.file = file
	l.header = hdr
	l.salt = hdr.salt()
	l.highestGeneration = max(l.highestGeneration, hdr.generation)
	l.size.Store(size)
}

// removeObsolete removes generations that are no longer needed, because the current one is durable. A file that cannot be
// removed is tried again next time; until then it only takes up space.
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

// syncFileAndDir makes a file and its name durable.
func syncFileAndDir(disk Disk, file File) error {
	if err := file.Sync(); err != nil {
		return err
	}
	return disk.SyncDir()
}
