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
	job     *job
	time    *jobTime
	number  uint32
	stage   *jobspec.Stage
	service *service
	need    Resources
	size    time.Duration // of a run on a sound worker near its data, as estimated
	tasks   []task
	// waiting are the tasks that wait for room, in the order in which they leave.
	waiting []uint32
	opened  bool
	closed  bool
	readyAt time.Duration
	path    Spent // the time of the steps that it waited for

	queued bool
	ticket sizing.Ticket
	fresh  bool // it has to be tried on all workers
	kept   bool // its tenant's share had no room for it when it was tried last
	// overdue tells that its tasks had waited too long beside free room when that was looked at last.
	overdue bool
	// keepPlanned tells that it will be considered for keeping its share back, keepNotBefore when at the earliest.
	keepPlanned   bool
	keepNotBefore time.Duration
	farAt         time.Duration
	onWorker      map[*worker]int // runs, where antiAffinity bounds them
	// unplaced is how many tasks are still to be placed in this round, lastChosen the worker that was chosen last in it.
	unplaced   int
	lastChosen *worker
	gang       gangState
	retryAt    time.Duration // when a held gang is tried again at the earliest
	// retryPlanned tells that it will be, since room was freed before.
	retryPlanned bool
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
	// since is when its turn came, or when its last run was there; 0 while one is.
	since       time.Duration
	toldAt      time.Duration // when the audit told of it last
	doubted     bool          // the last audit has found no reason for its wait
	pausedUntil time.Duration
	refusal     workerapi.Outcome // the last one in turn
	account     account
	// carefulUntil is until when a task that has failed before waits for a proven worker.
	carefulUntil time.Duration
}

// checkpoint is the newest progress seen, and the attempt that showed it.
type checkpoint struct {
	attempt uint32
	text    string
}

// ensureStep gives the record of a step, which is not opened by that.
func (s *Scheduler) ensureStep(j *job, t *jobTime, number uint32) *step {
	st := t.steps[number]
	if st != nil {
		return st
	}
	stage := &j.record.Spec.Stages[number]
	st = &step{
		job:     j,
		time:    t,
		number:  number,
		stage:   stage,
		service: s.openService(j.record.Service),
		need:    stageNeed(stage),
		tasks:   make([]task, stage.Count),
	}
	st.size = s.expect(st)
	if stage.AntiAffinity > 0 {
		st.onWorker = make(map[*worker]int)
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
	s.arrived(st)
	for i := range st.tasks {
		st.tasks[i].beginAccount(s.now)
		s.settle(st, uint32(i))
	}
}

func (st *step) name(index uint32) state.TaskName {
	return state.TaskName{Job: st.job.record.ID, Time: st.time.number, Step: st.number, Index: index}
}

// record gives the replicated record of a task, nil while nothing of its due time was started.
func (st *step) record(index uint32) *state.Task { return st.job.record.Task(st.name(index)) }

// allDone tells whether all tasks have ended done.
func (st *step) allDone() bool { return st.job.record.StepDone(st.time.number, st.number) }

// settle brings a task's state in line with the replicated state and with its runs. It is called after either has changed.
func (s *Scheduler) settle(st *step, index uint32) {
	if !st.opened {
		return
	}
	if st.stage.Gang {
		s.settleGang(st)
		return
	}
	t := &st.tasks[index]
	if record := st.record(index); record != nil && record.Done {
		s.taskIsDone(st, index)
		return
	}
	switch {
	case len(t.runs) > 0 && t.state == taskWaiting: // a copy of it is wanted
	case len(t.runs) > 0:
		t.state = taskActive
	case t.state == taskWaiting || t.state == taskPaused:
	default:
		s.awaitRoom(st, index)
	}
}

// awaitRoom has a task wait for room, after a pause where it came back too often.
func (s *Scheduler) awaitRoom(st *step, index uint32) {
	t := &st.tasks[index]
	if pause := t.pause(); pause > 0 {
		t.state, t.pausedUntil = taskPaused, s.now+pause
		t.account.turn(s.now, PartPause)
		s.waits(t)
		s.at(s.now+pause, func() { s.pauseOver(st, index) })
		return
	}
	s.wait(st, index)
}

// waits takes note that no run of a task is known to be there.
func (s *Scheduler) waits(t *task) {
	if t.since == 0 {
		t.since = max(s.now, 1)
	}
}

// wait has a task wait for room from now on.
func (s *Scheduler) wait(st *step, index uint32) {
	t := &st.tasks[index]
	t.state = taskWaiting
	t.account.turn(s.now, PartRoom)
	s.waits(t)
	st.waiting = append(st.waiting, index)
	s.enqueue(st)
	if record := st.record(index); record != nil {
		t.failures = record.Failures
	}
	s.beCareful(st, t)
}

// plain tells whether the task may start wherever its step may.
func (t *task) plain() bool { return t.avoid == nil && t.failures == 0 }

// beCareful keeps a task for a while from the worker where it didn't end well, and one that has failed from all that aren't proven.
func (s *Scheduler) beCareful(st *step, t *task) {
	if t.plain() {
		return
	}
	t.avoidUntil = s.now + carefulFor
	t.carefulUntil = t.avoidUntil
	s.at(t.avoidUntil, func() { s.tryAgain(st) })
}

// tryAgain has a held step tried on all workers.
func (s *Scheduler) tryAgain(st *step) {
	if st.queued {
		st.fresh, st.service.fresh = true, true
	}
}

func (s *Scheduler) pauseOver(st *step, index uint32) {
	t := &st.tasks[index]
	if t.state == taskPaused && !st.closed {
		s.wait(st, index)
	}
}

const (
	firstPause    = 25 * time.Millisecond
	longestPause  = time.Second
	freeRefusals  = 2
	quickEndAfter = 2 * time.Second
)

// pause is how long the task is left alone: none at first, then longer with each refusal or quick end in turn.
func (t *task) pause() time.Duration {
	again := max(t.refusals-freeRefusals, t.quickEnds-1)
	if again <= 0 {
		return 0
	}
	return min(firstPause<<min(again, 8), longestPause)
}

// taskIsDone ends a task: copies that still run are stopped.
func (s *Scheduler) taskIsDone(st *step, index uint32) {
	t := &st.tasks[index]
	if t.state == taskWaiting {
		s.unwait(st, index)
	}
	t.account.turn(s.now, PartNoted)
	t.state = taskDone
	for _, r := range t.runs {
		s.wantStop(r)
	}
	if !st.closed && st.allDone() {
		s.closeStep(st)
	}
}

// unwait takes a task out of those that wait for room.
func (s *Scheduler) unwait(st *step, index uint32) {
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
	j, t := st.job, st.time
	for later := int(st.number) + 1; later < len(t.steps); later++ {
		if !slices.Contains(j.record.Spec.Stages[later].DependsOn, int(st.number)) {
			continue
		}
		if j.record.StepReady(t.number, uint32(later)) {
			next := s.ensureStep(j, t, uint32(later))
			next.path = st.spentUpTo(s.now)
			s.openStep(next)
		}
	}
	if timeDone(j.record, t.number) {
		s.judge(t)
		delete(j.times, t.number)
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
		s.wantStop(r)
		return
	}
	s.at(s.now+gangEndGrace, func() { s.wantStop(r) })
}
