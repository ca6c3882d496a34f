package decisionlab

import (
	"slices"
	"time"

	"gaugeslip/internal/system/workerapi"
)

// taskID identifies one task of a day.
type taskID struct {
	job        *Job
	step, task int
}

// run is one run of a task on a modelled worker.
type run struct {
	name      taskID
	attempt   int
	startedAt time.Duration
	need      Need
	duration  time.Duration
	// onEnd is called with the reason of the end.
	onEnd    func(r *run, reason workerapi.EndReason)
	finished bool
}

// worker is one modelled worker. It runs what fits, for as long as the work really takes there.
type worker struct {
	world       *world
	index       int
	spec        *WorkerSpec
	incarnation int
	up          bool
	cut         bool
	grey        bool
	slow        float64
	free        Need
	runs        []*run
	agent       *agent // its side of the protocol with a scheduler
	onDown      func()
}

// greyFailurePoint is the fraction of its duration after which a run fails on a grey worker.
const greyFailurePoint = 0.3

func newWorker(w *world, index int) *worker {
	spec := &w.day.Workers[index]
	return &worker{world: w, index: index, spec: spec, up: true, slow: 1, free: spec.Room}
}

// start starts a run. The caller has checked that it fits.
func (w *worker) start(name taskID, attempt int, ended func(*run, workerapi.EndReason)) *run {
	step := &name.job.Steps[name.step]
	r := &run{name: name, attempt: attempt, startedAt: w.world.now, need: step.Need, duration: w.duration(name), onEnd: ended}
	w.runs = append(w.runs, r)
	w.free = w.free.minus(r.need)
	w.world.result.Starts++
	reason, lasts := workerapi.EndDone, r.duration
	switch {
	case w.grey:
		reason, lasts = workerapi.EndFailed, time.Duration(greyFailurePoint*float64(lasts))
	case w.world.failsLeft[name] > 0:
		w.world.failsLeft[name]--
		reason = workerapi.EndFailed
	}
	w.world.after(lasts, func() { w.end(r, reason) })
	return r
}

// duration returns how long a task takes on this worker.
func (w *worker) duration(name taskID) time.Duration {
	step := &name.job.Steps[name.step]
	lasts := float64(step.Tasks[name.task]) / w.spec.Speed * w.slow
	if step.Rack != "" && step.Rack != w.spec.Rack {
		lasts *= w.world.bounds.Far()
	}
	return time.Duration(lasts)
}

// end ends a run unless it has already ended.
func (w *worker) end(r *run, reason workerapi.EndReason) {
	if r.finished {
		return
	}
	r.finished = true
	w.runs = slices.DeleteFunc(w.runs, func(other *run) bool { return other == r })
	w.free = w.free.plus(r.need)
	if reason != workerapi.EndDone {
		w.world.addWaste(r)
	}
	r.onEnd(r, reason)
}

// addWaste counts a run's work as wasted.
func (w *world) addWaste(r *run) {
	w.result.WastedCoreSeconds += (w.now - r.startedAt).Seconds() * float64(r.need.CPU) / 1000
}

// endAll ends all runs with the given reason.
func (w *worker) endAll(reason workerapi.EndReason) {
	for _, r := range slices.Clone(w.runs) {
		w.end(r, reason)
	}
}

// setCut isolates the worker or ends its isolation.
func (w *worker) setCut(cut bool) { w.cut = cut }

// setSlow starts or ends a slowdown. Present runs keep their duration.
func (w *worker) setSlow(slow bool, factor float64) {
	w.slow = 1
	if slow {
		w.slow = factor
	}
}

// setUp stops the worker with all its runs, or starts its next incarnation.
func (w *worker) setUp(up bool) {
	if up == w.up {
		return
	}
	w.up = up
	if up {
		w.incarnation++
		return
	}
	for _, r := range w.runs {
		r.finished = true
		w.world.addWaste(r)
	}
	w.runs, w.free = nil, w.spec.Room
	if w.onDown != nil {
		w.onDown()
	}
}

// reachable reports whether the worker is up and not isolated.
func (w *worker) reachable() bool { return w.up && !w.cut }

// matchesLabel reports whether the worker has the label that the step requires, if any.
func (w *worker) matchesLabel(step *Step) bool {
	return step.Label == "" || slices.Contains(w.spec.Labels, step.Label)
}
