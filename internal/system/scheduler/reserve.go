package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// reservation keeps room that is freed on some workers for a held step that needs much of it at once. A service has one at a time.
type reservation struct {
	step    *step
	workers []*worker
	until   time.Duration
	// notBefore is when the next may be made: in between, what was held back leaves.
	notBefore time.Duration
}

const (
	// reserveAfter is the part of its slack that a step waits before room is kept for it.
	reserveAfter = 4
	// maxReserve bounds how long room may stand idle for it.
	maxReserve   = 2500 * time.Millisecond
	reservePause = 1500 * time.Millisecond
)

// considerReservingWorkers keeps room for a step that can't be placed and has waited for long enough.
func (s *Scheduler) considerReservingWorkers(st *step) {
	svc := st.service
	if svc.reserved.step != nil || s.now < svc.reserved.notBefore || !st.isLarge() {
		return
	}
	slack := st.deadline() - st.runTime - st.readyAt
	if s.now < st.readyAt+min(max(slack/reserveAfter, 0), maxReserve) {
		return
	}
	workers := s.reservableWorkers(st)
	if workers == nil {
		return
	}
	svc.reserved.step, svc.reserved.workers = st, workers
	svc.reserved.until = s.now + maxReserve
	for _, w := range workers {
		w.reservedFor = st
	}
	s.runAt(svc.reserved.until, func() {
		if svc.reserved.step == st && s.now >= svc.reserved.until {
			s.releaseWorkers(svc)
		}
	})
}

// isLarge tells whether a step may starve behind smaller ones: gangs, and tasks that take half of a worker.
func (st *step) isLarge() bool {
	if st.stage.Gang {
		return true
	}
	for _, w := range st.service.workers {
		return 2*st.need.CPU > w.capacity.CPU || 2*st.need.MemoryMb > w.capacity.MemoryMb || st.need.GPUs > 0 && 2*st.need.GPUs > w.capacity.GPUs
	}
	return false
}

// reservableWorkers finds the workers that have room for the step soonest, enough for a whole gang or for one task.
func (s *Scheduler) reservableWorkers(st *step) []*worker {
	type offer struct {
		worker *worker
		soon   time.Duration
	}
	var offers []offer
	for _, w := range st.service.workers {
		if w.schedulable() && w.hasLabels(st.stage.Requirements) && st.need.fitsInto(w.capacity) && s.trusted(w, st, &st.tasks[0]) {
			offers = append(offers, offer{w, s.timeToEmpty(w)})
		}
	}
	slices.SortStableFunc(offers, func(a, b offer) int { return cmp.Compare(a.soon, b.soon) })
	wanted := 1
	if st.stage.Gang {
		wanted = len(st.tasks)
	}
	var workers []*worker
	for _, offer := range offers {
		fits := st.need.fitCount(offer.worker.capacity)
		if st.stage.AntiAffinity > 0 {
			fits = min(fits, st.stage.AntiAffinity)
		}
		workers = append(workers, offer.worker)
		if wanted -= fits; wanted <= 0 {
			return workers
		}
	}
	return nil
}

// timeToEmpty estimates how soon all that runs on a worker has ended.
func (s *Scheduler) timeToEmpty(w *worker) time.Duration {
	longest := time.Duration(0)
	for _, r := range w.runList {
		if r.phase.usesCapacity() {
			longest = max(longest, s.remaining(r))
		}
	}
	return longest
}

// releaseWorkers gives up a service's reservation.
func (s *Scheduler) releaseWorkers(svc *service) {
	for _, w := range svc.reserved.workers {
		w.reservedFor = nil
		s.capacityFreed(w)
	}
	svc.reserved = reservation{notBefore: s.now + reservePause}
}

// reservedAgainst tells whether the worker's room is kept for a step that goes before this one.
func (w *worker) reservedAgainst(st *step) bool {
	kept := w.reservedFor
	return kept != nil && kept != st && (!st.queued || kept.ticket.Deadline <= st.ticket.Deadline)
}
