// Package faultydisk gives a real process a folder of the operating system whose disk has troubles: it stalls, is slow, is full, or forgets
// what wasn't synced when the process is killed, as a machine does that loses power. Another process orders the troubles by a file.
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

// Fault is what a disk suffers while its orders file says so.
type Fault string

// The troubles of a disk.
const (
	// None: all is well, as without a file.
	None Fault = ""
	// Stalled: writes and syncs wait for the trouble's end.
	Stalled Fault = "stalled"
	// Slow: each write and sync takes SlowDelay more.
	Slow Fault = "slow"
	// Full: writes are refused, and nothing of them is there.
	Full Fault = "full"
)

// SlowDelay is what a call on a slow disk takes more.
const SlowDelay = 120 * time.Millisecond

// pollInterval is how often a stalled call looks for the end of the trouble.
const pollInterval = 10 * time.Millisecond

// FaultFile is the orders file of the disk in a folder.
func FaultFile(folder string) string { return filepath.Clean(folder) + ".orders" }

// SetFault puts a trouble in force, for the disks that go by the file, from now on.
func SetFault(file string, trouble Fault) error {
	const mode = 0o644
	next := file + ".next"
	if err := os.WriteFile(next, []byte(trouble), mode); err != nil {
		return err
	}
	return os.Rename(next, file)
}

// Disk is a folder with troubles. It implements wal.Disk.
type Disk struct {
	wal.Disk
	faultFile string
}

var _ wal.Disk = (*Disk)(nil)

// New gives a folder the troubles that the orders file names; without such a file it has none. What is written reaches the folder with its
// sync and is lost before that, should the process be killed.
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

// applyFault has a call wait as the trouble in force demands, or gives the error with which it is refused.
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

// file keeps in memory what isn't synced yet.
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

// Sync implements wal.File. Writes that come meanwhile wait for it.
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
