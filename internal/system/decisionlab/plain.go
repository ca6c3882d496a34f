package decisionlab

import (
	"cmp"
	"slices"
	"time"

	"gaugeslip/internal/system/workerapi"
)

// baselineRule defines a baseline policy: the order in which tasks are placed, and the worker for each.
type baselineRule struct {
	// before compares tasks. Equal ones stay in the order in which they became ready.
	before func(a, b *baselineTask) int
	// choose picks one of the workers that have capacity, of which there is at least one.
	choose func(p *baseline, t *baselineTask, able []*worker) *worker
}

// baseline plays a baseline policy. Its starts and the reports of ends take as long as the scheduler's. Otherwise it has advantages: it knows
// at once which workers are isolated or have crashed, and none of its answers is lost. It keeps each task for a worker with capacity, and
// neither moves nor copies tasks.
type baseline struct {
	*world
	rule            baselineRule
	queue           []*baselineTask
	lastSequence    int
	reserved        map[*worker]Need // capacity for pending starts
	remaining       map[*Job][]int   // number of tasks of each step that are not done
	assigned        map[*worker][]*baselineTask
	headDown        bool
	dispatchPending bool
}

// baselineTask is a task that is ready.
type baselineTask struct {
	name     taskID
	sequence int
	deadline time.Duration // by the client's estimates
	attempt  int
	failures int
	done     bool
}

func playBaseline(day *Day, delaySeed uint64, rule baselineRule) Result {
	p := &baseline{world: newWorld(day, delaySeed), rule: rule, reserved: map[*worker]Need{},
		remaining: map[*Job][]int{}, assigned: map[*worker][]*baselineTask{}}
	for _, w := range p.workers {
		w.onDown = func() { p.requeueAll(w) }
	}
	for _, job := range day.Jobs {
		p.schedule(dayStart+job.At, func() { p.after(p.callDelay()+p.commitDelay(), func() { p.accept(job) }) })
	}
	p.scheduleTroubles(func(down bool) {
		p.headDown = down
		p.scheduleDispatch()
	})
	for i := range day.Troubles {
		if t := &day.Troubles[i]; t.Kind == TroubleCut && t.To-t.From > p.bounds.MaxHold() {
			p.schedule(dayStart+t.From+p.bounds.MaxHold(), func() { p.expireHolds(t) })
		}
	}
	p.run()
	return p.result
}

func (p *baseline) accept(job *Job) {
	for i := range job.Steps {
		p.remaining[job] = append(p.remaining[job], len(job.Steps[i].Tasks))
	}
	p.enqueueReadySteps(job, -1)
}

// enqueueReadySteps queues the tasks of the steps that have become ready by the end of step ended, or at the job's arrival if ended is -1.
func (p *baseline) enqueueReadySteps(job *Job, ended int) {
	for i := range job.Steps {
		depends := job.Steps[i].DependsOn
		ready := !slices.ContainsFunc(depends, func(earlier int) bool { return p.remaining[job][earlier] > 0 })
		if !ready || ended >= 0 && !slices.Contains(depends, ended) || ended < 0 && len(depends) > 0 {
			continue
		}
		for task := range job.Steps[i].Tasks {
			p.lastSequence++
			p.queue = append(p.queue, &baselineTask{name: taskID{job, i, task}, sequence: p.lastSequence, deadline: job.estimatedDeadline(i)})
		}
	}
	p.scheduleDispatch()
}

// estimatedDeadline returns the time by which a step's tasks should have ended, by the client's estimates.
func (j *Job) estimatedDeadline(step int) time.Duration {
	chain, behind := time.Duration(0), time.Duration(0)
	for i := range j.Spec.Stages {
		chain += j.Spec.Stages[i].Estimated
		if i > step {
			behind += j.Spec.Stages[i].Estimated
		}
	}
	return j.At + milliseconds(j.Class.TargetMs) + time.Duration(max(j.Class.Extension, 1)*float64(chain)) - behind
}

// scheduleDispatch schedules a dispatch after the other events of the present time.
func (p *baseline) scheduleDispatch() {
	if p.dispatchPending {
		return
	}
	p.dispatchPending = true
	p.schedule(p.now, func() {
		p.dispatchPending = false
		p.dispatch()
	})
}

func (p *baseline) dispatch() {
	if p.headDown {
		return
	}
	slices.SortStableFunc(p.queue, func(a, b *baselineTask) int { return cmp.Or(p.rule.before(a, b), cmp.Compare(a.sequence, b.sequence)) })
	full := map[*Step]bool{}
	p.queue = slices.DeleteFunc(p.queue, func(t *baselineTask) bool {
		step := &t.name.job.Steps[t.name.step]
		if full[step] {
			return false
		}
		able := p.candidates(step)
		if len(able) == 0 {
			full[step] = true
			return false
		}
		p.start(t, p.rule.choose(p, t, able))
		return true
	})
}

// candidates returns the workers with capacity for a task of a step: those near its data or, if there are none, all.
func (p *baseline) candidates(step *Step) []*worker {
	var near, all []*worker
	for _, w := range p.workers {
		if !w.reachable() || !w.matchesLabel(step) || !step.Need.fitsIn(w.free.minus(p.reserved[w])) {
			continue
		}
		all = append(all, w)
		if step.Rack != "" && w.spec.Rack == step.Rack {
			near = append(near, w)
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}

func (p *baseline) start(t *baselineTask, w *worker) {
	need := t.name.job.Steps[t.name.step].Need
	p.reserved[w] = p.reserved[w].plus(need)
	t.attempt++
	attempt := t.attempt
	p.assigned[w] = append(p.assigned[w], t)
	p.after(p.commitDelay()+p.callDelay(), func() {
		p.reserved[w] = p.reserved[w].minus(need)
		if t.attempt != attempt {
			return
		}
		if !w.reachable() || !need.fitsIn(w.free) {
			p.requeue(t, w)
			return
		}
		w.start(t.name, attempt, func(r *run, reason workerapi.EndReason) { p.reportEnd(t, w, attempt, reason) })
	})
}

// reportEnd reports the end of a run after a delay, once the worker is not isolated.
func (p *baseline) reportEnd(t *baselineTask, w *worker, attempt int, reason workerapi.EndReason) {
	if w.cut {
		p.after(100*time.Millisecond, func() { p.reportEnd(t, w, attempt, reason) })
		return
	}
	p.after(p.callDelay()+p.commitDelay(), func() {
		if t.attempt == attempt && !t.done {
			p.handleEnd(t, w, reason)
		}
	})
}

func (p *baseline) handleEnd(t *baselineTask, w *worker, reason workerapi.EndReason) {
	job := t.name.job
	if reason == workerapi.EndFailed {
		t.failures++
	}
	switch {
	case p.finished[job]:
		p.unassign(t, w)
	case reason == workerapi.EndDone:
		p.unassign(t, w)
		t.done = true
		p.taskDone(t)
	case t.failures >= job.Class.Retries:
		p.unassign(t, w)
		p.failed(job)
		p.queue = slices.DeleteFunc(p.queue, func(other *baselineTask) bool { return other.name.job == job })
	default:
		p.requeue(t, w)
	}
	p.scheduleDispatch()
}

func (p *baseline) taskDone(t *baselineTask) {
	job, step := t.name.job, t.name.step
	p.remaining[job][step]--
	if p.remaining[job][step] > 0 {
		return
	}
	if !slices.ContainsFunc(p.remaining[job], func(left int) bool { return left > 0 }) {
		p.completed(job)
		return
	}
	p.enqueueReadySteps(job, step)
}

// requeue puts a task back into the queue.
func (p *baseline) requeue(t *baselineTask, w *worker) {
	p.unassign(t, w)
	t.attempt++ // ignore later reports of the run
	p.queue = append(p.queue, t)
	p.scheduleDispatch()
}

func (p *baseline) unassign(t *baselineTask, w *worker) {
	p.assigned[w] = slices.DeleteFunc(p.assigned[w], func(other *baselineTask) bool { return other == t })
}

// requeueAll puts all tasks of a worker back into the queue.
func (p *baseline) requeueAll(w *worker) {
	for _, t := range slices.Clone(p.assigned[w]) {
		p.requeue(t, w)
	}
}

// expireHolds ends the runs of workers that have been isolated for as long as a hold lasts.
func (p *baseline) expireHolds(t *DrawnTrouble) {
	for _, index := range t.Workers {
		w := p.workers[index]
		w.endAll(workerapi.EndLapsed)
		p.requeueAll(w)
	}
}
