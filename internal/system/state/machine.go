// Package state is the replicated state machine of the system. It holds the operator's configuration, the accepted jobs, and every run of
// a task that may exist on a worker. Commands are applied in chain order, and their effect depends on nothing else, so that all replicas
// agree. The package does no I/O, reads no clock and starts no goroutines. A Machine must be used by one goroutine only.
package state

import (
	"fmt"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/quota"
)

// Machine is the replicated state.
type Machine struct {
	config  Config
	history []appliedVersion // sorted by version
	jobs    map[JobID]*Job
	workers map[string]*Worker
	pending map[string]int // number of unfinished jobs by route
	// cancelledUnseen is the number of jobs in the state CancelledUnseen.
	cancelledUnseen int
	quotas          *quota.Ledger
	capture         *Capture // the capture in progress, nil if there is none

	lastSnapshotLength int // used to allocate the buffer of the next snapshot at once
}

// Worker is the replicated record of one worker instance.
type Worker struct {
	LastSeen uint64           // number of the last recorded end
	Runs     map[Run]struct{} // runs that may exist on the worker
}

// Outcome is the result code of a command.
type Outcome byte

// The outcomes of a command.
const (
	Applied   Outcome = iota
	Repeated          // the command was already in effect
	Conflict          // the configuration's base is not the current version and never will be when it could be applied
	Stale             // the configuration's version is not higher than the current one
	Forgotten         // the configuration may have been in force before the oldest remembered one; it is not applied now
	Unknown           // there is no such job or worker
	Malformed         // the command can't be decoded; the state is unchanged
	TooMany           // the command needs a record beyond the limit of its kind; the state is unchanged
	BaseAhead         // the configuration's base is a version that may still come; it is not applied now, but may be applied then
)

// Result describes the effect of a command.
type Result struct {
	Command Command
	Outcome Outcome
	// Jobs are the jobs that the command concerned.
	Jobs []*Job
	// Started are the starts that took effect. The other starts of the command must not be sent to workers.
	Started []Start
	// Finished are the jobs that this command moved into a final state.
	Finished []*Job
	// Broken describes the first invariant that the command violated; empty if there is none.
	Broken string
}

// New returns an empty state.
func New() *Machine {
	return &Machine{jobs: map[JobID]*Job{}, workers: map[string]*Worker{}, pending: map[string]int{},
		quotas: quota.NewLedger()}
}

// Config returns the configuration in force.
func (m *Machine) Config() Config { return m.config }

// Job returns an accepted job, or nil if there is no job with that ID.
func (m *Machine) Job(id JobID) *Job { return m.jobs[id] }

// Jobs returns all jobs by ID. The caller must not modify the map.
func (m *Machine) Jobs() map[JobID]*Job { return m.jobs }

// Worker returns the record of a worker instance, or nil if there is none.
func (m *Machine) Worker(instance string) *Worker { return m.workers[instance] }

// Workers returns the records of all worker instances. The caller must not modify the map.
func (m *Machine) Workers() map[string]*Worker { return m.workers }

// ApplyBytes decodes a command and applies it.
func (m *Machine) ApplyBytes(data []byte) Result {
	command, err := Decode(data)
	if err != nil {
		return Result{Outcome: Malformed}
	}
	return m.Apply(command)
}

// Apply applies one command of the chain.
func (m *Machine) Apply(command Command) Result {
	result := Result{Command: command}
	m.capture.saveAffected(&command)
	switch command.Kind {
	case KindConfigReplaced:
		result.Outcome = m.replaceConfig(command.ConfigReplaced)
	case KindJobAccepted:
		m.acceptJob(command.JobAccepted, &result)
	case KindJobCancelled:
		m.cancelJob(command.JobCancelled, &result)
	case KindTasksStarting:
		m.startTasks(command.TasksStarting, &result)
	case KindStartsVoided:
		m.voidStarts(command.StartsVoided, &result)
	case KindTasksEnded:
		m.recordEnds(command.TasksEnded, &result)
	case KindWorkerLost:
		m.loseWorker(command.WorkerLost, &result)
	case KindWorkerForgotten:
		m.forgetWorker(command.WorkerForgotten, &result)
	case KindJobsForgotten:
		m.forgetJobs(command.JobsForgotten)
	default:
		result.Outcome = Malformed
	}
	return result
}

func (m *Machine) acceptJob(accepted *JobAccepted, result *Result) {
	known := m.jobs[accepted.ID]
	if known != nil && known.State != CancelledUnseen {
		result.Outcome = Repeated
		result.Jobs = append(result.Jobs, known)
		return
	}
	spec, err := jobspec.Parse(accepted.Body)
	if err != nil {
		result.Outcome = Malformed
		return
	}
	job := &Job{JobAccepted: *accepted, Spec: spec, Times: map[uint32]*Occurrence{}}
	m.jobs[job.ID] = job
	m.pending[job.Route]++
	result.Jobs = append(result.Jobs, job)
	switch {
	case known != nil:
		m.cancelledUnseen--
		m.finishJob(job, Cancelled, known.OverMs, result)
	case spec.Tasks() == 0:
		m.finishJob(job, Completed, accepted.AcceptedMs, result)
	}
}

func (m *Machine) cancelJob(cancelled *JobCancelled, result *Result) {
	job := m.jobs[cancelled.ID]
	if job == nil {
		result.Outcome = m.cancelUnseen(cancelled)
		return
	}
	if job.State == CancelledUnseen {
		result.Outcome = Unknown
		return
	}
	result.Jobs = append(result.Jobs, job)
	if job.State.Finished() {
		result.Outcome = Repeated
		return
	}
	m.finishJob(job, Cancelled, cancelled.AtMs, result)
}

// maxCancelledUnseen bounds the jobs in the state CancelledUnseen. It is part of the replicated state's definition.
const maxCancelledUnseen = 1 << 16

// cancelUnseen records that a job was cancelled that is not known. A copy of its submission may still be on its way, and must not run once
// the cancellation is answered. Such a record is forgotten like a finished job.
func (m *Machine) cancelUnseen(cancelled *JobCancelled) Outcome {
	if m.cancelledUnseen >= maxCancelledUnseen {
		return TooMany
	}
	m.addCancelledUnseen(&Job{JobAccepted: JobAccepted{ID: cancelled.ID}, State: CancelledUnseen, OverMs: cancelled.AtMs})
	return Unknown
}

func (m *Machine) addCancelledUnseen(job *Job) {
	m.jobs[job.ID] = job
	m.cancelledUnseen++
}

// finishJob moves a job into a final state.
func (m *Machine) finishJob(job *Job, state JobState, atMs int64, result *Result) {
	if job.State.Finished() {
		result.recordViolation("job %s is already %s and can't become %s", job.ID, job.State, state)
	}
	if m.pending[job.Route] <= 0 {
		result.recordViolation("job %s finishes, but the unfinished jobs of route %q are counted as %d", job.ID, job.Route, m.pending[job.Route])
	}
	if m.pending[job.Route]--; m.pending[job.Route] <= 0 {
		delete(m.pending, job.Route)
	}
	job.finish(state, atMs)
	result.Finished = append(result.Finished, job)
}

// recordViolation records the first invariant that a command violates.
func (r *Result) recordViolation(format string, arguments ...any) {
	if r.Broken == "" {
		r.Broken = fmt.Sprintf(format, arguments...)
	}
}

func (r *Result) addJob(job *Job) {
	if n := len(r.Jobs); n > 0 && r.Jobs[n-1] == job {
		return
	}
	r.Jobs = append(r.Jobs, job)
}

func (m *Machine) ensureWorker(instance string) *Worker {
	worker := m.workers[instance]
	if worker == nil {
		worker = &Worker{Runs: map[Run]struct{}{}}
		m.workers[instance] = worker
	}
	return worker
}

func (m *Machine) loseWorker(instance string, result *Result) {
	worker := m.workers[instance]
	if worker == nil {
		result.Outcome = Unknown
		return
	}
	for run := range worker.Runs {
		if job := m.jobs[run.Task.Job]; job != nil {
			m.removePlacement(job, run)
			result.addJob(job)
		}
	}
	clear(worker.Runs)
}

// forgetWorker deletes the record of a worker instance that will not return. An instance that was only unreachable keeps its record,
// since it may come back and list ends that were already counted.
func (m *Machine) forgetWorker(instance string, result *Result) {
	if worker := m.workers[instance]; worker == nil || len(worker.Runs) > 0 {
		result.Outcome = Unknown
		return
	}
	delete(m.workers, instance)
}

func (m *Machine) forgetJobs(ids []JobID) {
	for _, id := range ids {
		job := m.jobs[id]
		if job == nil || !job.State.Finished() || job.Runs > 0 {
			continue
		}
		if job.State == CancelledUnseen {
			m.cancelledUnseen--
		}
		delete(m.jobs, id)
	}
}

// Check verifies the invariants of the state and returns an error for the first violation.
func (m *Machine) Check() error {
	runs, cancelledUnseen := 0, 0
	for id, job := range m.jobs {
		if job.State == CancelledUnseen {
			cancelledUnseen++
		}
		if err := job.check(); err != nil {
			return fmt.Errorf("job %s: %w", id, err)
		}
		runs += job.Runs
	}
	if cancelledUnseen != m.cancelledUnseen {
		return fmt.Errorf("%d jobs were cancelled before they were submitted, counted %d", cancelledUnseen, m.cancelledUnseen)
	}
	held := 0
	for _, worker := range m.workers {
		held += len(worker.Runs)
	}
	if held != runs {
		return fmt.Errorf("workers hold %d runs, jobs have %d", held, runs)
	}
	return m.quotas.Check(m.recountAccelerators())
}

func (j *Job) check() error {
	placements := 0
	for k, occurrence := range j.Times {
		for s := range occurrence.Steps {
			open := 0
			for i := range occurrence.Steps[s].Tasks {
				task := &occurrence.Steps[s].Tasks[i]
				placements += len(task.Placements)
				if !task.Done {
					open++
				}
				if len(task.Placements) > 1 && !j.Spec.Stages[s].Speculative {
					return fmt.Errorf("task %d.%d.%d is not speculative and has %d runs", k, s, i, len(task.Placements))
				}
			}
			if open != occurrence.Steps[s].Open {
				return fmt.Errorf("step %d.%d has %d open tasks, counted %d", k, s, open, occurrence.Steps[s].Open)
			}
		}
	}
	if placements != j.Runs {
		return fmt.Errorf("tasks have %d placements, the job counts %d", placements, j.Runs)
	}
	return nil
}
