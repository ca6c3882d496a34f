package scheduler

import (
	"fmt"
	"strings"
	"time"

	"gaugeslip/internal/system/state"
)

// Part is one kind of use of a job's time, such as waiting or running.
type Part uint8

// The parts of a job's time. Their sum is the whole time.
const (
	// PartBeforeHead is the time before this head knew that the job was ready: until its acceptance was applied, or under an earlier head.
	PartBeforeHead Part = iota
	// PartCapacity is the wait for capacity, for the step to become ready, or for capacity near the step's data.
	PartCapacity
	// PartBackoff is the backoff of a task whose starts were refused or ended early several times in a row.
	PartBackoff
	// PartStart is the time from proposing a start until the worker has answered it.
	PartStart
	// PartUnanswered is the time in which a start without an answer may still be carried out.
	PartUnanswered
	// PartRun is the time in which a run exists.
	PartRun
	// PartSlow is the part of that time after the run has fallen far behind its expectation.
	PartSlow
	// PartSilent is the part of that time in which the worker does not answer.
	PartSilent
	// PartFailed is the whole time of runs that failed, PartStopped that of runs that were stopped, expired or broken off, PartLost that of
	// runs that were lost with their worker.
	PartFailed
	PartStopped
	PartLost
	// PartEndCommit is the time from listing an end until its commit.
	PartEndCommit
	// PartCount is the number of parts.
	PartCount
)

var partNames = [PartCount]string{"before", "room", "pause", "order", "unanswered", "run", "slow", "silent", "failed", "stopped", "lost", "noted"}

// String returns the part's name in logs and metrics.
func (p Part) String() string { return partNames[p] }

// Spent is a duration per part.
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

// String lists the parts that took at least a millisecond.
func (s Spent) String() string {
	var parts []string
	for part, length := range s {
		if length >= time.Millisecond {
			parts = append(parts, fmt.Sprintf("%s %dms", Part(part), length.Milliseconds()))
		}
	}
	return strings.Join(parts, ", ")
}

// LateJob is a job, or one occurrence of it, that ended after its objective.
type LateJob struct {
	ID              state.JobID
	Route           string
	Took, Objective time.Duration
	// Spent is the time of the critical path: the steps and tasks that ended last, one after the other.
	Spent Spent
}

// timeAccount attributes one task's time since it became ready to parts.
type timeAccount struct {
	spent     Spent
	part      Part
	partSince time.Duration
}

// startAccount begins a task's time account when the task becomes ready, or when a new head takes it over with its runs.
func (t *task) startAccount(now time.Duration) {
	t.account = timeAccount{partSince: now, part: PartCapacity}
	for _, r := range t.runs {
		r.spentBefore, t.account.part = Spent{}, PartRun
	}
}

// enter attributes the task's time from now on to another part.
func (a *timeAccount) enter(now time.Duration, part Part) {
	a.spent[a.part] += now - a.partSince
	a.part, a.partSince = part, now
}

// totalsAt returns the time by part up to now.
func (a *timeAccount) totalsAt(now time.Duration) Spent {
	spent := a.spent
	spent[a.part] += now - a.partSince
	return spent
}

// enterPart attributes the time of a run's task from now on to another part.
func (s *Scheduler) enterPart(r *run, part Part) {
	if t := r.task(); t != nil && t.state != taskDone {
		t.account.enter(s.now, part)
	}
}

// markWasted attributes all the time that a run has taken to the reason why it was wasted.
func (s *Scheduler) markWasted(r *run, part Part) {
	t := r.task()
	if t == nil || t.state == taskDone {
		return
	}
	t.account.enter(s.now, PartEndCommit)
	wasted := t.account.spent.total() - r.spentBefore.total()
	t.account.spent = r.spentBefore
	t.account.spent[part] += max(wasted, 0)
}

// wastedPart returns the part for a run that ended without success.
func wastedPart(how state.EndReason) Part {
	if how == state.Failed {
		return PartFailed
	}
	return PartStopped
}

// enterPartOnWorker attributes the time of all present runs of a worker to a part.
func (s *Scheduler) enterPartOnWorker(w *worker, part Part) {
	for _, r := range w.runList {
		if r.phase == runPresent {
			s.enterPart(r, part)
		}
	}
}

// reportCompletedIfLate checks whether a job that has just completed was late.
func (s *Scheduler) reportCompletedIfLate(j *job) {
	for _, t := range j.occurrences {
		if t.lastStep() == nil {
			continue
		}
		s.reportIfLate(t)
	}
}

// reportIfLate reports an occurrence that has just ended, if it missed its objective.
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
	spent[PartBeforeHead] += max(took-spent.total(), 0)
	s.lateJobs = append(s.lateJobs, LateJob{ID: last.job.record.ID, Route: last.job.record.Route, Took: took, Objective: objective, Spent: spent})
}

// lastStep returns the open step whose last task ended last; nil if none is known.
func (t *occurrence) lastStep() *step {
	var last *step
	for _, st := range t.steps {
		if st != nil && st.opened && (last == nil || st.lastPartChange() >= last.lastPartChange()) {
			last = st
		}
	}
	return last
}

// lastChangedTask returns the task whose time account changed part last.
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

// spentUpTo returns the time of the steps that this one depended on, plus that of its last task.
func (st *step) spentUpTo(now time.Duration) Spent {
	return st.upstreamSpent.plus(st.lastChangedTask().account.totalsAt(now))
}
