// Package simdisk simulates a disk that loses power, fills up, stalls and is lost, for tests.
//
// After a loss of power a file has what its last sync covered; each later write is there, missing or torn, and at some
// losses all of them are gone. A new file's name lasts with the file's own sync; renamed and removed names are kept or lost
// one by one unless the folder was synced. The same seed and the same calls give the same disk.
package simdisk

import (
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"

	"gaugeslip/coord/wal"
)

var (
	// ErrNoPower says that the disk stopped at a point set by StopAfter, or that the caller's process has ended.
	ErrNoPower = errors.New("simulated disk has no power")
	// ErrStalled is an injected failure of a write or a sync, of which any part may have been done.
	ErrStalled = errors.New("simulated disk stalled")
	// ErrNoSpace is what the operating system gives for a full disk.
	ErrNoSpace error = syscall.ENOSPC
)

// Faults are the chances, 0 to 1, that a call fails with ErrStalled.
type Faults struct {
	Write  float64
	Sync   float64
	Folder float64
}

const (
	neverStop = -1
	stopped   = -2
	unlimited = -1
)

// Disk is the simulated disk, which outlasts the processes that use it. It is safe for concurrent use.
type Disk struct {
	mu          sync.Mutex
	random      *rand.Rand
	faults      Faults
	capacity    int
	callsLeft   int
	incarnation int
	live        map[string]*inode
	durable     map[string]*inode
	changes     []nameChange
}

// New returns an empty disk without faults or bounds.
func New(seed uint64) *Disk {
	return &Disk{
		random:    rand.New(rand.NewPCG(seed, 0)),
		capacity:  unlimited,
		callsLeft: neverStop,
		live:      map[string]*inode{},
		durable:   map[string]*inode{},
	}
}

// Process is the disk as the process sees it that starts now. That ends with PowerLoss, Restart or Wipe: from then on all its calls fail
// with ErrNoPower and do nothing, also those of goroutines that a test can't end.
func (d *Disk) Process() wal.Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &process{disk: d, incarnation: d.incarnation}
}

// SetFaults sets the chances of failures from now on.
func (d *Disk) SetFaults(faults Faults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = faults
}

// SetCapacity bounds the bytes of all files; a write that goes over it is cut short with ErrNoSpace. A negative number
// takes the bound away.
func (d *Disk) SetCapacity(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.capacity = bytes
}

// StopAfter lets that many more calls through; all after them fail with ErrNoPower and do nothing, until PowerLoss,
// Restart or Wipe. The first call to fail, if it is a write, may have been done in part.
func (d *Disk) StopAfter(calls int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callsLeft = calls
}

// Restart is the end of the process: open files are gone, what was written stays.
func (d *Disk) Restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endProcess()
}

// PowerLoss is a loss of power of the machine.
func (d *Disk) PowerLoss() {
	d.mu.Lock()
	defer d.mu.Unlock()
	const allGone = 0.25
	loseAll := d.random.Float64() < allGone
	d.resolveNames(loseAll)
	d.resolveContents(loseAll)
	d.endProcess()
}

// Wipe is the loss of the disk: an empty one takes its place.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.live)
	clear(d.durable)
	d.changes = nil
	d.endProcess()
}

func (d *Disk) endProcess() {
	d.incarnation++
	d.callsLeft = neverStop
}

// admitCall counts one call. The caller holds mu.
func (d *Disk) admitCall() bool {
	switch d.callsLeft {
	case neverStop:
		return true
	case stopped:
		return false
	case 0:
		d.callsLeft = stopped
		return false
	default:
		d.callsLeft--
		return true
	}
}

func (d *Disk) happens(chance float64) bool {
	return chance > 0 && d.random.Float64() < chance
}

func (d *Disk) evenChance() bool {
	return d.random.IntN(2) == 0
}

func (d *Disk) usedBytes() int {
	used := 0
	for _, file := range d.live {
		used += len(file.content)
	}
	return used
}
