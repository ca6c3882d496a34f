package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// reservation keeps capacity that is freed on some workers for a queued step that needs much of it at once. A service has at most one at a
// time.
type reservation struct {
	step    *step
	workers []*worker
	until   time.Duration
	// notBefore is when the next reservation may be made. In between, other queued steps get their turn.
	notBefore time.Duration
}

const (
	// reserveAfter is the divisor of a step's slack: the step waits that fraction of it before workers are reserved.
	reserveAfter = 4
	// maxReserve limits how long capacity may stay idle for a step.
	maxReserve   = 2500 * time.Millisecond
	reservePause = 1500 * time.Millisecond
)

// considerReservingWorkers reserves workers for a large step that cannot be placed and has waited long enough.
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

// isLarge reports whether a step may starve behind smaller ones: a gang, or a step whose tasks take more than half of a worker.
func (st *step) isLarge() bool {
	if st.stage.Gang {
		return true
	}
	for _, w := range st.service.workers {
		return 2*st.need.CPU > w.capacity.CPU || 2*st.need.MemoryMb > w.capacity.MemoryMb || st.need.GPUs > 0 && 2*st.need.GPUs > w.capacity.GPUs
	}
	return false
}

// reservableWorkers returns the workers that will have capacity for the step soonest, enough for a whole gang or for one task; nil if there
// are not enough.
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
	needed := 1
	if st.stage.Gang {
		needed = len(st.tasks)
	}
	var workers []*worker
	for _, offer := range offers {
		fits := st.need.fitCount(offer.worker.capacity)
		if st.stage.AntiAffinity > 0 {
			fits = min(fits, st.stage.AntiAffinity)
		}
		workers = append(workers, offer.worker)
		if needed -= fits; needed <= 0 {
			return workers
		}
	}
	return nil
}

// timeToEmpty estimates how soon all runs on a worker have ended.
func (s *Scheduler) timeToEmpty(w *worker) time.Duration {
	longest := time.Duration(0)
	for _, r := range w.runList {
		if r.phase.usesCapacity() {
			longest = max(longest, s.remaining(r))
		}
	}
	return longest
}

// releaseWorkers ends a service's reservation.
func (s *Scheduler) releaseWorkers(svc *service) {
	for _, w := range svc.reserved.workers {
		w.reservedFor = nil
		s.capacityFreed(w)
	}
	svc.reserved = reservation{notBefore: s.now + reservePause}
}

// reservedAgainst reports whether the worker is reserved for another step that goes before this one.
func (w *worker) reservedAgainst(st *step) bool {
	holder := w.reservedFor
	return holder != nil && holder != st && (!st.queued || holder.ticket.Deadline <= st.ticket.Deadline)
}
