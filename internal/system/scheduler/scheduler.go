// Package scheduler is the pure core of the scheduler role: it takes in what was committed, what the platform lists and what
// workers answered, and says which commands to propose and which calls to make.
//
// It runs at the head of the chain and nowhere else, and is thrown away when that role is lost: a new one rebuilds everything from
// the replicated state. It does no I/O, reads no clock and starts no goroutine: times are readings of one steady clock. A Scheduler
// and its Machine belong to one goroutine.
//
// A start is ordered only once its intent was committed. Whether a run exists is taken only from what proves it: the worker's own
// answer, its lists, its clock that has passed the order's due time, or the end of its hold.
//
// Where to look:
//
//   - inputs and outputs: scheduler.go; calls and their time-outs: calls.go, timers.go
//   - jobs, steps and tasks: jobs.go, steps.go, gangs.go; counts for clients: pending.go
//   - the order of placement: queue.go; the choice of a worker: placement.go, resources.go, estimates.go
//   - room that is kept: reserve.go, shares.go, sharekeeping.go, tenants.go
//   - runs from intent to end: run.go, starts.go, startorders.go, pace.go, runs.go, lists.go
//   - workers: workers.go, firstlooks.go, holds.go, clock.go, drain.go, lost.go
//   - health: health.go, trials.go (workers that failed), stragglers.go (runs that stand still, copies)
//   - for operators: view.go, lateness.go, audit.go; invariants: check.go
package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gaugeslip/internal/system/clusterconfig"
	"gaugeslip/internal/system/nodesettings"
	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
	"gaugeslip/policy/sizing"
)

// Options are what a scheduler is made of.
type Options struct {
	// Token is the fencing token of all its orders: the epoch of the view.
	Token uint64
	// Machine is the replicated state, with everything applied that is committed.
	Machine *state.Machine
	// Calls is how many calls on workers may be out at once; 0: any number.
	Calls int
	// Bounds are the figures of the rules in force.
	Bounds nodesettings.Bounds
}

// Output is what is to be done now.
type Output struct {
	// Commands are to be proposed in this order.
	Commands []state.Command
	// Calls are to be made, in any order and at once.
	Calls []Call
	// Wake is when Tick is to be called at the latest; 0: not at all.
	Wake time.Duration
	// Superseded tells that a worker has seen a higher token: this scheduler orders nothing any more.
	Superseded bool
	// Findings tell of tasks that have waited for long.
	Findings []Finding
	// Late tells of jobs that have missed their objective.
	Late []LateJob
}

// Scheduler is the scheduler role. Make one with New.
type Scheduler struct {
	token     uint64
	machine   *state.Machine
	bounds    nodesettings.Bounds
	startedAt time.Duration
	now       time.Duration
	wall      wallClock

	workers         map[string]*worker
	services        map[string]*service
	serviceOrder    []*service // the services in the order in which they became known
	jobs            map[state.JobID]*job
	pending         pendingJobs
	estimates       map[estimateKey]*estimate
	timers          timerQueue
	occurrenceQueue occurrenceQueue
	calls           map[uint64]*call
	latency         callLatency
	startLimiter    startLimiter
	maxCalls        int
	firstHolds      firstHoldQueue
	lastCallID      uint64
	lastMark        uint64
	superseded      bool
	progressingRuns int // that have shown progress

	commands        []state.Command
	newCalls        []Call
	newStarts       []state.Start
	newVoids        []state.Run
	voiding         map[state.Run]*run
	committedStarts []*run
	shares          shares
	auditing        auditing
	lateJobs        []LateJob
	scratch         scratch
}

// New makes the scheduler of a new head from the replicated state alone.
func New(options Options, now time.Duration) *Scheduler {
	s := &Scheduler{
		token:        options.Token,
		machine:      options.Machine,
		bounds:       options.Bounds,
		startedAt:    now,
		maxCalls:     options.Calls,
		now:          now,
		workers:      make(map[string]*worker),
		services:     make(map[string]*service),
		jobs:         make(map[state.JobID]*job),
		pending:      pendingJobs{},
		estimates:    make(map[estimateKey]*estimate),
		calls:        make(map[uint64]*call),
		voiding:      make(map[state.Run]*run),
		shares:       newShares(options.Machine.Quotas()),
		startLimiter: startLimiter{window: initialStartsInFlight},
	}
	s.rebuild()
	s.planAudit()
	s.planTrialReviews()
	return s
}

// rebuild takes over jobs and runs from the replicated state.
func (s *Scheduler) rebuild() {
	ids := slices.Sorted(maps.Keys(s.machine.Jobs()))
	for _, id := range ids {
		if record := s.machine.Job(id); !record.State.Over() {
			s.trackJob(record)
		}
	}
	for _, instance := range slices.Sorted(maps.Keys(s.machine.Workers())) {
		w := s.ensureWorker(instance)
		for _, name := range slices.SortedFunc(maps.Keys(s.machine.Worker(instance).Runs), compareRuns) {
			s.adoptRun(w, name)
		}
		s.runAt(s.lossBound(w), func() { s.checkLoss(w) })
	}
	for _, id := range ids {
		if j := s.jobs[id]; j != nil {
			s.openJob(j)
		}
	}
}

func compareRuns(a, b state.Run) int {
	return cmp.Or(a.Task.Compare(b.Task), cmp.Compare(a.Attempt, b.Attempt))
}

// advance brings the scheduler up to a time.
func (s *Scheduler) advance(now time.Duration) {
	s.now = max(s.now, now)
	s.fireTimers()
	s.openDueOccurrences()
}

// Tick lets time pass.
func (s *Scheduler) Tick(now time.Duration) { s.advance(now) }

// WallClock tells the trusted time of day, in milliseconds since 1970.
func (s *Scheduler) WallClock(now time.Duration, unixMs int64) {
	first := !s.wall.known
	s.wall.set(now, unixMs)
	if first {
		s.correctAcceptance()
	}
	s.advance(now)
}

// Configured takes in the newest committed configuration. A job keeps the service that its queue had when it was accepted.
func (s *Scheduler) Configured(now time.Duration, config *clusterconfig.Config) {
	s.advance(now)
	for i := range config.Services {
		s.ensureService(config.Services[i].Name).preconditions = config.Services[i].Preconditions
	}
}

// Applied takes in what a committed command has changed, in the order of the chain and before the next one is applied.
func (s *Scheduler) Applied(now time.Duration, result state.Result) {
	s.now = max(s.now, now)
	s.applyResult(&result)
	s.advance(now) // only now, as timers look at the replicated state too
}

func (s *Scheduler) applyResult(result *state.Result) {
	command := &result.Command
	switch command.Kind {
	case state.KindJobAccepted:
		s.jobAccepted(result)
	case state.KindJobCancelled:
		s.jobsEnded(result.Finished)
	case state.KindTasksStarting:
		s.startsCommitted(command.TasksStarting, result.Started)
	case state.KindStartsVoided:
		s.voidsCommitted(command.StartsVoided)
	case state.KindTasksEnded:
		s.endsCommitted(command.TasksEnded, result.Finished)
	case state.KindWorkerLost:
		s.lossCommitted(command.WorkerLost)
	}
}

// CallEnded takes in the answer or the failure of a call; one that isn't known any more is passed over.
func (s *Scheduler) CallEnded(now time.Duration, result CallResult) {
	s.advance(now)
	ended := s.calls[result.ID]
	if ended == nil {
		return
	}
	delete(s.calls, result.ID)
	if ended.kind == CallStart {
		s.startLimiter.removeSent()
	}
	if result.Reply.Outcome == workerapi.RefusedFence {
		s.superseded = true
	}
	if ended.firstHold {
		defer s.firstHoldEnded()
	}
	if s.workers[ended.worker.identity.Instance] != ended.worker {
		return
	}
	if result.Reply.Outcome.Answered() {
		s.callAnswered(ended)
	} else if result.Reply.Outcome == workerapi.Unknown {
		s.callUnanswered(ended)
	}
	switch ended.kind {
	case CallHold:
		s.holdEnded(ended, &result.Reply)
	case CallStart:
		s.startEnded(ended, &result.Reply)
	case CallStop:
		s.stopEnded(ended, &result.Reply)
	}
}

// Drain gives what is to be done since the last Drain. Call it after each batch of inputs.
func (s *Scheduler) Drain() Output {
	if s.superseded {
		return Output{Superseded: true}
	}
	s.sendCommittedStarts()
	s.proposeVoids()
	s.dispatch()
	s.proposeStarts()
	output := Output{Commands: s.commands, Calls: s.newCalls, Wake: s.nextWake(), Findings: s.auditing.findings, Late: s.lateJobs}
	s.commands, s.newCalls, s.auditing.findings, s.lateJobs = nil, nil, nil, nil
	return output
}

// scratch is room that is used again and again.
type scratch struct {
	queued   []*step
	names    []state.Run
	accepted []sizing.Task
	demand   sizing.Demand
	members  []*worker
}

func (s *Scheduler) propose(command state.Command) { s.commands = append(s.commands, command) }

// nextWake is the earliest time at which something falls due.
func (s *Scheduler) nextWake() time.Duration {
	wake, any := s.timers.first()
	if due, timed := s.occurrenceQueue.first(); timed && s.wall.known {
		at := s.wall.toSteady(due)
		if !any || at < wake {
			wake, any = at, true
		}
	}
	if !any {
		return 0
	}
	return max(wake, s.now+time.Millisecond)
}
