package scheduler

import (
	"slices"
	"time"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
	"gaugeslip/policy/sizing"
)

// step is one step of a job in one occurrence. All of its tasks have the same requirements, so they are queued together.
type step struct {
	job        *job
	occurrence *occurrence
	number     uint32
	stage      *jobspec.Stage
	service    *service
	need       Resources
	runTime    time.Duration // estimated run time of a task on a sound worker near its data
	tasks      []task
	// waiting holds the indexes of tasks that wait for capacity, in the order in which they will start.
	waiting       []uint32
	opened        bool
	closed        bool
	readyAt       time.Duration
	upstreamSpent Spent // time spent in the steps that this one depended on

	queued       bool
	ticket       sizing.Ticket
	tryAll       bool // the step has to be tried on all workers
	shareBlocked bool // at the last try, its tenant's share could not take it
	// overdue reports that at the last review its tasks had waited too long beside free capacity.
	overdue bool
	// shareReservePlanned reports that a timer will consider reserving its tenant's share. That is not done before shareReserveNotBefore.
	shareReservePlanned   bool
	shareReserveNotBefore time.Duration
	farAllowedAt          time.Duration
	runsPerWorker         map[*worker]int // runs per worker; set only if antiAffinity limits them
	// unplaced is how many tasks are still to be placed in this round, lastChosen the worker that was chosen last in it.
	unplaced    int
	lastChosen  *worker
	gang        gangState
	gangRetryAt time.Duration // earliest time of the next try for a queued gang
	// gangRetryPlanned reports that a timer will retry it, because capacity was freed before gangRetryAt.
	gangRetryPlanned bool
}

// taskState is the scheduling state of a task.
type taskState uint8

const (
	taskIdle      taskState = iota // the step is not open
	taskWaiting                    // waiting for capacity
	taskActive                     // runs of it are proposed or may exist
	taskInBackoff                  // in backoff before the next start
	taskDone
)

// task is one task of an open step.
type task struct {
	state      taskState
	runs       []*run // proposed runs and runs that may exist
	refusals   int    // consecutive refused starts
	quickEnds  int    // for long-running tasks: consecutive ends soon after the start
	checkpoint checkpoint
	avoid      *worker // worker on which the task is not started until avoidUntil
	avoidUntil time.Duration
	failedOn   *worker // worker on which it failed last
	failures   uint32
	moves      int // moves away from workers on which it stalled or was slow
	copies     int // copies that were requested
	// waitingSince is when the task became ready or when its last run ended; 0 while a run exists.
	waitingSince time.Duration
	reportedAt   time.Duration // when the audit last reported it
	unexplained  bool          // the last audit found no reason for its wait
	backoffUntil time.Duration
	lastRefusal  workerapi.Outcome // outcome of the last consecutive refusal
	account      timeAccount
	// provenOnlyUntil is until when a task that has failed waits for a proven worker.
	provenOnlyUntil time.Duration
}

// checkpoint is the newest progress seen, and the attempt that reported it.
type checkpoint struct {
	attempt uint32
	text    string
}

// stepReady reports whether a step has tasks and all steps that it depends on are done. A step without tasks counts as done from the start:
// it gets no record and is never opened, so every recorded step has at least one task.
func (j *job) stepReady(occurrence, number uint32) bool {
	return j.record.Spec.Stages[number].Count > 0 && j.record.StepReady(occurrence, number)
}

// ensureStep returns the record of a step that has tasks. It creates the record if needed, but does not open the step.
func (s *Scheduler) ensureStep(j *job, t *occurrence, number uint32) *step {
	st := t.steps[number]
	if st != nil {
		return st
	}
	stage := &j.record.Spec.Stages[number]
	st = &step{
		job:        j,
		occurrence: t,
		number:     number,
		stage:      stage,
		service:    s.ensureService(j.record.Service),
		need:       stageNeed(stage),
		tasks:      make([]task, stage.Count),
	}
	st.runTime = s.expectedRunTime(st)
	if stage.AntiAffinity > 0 {
		st.runsPerWorker = make(map[*worker]int)
	}
	t.steps[number] = st
	return st
}

// openStep makes the tasks of a ready step wait for capacity.
func (s *Scheduler) openStep(st *step) {
	if st.opened {
		return
	}
	st.opened = true
	st.readyAt = s.now
	s.observeArrival(st)
	for i := range st.tasks {
		st.tasks[i].startAccount(s.now)
		s.reconcile(st, uint32(i))
	}
}

func (st *step) name(index uint32) state.TaskName {
	return state.TaskName{Job: st.job.record.ID, Time: st.occurrence.number, Step: st.number, Index: index}
}

// record returns the replicated record of a task; nil until a start in this occurrence is committed.
func (st *step) record(index uint32) *state.Task { return st.job.record.Task(st.name(index)) }

// allDone reports whether all tasks have ended as done.
func (st *step) allDone() bool { return st.job.record.StepDone(st.occurrence.number, st.number) }

// reconcile brings a task's state in line with the replicated state and with the task's runs. Call it after either has changed.
func (s *Scheduler) reconcile(st *step, index uint32) {
	if !st.opened {
		return
	}
	if st.stage.Gang {
		s.reconcileGang(st)
		return
	}
	t := &st.tasks[index]
	if record := st.record(index); record != nil && record.Done {
		s.finishTask(st, index)
		return
	}
	switch {
	case len(t.runs) > 0 && t.state == taskWaiting: // a copy of it is requested
	case len(t.runs) > 0:
		t.state = taskActive
	case t.state == taskWaiting || t.state == taskInBackoff:
	default:
		s.awaitCapacity(st, index)
	}
}

// awaitCapacity makes a task wait for capacity, after a backoff if its starts were refused or ended early several times in a row.
func (s *Scheduler) awaitCapacity(st *step, index uint32) {
	t := &st.tasks[index]
	if backoff := t.backoff(); backoff > 0 {
		t.state, t.backoffUntil = taskInBackoff, s.now+backoff
		t.account.enter(s.now, PartBackoff)
		s.noteWaiting(t)
		s.runAt(s.now+backoff, func() { s.backoffOver(st, index) })
		return
	}
	s.enqueueTask(st, index)
}

// noteWaiting records that no run of the task is known to exist.
func (s *Scheduler) noteWaiting(t *task) {
	if t.waitingSince == 0 {
		t.waitingSince = max(s.now, 1)
	}
}

// enqueueTask makes a task wait for capacity from now on.
func (s *Scheduler) enqueueTask(st *step, index uint32) {
	t := &st.tasks[index]
	t.state = taskWaiting
	t.account.enter(s.now, PartCapacity)
	s.noteWaiting(t)
	st.waiting = append(st.waiting, index)
	s.enqueue(st)
	if record := st.record(index); record != nil {
		t.failures = record.Failures
	}
	s.restrictPlacement(st, t)
}

// unrestricted reports whether the task may start wherever its step may.
func (t *task) unrestricted() bool { return t.avoid == nil && t.failures == 0 }

// restrictPlacement keeps the task off the worker it avoids for a while. A task that has failed may also start only on proven workers
// during that time.
func (s *Scheduler) restrictPlacement(st *step, t *task) {
	if t.unrestricted() {
		return
	}
	t.avoidUntil = s.now + restrictFor
	t.provenOnlyUntil = t.avoidUntil
	s.runAt(t.avoidUntil, func() { s.retryOnAll(st) })
}

// retryOnAll has a queued step tried on all workers in the next dispatch.
func (s *Scheduler) retryOnAll(st *step) {
	if st.queued {
		st.tryAll, st.service.tryAll = true, true
	}
}

func (s *Scheduler) backoffOver(st *step, index uint32) {
	t := &st.tasks[index]
	if t.state == taskInBackoff && !st.closed {
		s.enqueueTask(st, index)
	}
}

const (
	// The backoff before the next start begins at minBackoff and doubles up to maxBackoff.
	minBackoff = 25 * time.Millisecond
	maxBackoff = time.Second
	// freeRefusals is how many consecutive refused starts cause no backoff.
	freeRefusals = 2
	// quickEndLimit is the run time below which an end of a long-running task counts as early.
	quickEndLimit = 2 * time.Second
)

// backoff returns how long to wait before the next start: 0 at first, then growing with each consecutive refusal or early end.
func (t *task) backoff() time.Duration {
	again := max(t.refusals-freeRefusals, t.quickEnds-1)
	if again <= 0 {
		return 0
	}
	return min(minBackoff<<min(again, 8), maxBackoff)
}

// finishTask marks a task as done and stops copies that still run.
func (s *Scheduler) finishTask(st *step, index uint32) {
	t := &st.tasks[index]
	if t.state == taskWaiting {
		s.dequeueTask(st, index)
	}
	t.account.enter(s.now, PartEndCommit)
	t.state = taskDone
	for _, r := range t.runs {
		s.requestStop(r)
	}
	if !st.closed && st.allDone() {
		s.closeStep(st)
	}
}

// dequeueTask removes a task from those that wait for capacity.
func (s *Scheduler) dequeueTask(st *step, index uint32) {
	if at := slices.Index(st.waiting, index); at >= 0 {
		st.waiting = slices.Delete(st.waiting, at, at+1)
	}
	if !st.hasWaiting() {
		s.dequeue(st)
	}
}

// closeStep ends a step whose tasks are all done, and opens the steps that became ready.
func (s *Scheduler) closeStep(st *step) {
	st.closed = true
	s.dequeue(st)
	j, t := st.job, st.occurrence
	for later := int(st.number) + 1; later < len(t.steps); later++ {
		if !slices.Contains(j.record.Spec.Stages[later].DependsOn, int(st.number)) {
			continue
		}
		if j.stepReady(t.number, uint32(later)) {
			next := s.ensureStep(j, t, uint32(later))
			next.upstreamSpent = st.spentUpTo(s.now)
			s.openStep(next)
		}
	}
	if occurrenceDone(j.record, t.number) {
		s.reportIfLate(t)
		delete(j.occurrences, t.number)
	}
}

// abandonStep ends a step whose job is over and stops its runs.
func (s *Scheduler) abandonStep(st *step, state state.JobState) {
	st.closed = true
	s.dequeue(st)
	st.waiting = nil
	for i := range st.tasks {
		for _, r := range st.tasks[i].runs {
			s.stopSurplus(r, st, state)
		}
	}
}

// stopSurplus stops a run that is no longer needed. The members of a completed gang get gangEndGrace first, because their own ends are
// about to be listed.
func (s *Scheduler) stopSurplus(r *run, st *step, ended state.JobState) {
	if !st.stage.Gang || ended != state.Completed {
		s.requestStop(r)
		return
	}
	s.runAt(s.now+gangEndGrace, func() { s.requestStop(r) })
}
