package scheduler

import (
	"time"

	"gaugeslip/policy/sizing"
)

const (
	// mostLanes bounds the lanes of one worker in the demand test.
	mostLanes = 64
	// layoutAge is how long a service's ranges are kept while the shares of work move.
	layoutAge = 2 * time.Second
	// nearPatience is how long a task waits for room near its data at the most.
	nearPatience = 1500 * time.Millisecond
)

// refreshLayout splits the service's workers into ranges anew where they have changed, or the shares of work may have.
func (s *Scheduler) refreshLayout(svc *service) {
	if svc.layoutFor == len(svc.workers) && s.now-svc.layoutAt < layoutAge && svc.layoutAt > 0 {
		return
	}
	svc.layout = svc.sizes.Layout(len(svc.workers))
	svc.layoutFor = len(svc.workers)
	svc.layoutAt = max(s.now, 1)
}

// choose finds the worker for one task: in its size's range, then in the neighbouring ones, the best that passes the demand test;
// failing that, the best that has room at all. Nil: the task is held.
func (s *Scheduler) choose(st *step, t *task) *worker {
	if last := st.lastChosen; last != nil && s.choosesAgain(st, t, last) {
		return last
	}
	st.lastChosen = s.search(st, t)
	return st.lastChosen
}

// choosesAgain tells whether a task may join the one of its step that was placed just before: a step is done when its last task is, so
// that each further worker that it depends on is one more that may fail or be cut off.
func (s *Scheduler) choosesAgain(st *step, t *task, last *worker) bool {
	near := st.stage.Colocation == "" || last.hasLabel(st.stage.Colocation)
	return near && s.suits(last, st, t) && s.passes(st, last)
}

// search goes through the workers of the step's service.
func (s *Scheduler) search(st *step, t *task) *worker {
	if st.stage.Colocation != "" {
		if near := s.chooseNear(st, t); near != nil || !s.mayGoFar(st) {
			return near
		}
	}
	svc := st.service
	var room *worker
	for _, r := range svc.layout.Order(svc.sizes.Range(st.size)) {
		w := s.best(sizing.Workers(svc.layout, r, svc.workers), st, t)
		if w == nil {
			continue
		}
		if s.passes(st, w) {
			return w
		}
		if room == nil || s.score(w, st) > s.score(room, st) {
			room = w
		}
	}
	return room
}

// best is the worker of highest score that suits a task, nil if none does.
func (s *Scheduler) best(workers []*worker, st *step, t *task) *worker {
	return s.bestAmong(workers, st, func(w *worker) bool { return s.suits(w, st, t) })
}

// bestAmong is the worker of highest score that is allowed, nil if none is.
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

// suits tells whether a task may start on a worker now.
func (s *Scheduler) suits(w *worker, st *step, t *task) bool {
	if !w.open() || !st.need.fitsInto(w.free()) || !w.hasLabels(st.stage.Requirements) {
		return false
	}
	if st.onWorker != nil && st.onWorker[w] >= st.stage.AntiAffinity {
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
	timeWeight     = 4.0
	fitWeight      = 1.0
	gpuWaste       = 2.0
	suspectWeight  = 3.0
	togetherWeight = 1.0
)

// score ranks workers that suit: fast and near first, then sound ones, then those that take most of the step's tasks and that the task
// fills best. GPUs are kept for tasks that need them.
func (s *Scheduler) score(w *worker, st *step) float64 {
	score := -timeWeight * s.distance(st, w) * w.health.factor()
	score += fitWeight * w.used.plus(st.need).shareOf(w.room)
	score += togetherWeight * st.togetherOn(w)
	score -= suspectWeight * w.health.suspicion(s.now)
	if st.need.GPUs == 0 && w.room.GPUs > 0 {
		score -= gpuWaste
	}
	return score
}

// togetherOn is the part of the step's tasks still to be placed that a worker can take.
func (st *step) togetherOn(w *worker) float64 {
	if st.unplaced <= 1 {
		return 1
	}
	most := st.unplaced
	if st.onWorker != nil {
		most = min(most, st.stage.AntiAffinity-st.onWorker[w])
	}
	return float64(min(most, st.need.times(w.free()))) / float64(st.unplaced)
}

// passes is the demand test: whether the task, counting from now through what is accepted on the worker, ends by its deadline.
func (s *Scheduler) passes(st *step, w *worker) bool {
	accepted := s.scratch.accepted[:0]
	lanes := st.need.times(w.free())
	for _, r := range w.list {
		if !r.phase.takesRoom() {
			continue
		}
		width := r.need.width(st.need)
		lanes += width
		task := sizing.Task{Remaining: s.remaining(r), Lanes: width, Started: true}
		if r.step != nil {
			task.Deadline = r.step.deadline()
		}
		accepted = append(accepted, task)
	}
	s.scratch.accepted = accepted
	candidate := sizing.Task{Remaining: s.duration(st, w), Deadline: st.deadline()}
	return s.scratch.demand.Admits(s.now, lanes, accepted, candidate)
}

// chooseNear finds the best worker in the rack of the step's data.
func (s *Scheduler) chooseNear(st *step, t *task) *worker {
	near := func(w *worker) bool { return w.hasLabel(st.stage.Colocation) && s.suits(w, st, t) }
	return s.bestAmong(st.service.workers, st, near)
}

// mayGoFar tells whether a task may start away from its data: when waiting for room near it costs more, or has lasted too long.
func (s *Scheduler) mayGoFar(st *step) bool {
	if s.now >= st.readyAt+nearPatience {
		return true
	}
	if st.farAt > 0 {
		return s.now >= st.farAt
	}
	wait, any := s.nearRoom(st)
	far := time.Duration(float64(st.size) * s.bounds.Far())
	if !any || wait+st.size >= far {
		return true
	}
	st.farAt = min(s.now+far-st.size, st.readyAt+nearPatience)
	s.at(st.farAt, func() { s.tryAgain(st) })
	return false
}

// nearEnough tells whether the step may be started on a worker that has room now.
func (s *Scheduler) nearEnough(st *step, w *worker) bool {
	return st.stage.Colocation == "" || w.hasLabel(st.stage.Colocation) || s.mayGoFar(st)
}

// nearRoom estimates how soon a task of the step finds room near its data; false: there is no worker for it.
func (s *Scheduler) nearRoom(st *step) (wait time.Duration, any bool) {
	for _, w := range st.service.workers {
		if !w.hasLabel(st.stage.Colocation) || !w.open() || !w.hasLabels(st.stage.Requirements) {
			continue
		}
		if soonest, fits := s.roomOn(w, st); fits && (!any || soonest < wait) {
			wait, any = soonest, true
		}
	}
	return wait, any
}

// roomOn estimates how soon one run's end makes room for the step on a worker.
func (s *Scheduler) roomOn(w *worker, st *step) (wait time.Duration, fits bool) {
	free := w.free()
	for _, r := range w.list {
		if !r.phase.takesRoom() || !st.need.fitsInto(free.plus(r.need)) {
			continue
		}
		if left := s.remaining(r); !fits || left < wait {
			wait, fits = left, true
		}
	}
	return wait, fits
}
