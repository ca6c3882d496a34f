package scheduler

import (
	"time"

	"gaugeslip/policy/sizing"
)

const (
	// maxLanes limits the lanes of one worker in the demand test.
	maxLanes = 64
	// maxLayoutAge is how long a service's ranges are kept while the shares of work by size change.
	maxLayoutAge = 2 * time.Second
	// maxNearWait is how long a task waits at most for capacity near its data.
	maxNearWait = 1500 * time.Millisecond
)

// refreshLayout recomputes the ranges of a service's workers if the number of workers has changed or the ranges are too old.
func (s *Scheduler) refreshLayout(svc *service) {
	if svc.layoutWorkers == len(svc.workers) && s.now-svc.layoutAt < maxLayoutAge && svc.layoutAt > 0 {
		return
	}
	svc.layout = svc.sizes.Layout(len(svc.workers))
	svc.layoutWorkers = len(svc.workers)
	svc.layoutAt = max(s.now, 1)
}

// chooseWorker returns the worker for one task: in the range for its size, then in the neighbouring ones, the best that passes the demand
// test; failing that, the best that has capacity at all. If it returns nil, the task stays queued.
func (s *Scheduler) chooseWorker(st *step, t *task) *worker {
	if last := st.lastChosen; last != nil && s.mayJoinLast(st, t, last) {
		return last
	}
	st.lastChosen = s.searchWorkers(st, t)
	return st.lastChosen
}

// mayJoinLast reports whether a task may join the one of its step that was placed just before. A step is done when its last task is, so
// each further worker that it depends on is one more that may fail or become unreachable.
func (s *Scheduler) mayJoinLast(st *step, t *task, last *worker) bool {
	near := st.stage.Colocation == "" || last.hasLabel(st.stage.Colocation)
	return near && s.feasible(last, st, t) && s.passesDemandTest(st, last)
}

// searchWorkers goes through the workers of the step's service.
func (s *Scheduler) searchWorkers(st *step, t *task) *worker {
	if st.stage.Colocation != "" {
		if near := s.chooseNear(st, t); near != nil || !s.mayRunFar(st) {
			return near
		}
	}
	svc := st.service
	var fallback *worker
	for _, r := range svc.layout.Order(svc.sizes.Range(st.runTime)) {
		w := s.bestWorker(sizing.Workers(svc.layout, r, svc.workers), st, t)
		if w == nil {
			continue
		}
		if s.passesDemandTest(st, w) {
			return w
		}
		if fallback == nil || s.score(w, st) > s.score(fallback, st) {
			fallback = w
		}
	}
	return fallback
}

// bestWorker returns the feasible worker with the highest score for a task; nil if there is none.
func (s *Scheduler) bestWorker(workers []*worker, st *step, t *task) *worker {
	return s.bestAmong(workers, st, func(w *worker) bool { return s.feasible(w, st, t) })
}

// bestAmong returns the allowed worker with the highest score; nil if there is none.
func (s *Scheduler) bestAmong(workers []*worker, st *step, allowed func(*worker) bool) *worker {
	var found *worker
	highest := 0.0
	for _, w := range workers {
		if !allowed(w) {
			continue
		}
		if score := s.score(w, st); found == nil || score > highest {
			found, highest = w, score
		}
	}
	return found
}

// feasible reports whether a task may start on a worker now.
func (s *Scheduler) feasible(w *worker, st *step, t *task) bool {
	if !w.schedulable() || !st.need.fitsInto(w.free()) || !w.hasLabels(st.stage.Requirements) {
		return false
	}
	if st.runsPerWorker != nil && st.runsPerWorker[w] >= st.stage.AntiAffinity {
		return false
	}
	if w.reservedAgainst(st) {
		return false
	}
	if w == t.avoid && s.now < t.avoidUntil {
		return false
	}
	return s.trusted(w, st, t)
}

const (
	timeWeight      = 4.0
	fitWeight       = 1.0
	gpuWastePenalty = 2.0
	suspicionWeight = 3.0
	stepFitWeight   = 1.0
)

// score ranks feasible workers. Fast workers near the data come first, then workers without recent failures, then those that can take most
// of the step's tasks and that the task fills best. Tasks without GPUs avoid GPU workers.
func (s *Scheduler) score(w *worker, st *step) float64 {
	score := -timeWeight * s.dataPenalty(st, w) * w.health.factor()
	score += fitWeight * w.used.plus(st.need).dominantShare(w.capacity)
	score += stepFitWeight * st.stepFit(w)
	score -= suspicionWeight * w.health.suspicion(s.now)
	if st.need.GPUs == 0 && w.capacity.GPUs > 0 {
		score -= gpuWastePenalty
	}
	return score
}

// stepFit returns the fraction of the step's unplaced tasks that a worker can take.
func (st *step) stepFit(w *worker) float64 {
	if st.unplaced <= 1 {
		return 1
	}
	most := st.unplaced
	if st.runsPerWorker != nil {
		most = min(most, st.stage.AntiAffinity-st.runsPerWorker[w])
	}
	return float64(min(most, st.need.fitCount(w.free()))) / float64(st.unplaced)
}

// passesDemandTest reports whether the task would end by its deadline on the worker, given the runs already accepted there.
func (s *Scheduler) passesDemandTest(st *step, w *worker) bool {
	accepted := s.scratch.accepted[:0]
	lanes := st.need.fitCount(w.free())
	for _, r := range w.runList {
		if !r.phase.usesCapacity() {
			continue
		}
		width := r.need.lanesOf(st.need)
		lanes += width
		task := sizing.Task{Remaining: s.remaining(r), Lanes: width, Started: true}
		if r.step != nil {
			task.Deadline = r.step.deadline()
		}
		accepted = append(accepted, task)
	}
	s.scratch.accepted = accepted
	candidate := sizing.Task{Remaining: s.runTimeOn(st, w), Deadline: st.deadline()}
	return s.scratch.demand.Admits(s.now, lanes, accepted, candidate)
}

// chooseNear returns the best worker in the rack of the step's data.
func (s *Scheduler) chooseNear(st *step, t *task) *worker {
	near := func(w *worker) bool { return w.hasLabel(st.stage.Colocation) && s.feasible(w, st, t) }
	return s.bestAmong(st.service.workers, st, near)
}

// mayRunFar reports whether a task may start away from its data: if waiting for capacity near it would take longer, or has lasted too long.
func (s *Scheduler) mayRunFar(st *step) bool {
	if s.now >= st.readyAt+maxNearWait {
		return true
	}
	if st.farAllowedAt > 0 {
		return s.now >= st.farAllowedAt
	}
	wait, ok := s.waitNearData(st)
	far := time.Duration(float64(st.runTime) * s.bounds.Far())
	if !ok || wait+st.runTime >= far {
		return true
	}
	st.farAllowedAt = min(s.now+far-st.runTime, st.readyAt+maxNearWait)
	s.runAt(st.farAllowedAt, func() { s.retryOnAll(st) })
	return false
}

// dataAllows reports whether the step may start on a worker that has capacity now, in view of where its data is.
func (s *Scheduler) dataAllows(st *step, w *worker) bool {
	return st.stage.Colocation == "" || w.hasLabel(st.stage.Colocation) || s.mayRunFar(st)
}

// waitNearData estimates how soon a task of the step finds capacity near its data; ok is false if no worker there can take it.
func (s *Scheduler) waitNearData(st *step) (wait time.Duration, ok bool) {
	for _, w := range st.service.workers {
		if !w.hasLabel(st.stage.Colocation) || !w.schedulable() || !w.hasLabels(st.stage.Requirements) {
			continue
		}
		if soonest, fits := s.waitOn(w, st); fits && (!ok || soonest < wait) {
			wait, ok = soonest, true
		}
	}
	return wait, ok
}

// waitOn estimates how soon the end of one run makes enough capacity for the step on a worker.
func (s *Scheduler) waitOn(w *worker, st *step) (wait time.Duration, fits bool) {
	free := w.free()
	for _, r := range w.runList {
		if !r.phase.usesCapacity() || !st.need.fitsInto(free.plus(r.need)) {
			continue
		}
		if left := s.remaining(r); !fits || left < wait {
			wait, fits = left, true
		}
	}
	return wait, fits
}
