package scheduler

import (
	"slices"
	"time"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
	"gaugeslip/policy/sizing"
)

// step is one step of a job at one due time. Its tasks are alike, so that they are held together.
type step struct {
	job        *job
	occurrence *occurrence
	number     uint32
	stage      *jobspec.Stage
	service    *service
	need       Resources
	runTime    time.Duration // of a run on a sound worker near its data, as estimated
	tasks      []task
	// waiting are the tasks that wait for room, in the order in which they leave.
	waiting       []uint32
	opened        bool
	closed        bool
	readyAt       time.Duration
	upstreamSpent Spent // the time of the steps that it waited for

	queued       bool
	ticket       sizing.Ticket
	tryAll       bool // it has to be tried on all workers
	shareBlocked bool // its tenant's share had no room for it when it was tried last
	// overdue tells that its tasks had waited too long beside free room when that was looked at last.
	overdue bool
	// shareReservePlanned tells that it will be considered for keeping its share back, shareReserveNotBefore when at the earliest.
	shareReservePlanned   bool
	shareReserveNotBefore time.Duration
	farAllowedAt          time.Duration
	runsPerWorker         map[*worker]int // runs, where antiAffinity bounds them
	// unplaced is how many tasks are still to be placed in this round, lastChosen the worker that was chosen last in it.
	unplaced    int
	lastChosen  *worker
	gang        gangState
	gangRetryAt time.Duration // when a held gang is tried again at the earliest
	// gangRetryPlanned tells that it will be, since room was freed before.
	gangRetryPlanned bool
}

// taskState tells what becomes of a task.
type taskState uint8

const (
	taskIdle    taskState = iota // its step isn't open
	taskWaiting                  // for room
	taskActive                   // runs of it are proposed or may exist
	taskPaused                   // it is started again after a pause
	taskDone
)

// task is one task of an open step.
type task struct {
	state      taskState
	runs       []*run // proposed, or that may exist
	refusals   int    // starts in turn that were refused
	quickEnds  int    // of a task that lasts: ends in turn soon after the start
	checkpoint checkpoint
	avoid      *worker // where it isn't started until avoidUntil
	avoidUntil time.Duration
	failedOn   *worker // where it failed last
	failures   uint32
	moves      int // from workers on which it stood still or fell behind
	copies     int // that were asked for
	// waitingSince is when its turn came, or when its last run was there; 0 while one is.
	waitingSince time.Duration
	reportedAt   time.Duration // when the audit told of it last
	unexplained  bool          // the last audit has found no reason for its wait
	backoffUntil time.Duration
	lastRefusal  workerapi.Outcome // the last one in turn
	account      timeAccount
	// provenOnlyUntil is until when a task that has failed before waits for a proven worker.
	provenOnlyUntil time.Duration
}

// checkpoint is the newest progress seen, and the attempt that showed it.
type checkpoint struct {
	attempt uint32
	text    string
}

// ensureStep gives the record of a step, which is not opened by that.
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

// openStep lets the tasks of a step wait for room whose turn has come.
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

// record gives the replicated record of a task, nil while nothing of its due time was started.
func (st *step) record(index uint32) *state.Task { return st.job.record.Task(st.name(index)) }

// allDone tells whether all tasks have ended done.
func (st *step) allDone() bool { return st.job.record.StepDone(st.occurrence.number, st.number) }

// reconcile brings a task's state in line with the replicated state and with its runs. It is called after either has changed.
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
	case len(t.runs) > 0 && t.state == taskWaiting: // a copy of it is wanted
	case len(t.runs) > 0:
		t.state = taskActive
	case t.state == taskWaiting || t.state == taskPaused:
	default:
		s.awaitCapacity(st, index)
	}
}

// awaitCapacity has a task wait for room, after a pause where it came back too often.
func (s *Scheduler) awaitCapacity(st *step, index uint32) {
	t := &st.tasks[index]
	if pause := t.backoff(); pause > 0 {
		t.state, t.backoffUntil = taskPaused, s.now+pause
		t.account.enter(s.now, PartPause)
		s.noteWaiting(t)
		s.runAt(s.now+pause, func() { s.pauseOver(st, index) })
		return
	}
	s.enqueueTask(st, index)
}

// noteWaiting takes note that no run of a task is known to be there.
func (s *Scheduler) noteWaiting(t *task) {
	if t.waitingSince == 0 {
		t.waitingSince = max(s.now, 1)
	}
}

// enqueueTask has a task wait for room from now on.
func (s *Scheduler) enqueueTask(st *step, index uint32) {
	t := &st.tasks[index]
	t.state = taskWaiting
	t.account.enter(s.now, PartRoom)
	s.noteWaiting(t)
	st.waiting = append(st.waiting, index)
	s.enqueue(st)
	if record := st.record(index); record != nil {
		t.failures = record.Failures
	}
	s.restrictPlacement(st, t)
}

// unrestricted tells whether the task may start wherever its step may.
func (t *task) unrestricted() bool { return t.avoid == nil && t.failures == 0 }

// restrictPlacement keeps a task for a while from the worker where it didn't end well, and one that has failed from all that aren't proven.
func (s *Scheduler) restrictPlacement(st *step, t *task) {
	if t.unrestricted() {
		return
	}
	t.avoidUntil = s.now + restrictFor
	t.provenOnlyUntil = t.avoidUntil
	s.runAt(t.avoidUntil, func() { s.retryOnAll(st) })
}

// retryOnAll has a held step tried on all workers.
func (s *Scheduler) retryOnAll(st *step) {
	if st.queued {
		st.tryAll, st.service.tryAll = true, true
	}
}

func (s *Scheduler) pauseOver(st *step, index uint32) {
	t := &st.tasks[index]
	if t.state == taskPaused && !st.closed {
		s.enqueueTask(st, index)
	}
}

const (
	minBackoff    = 25 * time.Millisecond
	maxBackoff    = time.Second
	freeRefusals  = 2
	quickEndLimit = 2 * time.Second
)

// backoff is how long the task is left alone: none at first, then longer with each refusal or quick end in turn.
func (t *task) backoff() time.Duration {
	again := max(t.refusals-freeRefusals, t.quickEnds-1)
	if again <= 0 {
		return 0
	}
	return min(minBackoff<<min(again, 8), maxBackoff)
}

// finishTask ends a task: copies that still run are stopped.
func (s *Scheduler) finishTask(st *step, index uint32) {
	t := &st.tasks[index]
	if t.state == taskWaiting {
		s.dequeueTask(st, index)
	}
	t.account.enter(s.now, PartNoted)
	t.state = taskDone
	for _, r := range t.runs {
		s.requestStop(r)
	}
	if !st.closed && st.allDone() {
		s.closeStep(st)
	}
}

// dequeueTask takes a task out of those that wait for room.
func (s *Scheduler) dequeueTask(st *step, index uint32) {
	if at := slices.Index(st.waiting, index); at >= 0 {
		st.waiting = slices.Delete(st.waiting, at, at+1)
	}
	if !st.hasWaiting() {
		s.dequeue(st)
	}
}

// closeStep ends a step all of whose tasks are done, and opens those whose turn has come by that.
func (s *Scheduler) closeStep(st *step) {
	st.closed = true
	s.dequeue(st)
	j, t := st.job, st.occurrence
	for later := int(st.number) + 1; later < len(t.steps); later++ {
		if !slices.Contains(j.record.Spec.Stages[later].DependsOn, int(st.number)) {
			continue
		}
		if j.record.StepReady(t.number, uint32(later)) {
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

// abandonStep ends a step whose job is over.
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

// stopSurplus stops a run that serves nothing any more. The members of a gang that is done are about to be listed themselves.
func (s *Scheduler) stopSurplus(r *run, st *step, ended state.JobState) {
	if !st.stage.Gang || ended != state.Completed {
		s.requestStop(r)
		return
	}
	s.runAt(s.now+gangEndGrace, func() { s.requestStop(r) })
}
