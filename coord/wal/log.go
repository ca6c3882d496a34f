package wal

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
)

var (
	// ErrFailed reports that a write or sync failed. The log refuses appends and syncs until a Rewrite succeeds or it is opened again.
	ErrFailed = errors.New("log failed")
	// ErrClosed reports that the log is closed.
	ErrClosed = errors.New("log closed")
	// ErrTooLarge reports that a record's data is longer than MaxRecordBytes.
	ErrTooLarge = errors.New("record too large")
)

// logState says which calls a log accepts.
type logState uint8

const (
	logReady logState = iota
	logFailed
	logClosed
)

// Log is an open log. It is safe for concurrent use. Appends may proceed during a sync.
type Log struct {
	disk Disk
	name string

	// syncMu is held while the file is synced, replaced or closed. It is locked before mu.
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

// Append writes the records to the file, in order, with one write. They are durable once a later Sync has returned. After a
// disk error the log is failed, and a later Open may read back any prefix of the records.
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

// Sync returns once all records are durable whose Append returned before Sync was called. After a disk error the log is failed.
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

// Size returns the length of the log's current file in bytes.
func (l *Log) Size() int64 {
	return l.size.Load()
}

// Close closes the log without syncing it. A second Close does nothing.
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

// current returns the file to sync.
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

// markFailed changes the state from ready to failed and returns an error for the cause. The log keeps the first cause. The caller holds mu.
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
