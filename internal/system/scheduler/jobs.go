package scheduler

import (
	"maps"
	"slices"
	"time"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/state"
)

// job is what the scheduler keeps of an unfinished job.
type job struct {
	record *state.Job
	// accepted is when it was taken, on the steady clock.
	accepted time.Duration
	// remainingWork are the longest chains of work that begin with each step; longest is the longest of all.
	remainingWork  []time.Duration
	longestChain   time.Duration
	occurrences    map[uint32]*occurrence
	nextOccurrence uint32
	begun          bool // a task of it is known to have begun; only pendingJobs changes it
}

// occurrence is one run through the steps of a job.
type occurrence struct {
	number uint32
	// objectiveFrom is when its objective begins to count, on the steady clock.
	objectiveFrom time.Duration
	steps         []*step // nil where the step's turn hasn't come
}

// trackJob makes the scheduler's record of a job.
func (s *Scheduler) trackJob(record *state.Job) *job {
	j := &job{
		record:        record,
		accepted:      s.acceptedAt(record),
		remainingWork: record.Spec.ChainsFrom(),
		longestChain:  record.Spec.LongestChain(),
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

// correctAcceptance corrects when jobs were taken that were there before the time of day was known.
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

// objectiveFrom is when the objective of a due time begins to count.
func (s *Scheduler) objectiveFrom(j *job, number uint32) time.Duration {
	if !j.record.Spec.Timed() {
		return j.accepted
	}
	if !s.wall.known {
		return s.now
	}
	return s.wall.toSteady(j.record.DueMs(number))
}

func (s *Scheduler) jobAccepted(result *state.Result) {
	if result.Outcome != state.Applied || len(result.Jobs) == 0 || result.Jobs[0].State.Over() {
		return
	}
	s.openJob(s.trackJob(result.Jobs[0]))
}

// openJob opens what may run of a job.
func (s *Scheduler) openJob(j *job) {
	for _, number := range slices.Sorted(maps.Keys(j.record.Times)) {
		s.openOccurrence(j, number)
	}
	if j.record.Spec.Timed() {
		s.queueNextOccurrence(j)
		return
	}
	s.openOccurrence(j, 0)
}

// openNextOccurrence opens the due time that has come.
func (s *Scheduler) openNextOccurrence(j *job) {
	s.openOccurrence(j, j.nextOccurrence)
	j.nextOccurrence++
	s.queueNextOccurrence(j)
}

// ensureOccurrence gives the record of a due time.
func (s *Scheduler) ensureOccurrence(j *job, number uint32) *occurrence {
	t := j.occurrences[number]
	if t == nil {
		t = &occurrence{number: number, objectiveFrom: s.objectiveFrom(j, number), steps: make([]*step, len(j.record.Spec.Stages))}
		j.occurrences[number] = t
	}
	return t
}

// openOccurrence opens the steps of a due time whose turn has come.
func (s *Scheduler) openOccurrence(j *job, number uint32) {
	if occurrenceDone(j.record, number) && j.occurrences[number] == nil {
		return
	}
	t := s.ensureOccurrence(j, number)
	for i := range t.steps {
		if j.record.StepReady(number, uint32(i)) {
			s.openStep(s.ensureStep(j, t, uint32(i)))
		}
	}
}

func occurrenceDone(record *state.Job, number uint32) bool {
	t := record.Time(number)
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

// jobsEnded ends the scheduler's record of jobs that have come to their end: all that runs of them is stopped.
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

// findStep gives the record of a task's step, nil if the job is over or the step's turn hasn't come.
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

// stageSpec gives the step of a job as it was handed in, nil if it isn't known any more.
func (s *Scheduler) stageSpec(name state.TaskName) *jobspec.Stage {
	record := s.machine.Job(name.Job)
	if record == nil || record.Spec == nil || int(name.Step) >= len(record.Spec.Stages) {
		return nil
	}
	return &record.Spec.Stages[name.Step]
}
