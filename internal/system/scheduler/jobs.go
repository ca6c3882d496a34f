package scheduler

import (
	"maps"
	"slices"
	"time"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/state"
)

// job is the scheduler's record of an unfinished job.
type job struct {
	record *state.Job
	// accepted is when the job was accepted, on the monotonic clock.
	accepted time.Duration
	// remainingWork holds, for each step, the longest chain of estimated work that begins with it; longestChain is the longest of all.
	remainingWork  []time.Duration
	longestChain   time.Duration
	occurrences    map[uint32]*occurrence
	nextOccurrence uint32
	begun          bool // a task of it is known to have begun; only pendingJobs changes it
}

// occurrence is one pass through the steps of a job. A repeated job has several, each with its due time.
type occurrence struct {
	number uint32
	// objectiveFrom is when its objective begins to count, on the monotonic clock.
	objectiveFrom time.Duration
	steps         []*step // nil until the step is ready or a run of it is known
}

// trackJob creates the scheduler's record of a job.
func (s *Scheduler) trackJob(record *state.Job) *job {
	j := &job{
		record:        record,
		accepted:      s.acceptedAt(record),
		remainingWork: record.Spec.LongestPathsFrom(),
		longestChain:  record.Spec.CriticalPath(),
		occurrences:   make(map[uint32]*occurrence),
	}
	s.jobs[record.ID] = j
	s.pending.add(j)
	return j
}

func (s *Scheduler) acceptedAt(record *state.Job) time.Duration {
	if !s.wall.known {
		return s.now
	}
	return min(s.now, s.wall.toSteady(record.AcceptedMs))
}

// correctAcceptance recomputes acceptance times and objectives of jobs that were tracked before the wall-clock time was known.
func (s *Scheduler) correctAcceptance() {
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		j.accepted = s.acceptedAt(j.record)
		for _, number := range slices.Sorted(maps.Keys(j.occurrences)) {
			t := j.occurrences[number]
			t.objectiveFrom = s.objectiveFrom(j, t.number)
			for _, st := range t.steps {
				if st != nil && st.queued {
					s.requeue(st)
				}
			}
		}
	}
}

// objectiveFrom returns when the objective of an occurrence begins to count, on the monotonic clock.
func (s *Scheduler) objectiveFrom(j *job, number uint32) time.Duration {
	if !j.record.Spec.HasSchedule() {
		return j.accepted
	}
	if !s.wall.known {
		return s.now
	}
	return s.wall.toSteady(j.record.DueMs(number))
}

func (s *Scheduler) jobAccepted(result *state.Result) {
	if result.Outcome != state.Applied || len(result.Jobs) == 0 || result.Jobs[0].State.Finished() {
		return
	}
	s.openJob(s.trackJob(result.Jobs[0]))
}

// openJob opens the occurrences and steps of a job that may run.
func (s *Scheduler) openJob(j *job) {
	for _, number := range slices.Sorted(maps.Keys(j.record.Times)) {
		s.openOccurrence(j, number)
	}
	if j.record.Spec.HasSchedule() {
		s.queueNextOccurrence(j)
		return
	}
	s.openOccurrence(j, 0)
}

// openNextOccurrence opens the occurrence that has fallen due.
func (s *Scheduler) openNextOccurrence(j *job) {
	s.openOccurrence(j, j.nextOccurrence)
	j.nextOccurrence++
	s.queueNextOccurrence(j)
}

// ensureOccurrence returns the record of an occurrence and creates it if needed.
func (s *Scheduler) ensureOccurrence(j *job, number uint32) *occurrence {
	t := j.occurrences[number]
	if t == nil {
		t = &occurrence{number: number, objectiveFrom: s.objectiveFrom(j, number), steps: make([]*step, len(j.record.Spec.Stages))}
		j.occurrences[number] = t
	}
	return t
}

// openOccurrence opens the ready steps of an occurrence.
func (s *Scheduler) openOccurrence(j *job, number uint32) {
	if occurrenceDone(j.record, number) && j.occurrences[number] == nil {
		return
	}
	t := s.ensureOccurrence(j, number)
	for i := range t.steps {
		if j.stepReady(number, uint32(i)) {
			s.openStep(s.ensureStep(j, t, uint32(i)))
		}
	}
}

func occurrenceDone(record *state.Job, number uint32) bool {
	t := record.Occurrence(number)
	if t == nil {
		return false
	}
	for i := range t.Steps {
		if t.Steps[i].Open > 0 {
			return false
		}
	}
	return true
}

// jobsEnded stops tracking jobs that have ended and stops all of their runs.
func (s *Scheduler) jobsEnded(finished []*state.Job) {
	for _, record := range finished {
		j := s.jobs[record.ID]
		if j == nil {
			continue
		}
		if record.State == state.Completed {
			s.reportCompletedIfLate(j)
		}
		delete(s.jobs, record.ID)
		s.pending.remove(j)
		for _, number := range slices.Sorted(maps.Keys(j.occurrences)) {
			for _, st := range j.occurrences[number].steps {
				if st != nil {
					s.abandonStep(st, record.State)
				}
			}
		}
	}
}

// findStep returns the record of a task's step; nil if the job is over or the step is not ready.
func (s *Scheduler) findStep(name state.TaskName) *step {
	j := s.jobs[name.Job]
	if j == nil {
		return nil
	}
	t := j.occurrences[name.Time]
	if t == nil || int(name.Step) >= len(t.steps) {
		return nil
	}
	st := t.steps[name.Step]
	if st == nil || int(name.Index) >= len(st.tasks) {
		return nil
	}
	return st
}

// stageSpec returns the submitted definition of a task's step; nil if it is no longer known.
func (s *Scheduler) stageSpec(name state.TaskName) *jobspec.Stage {
	record := s.machine.Job(name.Job)
	if record == nil || record.Spec == nil || int(name.Step) >= len(record.Spec.Stages) {
		return nil
	}
	return &record.Spec.Stages[name.Step]
}
