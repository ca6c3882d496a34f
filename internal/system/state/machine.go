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

// PendingCount is how many jobs of a queue aren't over.
func (m *Machine) PendingCount(route string) int { return m.pending[route] }

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
	job := &Job{JobAccepted: *accepted, Spec: spec, Times: map[uint32]*Time{}}
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
	if job.State.Over() {
		result.Outcome = Repeated
		return
	}
	m.finish(job, Cancelled, cancelled.AtMs, result)
}

// finish moves a job into a final state.
func (m *Machine) finish(job *Job, state JobState, atMs int64, result *Result) {
	if m.pending[job.Route]--; m.pending[job.Route] <= 0 {
		delete(m.pending, job.Route)
	}
	job.finish(state, atMs)
	result.Finished = append(result.Finished, job)
}

// MayStart tells whether the intent to start a run holds in the present state, but for its tenant's share.
func (m *Machine) MayStart(start *Start) bool {
	job := m.jobs[start.Task.Job]
	if job == nil || job.State.Over() || int(start.Task.Step) >= len(job.Spec.Stages) {
		return false
	}
	stage := &job.Spec.Stages[start.Task.Step]
	if int(start.Task.Index) >= stage.Count || start.Task.Time >= job.TimeCount() || !job.StepReady(start.Task.Time, start.Task.Step) {
		return false
	}
	task := job.Task(start.Task)
	if task == nil {
		return true
	}
	return !task.Done && start.Attempt > task.Attempt && (len(task.Placements) == 0 || stage.Speculative)
}

func (m *Machine) start(starts []Start, result *Result) {
	for len(starts) > 0 {
		group := starts[:m.together(starts)]
		if m.withinShare(group) {
			m.startGroup(group, result)
		}
		starts = starts[len(group):]
	}
}

func (m *Machine) startGroup(starts []Start, result *Result) {
	for i := range starts {
		if start := &starts[i]; m.MayStart(start) {
			m.place(start, result)
		}
	}
}

// place takes note of a run that may exist from now on.
func (m *Machine) place(start *Start, result *Result) {
	job := m.jobs[start.Task.Job]
	job.openTime(start.Task.Time)
	task := job.Task(start.Task)
	task.Attempt = start.Attempt
	task.Checkpoint = start.Checkpoint
	task.Placements = append(task.Placements, Placement{Attempt: start.Attempt, Worker: start.Worker})
	job.Runs++
	if job.State == Pending {
		job.State = Running
	}
	m.openWorker(start.Worker).Runs[start.Run] = struct{}{}
	m.quotas.Charge(job.Tenant, job.accelerators(start.Task.Step))
	result.Started = append(result.Started, *start)
	result.touch(job)
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

func (m *Machine) void(runs []Run, result *Result) {
	for _, run := range runs {
		if job := m.jobs[run.Task.Job]; job != nil {
			m.removePlacement(job, run)
			result.touch(job)
		}
	}
}

// removePlacement takes away a run that doesn't exist (any more).
func (m *Machine) removePlacement(job *Job, run Run) {
	task := job.Task(run.Task)
	if task == nil {
		return
	}
	for i, placement := range task.Placements {
		if placement.Attempt != run.Attempt {
			continue
		}
		task.Placements = append(task.Placements[:i], task.Placements[i+1:]...)
		job.Runs--
		m.quotas.Release(job.Tenant, job.accelerators(run.Task.Step))
		if worker := m.workers[placement.Worker]; worker != nil {
			delete(worker.Runs, run)
		}
		job.release()
		return
	}
}

func (m *Machine) end(ended *TasksEnded, result *Result) {
	worker := m.openWorker(ended.Worker)
	for i := range ended.Ends {
		end := &ended.Ends[i]
		if end.Number <= worker.LastSeen {
			continue
		}
		worker.LastSeen = end.Number
		if job := m.jobs[end.Task.Job]; job != nil {
			m.endRun(job, end, result)
			result.touch(job)
		}
	}
}

// endRun takes note of one end.
func (m *Machine) endRun(job *Job, end *End, result *Result) {
	task := job.Task(end.Task)
	if task == nil || end.Attempt > task.Attempt {
		return
	}
	if end.Checkpoint != "" && !job.State.Over() {
		task.Checkpoint = end.Checkpoint
	}
	if !job.State.Over() {
		m.count(job, task, end, result)
	}
	m.removePlacement(job, end.Run)
}

// count takes an end's effect on its task and job, while the job isn't over.
func (m *Machine) count(job *Job, task *Task, end *End, result *Result) {
	stage := &job.Spec.Stages[end.Task.Step]
	if stage.LongRunning {
		return
	}
	switch end.How {
	case Done:
		m.taskDone(job, end, stage.Gang, result)
	case Failed:
		if task.Done {
			return
		}
		if failures := countFailure(job, task, end, stage.Gang); failures >= uint32(max(job.MaxRetries, 1)) {
			m.finish(job, JobFailed, job.AcceptedMs, result)
		}
	}
}

// countFailure counts a failed run, one for a whole gang, and gives how many there are.
func countFailure(job *Job, task *Task, end *End, gang bool) uint32 {
	if !gang {
		task.Failures++
		return task.Failures
	}
	step := &job.Times[end.Task.Time].Steps[end.Task.Step]
	if end.Attempt > step.GangFailed {
		step.GangFailed = end.Attempt
		step.GangFailures++
	}
	return step.GangFailures
}

func (m *Machine) taskDone(job *Job, end *End, gang bool, result *Result) {
	time := job.Times[end.Task.Time]
	step := &time.Steps[end.Task.Step]
	if gang {
		for i := range step.Tasks {
			step.markDone(i)
		}
	} else {
		step.markDone(int(end.Task.Index))
	}
	m.advance(job, result)
}

func (s *Step) markDone(index int) {
	if s.Tasks[index].Done {
		return
	}
	s.Tasks[index].Done = true
	s.Open--
}

// advance completes a job all of whose tasks are done.
func (m *Machine) advance(job *Job, result *Result) {
	if uint32(len(job.Times)) < job.TimeCount() {
		return
	}
	for _, time := range job.Times {
		for i := range time.Steps {
			if time.Steps[i].Open > 0 {
				return
			}
		}
	}
	m.finish(job, Completed, job.AcceptedMs, result)
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
		if job := m.jobs[id]; job != nil && job.State.Over() && job.Runs == 0 {
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
