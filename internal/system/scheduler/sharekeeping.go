package scheduler

import "time"

// shareReservation holds a tenant's share back for a step that needs much of it at once. A tenant has one at a time.
type shareReservation struct {
	step *step
	// until is when it ends at the latest; 0 while the share has no room for the step yet.
	until time.Duration
}

const (
	// shareReserveAfter is the part of its slack that a step waits before its tenant's share is kept back for it.
	shareReserveAfter = 4
	// maxShareReserve bounds how long a share that has room for the step stands idle while no workers have room for it; afterwards
	// others go first for a pause. It is also how often a keeping is looked at.
	maxShareReserve   = 2500 * time.Millisecond
	shareReservePause = 1500 * time.Millisecond
	// minReservedAccelerators is the least number of accelerators at once for which a share is kept back: one is found by whoever is first.
	minReservedAccelerators = 2
)

// considerReservingShare keeps a tenant's share back for a step that it has kept back for long enough: from then on nothing of the tenant that has
// a later deadline takes what the step needs.
func (s *Scheduler) considerReservingShare(st *step) {
	if !st.queued || !st.shareBlocked || st.acceleratorsAtOnce() < minReservedAccelerators {
		return
	}
	if from := st.shareReserveFrom(); s.now < from {
		s.planShareReservation(st, from)
		return
	}
	current := s.shares.reservations[st.tenant()]
	if current != nil && current.step.deadline() <= st.deadline() {
		return
	}
	if !s.shareAttainable(st) {
		st.shareReserveNotBefore = s.now + shareReservePause
		return
	}
	s.reserveShare(st)
}

// shareReserveFrom is when a share may be kept back for the step at the earliest.
func (st *step) shareReserveFrom() time.Duration {
	slack := st.deadline() - st.runTime - st.readyAt
	return max(st.readyAt+max(slack/shareReserveAfter, 0), st.shareReserveNotBefore)
}

func (s *Scheduler) planShareReservation(st *step, from time.Duration) {
	if st.shareReservePlanned {
		return
	}
	st.shareReservePlanned = true
	s.runAt(from, func() {
		st.shareReservePlanned = false
		s.considerReservingShare(st)
	})
}

func (s *Scheduler) reserveShare(st *step) {
	kept := &shareReservation{step: st}
	s.shares.reservations[st.tenant()] = kept
	s.shares.released = true // another may have been kept for, with another need
	s.runAt(s.now+maxShareReserve, func() { s.reviewShareReservation(kept) })
}

// reviewShareReservation gives up what came to nothing: the share had room for long enough, or won't have any.
func (s *Scheduler) reviewShareReservation(kept *shareReservation) {
	st := kept.step
	if s.shares.reservations[st.tenant()] != kept {
		return
	}
	if kept.until > 0 && s.now >= kept.until || !s.shareAttainable(st) {
		st.shareReserveNotBefore = s.now + shareReservePause
		s.releaseShare(st)
		return
	}
	next := s.now + maxShareReserve
	if kept.until > 0 {
		next = min(next, kept.until)
	}
	s.runAt(next, func() { s.reviewShareReservation(kept) })
}

// shareAttainable tells whether the step could start once all of its tenant has ended that ever does: if not, nothing is kept back for it.
func (s *Scheduler) shareAttainable(st *step) bool {
	limit := s.machine.Quotas().Limit(st.tenant())
	return st.acceleratorsAtOnce() <= limit-s.longRunningAccelerators(st.tenant()) && s.reservableWorkers(st) != nil
}

// longRunningAccelerators is how many accelerators those runs of a tenant take that don't end by themselves.
func (s *Scheduler) longRunningAccelerators(tenant string) int64 {
	sum := int64(0)
	for _, w := range s.workers {
		for _, r := range w.runList {
			if r.phase.usesCapacity() && r.step != nil && r.step.stage.LongRunning && r.step.tenant() == tenant {
				sum += r.need.GPUs
			}
		}
	}
	return sum
}

// releaseShare ends what was kept back for a step, and has those tried that it kept from starting.
func (s *Scheduler) releaseShare(st *step) {
	if s.shares.reservationFor(st) == nil {
		return
	}
	delete(s.shares.reservations, st.tenant())
	s.shares.released = true
}

// reservationFor gives what is kept back for a step, nil where nothing is.
func (s *shares) reservationFor(st *step) *shareReservation {
	if len(s.reservations) == 0 {
		return nil
	}
	if kept := s.reservations[st.tenant()]; kept != nil && kept.step == st {
		return kept
	}
	return nil
}

// reservedAgainst is how many accelerators are kept from a step for one with an earlier deadline.
func (s *shares) reservedAgainst(st *step) int64 {
	if len(s.reservations) == 0 {
		return 0
	}
	kept := s.reservations[st.tenant()]
	if kept == nil || kept.step == st || st.deadline() < kept.step.deadline() {
		return 0
	}
	return kept.step.acceleratorsAtOnce()
}

// noteShareFit bounds how long a share is kept back from the time on at which it has room for the step.
func (s *Scheduler) noteShareFit(st *step, fits bool) {
	kept := s.shares.reservationFor(st)
	switch {
	case kept == nil:
	case !fits:
		kept.until = 0
	case kept.until == 0:
		kept.until = s.now + maxShareReserve
	}
}
