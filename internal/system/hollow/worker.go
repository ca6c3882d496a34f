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
	Guarded     bool   // refuses starts that do not fit
	Kind        string // a label
	Rack        string // a label
	ClockRate   float64
	ClockZero   time.Duration // reading of its clock at its start
}

// workerState is the state of a worker.
type workerState uint8

const (
	workerReady workerState = iota
	workerDraining
	workerDown // crashed, not yet restarted
	workerGone // drained and removed, or lost
)

// Faults are the injected faults of a worker.
type Faults struct {
	FailShare float64       // share of starts that fail because of the worker
	Hang      bool          // runs make no progress
	Slow      float64       // factor on the time of work, at least 1
	Silent    bool          // calls get no answer; runs continue
	LateBy    time.Duration // starts and stops get no answer and are executed after this delay
	Busy      bool          // every order gets status 503
}

// Worker is one hollow worker, an http.Handler.
type Worker struct {
	world    *World
	number   int // its index among the world's workers
	settings WorkerSettings
	rack     string
	address  string
	server   *server

	// State of the present instance.
	state         workerState
	instance      string
	startedAt     time.Duration
	leavesAt      time.Duration
	fence         uint64
	heldUntil     int64 // on its clock, in milliseconds
	lapse         *event
	used          Resources
	runs          map[runKey]*run
	endedAttempts map[string]int // highest attempt of each task that was stopped or ended here
	finished      []finishedEnd
	lastNumber    uint64
	waiters       map[*waiter]struct{}
	faults        Faults
}

type runKey struct {
	task    string
	attempt int
}

// finishedEnd is one entry of the list of ended runs.
type finishedEnd struct {
	number     uint64
	task       string
	attempt    int
	reason     endReason
	checkpoint string
	record     *endRecord
}

// waiter is a hold that waits for the end of a run.
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

// startInstance resets the worker to a newly started process.
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

// Instance returns the ID of the present instance.
func (worker *Worker) Instance() string {
	worker.world.lock()
	defer worker.world.unlock()
	return worker.instance
}

// Address returns the address that the platform lists.
func (worker *Worker) Address() string {
	worker.world.lock()
	defer worker.world.unlock()
	return worker.address
}

// SetAddress sets the address that the platform lists.
func (worker *Worker) SetAddress(address string) {
	worker.world.lock()
	defer worker.world.unlock()
	worker.address = address
	worker.publish()
}

// SetFaults replaces the injected faults. They apply at once, also to present runs.
func (worker *Worker) SetFaults(faults Faults) {
	worker.world.lock()
	defer worker.world.unlock()
	worker.faults = faults
	for _, run := range worker.runs {
		run.execution.updateSpeed()
	}
}

// Crash ends the present instance: its runs are lost without a listed end, and calls in progress are aborted. A new instance starts
// after down.
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

// Drain makes the platform list the worker as draining. The worker leaves after remaining, and the runs that are left are lost.
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

// Lose removes the worker for good, without notice.
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

// alive reports whether the process is running.
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

// countStage returns the number of present runs of the task's stage and repetition.
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

// sortedRuns returns the present runs in the order of their start, so that a world with a given seed always behaves the same.
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
