// Package state is the replicated state of the system: the operator's configuration, accepted jobs, and every run of a task that may
// exist on a worker. Commands come in the order of the chain; their effect depends on nothing else, so that all replicas agree.
// It does no I/O, reads no clock and starts no goroutine, and belongs to one goroutine.
package state

import (
	"fmt"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/quota"
)

// Machine is the replicated state.
type Machine struct {
	config  Config
	history []taken // by version
	jobs    map[JobID]*Job
	workers map[string]*Worker
	pending map[string]int // jobs that aren't over, by route
	quotas  *quota.Ledger
	capture *Capture // under way, nil if there is none

	snapshotBytes int // length of the last snapshot, to make room for the next at once
}

// Worker is what is replicated of one life of a worker.
type Worker struct {
	LastSeen uint64
	Runs     map[Run]struct{} // that may exist there
}

// Outcome tells what a command came to.
type Outcome byte

// The outcomes of a command.
const (
	Applied   Outcome = iota
	Repeated          // it was in effect already
	Conflict          // a configuration that builds on another version than the current one
	Stale             // a configuration whose version isn't higher than the current one
	Forgotten         // a configuration that may have been in force before all that is remembered; it isn't taken now
	Unknown           // the job isn't known
	Malformed         // the command can't be read; nothing was changed
)

// Result is what a command has changed.
type Result struct {
	Command Command
	Outcome Outcome
	// Jobs are those that the command touched.
	Jobs []*Job
	// Started are those of the intents that hold; the others must not be sent.
	Started []Start
	// Finished are jobs that this command moved into a final state.
	Finished []*Job
	// Broken tells what the command has broken that must always hold; empty: nothing.
	Broken string
}

// New gives an empty state.
func New() *Machine {
	return &Machine{jobs: map[JobID]*Job{}, workers: map[string]*Worker{}, pending: map[string]int{},
		quotas: quota.NewLedger()}
}

// Config gives the configuration in force.
func (m *Machine) Config() Config { return m.config }

// Job gives an accepted job, nil if there is none of that name.
func (m *Machine) Job(id JobID) *Job { return m.jobs[id] }

// Jobs gives all jobs by name; it must not be changed.
func (m *Machine) Jobs() map[JobID]*Job { return m.jobs }

// Worker gives what is known of one life of a worker, nil if nothing is.
func (m *Machine) Worker(instance string) *Worker { return m.workers[instance] }

// Workers gives all lives of workers by name; it must not be changed.
func (m *Machine) Workers() map[string]*Worker { return m.workers }

// ApplyBytes decodes a command and applies it.
func (m *Machine) ApplyBytes(data []byte) Result {
	command, err := Decode(data)
	if err != nil {
		return Result{Outcome: Malformed}
	}
	return m.Apply(command)
}

// Apply carries out one command of the chain.
func (m *Machine) Apply(command Command) Result {
	result := Result{Command: command}
	m.capture.before(&command)
	switch command.Kind {
	case KindConfigReplaced:
		result.Outcome = m.replaceConfig(command.ConfigReplaced)
	case KindJobAccepted:
		m.accept(command.JobAccepted, &result)
	case KindJobCancelled:
		m.cancel(command.JobCancelled, &result)
	case KindTasksStarting:
		m.start(command.TasksStarting, &result)
	case KindStartsVoided:
		m.void(command.StartsVoided, &result)
	case KindTasksEnded:
		m.end(command.TasksEnded, &result)
	case KindWorkerLost:
		m.lose(command.WorkerLost, &result)
	case KindWorkerForgotten:
		m.forgetWorker(command.WorkerForgotten, &result)
	case KindJobsForgotten:
		m.forget(command.JobsForgotten)
	default:
		result.Outcome = Malformed
	}
	return result
}

func (m *Machine) accept(accepted *JobAccepted, result *Result) {
	if job := m.jobs[accepted.ID]; job != nil {
		result.Outcome = Repeated
		result.Jobs = append(result.Jobs, job)
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
	if spec.Tasks() == 0 {
		m.finish(job, Completed, accepted.AcceptedMs, result)
	}
}

func (m *Machine) cancel(cancelled *JobCancelled, result *Result) {
	job := m.jobs[cancelled.ID]
	if job == nil {
		result.Outcome = Unknown
		return
	}
	result.Jobs = append(result.Jobs, job)
	if job.State.Finished() {
		result.Outcome = Repeated
		return
	}
	m.finish(job, Cancelled, cancelled.AtMs, result)
}

// finish moves a job into a final state.
func (m *Machine) finish(job *Job, state JobState, atMs int64, result *Result) {
	if job.State.Finished() {
		result.breaks("job %s, %s, is finished as %s", job.ID, job.State, state)
	}
	if m.pending[job.Route] <= 0 {
		result.breaks("job %s ends, and its queue %q counts %d", job.ID, job.Route, m.pending[job.Route])
	}
	if m.pending[job.Route]--; m.pending[job.Route] <= 0 {
		delete(m.pending, job.Route)
	}
	job.finish(state, atMs)
	result.Finished = append(result.Finished, job)
}

// breaks takes note of the first thing that a command has broken.
func (r *Result) breaks(format string, arguments ...any) {
	if r.Broken == "" {
		r.Broken = fmt.Sprintf(format, arguments...)
	}
}

func (r *Result) touch(job *Job) {
	if n := len(r.Jobs); n > 0 && r.Jobs[n-1] == job {
		return
	}
	r.Jobs = append(r.Jobs, job)
}

func (m *Machine) openWorker(instance string) *Worker {
	worker := m.workers[instance]
	if worker == nil {
		worker = &Worker{Runs: map[Run]struct{}{}}
		m.workers[instance] = worker
	}
	return worker
}

func (m *Machine) lose(instance string, result *Result) {
	worker := m.workers[instance]
	if worker == nil {
		result.Outcome = Unknown
		return
	}
	for run := range worker.Runs {
		if job := m.jobs[run.Task.Job]; job != nil {
			m.removePlacement(job, run)
			result.touch(job)
		}
	}
	clear(worker.Runs)
}

// forgetWorker drops the record of a life that is over for good. A life that was only out of reach keeps its record: it may come back and
// list ends that were counted before.
func (m *Machine) forgetWorker(instance string, result *Result) {
	if worker := m.workers[instance]; worker == nil || len(worker.Runs) > 0 {
		result.Outcome = Unknown
		return
	}
	delete(m.workers, instance)
}

func (m *Machine) forget(ids []JobID) {
	for _, id := range ids {
		if job := m.jobs[id]; job != nil && job.State.Finished() && job.Runs == 0 {
			delete(m.jobs, id)
		}
	}
}

// Check looks for broken invariants and tells the first.
func (m *Machine) Check() error {
	runs := 0
	for id, job := range m.jobs {
		if err := job.check(); err != nil {
			return fmt.Errorf("job %s: %w", id, err)
		}
		runs += job.Runs
	}
	held := 0
	for _, worker := range m.workers {
		held += len(worker.Runs)
	}
	if held != runs {
		return fmt.Errorf("workers hold %d runs, jobs have %d", held, runs)
	}
	return m.quotas.Check(m.countAccelerators())
}

func (j *Job) check() error {
	placements := 0
	for k, time := range j.Times {
		for s := range time.Steps {
			open := 0
			for i := range time.Steps[s].Tasks {
				task := &time.Steps[s].Tasks[i]
				placements += len(task.Placements)
				if !task.Done {
					open++
				}
				if len(task.Placements) > 1 && !j.Spec.Stages[s].Speculative {
					return fmt.Errorf("task %d.%d.%d has %d runs", k, s, i, len(task.Placements))
				}
			}
			if open != time.Steps[s].Open {
				return fmt.Errorf("step %d.%d: %d open, counted %d", k, s, open, time.Steps[s].Open)
			}
		}
	}
	if placements != j.Runs {
		return fmt.Errorf("%d placements, counted %d", placements, j.Runs)
	}
	return nil
}
