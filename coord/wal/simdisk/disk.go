// Package simdisk simulates, for tests, a disk that loses power, fills up, fails calls and is lost.
//
// After a loss of power a file holds what its last sync covered. Each later write is kept, lost or torn; some losses of
// power lose all of them. A new file's name becomes durable with the first sync of the file. Renames and removals are kept
// or lost one by one unless the directory was synced. The same seed and the same calls produce the same disk.
package simdisk

import (
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"

	"gaugeslip/coord/wal"
)

var (
	// ErrNoPower reports that the disk stopped at a point set by StopAfter, or that the calling process has ended.
	ErrNoPower = errors.New("simulated disk has no power")
	// ErrStalled reports an injected failure of a write or a sync, which may have been carried out in part or completely.
	ErrStalled = errors.New("simulated disk stalled")
	// ErrNoSpace is the operating system's error for a full disk.
	ErrNoSpace error = syscall.ENOSPC
)

// Faults holds the probabilities, 0 to 1, that a call fails with ErrStalled.
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

// Disk is the simulated disk. It outlives the processes that use it and is safe for concurrent use.
type Disk struct {
	mu          sync.Mutex
	random      *rand.Rand
	faults      Faults
	capacity    int
	callsLeft   int // until the disk stops, or one of neverStop and stopped
	incarnation int
	live        map[string]*inode // the directory that calls see
	durable     map[string]*inode // the part of it that survives a loss of power
	changes     []nameChange      // from durable to live, in order
}

// New returns an empty disk without faults or a limit on its size.
func New(seed uint64) *Disk {
	return &Disk{
		random:    rand.New(rand.NewPCG(seed, 0)),
		capacity:  unlimited,
		callsLeft: neverStop,
		live:      map[string]*inode{},
		durable:   map[string]*inode{},
	}
}

// Process starts a simulated process and returns the disk as that process sees it. The process ends with PowerLoss, Restart or Wipe: from
// then on all its calls fail with ErrNoPower and do nothing, including those of goroutines that a test cannot stop.
func (d *Disk) Process() wal.Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &process{disk: d, incarnation: d.incarnation}
}

// SetFaults sets the probabilities of failures from now on.
func (d *Disk) SetFaults(faults Faults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = faults
}

// SetCapacity limits the total bytes of all files. A write that exceeds the limit is cut short with ErrNoSpace. A negative
// number removes the limit.
func (d *Disk) SetCapacity(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.capacity = bytes
}

// StopAfter allows the given number of further calls. All later calls fail with ErrNoPower and do nothing, until PowerLoss,
// Restart or Wipe. If the first call to fail is a write, it may be carried out in part.
func (d *Disk) StopAfter(calls int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callsLeft = calls
}

// Restart ends the process: its open files can no longer be used, but everything written is kept.
func (d *Disk) Restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endProcess()
}

// PowerLoss simulates a loss of power of the machine and ends the process. Unsynced changes are kept, lost or torn.
func (d *Disk) PowerLoss() {
	d.mu.Lock()
	defer d.mu.Unlock()
	const allGone = 0.25
	loseAll := d.random.Float64() < allGone
	d.resolveNames(loseAll)
	d.resolveContents(loseAll)
	d.endProcess()
}

// Wipe simulates the loss of the disk, which is replaced with an empty one, and ends the process.
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

// admitCall counts one call and reports whether the disk still has power for it. The caller holds mu.
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
