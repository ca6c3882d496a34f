// Package faultydisk wraps the disk of a real process and injects faults: the disk stalls, is slow, is full, or loses unsynced data
// when the process is killed, as in a power failure. Another process selects the fault through a file.
package faultydisk

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"gaugeslip/coord/wal"
)

// Fault is what happens to calls on a disk while its fault file names it.
type Fault string

// The faults of a disk.
const (
	// None means no fault. It is also in force if there is no fault file.
	None Fault = ""
	// Stalled makes writes and syncs wait until the fault ends.
	Stalled Fault = "stalled"
	// Slow delays each write and sync by SlowDelay.
	Slow Fault = "slow"
	// Full makes writes fail without storing anything.
	Full Fault = "full"
)

// SlowDelay is the additional duration of a call on a slow disk.
const SlowDelay = 120 * time.Millisecond

// pollInterval is the interval at which a stalled call checks whether the fault has ended.
const pollInterval = 10 * time.Millisecond

// FaultFile returns the path of the fault file of the disk in a directory.
func FaultFile(folder string) string { return filepath.Clean(folder) + ".orders" }

// SetFault puts a fault in force for the disks that use the file.
func SetFault(file string, trouble Fault) error {
	const mode = 0o644
	next := file + ".next"
	if err := os.WriteFile(next, []byte(trouble), mode); err != nil {
		return err
	}
	return os.Rename(next, file)
}

// Disk wraps a directory and injects faults. It implements wal.Disk.
type Disk struct {
	wal.Disk
	faultFile string
}

var _ wal.Disk = (*Disk)(nil)

// New returns a disk that stores its data in inner and applies the fault that the fault file names. Without the file there is no
// fault. Written data reaches inner only with a sync. If the process is killed before that, the data is lost.
func New(folder wal.Disk, orders string) *Disk {
	return &Disk{Disk: folder, faultFile: orders}
}

func (d *Disk) currentFault() Fault {
	content, err := os.ReadFile(d.faultFile)
	if err != nil {
		return None
	}
	return Fault(strings.TrimSpace(string(content)))
}

// applyFault delays the call or returns an error, as the current fault demands.
func (d *Disk) applyFault(writes bool) error {
	switch d.currentFault() {
	case Stalled:
		for d.currentFault() == Stalled {
			time.Sleep(pollInterval)
		}
	case Slow:
		time.Sleep(SlowDelay)
	case Full:
		if writes {
			return syscall.ENOSPC
		}
	}
	return nil
}

// Create implements wal.Disk.
func (d *Disk) Create(name string) (wal.File, error) {
	if err := d.applyFault(true); err != nil {
		return nil, err
	}
	return d.open(d.Disk.Create(name))
}

// OpenAppend implements wal.Disk.
func (d *Disk) OpenAppend(name string) (wal.File, error) {
	return d.open(d.Disk.OpenAppend(name))
}

func (d *Disk) open(inner wal.File, err error) (wal.File, error) {
	if err != nil {
		return nil, err
	}
	return &file{File: inner, disk: d}, nil
}

// SyncDir implements wal.Disk.
func (d *Disk) SyncDir() error {
	if err := d.applyFault(false); err != nil {
		return err
	}
	return d.Disk.SyncDir()
}

// file buffers unsynced data in memory.
type file struct {
	wal.File
	disk *Disk

	mutex    sync.Mutex
	unsynced []byte
}

// Write implements wal.File.
func (f *file) Write(data []byte) (int, error) {
	if err := f.disk.applyFault(true); err != nil {
		return 0, err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.unsynced = append(f.unsynced, data...)
	return len(data), nil
}

// Sync implements wal.File. Concurrent writes wait until it returns.
func (f *file) Sync() error {
	if err := f.disk.applyFault(false); err != nil {
		return err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.unsynced) > 0 {
		if _, err := f.File.Write(f.unsynced); err != nil {
			return err
		}
		f.unsynced = f.unsynced[:0]
	}
	return f.File.Sync()
}
