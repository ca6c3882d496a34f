package scheduler

import (
	"slices"
	"time"

	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

func (w *simCluster) checkCompleted(j *simJob) {
	for name, task := range j.tasks {
		if !task.done {
			w.violated("MIXED", "%v is not done", name)
		}
	}
}

// checkFailed checks that a failed job had enough failures.
func (w *simCluster) checkFailed(j *simJob) {
	for _, task := range j.tasks {
		failed := 0
		for _, end := range task.ends {
			if end.how == workerapi.EndFailed {
				failed++
			}
		}
		if failed >= j.accepted.MaxRetries || task.stage.spec.Gang && task.step.failed >= j.accepted.MaxRetries {
			return
		}
	}
	w.violated("LOST", "job %v failed without cause", j.id)
}

// checkStopped checks that nothing of a cancelled job still runs in a cluster without faults.
func (w *simCluster) checkStopped(j *simJob) {
	if !w.faultFree {
		return
	}
	for name, task := range j.tasks {
		if len(task.running) > 0 {
			w.violated("UNASKED", "%v still runs", name)
		}
	}
}

// checkBudget looks for a start after the allowed number of failures.
func (w *simCluster) checkBudget(task *simTask) {
	var noted []time.Duration
	for _, end := range task.ends {
		if end.how == workerapi.EndFailed && end.acknowledged && !end.lapsed {
			noted = append(noted, end.at)
		}
	}
	slices.Sort(noted)
	limit := task.job.accepted.MaxRetries
	if len(noted) < limit {
		return
	}
	for _, at := range task.starts {
		if at > noted[limit-1] {
			w.violated("BUDGET", "%v was started after %d failures", task.name, limit)
		}
	}
}

// checkStart checks a start against its job and task.
func (w *simCluster) checkStart(r *simRun, order *workerapi.StartOrder) {
	task, j := r.task, r.task.job
	stage := task.stage.spec
	if order.Spec != j.spec.Text {
		w.violated("UNASKED", "%v carries a different spec", r.name)
	}
	if _, known := task.saved[order.Checkpoint]; order.Checkpoint != "" && !known {
		w.violated("UNASKED", "%v carries a checkpoint of another task: %q", r.name, order.Checkpoint)
	}
	if j.cancelledAt > 0 && w.now > j.cancelledAt+w.bounds.Cancel() {
		w.violated("UNASKED", "%v was cancelled at %v", r.name, j.cancelledAt)
	}
	w.checkOrder(r)
	if len(task.running) > 0 && !stage.Speculative {
		w.violated("TWICE", "%v runs on %s, %v on %s", r.name, r.worker.instance, task.running[0].name, task.running[0].worker.instance)
	}
	task.starts = append(task.starts, w.now)
	for _, end := range task.ends {
		if end.how == workerapi.EndDone && end.acknowledged && !end.lapsed && !stage.LongRunning && !stage.Speculative {
			w.violated("TWICE", "%v was started after it ended as done", r.name)
		}
	}
	if !stage.LongRunning && !stage.Gang {
		w.checkBudget(task)
	}
	if r.worker.drainSince > 0 && w.now > r.worker.drainSince+w.bounds.DrainTimeout() {
		w.violated("DRAIN", "%v", r.name)
	}
}

func (w *simCluster) checkOrder(r *simRun) {
	j := r.task.job
	for _, earlier := range r.task.stage.spec.DependsOn {
		for i := range j.spec.Stages[earlier].Count {
			name := state.TaskName{Job: j.id, Time: r.name.Task.Time, Step: uint32(earlier), Index: uint32(i)}
			if !j.tasks[name].done {
				w.violated("ORDER", "%v was started before %v was done", r.name, name)
			}
		}
	}
	if j.spec.HasSchedule() && w.unixMs()+int64(w.bounds.EarlyMs) < j.spec.DueAt(r.name.Task.Time).Milliseconds() {
		w.violated("ORDER", "%v was started before its due time", r.name)
	}
}

// checkPlace checks a start against its worker.
func (w *simCluster) checkPlace(r *simRun) {
	worker, stage := r.worker, r.task.stage.spec
	if worker.backend != r.task.job.accepted.Service {
		w.violated("ROUTE", "%v was started on a worker of %s", r.name, worker.backend)
	}
	for _, label := range stage.Requirements {
		if !slices.Contains(worker.labels, label) {
			w.violated("ROUTE", "%v was started on a worker without the label %s", r.name, label)
		}
	}
	if !worker.used().fitsInto(worker.capacity) {
		w.violated("LIMIT", "%v on %s: %v is used of %v", r.name, worker.instance, worker.used(), worker.capacity)
	}
	w.checkShare(r)
	held := 0
	for name := range worker.runs {
		if name.Task.Job == r.name.Task.Job && name.Task.Time == r.name.Task.Time && name.Task.Step == r.name.Task.Step {
			held++
		}
	}
	if stage.AntiAffinity > 0 && held > stage.AntiAffinity {
		w.violated("ROUTE", "%v: its step has %d runs on %s", r.name, held, worker.instance)
	}
}
