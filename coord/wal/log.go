package wal

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
)

var (
	// ErrFailed says that an earlier write or sync failed: nothing is taken until a Rewrite succeeds or the log is opened anew.
	ErrFailed = errors.New("log failed")
	// ErrClosed says that the log was closed.
	ErrClosed = errors.New("log closed")
	// ErrTooLarge says that a record's data is longer than MaxRecordBytes.
	ErrTooLarge = errors.New("record too large")
)

// logState is what may be done with a log.
type logState uint8

const (
	logReady logState = iota
	logFailed
	logClosed
)

// Log is an open log. It is safe for concurrent use; appends go on while a sync is under way.
type Log struct {
	disk Disk
	name string

	// syncMu is held by whoever syncs or replaces the file. It is taken before mu.
	syncMu sync.Mutex

	mu                sync.Mutex
	state             logState
	cause             error
	file              File
	header            header
	salt              uint32
	highestGeneration uint64
	buffer            []byte
	obsolete          []uint64

	size atomic.Int64
}

// Append writes the records to the file, in order, with one write. They last once a later Sync has returned. After an
// error of the disk any first part of them may be read back by a later Open, and the log is failed.
func (l *Log) Append(records ...Record) error {
	if err := checkSizes(records); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkUsable(); err != nil {
		return err
	}
	if len(records) == 0 {
		return nil
	}
	buffer := l.buffer[:0]
	for _, record := range records {
		buffer = appendRecord(buffer, l.salt, record)
	}
	l.retainBuffer(buffer)
	if _, err := l.file.Write(buffer); err != nil {
		return l.markFailed(fmt.Errorf("append to %s: %w", l.name, err))
	}
	l.size.Add(int64(len(buffer)))
	return nil
}

// Sync returns once all records last whose Append returned before Sync was called.
func (l *Log) Sync() error {
	l.syncMu.Lock()
	defer l.syncMu.Unlock()
	file, err := l.current()
	if err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.markFailed(fmt.Errorf("sync %s: %w", l.name, err))
	}
	return nil
}

// Size returns the length of the log's file in bytes.
func (l *Log) Size() int64 {
	return l.size.Load()
}

// Close gives the file back. It syncs nothing; a second Close does nothing.
func (l *Log) Close() error {
	l.syncMu.Lock()
	defer l.syncMu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == logClosed {
		return nil
	}
	l.state = logClosed
	return l.file.Close()
}

// current returns the file that a sync is to cover.
func (l *Log) current() (File, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkUsable(); err != nil {
		return nil, err
	}
	return l.file, nil
}

func (l *Log) checkUsable() error {
	switch l.state {
	case logFailed:
		return fmt.Errorf("%w: %w", ErrFailed, l.cause)
	case logClosed:
		return ErrClosed
	default:
		return nil
	}
}

// markFailed is the change from ready to failed; the first cause stays. The caller holds mu.
func (l *Log) markFailed(cause error) error {
	if l.state == logReady {
		l.state = logFailed
		l.cause = cause
	}
	return fmt.Errorf("%w: %w", ErrFailed, cause)
}

func (l *Log) retainBuffer(buffer []byte) {
	if cap(buffer) <= maxRetainedBuffer {
		l.buffer = buffer
	}
}

func checkSizes(records []Record) error {
	for _, record := range records {
		if len(record.Data) > MaxRecordBytes {
			return fmt.Errorf("%w: %d bytes", ErrTooLarge, len(record.Data))
		}
	}
	return nil
}
