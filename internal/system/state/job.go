package state

import "gaugeslip/internal/system/jobspec"

// JobID and TaskName are the names that clients and workers use.
type (
	JobID    = jobspec.ID
	TaskName = jobspec.Task
)

// JobState is what clients are shown of a job.
type JobState byte

// The states of a job.
const (
	Pending JobState = iota
	Running
	Completed
	JobFailed
	Cancelled
)

var jobStateNames = [...]string{Pending: "pending", Running: "running", Completed: "completed", JobFailed: "failed", Cancelled: "cancelled"}

// String gives the word that clients are answered with.
func (s JobState) String() string {
	if int(s) < len(jobStateNames) {
		return jobStateNames[s]
	}
	return "unknown"
}

// Finished tells whether the job starts nothing any more.
func (s JobState) Finished() bool { return s >= Completed }

// Job is an accepted job.
type Job struct {
	JobAccepted
	Spec  *jobspec.Spec // nil once the job is over and nothing of it runs
	State JobState
	// OverMs is the time of day at which it was over, as the command that ended it told or, failing that, when it was accepted.
	OverMs int64
	// Times holds each due time of which something was started, by its number.
	Times map[uint32]*Occurrence
	// Runs is how many runs may exist on workers.
	Runs int
}

// Occurrence is one run through the steps of a job.
type Occurrence struct {
	Steps []Step
	open  int
}

// Step is the tasks of one step.
type Step struct {
	Tasks []Task
	// Open is how many tasks aren't done yet.
	Open int
	// GangFailures is how many runs of the gang have failed; GangFailed is the last that was counted.
	GangFailures, GangFailed uint32
}

// Task is one task of a step.
type Task struct {
	Attempt    uint32 // the highest that was started
	Failures   uint32
	Done       bool
	Placements []Placement // runs that may exist
	Checkpoint string
}

// Placement is a run that may exist on a worker.
type Placement struct {
	Attempt uint32
	Worker  string
}

// Occurrence gives due time k, nil while nothing of it was started.
func (j *Job) Occurrence(k uint32) *Occurrence { return j.Times[k] }

// Task gives a task's record, nil while nothing of its due time was started or when there is no such task.
func (j *Job) Task(name TaskName) *Task {
	time := j.Times[name.Time]
	if time == nil || int(name.Step) >= len(time.Steps) || int(name.Index) >= len(time.Steps[name.Step].Tasks) {
		return nil
	}
	return &time.Steps[name.Step].Tasks[name.Index]
}

// StepDone tells whether all tasks of a step have ended done at due time k.
func (j *Job) StepDone(k, step uint32) bool {
	if j.Spec.Stages[step].Count == 0 {
		return true
	}
	time := j.Times[k]
	return time != nil && time.Steps[step].Open == 0
}

// StepReady tells whether all steps that a step depends on are done at due time k.
func (j *Job) StepReady(k, step uint32) bool {
	for _, earlier := range j.Spec.Stages[step].DependsOn {
		if !j.StepDone(k, uint32(earlier)) {
			return false
		}
	}
	return true
}

// OccurrenceCount is how many due times the job has, one if it isn't timed.
func (j *Job) OccurrenceCount() uint32 {
	return uint32(j.Spec.OccurrenceCount())
}

// DueMs is the time of day, in milliseconds since 1970, before which due time k must not start; 0 if the job isn't timed.
func (j *Job) DueMs(k uint32) int64 {
	if !j.Spec.HasSchedule() {
		return 0
	}
	return j.Spec.DueAt(k).Milliseconds()
}

// openTime gives due time k, made when it is first asked for.
func (j *Job) openTime(k uint32) *Occurrence {
	if time := j.Times[k]; time != nil {
		return time
	}
	time := &Occurrence{Steps: make([]Step, len(j.Spec.Stages)), open: len(j.Spec.Stages)}
	for i := range time.Steps {
		count := j.Spec.Stages[i].Count
		time.Steps[i] = Step{Tasks: make([]Task, count), Open: count}
	}
	j.Times[k] = time
	return time
}

// finish moves the job into a final state; only the machine calls it.
func (j *Job) finish(state JobState, atMs int64) {
	j.State = state
	j.OverMs = atMs
	j.release()
}

// release drops what only a job that runs needs.
func (j *Job) release() {
	if !j.State.Finished() || j.Runs > 0 {
		return
	}
	j.Times, j.Spec, j.Body = nil, nil, nil
}
