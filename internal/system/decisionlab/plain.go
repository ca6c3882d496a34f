package decisionlab

import (
	"cmp"
	"slices"
	"time"

	"gaugeslip/internal/system/workerapi"
)

// plainRule is a plain policy: in which order tasks are placed, and where.
type plainRule struct {
	// before orders tasks; those that it takes for equal stay in the order in which their turn came.
	before func(a, b *plainTask) int
	// choose picks one of the workers that have room, of which there is one at least.
	choose func(p *plain, t *plainTask, able []*worker) *worker
}

// plain plays a plain policy. Its starts and the word of ends take as long as the scheduler's; beside that it is better off: it knows at once which
// workers are cut off or have crashed, and no answer of it gets lost. It keeps each task for a worker with room, and moves and copies nothing.
type plain struct {
	*world
	rule    plainRule
	queue   []*plainTask
	turns   int
	claimed map[*worker]Need // room of starts that are on their way
	open    map[*Job][]int   // tasks of each step that aren't done
	out     map[*worker][]*plainTask
	gone    bool // there is no head
	asleep  bool // a dispatch is on its way
}

// plainTask is a task whose turn has come.
type plainTask struct {
	name     taskName
	turn     int
	deadline time.Duration // by what its client says
	attempt  int
	failures int
	done     bool
}

func playPlain(day *Day, luck uint64, rule plainRule) Result {
	p := &plain{world: newWorld(day, luck), rule: rule, claimed: map[*worker]Need{}, open: map[*Job][]int{}, out: map[*worker][]*plainTask{}}
	for _, w := range p.workers {
		w.onDown = func() { p.lostAll(w) }
	}
	for _, job := range day.Jobs {
		p.at(begin+job.At, func() { p.after(p.callDelay()+p.commitDelay(), func() { p.accept(job) }) })
	}
	p.trouble(func(gone bool) {
		p.gone = gone
		p.dispatchSoon()
	})
	for i := range day.Troubles {
		if t := &day.Troubles[i]; t.Kind == TroubleCut && t.To-t.From > p.bounds.MaxHold() {
			p.at(begin+t.From+p.bounds.MaxHold(), func() { p.lapse(t) })
		}
	}
	p.play()
	return p.result
}

func (p *plain) accept(job *Job) {
	for i := range job.Steps {
		p.open[job] = append(p.open[job], len(job.Steps[i].Tasks))
	}
	p.openReady(job, -1)
}

// openReady lets the tasks of those steps wait for room whose turn has come by the end of another, -1 at the begin.
func (p *plain) openReady(job *Job, ended int) {
	for i := range job.Steps {
		depends := job.Steps[i].DependsOn
		ready := !slices.ContainsFunc(depends, func(earlier int) bool { return p.open[job][earlier] > 0 })
		if !ready || ended >= 0 && !slices.Contains(depends, ended) || ended < 0 && len(depends) > 0 {
			continue
		}
		for task := range job.Steps[i].Tasks {
			p.turns++
			p.queue = append(p.queue, &plainTask{name: taskName{job, i, task}, turn: p.turns, deadline: job.said(i)})
		}
	}
	p.dispatchSoon()
}

// said is when a step's tasks are to have ended, by what the job's client says.
func (j *Job) said(step int) time.Duration {
	chain, behind := time.Duration(0), time.Duration(0)
	for i := range j.Spec.Stages {
		chain += j.Spec.Stages[i].Estimated
		if i > step {
			behind += j.Spec.Stages[i].Estimated
		}
	}
	return j.At + milliseconds(j.Class.TargetMs) + time.Duration(max(j.Class.Extension, 1)*float64(chain)) - behind
}

// dispatchSoon places what can be placed once all that happens at this moment has happened.
func (p *plain) dispatchSoon() {
	if p.asleep {
		return
	}
	p.asleep = true
	p.at(p.now, func() {
		p.asleep = false
		p.dispatch()
	})
}

func (p *plain) dispatch() {
	if p.gone {
		return
	}
	slices.SortStableFunc(p.queue, func(a, b *plainTask) int { return cmp.Or(p.rule.before(a, b), cmp.Compare(a.turn, b.turn)) })
	full := map[*Step]bool{}
	p.queue = slices.DeleteFunc(p.queue, func(t *plainTask) bool {
		step := &t.name.job.Steps[t.name.step]
		if full[step] {
			return false
		}
		able := p.able(step)
		if len(able) == 0 {
			full[step] = true
			return false
		}
		p.start(t, p.rule.choose(p, t, able))
		return true
	})
}

// able are the workers that have room for a task of a step: near its data, or else anywhere.
func (p *plain) able(step *Step) []*worker {
	var near, all []*worker
	for _, w := range p.workers {
		if !w.reachable() || !w.suits(step) || !step.Need.fits(w.free.minus(p.claimed[w])) {
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

func (p *plain) start(t *plainTask, w *worker) {
	need := t.name.job.Steps[t.name.step].Need
	p.claimed[w] = p.claimed[w].plus(need)
	t.attempt++
	attempt := t.attempt
	p.out[w] = append(p.out[w], t)
	p.after(p.commitDelay()+p.callDelay(), func() {
		p.claimed[w] = p.claimed[w].minus(need)
		if t.attempt != attempt {
			return
		}
		if !w.reachable() || !need.fits(w.free) {
			p.again(t, w)
			return
		}
		w.start(t.name, attempt, func(r *run, how workerapi.EndReason) { p.heard(t, w, attempt, how) })
	})
}

// heard takes the word of an end once the worker can be heard.
func (p *plain) heard(t *plainTask, w *worker, attempt int, how workerapi.EndReason) {
	if w.cut {
		p.after(100*time.Millisecond, func() { p.heard(t, w, attempt, how) })
		return
	}
	p.after(p.callDelay()+p.commitDelay(), func() {
		if t.attempt == attempt && !t.done {
			p.ended(t, w, how)
		}
	})
}

func (p *plain) ended(t *plainTask, w *worker, how workerapi.EndReason) {
	job := t.name.job
	if how == workerapi.EndFailed {
		t.failures++
	}
	switch {
	case p.over[job]:
		p.forget(t, w)
	case how == workerapi.EndDone:
		p.forget(t, w)
		t.done = true
		p.taskDone(t)
	case t.failures >= job.Class.Retries:
		p.forget(t, w)
		p.failed(job)
		p.queue = slices.DeleteFunc(p.queue, func(other *plainTask) bool { return other.name.job == job })
	default:
		p.again(t, w)
	}
	p.dispatchSoon()
}

func (p *plain) taskDone(t *plainTask) {
	job, step := t.name.job, t.name.step
	p.open[job][step]--
	if p.open[job][step] > 0 {
		return
	}
	if !slices.ContainsFunc(p.open[job], func(left int) bool { return left > 0 }) {
		p.completed(job)
		return
	}
	p.openReady(job, step)
}

// again has a task wait once more.
func (p *plain) again(t *plainTask, w *worker) {
	p.forget(t, w)
	t.attempt++ // whatever is still heard of the run doesn't count
	p.queue = append(p.queue, t)
	p.dispatchSoon()
}

func (p *plain) forget(t *plainTask, w *worker) {
	p.out[w] = slices.DeleteFunc(p.out[w], func(other *plainTask) bool { return other == t })
}

// lostAll has all that ran on a worker wait once more.
func (p *plain) lostAll(w *worker) {
	for _, t := range slices.Clone(p.out[w]) {
		p.again(t, w)
	}
}

// lapse gives up what runs on workers that have been cut off for as long as a hold lasts.
func (p *plain) lapse(t *DrawnTrouble) {
	for _, index := range t.Workers {
		w := p.workers[index]
		w.endAll(workerapi.EndLapsed)
		p.lostAll(w)
	}
}
