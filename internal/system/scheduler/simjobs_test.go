package scheduler

import (
	"time"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

// simJob is the simulation's record of a job.
type simJob struct {
	id          state.JobID
	spec        *jobspec.Spec
	accepted    state.JobAccepted
	stages      []*simStage
	tasks       map[state.TaskName]*simTask
	steps       map[[2]uint32]*simStep
	cancelledAt time.Duration
	overAt      time.Duration
	state       state.JobState
	mustFail    bool
}

type simStage struct {
	spec *jobspec.Stage
	need Resources
	work time.Duration
}

type simStep struct {
	ownFailures, failed int
}

// simTask is the simulation's record of a task.
type simTask struct {
	job         *simJob
	stage       *simStage
	step        *simStep
	name        state.TaskName
	running     []*simRun
	ends        []*simEnd
	starts      []time.Duration
	done        bool // a run has ended as done
	ownFailures int
	failed      int
	saved       map[string]time.Duration
}

// submit submits a job. ownFailures is how often each task fails through its own fault.
func (w *simCluster) submit(service string, retries int, spec *jobspec.Spec, ownFailures int) *simJob {
	id := state.JobID(w.random.Uint64())
	body, err := spec.Encode()
	if err != nil {
		panic(err)
	}
	j := &simJob{
		id: id, spec: spec, tasks: make(map[state.TaskName]*simTask), steps: make(map[[2]uint32]*simStep),
		mustFail: ownFailures >= retries,
		accepted: state.JobAccepted{
			ID: id, Route: "route-" + service, Service: service, Priority: w.random.IntN(3), MaxRetries: retries,
			Extension: 2, TargetLatencyMs: 1000, AcceptedMs: w.unixMs(), Body: body,
			Tenant: w.randomTenant(),
		},
	}
	for i := range spec.Stages {
		stage := &spec.Stages[i]
		work := time.Duration(float64(stage.Estimated) * (0.6 + 0.8*w.random.Float64()))
		j.stages = append(j.stages, &simStage{spec: stage, need: stageNeed(stage), work: work})
	}
	w.jobs[id] = j
	w.prepareTasks(j, ownFailures)
	w.proposeUntilElected(state.Command{Kind: state.KindJobAccepted, JobAccepted: &j.accepted})
	return j
}

func (w *simCluster) prepareTasks(j *simJob, ownFailures int) {
	for k := range uint32(j.spec.OccurrenceCount()) {
		for s := range j.spec.Stages {
			step := &simStep{ownFailures: ownFailures}
			j.steps[[2]uint32{k, uint32(s)}] = step
			for i := range j.spec.Stages[s].Count {
				name := state.TaskName{Job: j.id, Time: k, Step: uint32(s), Index: uint32(i)}
				j.tasks[name] = &simTask{
					job: j, stage: j.stages[s], step: step, name: name, ownFailures: ownFailures,
					saved: make(map[string]time.Duration),
				}
			}
		}
	}
}

// cancel cancels a job.
func (w *simCluster) cancel(j *simJob) {
	w.proposeUntilElected(state.Command{Kind: state.KindJobCancelled, JobCancelled: &state.JobCancelled{ID: j.id, AtMs: w.unixMs()}})
}

func (w *simCluster) findTask(name state.TaskName) *simTask {
	if j := w.jobs[name.Job]; j != nil {
		return j.tasks[name]
	}
	return nil
}

// noteResult checks job states that a commit has made visible to clients.
func (w *simCluster) noteResult(result state.Result) {
	for _, record := range result.Finished {
		j := w.jobs[record.ID]
		j.state, j.overAt = record.State, w.now
		switch record.State {
		case state.Cancelled:
			j.cancelledAt = w.now
			w.schedule(w.bounds.Cancel()+w.bounds.Stop(), func() { w.checkStopped(j) })
		case state.Completed:
			w.checkCompleted(j)
		case state.JobFailed:
			w.checkFailed(j)
		}
	}
}

// recordEnd records an end when it happens on the worker.
func (w *simCluster) recordEnd(end *simEnd, r *simRun) {
	task := end.task
	task.ends = append(task.ends, end)
	switch end.how {
	case workerapi.EndDone:
		task.done = true
		if task.stage.spec.Gang {
			for name, other := range task.job.tasks {
				if name.Time == task.name.Time && name.Step == task.name.Step {
					other.done = true
				}
			}
		}
	case workerapi.EndFailed:
		task.failed++
		task.step.failed++
	}
}

// checkEndAcknowledged checks the starts of a task against an end that is now acknowledged.
func (w *simCluster) checkEndAcknowledged(end *simEnd) {
	task := end.task
	if end.lapsed || task.stage.spec.Speculative || task.stage.spec.LongRunning {
		return
	}
	if end.how == workerapi.EndDone {
		for _, at := range task.starts {
			if at > end.at {
				w.violated("TWICE", "%v was started after its end", task.name)
			}
		}
	}
	if end.how == workerapi.EndFailed && !task.stage.spec.Gang {
		w.checkBudget(task)
	}
}

func (w *simCluster) savedProgress(task *simTask, text string) time.Duration { return task.saved[text] }

// recordCheckpoint records saved progress.
func (w *simCluster) recordCheckpoint(g *simGang) {
	for _, r := range g.members {
		r.task.saved[g.savedText] = g.saved
		if !g.stage.spec.Gang {
			continue
		}
		for name, other := range r.task.job.tasks {
			if name.Time == r.name.Task.Time && name.Step == r.name.Task.Step {
				other.saved[g.savedText] = g.saved
			}
		}
	}
}
