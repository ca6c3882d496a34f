package hollow

import (
	"fmt"
	"slices"
	"time"
)

// WorkerSettings describe one hollow worker.
type WorkerSettings struct {
	Backend     string
	Zone        string
	Version     string
	Capacity    int
	Allocatable Resources
	Guarded     bool   // it refuses what doesn't fit
	Kind        string // a label
	Rack        string // a label
	ClockRate   float64
	ClockZero   time.Duration // what its clock shows at its start
}

// workerState is the state of a worker.
type workerState uint8

const (
	workerReady workerState = iota
	workerDraining
	workerDown // crashed, not yet back
	workerGone // drained and taken away, or lost
)

// Faults are what is wrong with a worker.
type Faults struct {
	FailShare float64       // the share of starts that fail by the worker's fault
	Hang      bool          // tasks stand still
	Slow      float64       // how many times as long work takes, from 1
	Silent    bool          // calls get no answer; what runs, runs on
	LateBy    time.Duration // starts and stops get no answer and are carried out so much later
	Busy      bool          // 503 to every order
}

// Worker is one hollow worker, an http.Handler.
type Worker struct {
	world    *World
	number   int // its index among the world's workers
	settings WorkerSettings
	rack     string
	address  string
	server   *server

	// The state of this life.
	state         workerState
	instance      string
	startedAt     time.Duration
	leavesAt      time.Duration
	fence         uint64
	heldUntil     int64 // on its clock, in milliseconds
	lapse         *event
	used          Resources
	runs          map[runKey]*run
	endedAttempts map[string]int // the highest attempt of each task that was stopped or ended here
	finished      []finishedEnd
	lastNumber    uint64
	waiters       map[*waiter]struct{}
	faults        Faults
}

type runKey struct {
	task    string
	attempt int
}

// finishedEnd is one entry of the list of ends.
type finishedEnd struct {
	number     uint64
	task       string
	attempt    int
	reason     endReason
	checkpoint string
	record     *endRecord
}

// waiter is a hold that waits for an end.
type waiter struct {
	wake      chan struct{}
	signalled bool
	expiry    *event
}

func (waiter *waiter) signal() {
	if !waiter.signalled {
		waiter.signalled = true
		close(waiter.wake)
	}
}

// NewWorker adds a ready worker to the world. It has no address until Listen or SetAddress.
func (world *World) NewWorker(settings WorkerSettings) *Worker {
	world.lock()
	defer world.unlock()
	if settings.ClockRate == 0 {
		settings.ClockRate = 1
	}
	worker := &Worker{world: world, number: len(world.workers), settings: settings, rack: settings.Rack}
	worker.startInstance()
	world.workers = append(world.workers, worker)
	worker.publish()
	return worker
}

// startInstance makes it a process that has just started.
func (worker *Worker) startInstance() {
	world := worker.world
	world.instances++
	worker.instance = fmt.Sprintf("i-%08x", world.instances)
	worker.state = workerReady
	worker.startedAt = world.now
	worker.fence = 0
	worker.heldUntil = 0
	worker.used = Resources{}
	worker.runs = make(map[runKey]*run)
	worker.endedAttempts = make(map[string]int)
	worker.finished = nil
	worker.lastNumber = 0
	worker.waiters = make(map[*waiter]struct{})
}

// Instance returns the id of its present life.
func (worker *Worker) Instance() string {
	worker.world.lock()
	defer worker.world.unlock()
	return worker.instance
}

// Address returns where it listens.
func (worker *Worker) Address() string {
	worker.world.lock()
	defer worker.world.unlock()
	return worker.address
}

// SetAddress gives it the address that the platform's list shows.
func (worker *Worker) SetAddress(address string) {
	worker.world.lock()
	defer worker.world.unlock()
	worker.address = address
	worker.publish()
}

// SetFaults changes what is wrong with it, at once also for what runs.
func (worker *Worker) SetFaults(faults Faults) {
	worker.world.lock()
	defer worker.world.unlock()
	worker.faults = faults
	for _, run := range worker.runs {
		run.execution.updateSpeed()
	}
}

// Crash ends this life: everything running is gone without an end, calls break off, and after down another life is there.
func (worker *Worker) Crash(down time.Duration) {
	worker.world.lock()
	defer worker.world.unlock()
	if !worker.alive() {
		return
	}
	worker.stopProcess(workerDown)
	worker.world.after(down, func() {
		if worker.state == workerDown {
			worker.startInstance()
			worker.publish()
		}
	})
}

// Drain has the platform show it as draining; it leaves after remaining, and what still runs then dies.
func (worker *Worker) Drain(remaining time.Duration) {
	worker.world.lock()
	defer worker.world.unlock()
	if worker.state != workerReady {
		return
	}
	worker.state = workerDraining
	worker.leavesAt = worker.world.now + remaining
	instance := worker.instance
	worker.publish()
	worker.world.after(remaining, func() {
		if worker.instance == instance {
			worker.stopProcess(workerGone)
			worker.publish()
		}
	})
}

// Lose ends it for good, without a notice.
func (worker *Worker) Lose() {
	worker.world.lock()
	defer worker.world.unlock()
	worker.stopProcess(workerGone)
	worker.publish()
}

func (worker *Worker) stopProcess(state workerState) {
	worker.state = state
	worker.lapse.cancel()
	worker.lapse = nil
	for _, run := range worker.sortedRuns() {
		run.end(endCrashed)
	}
	worker.voidEnds()
	worker.wakeAll()
}

// alive tells whether the process runs.
func (worker *Worker) alive() bool {
	return worker.state == workerReady || worker.state == workerDraining
}

func (worker *Worker) hasLabel(label string) bool {
	return label == worker.settings.Kind || label == worker.settings.Rack
}

func (worker *Worker) labels() []string {
	labels := []string{worker.settings.Kind, worker.settings.Rack}
	return slices.DeleteFunc(labels, func(label string) bool { return label == "" })
}

func (worker *Worker) free() Resources {
	return worker.settings.Allocatable.minus(worker.used)
}

// countStage counts the present runs of the task's step and repetition.
func (worker *Worker) countStage(counted *task) int {
	count := 0
	for _, run := range worker.runs {
		key := run.task.key
		key.index = counted.key.index
		if key == counted.key {
			count++
		}
	}
	return count
}

// sortedRuns returns what runs in the order of its arrival, so that a world with a seed always does the same.
func (worker *Worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(worker.runs))
	for _, run := range worker.runs {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(a, b *run) int {
		if a.startedAt != b.startedAt {
			return int(a.startedAt - b.startedAt)
		}
		return compareRuns(a, b)
	})
	return runs
}

func compareRuns(a, b *run) int {
	if a.task.name == b.task.name {
		return a.attempt - b.attempt
	}
	if a.task.name < b.task.name {
		return -1
	}
	return 1
}
