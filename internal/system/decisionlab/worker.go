package decisionlab

import (
	"slices"
	"time"

	"gaugeslip/internal/system/workerapi"
)

// taskName names one task of a day.
type taskName struct {
	job        *Job
	step, task int
}

// run is one run of a task on a modelled worker.
type run struct {
	name    taskName
	attempt int
	began   time.Duration
	need    Need
	lasts   time.Duration
	// ended is told how it ended; lists of ends are the worker's.
	ended func(r *run, how workerapi.EndReason)
	over  bool
}

// worker is one modelled worker: it runs what fits, for as long as that truly takes there.
type worker struct {
	world  *world
	index  int
	spec   *WorkerSpec
	life   int
	up     bool
	cut    bool
	grey   bool
	slow   float64
	free   Need
	runs   []*run
	agent  *agent // what it shows to a scheduler
	onDown func()
}

// greyPart is the part of its time after which a run fails on a grey worker.
const greyPart = 0.3

func newWorker(w *world, index int) *worker {
	spec := &w.day.Workers[index]
	return &worker{world: w, index: index, spec: spec, up: true, slow: 1, free: spec.Room}
}

// start begins a run; the caller has seen that it fits.
func (w *worker) start(name taskName, attempt int, ended func(*run, workerapi.EndReason)) *run {
	step := &name.job.Steps[name.step]
	r := &run{name: name, attempt: attempt, began: w.world.now, need: step.Need, lasts: w.duration(name), ended: ended}
	w.runs = append(w.runs, r)
	w.free = w.free.minus(r.need)
	w.world.result.Starts++
	how, lasts := workerapi.EndDone, r.lasts
	switch {
	case w.grey:
		how, lasts = workerapi.EndFailed, time.Duration(greyPart*float64(lasts))
	case w.world.failsLeft[name] > 0:
		w.world.failsLeft[name]--
		how = workerapi.EndFailed
	}
	w.world.after(lasts, func() { w.end(r, how) })
	return r
}

// duration is how long a task takes here.
func (w *worker) duration(name taskName) time.Duration {
	step := &name.job.Steps[name.step]
	lasts := float64(step.Tasks[name.task]) / w.spec.Speed * w.slow
	if step.Rack != "" && step.Rack != w.spec.Rack {
		lasts *= w.world.bounds.Far()
	}
	return time.Duration(lasts)
}

// end ends a run that isn't over yet.
func (w *worker) end(r *run, how workerapi.EndReason) {
	if r.over {
		return
	}
	r.over = true
	w.runs = slices.DeleteFunc(w.runs, func(other *run) bool { return other == r })
	w.free = w.free.plus(r.need)
	if how != workerapi.EndDone {
		w.world.wasted(r)
	}
	r.ended(r, how)
}

// wasted takes note of a run's work that was of no use.
func (w *world) wasted(r *run) {
	w.result.WastedCoreSeconds += (w.now - r.began).Seconds() * float64(r.need.CPU) / 1000
}

// endAll ends all runs in one way.
func (w *worker) endAll(how workerapi.EndReason) {
	for _, r := range slices.Clone(w.runs) {
		w.end(r, how)
	}
}

// setCut begins or ends a cut.
func (w *worker) setCut(cut bool) { w.cut = cut }

// setSlow begins or ends slowness; what runs goes on as it is.
func (w *worker) setSlow(slow bool, factor float64) {
	w.slow = 1
	if slow {
		w.slow = factor
	}
}

// setUp ends the worker with all that it runs, or begins its next life.
func (w *worker) setUp(up bool) {
	if up == w.up {
		return
	}
	w.up = up
	if up {
		w.life++
		return
	}
	for _, r := range w.runs {
		r.over = true
		w.world.wasted(r)
	}
	w.runs, w.free = nil, w.spec.Room
	if w.onDown != nil {
		w.onDown()
	}
}

// reachable tells whether the worker hears and is heard.
func (w *worker) reachable() bool { return w.up && !w.cut }

// suits tells whether a task may run here, room apart.
func (w *worker) suits(step *Step) bool {
	return step.Label == "" || slices.Contains(w.spec.Labels, step.Label)
}
