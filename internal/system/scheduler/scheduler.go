// Package scheduler is the deterministic core of the scheduler role. Its inputs are committed commands, the platform's list of workers and
// workers' answers; its outputs are commands to propose and calls to make.
//
// It runs only at the head of the replication chain and is discarded when the node loses that role. A new head rebuilds its scheduler from
// the replicated state. The package does no I/O, reads no clock and starts no goroutines: all times are readings of one monotonic clock,
// passed in by the caller. A Scheduler and its Machine must be used by a single goroutine.
//
// A start is sent only after its intent (a TasksStarting command) is committed. Whether a run exists is decided only from proof: the
// worker's own answer, its lists, its clock having passed the start's due time, or the expiry of its hold. A hold is a long-polled call
// that renews the worker's permission to keep running tasks and returns its lists.
//
// Where to look:
//
//   - inputs and outputs: scheduler.go; calls and their timeouts: calls.go, timers.go
//   - jobs, steps and tasks: jobs.go, steps.go, gangs.go; pending counts for clients: pending.go
//   - placement order: queue.go; choice of a worker: placement.go, resources.go, estimates.go
//   - reservations: reserve.go (workers), shares.go and sharekeeping.go (tenants' accelerator shares), tenants.go
//   - runs from intent to end: run.go, starts.go, startorders.go, pace.go, runs.go, lists.go
//   - workers: workers.go, firstlooks.go, holds.go, clock.go, drain.go, lost.go
//   - health: health.go, trials.go (workers with failures), stragglers.go (stalled and slow runs, copies)
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

// Options configures a Scheduler.
type Options struct {
	// Token is the fencing token of all orders to workers: the epoch of the view.
	Token uint64
	// Machine is the replicated state with all committed commands applied.
	Machine *state.Machine
	// MaxCalls is the maximum number of outstanding calls to workers; 0 means no limit.
	MaxCalls int
	// Bounds holds the limits that workers and this scheduler keep to, such as the longest hold.
	Bounds nodesettings.Bounds
}

// Output lists the actions that the caller has to take now.
type Output struct {
	// Commands are to be proposed in this order.
	Commands []state.Command
	// Calls are to be made now; they may run in any order and concurrently.
	Calls []Call
	// Wake is the latest time for the next Tick; 0 means that none is needed.
	Wake time.Duration
	// Superseded reports that a worker has seen a higher token. This scheduler orders nothing any more.
	Superseded bool
	// Findings lists tasks that have waited for long and workers that were not contacted.
	Findings []Finding
	// Late lists jobs that ended after their objective.
	Late []LateJob
}

// Scheduler decides which tasks run on which workers. Create one with New.
type Scheduler struct {
	token     uint64
	machine   *state.Machine
	bounds    nodesettings.Bounds
	startedAt time.Duration
	now       time.Duration
	wall      wallClock

	workers         map[string]*worker
	services        map[string]*service
	serviceOrder    []*service // services in the order in which they became known
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
	progressingRuns int // runs that have shown progress

	commands        []state.Command
	newCalls        []Call
	newStarts       []state.Start
	newVoids        []state.Run
	voiding         map[state.Run]*run
	committedStarts []*run
	shares          shares
	audits          auditing
	lateJobs        []LateJob
	scratch         scratch
}

// New returns the scheduler of a new head, built from the replicated state alone.
func New(options Options, now time.Duration) *Scheduler {
	s := &Scheduler{
		token:        options.Token,
		machine:      options.Machine,
		bounds:       options.Bounds,
		startedAt:    now,
		maxCalls:     options.MaxCalls,
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

// rebuild tracks the unfinished jobs and the placements of the replicated state.
func (s *Scheduler) rebuild() {
	ids := slices.Sorted(maps.Keys(s.machine.Jobs()))
	for _, id := range ids {
		if record := s.machine.Job(id); !record.State.Finished() {
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

// advance moves the scheduler's time forward to now and handles what has fallen due.
func (s *Scheduler) advance(now time.Duration) {
	s.now = max(s.now, now)
	s.fireTimers()
	s.openDueOccurrences()
}

// Tick advances the time. It handles timers and due occurrences.
func (s *Scheduler) Tick(now time.Duration) { s.advance(now) }

// WallClock sets the trusted wall-clock time, in milliseconds since 1970.
func (s *Scheduler) WallClock(now time.Duration, unixMs int64) {
	first := !s.wall.known
	s.wall.set(now, unixMs)
	if first {
		s.correctAcceptance()
	}
	s.advance(now)
}

// Configured applies the newest committed configuration. A job keeps the service that its queue had when the job was accepted.
func (s *Scheduler) Configured(now time.Duration, config *clusterconfig.Config) {
	s.advance(now)
	for i := range config.Services {
		s.ensureService(config.Services[i].Name).preconditions = config.Services[i].Preconditions
	}
}

// Applied handles the result of a committed command. It must be called in commit order, before the next command is applied.
func (s *Scheduler) Applied(now time.Duration, result state.Result) {
	s.now = max(s.now, now)
	s.applyResult(&result)
	s.advance(now) // only now, because timers read the replicated state too
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

// CallEnded handles the answer to a call or its failure. Unknown call IDs are ignored.
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

// Drain returns what is to be done since the last Drain. Call it after each batch of inputs.
func (s *Scheduler) Drain() Output {
	if s.superseded {
		return Output{Superseded: true}
	}
	s.sendCommittedStarts()
	s.proposeVoids()
	s.dispatch()
	s.proposeStarts()
	output := Output{Commands: s.commands, Calls: s.newCalls, Wake: s.nextWake(), Findings: s.audits.findings, Late: s.lateJobs}
	s.commands, s.newCalls, s.audits.findings, s.lateJobs = nil, nil, nil, nil
	return output
}

// scratch holds buffers that are reused between calls.
type scratch struct {
	queued   []*step
	names    []state.Run
	accepted []sizing.Task
	demand   sizing.Demand
	members  []*worker
}

func (s *Scheduler) propose(command state.Command) { s.commands = append(s.commands, command) }

// nextWake returns the earliest time at which a timer or an occurrence falls due; 0 if there is none.
func (s *Scheduler) nextWake() time.Duration {
	wake, ok := s.timers.first()
	if due, timed := s.occurrenceQueue.first(); timed && s.wall.known {
		at := s.wall.toSteady(due)
		if !ok || at < wake {
			wake, ok = at, true
		}
	}
	if !ok {
		return 0
	}
	return max(wake, s.now+time.Millisecond)
}
