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
	// chains are the longest chains of work that begin with each step; longest is the longest of all.
	chains   []time.Duration
	longest  time.Duration
	times    map[uint32]*jobTime
	nextTime uint32
	begun    bool // a task of it is known to have begun; only pendingJobs changes it
}

// jobTime is one run through the steps of a job.
type jobTime struct {
	number uint32
	// from is when its objective begins to count, on the steady clock.
	from  time.Duration
	steps []*step // nil where the step's turn hasn't come
}

// addJob makes the scheduler's record of a job.
func (s *Scheduler) addJob(record *state.Job) *job {
	j := &job{
		record:   record,
		accepted: s.acceptedAt(record),
		chains:   record.Spec.LongestPathsFrom(),
		longest:  record.Spec.CriticalPath(),
		times:    make(map[uint32]*jobTime),
	}
	s.jobs[record.ID] = j
	s.pending.add(j)
	return j
}

func (s *Scheduler) acceptedAt(record *state.Job) time.Duration {
	if !s.wall.known {
		return s.now
	}
	return min(s.now, s.wall.steady(record.AcceptedMs))
}

// recallAcceptance corrects when jobs were taken that were there before the time of day was known.
func (s *Scheduler) recallAcceptance() {
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		j.accepted = s.acceptedAt(j.record)
		for _, number := range slices.Sorted(maps.Keys(j.times)) {
			t := j.times[number]
			t.from = s.objectiveFrom(j, t.number)
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
	if !j.record.Spec.HasSchedule() {
		return j.accepted
	}
	if !s.wall.known {
		return s.now
	}
	return s.wall.steady(j.record.DueMs(number))
}

func (s *Scheduler) jobAccepted(result *state.Result) {
	if result.Outcome != state.Applied || len(result.Jobs) == 0 || result.Jobs[0].State.Finished() {
		return
	}
	s.openJob(s.addJob(result.Jobs[0]))
}

// openJob opens what may run of a job.
func (s *Scheduler) openJob(j *job) {
	for _, number := range slices.Sorted(maps.Keys(j.record.Times)) {
		s.openTime(j, number)
	}
	if j.record.Spec.HasSchedule() {
		s.awaitDue(j)
		return
	}
	s.openTime(j, 0)
}

// openNextTime opens the due time that has come.
func (s *Scheduler) openNextTime(j *job) {
	s.openTime(j, j.nextTime)
	j.nextTime++
	s.awaitDue(j)
}

// ensureTime gives the record of a due time.
func (s *Scheduler) ensureTime(j *job, number uint32) *jobTime {
	t := j.times[number]
	if t == nil {
		t = &jobTime{number: number, from: s.objectiveFrom(j, number), steps: make([]*step, len(j.record.Spec.Stages))}
		j.times[number] = t
	}
	return t
}

// openTime opens the steps of a due time whose turn has come.
func (s *Scheduler) openTime(j *job, number uint32) {
	if timeDone(j.record, number) && j.times[number] == nil {
		return
	}
	t := s.ensureTime(j, number)
	for i := range t.steps {
		if j.record.StepReady(number, uint32(i)) {
			s.openStep(s.ensureStep(j, t, uint32(i)))
		}
	}
}

func timeDone(record *state.Job, number uint32) bool {
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

// jobsOver ends the scheduler's record of jobs that have come to their end: all that runs of them is stopped.
func (s *Scheduler) jobsOver(finished []*state.Job) {
	for _, record := range finished {
		j := s.jobs[record.ID]
		if j == nil {
			continue
		}
		if record.State == state.Completed {
			s.judgeCompleted(j)
		}
		delete(s.jobs, record.ID)
		s.pending.over(j)
		for _, number := range slices.Sorted(maps.Keys(j.times)) {
			for _, st := range j.times[number].steps {
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
	t := j.times[name.Time]
	if t == nil || int(name.Step) >= len(t.steps) {
		return nil
	}
	st := t.steps[name.Step]
	if st == nil || int(name.Index) >= len(st.tasks) {
		return nil
	}
	return st
}

// stageOf gives the step of a job as it was handed in, nil if it isn't known any more.
func (s *Scheduler) stageOf(name state.TaskName) *jobspec.Stage {
	record := s.machine.Job(name.Job)
	if record == nil || record.Spec == nil || int(name.Step) >= len(record.Spec.Stages) {
		return nil
	}
	return &record.Spec.Stages[name.Step]
}
