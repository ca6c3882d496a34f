package state

import "gaugeslip/internal/system/jobspec"

// JobID and TaskName are the identifiers that clients and workers use.
type (
	JobID    = jobspec.ID
	TaskName = jobspec.Task
)

// JobState is the state of a job that clients see.
type JobState byte

// The states of a job.
const (
	Pending JobState = iota
	Running
	Completed
	JobFailed
	Cancelled
	// CancelledUnseen is the state of a job that was cancelled before it was submitted. To clients there is no such job, until a copy of its
	// submission arrives: that is accepted, and is Cancelled at once.
	CancelledUnseen
)

var jobStateNames = [...]string{Pending: "pending", Running: "running", Completed: "completed", JobFailed: "failed", Cancelled: "cancelled",
	CancelledUnseen: "cancelled-unseen"}

// String returns the word that is sent to clients.
func (s JobState) String() string {
	if int(s) < len(jobStateNames) {
		return jobStateNames[s]
	}
	return "unknown"
}

// Finished reports whether the state is final: the job starts no more runs.
func (s JobState) Finished() bool { return s >= Completed }

// Job is an accepted job.
type Job struct {
	JobAccepted
	Spec  *jobspec.Spec // nil once the job is finished and none of its runs may exist
	State JobState
	// OverMs is the Unix time in milliseconds at which a job was cancelled, and AcceptedMs for a job that completed or failed.
	OverMs int64
	// Times holds the occurrences of which a run was started, by their number.
	Times map[uint32]*Occurrence
	// Runs is the number of runs that may exist on workers.
	Runs int
}

// Occurrence is one occurrence of a job: one pass through its steps at one due time.
type Occurrence struct {
	Steps []Step
	open  int
}

// Step holds the tasks of one step.
type Step struct {
	Tasks []Task
	// Open is the number of tasks that aren't done.
	Open int
	// GangFailures is the number of failed attempts of the gang. GangFailed is the last attempt that was counted.
	GangFailures, GangFailed uint32
}

// Task is the state of one task of a step.
type Task struct {
	Attempt    uint32 // the highest attempt that was started
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

// Occurrence returns occurrence k, or nil if none of its runs was ever started.
func (j *Job) Occurrence(k uint32) *Occurrence { return j.Times[k] }

// Task returns the state of a task. It returns nil if no run of its occurrence was ever started, or if there is no such task.
func (j *Job) Task(name TaskName) *Task {
	occurrence := j.Times[name.Time]
	if occurrence == nil || int(name.Step) >= len(occurrence.Steps) || int(name.Index) >= len(occurrence.Steps[name.Step].Tasks) {
		return nil
	}
	return &occurrence.Steps[name.Step].Tasks[name.Index]
}

// StepDone reports whether all tasks of a step are done in occurrence k.
func (j *Job) StepDone(k, step uint32) bool {
	if j.Spec.Stages[step].Count == 0 {
		return true
	}
	occurrence := j.Times[k]
	return occurrence != nil && occurrence.Steps[step].Open == 0
}

// StepReady reports whether all steps that a step depends on are done in occurrence k.
func (j *Job) StepReady(k, step uint32) bool {
	for _, earlier := range j.Spec.Stages[step].DependsOn {
		if !j.StepDone(k, uint32(earlier)) {
			return false
		}
	}
	return true
}

// OccurrenceCount returns the number of occurrences of the job, 1 if it has no schedule.
func (j *Job) OccurrenceCount() uint32 {
	return uint32(j.Spec.OccurrenceCount())
}

// DueMs returns the Unix time in milliseconds before which occurrence k must not start, or 0 if the job has no schedule.
func (j *Job) DueMs(k uint32) int64 {
	if !j.Spec.HasSchedule() {
		return 0
	}
	return j.Spec.DueAt(k).Milliseconds()
}

// ensureOccurrence returns occurrence k and creates it if necessary.
func (j *Job) ensureOccurrence(k uint32) *Occurrence {
	if occurrence := j.Times[k]; occurrence != nil {
		return occurrence
	}
	occurrence := &Occurrence{Steps: make([]Step, len(j.Spec.Stages)), open: len(j.Spec.Stages)}
	for i := range occurrence.Steps {
		count := j.Spec.Stages[i].Count
		occurrence.Steps[i] = Step{Tasks: make([]Task, count), Open: count}
	}
	j.Times[k] = occurrence
	return occurrence
}

// finish moves the job into a final state. Only Machine.finishJob calls it.
func (j *Job) finish(state JobState, atMs int64) {
	j.State = state
	j.OverMs = atMs
	j.releaseMemory()
}

// releaseMemory drops the spec, body and tasks of a finished job once none of its runs may exist.
func (j *Job) releaseMemory() {
	if !j.State.Finished() || j.Runs > 0 {
		return
	}
	j.Times, j.Spec, j.Body = nil, nil, nil
}
