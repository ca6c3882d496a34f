package scheduler

import (
	"fmt"
	"strings"
	"time"

	"gaugeslip/internal/system/state"
)

// Part names what a job's time was spent on.
type Part uint8

// The parts of a job's time. They sum to it.
const (
	// PartBefore is the time before this head knew that the job's turn had come: its acceptance, or an earlier head's time, or none.
	PartBefore Part = iota
	// PartRoom is the wait for room, for the turn of the step or for its data.
	PartRoom
	// PartPause is the pause of a task that came back too often.
	PartPause
	// PartOrder is the commit of a start's intent, and its order until the worker has answered.
	PartOrder
	// PartUnanswered is the time in which an order without an answer may still be carried out.
	PartUnanswered
	// PartRun is the time in which a run is there.
	PartRun
	// PartSlow is the same from when it is far behind what was expected.
	PartSlow
	// PartSilent is the same while its worker doesn't answer.
	PartSilent
	// PartFailed is the whole time of runs that failed, PartStopped that of runs that were stopped, lapsed or broken off, PartLost that of runs
	// that went with their worker.
	PartFailed
	PartStopped
	PartLost
	// PartNoted is the time from when an end was listed until it was committed.
	PartNoted
	// PartCount is how many parts there are.
	PartCount
)

var partNames = [PartCount]string{"before", "room", "pause", "order", "unanswered", "run", "slow", "silent", "failed", "stopped", "lost", "noted"}

// String is the part's name in logs and figures.
func (p Part) String() string { return partNames[p] }

// Spent is time by part.
type Spent [PartCount]time.Duration

func (s Spent) total() time.Duration {
	sum := time.Duration(0)
	for _, length := range s {
		sum += length
	}
	return sum
}

func (s Spent) plus(other Spent) Spent {
	for part := range s {
		s[part] += other[part]
	}
	return s
}

// String lists the parts that took time.
func (s Spent) String() string {
	var parts []string
	for part, length := range s {
		if length >= time.Millisecond {
			parts = append(parts, fmt.Sprintf("%s %dms", Part(part), length.Milliseconds()))
		}
	}
	return strings.Join(parts, ", ")
}

// LateJob is a job, or one due time of it, that missed its objective.
type LateJob struct {
	ID              state.JobID
	Route           string
	Took, Objective time.Duration
	// Spent is the time of the steps and tasks that were the last to end, one after the other.
	Spent Spent
}

// timeAccount is one task's time since its turn has come.
type timeAccount struct {
	spent     Spent
	part      Part
	partSince time.Duration
}

// startAccount begins a task's time: its turn has come, or a new head has taken it over with its runs.
func (t *task) startAccount(now time.Duration) {
	t.account = timeAccount{partSince: now, part: PartRoom}
	for _, r := range t.runs {
		r.spentBefore, t.account.part = Spent{}, PartRun
	}
}

// enter puts a task's time on another part from now on.
func (a *timeAccount) enter(now time.Duration, part Part) {
	a.spent[a.part] += now - a.partSince
	a.part, a.partSince = part, now
}

// totalsAt is the time by part up to now.
func (a *timeAccount) totalsAt(now time.Duration) Spent {
	spent := a.spent
	spent[a.part] += now - a.partSince
	return spent
}

// enterPart puts the time of a run's task on another part from now on.
func (s *Scheduler) enterPart(r *run, part Part) {
	if t := r.task(); t != nil && t.state != taskDone {
		t.account.enter(s.now, part)
	}
}

// markWasted puts all that a run has taken on what became of it.
func (s *Scheduler) markWasted(r *run, part Part) {
	t := r.task()
	if t == nil || t.state == taskDone {
		return
	}
	t.account.enter(s.now, PartNoted)
	lost := t.account.spent.total() - r.spentBefore.total()
	t.account.spent = r.spentBefore
	t.account.spent[part] += max(lost, 0)
}

// spoiledBy is the part for a run that ended in another way than done.
func spoiledBy(how state.How) Part {
	if how == state.Failed {
		return PartFailed
	}
	return PartStopped
}

// enterPartOnWorker has the runs of a worker spend their time on its silence, or on running again.
func (s *Scheduler) enterPartOnWorker(w *worker, part Part) {
	for _, r := range w.runList {
		if r.phase == runPresent {
			s.enterPart(r, part)
		}
	}
}

// reportCompletedIfLate looks whether a job that is completed now was late.
func (s *Scheduler) reportCompletedIfLate(j *job) {
	for _, t := range j.occurrences {
		if t.lastStep() == nil {
			continue
		}
		s.reportIfLate(t)
	}
}

// reportIfLate tells of a due time that has ended now, if it missed its objective.
func (s *Scheduler) reportIfLate(t *occurrence) {
	last := t.lastStep()
	if last == nil || last.stage.LongRunning {
		return
	}
	took, objective := s.now-t.objectiveFrom, last.job.objective()
	if took <= objective {
		return
	}
	spent := last.spentUpTo(s.now)
	spent[PartBefore] += max(took-spent.total(), 0)
	s.lateJobs = append(s.lateJobs, LateJob{ID: last.job.record.ID, Route: last.job.record.Route, Took: took, Objective: objective, Spent: spent})
}

// lastStep is the open step whose last task ended last, nil if none is known.
func (t *occurrence) lastStep() *step {
	var last *step
	for _, st := range t.steps {
		if st != nil && st.opened && (last == nil || st.lastPartChange() >= last.lastPartChange()) {
			last = st
		}
	}
	return last
}

// lastChangedTask is the task whose time took another turn last.
func (st *step) lastChangedTask() *task {
	last := &st.tasks[0]
	for i := range st.tasks {
		if st.tasks[i].account.partSince > last.account.partSince {
			last = &st.tasks[i]
		}
	}
	return last
}

func (st *step) lastPartChange() time.Duration { return st.lastChangedTask().account.partSince }

// spentUpTo is the time of the steps that this one waited for, and of its last task.
func (st *step) spentUpTo(now time.Duration) Spent {
	return st.upstreamSpent.plus(st.lastChangedTask().account.totalsAt(now))
}
