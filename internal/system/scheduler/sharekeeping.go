package scheduler

import "time"

// shareReservation keeps part of a tenant's share of accelerators for a step that needs several at once. A tenant has at most one.
type shareReservation struct {
	step *step
	// until is when the reservation ends at the latest; 0 while the share cannot take the step yet.
	until time.Duration
}

const (
	// shareReserveAfter is the divisor of a step's slack: the step waits that fraction of it before its tenant's share is reserved.
	shareReserveAfter = 4
	// maxShareReserve limits how long a share that could take the step stays idle while no workers have capacity for it. After that others
	// go first for shareReservePause. It is also how often a reservation is reviewed.
	maxShareReserve   = 2500 * time.Millisecond
	shareReservePause = 1500 * time.Millisecond
	// minReservedAccelerators is the least number of accelerators needed at once for which a share is reserved. A single one goes to the
	// first step that can use it.
	minReservedAccelerators = 2
)

// considerReservingShare reserves a tenant's share for a step that has been blocked by it for long enough. From then on no step of the
// tenant with a later deadline can take what this step needs.
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

// shareReserveFrom returns the earliest time at which a share may be reserved for the step.
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
	reservation := &shareReservation{step: st}
	s.shares.reservations[st.tenant()] = reservation
	s.shares.released = true // the previous reservation may have been for another step, with another need
	s.runAt(s.now+maxShareReserve, func() { s.reviewShareReservation(reservation) })
}

// reviewShareReservation ends a reservation that was not used: the share could take the step for long enough, or never will.
func (s *Scheduler) reviewShareReservation(reservation *shareReservation) {
	st := reservation.step
	if s.shares.reservations[st.tenant()] != reservation {
		return
	}
	if reservation.until > 0 && s.now >= reservation.until || !s.shareAttainable(st) {
		st.shareReserveNotBefore = s.now + shareReservePause
		s.releaseShare(st)
		return
	}
	next := s.now + maxShareReserve
	if reservation.until > 0 {
		next = min(next, reservation.until)
	}
	s.runAt(next, func() { s.reviewShareReservation(reservation) })
}

// shareAttainable reports whether the step could start once all runs of its tenant that end by themselves have ended. If not, no share is
// reserved for it.
func (s *Scheduler) shareAttainable(st *step) bool {
	limit := s.machine.Quotas().Limit(st.tenant())
	return st.acceleratorsAtOnce() <= limit-s.longRunningAccelerators(st.tenant()) && s.reservableWorkers(st) != nil
}

// longRunningAccelerators returns how many accelerators a tenant's long-running tasks take; these do not end by themselves.
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

// releaseShare ends the reservation for a step, and has the steps tried that it blocked.
func (s *Scheduler) releaseShare(st *step) {
	if s.shares.reservationFor(st) == nil {
		return
	}
	delete(s.shares.reservations, st.tenant())
	s.shares.released = true
}

// reservationFor returns the reservation for a step; nil if there is none.
func (s *shares) reservationFor(st *step) *shareReservation {
	if len(s.reservations) == 0 {
		return nil
	}
	if reservation := s.reservations[st.tenant()]; reservation != nil && reservation.step == st {
		return reservation
	}
	return nil
}

// reservedAgainst returns how many accelerators are reserved for another step with an earlier deadline, and so are not available to st.
func (s *shares) reservedAgainst(st *step) int64 {
	if len(s.reservations) == 0 {
		return 0
	}
	reservation := s.reservations[st.tenant()]
	if reservation == nil || reservation.step == st || st.deadline() < reservation.step.deadline() {
		return 0
	}
	return reservation.step.acceleratorsAtOnce()
}

// noteShareFit sets when a reservation ends, counted from when the share first can take the step.
func (s *Scheduler) noteShareFit(st *step, fits bool) {
	reservation := s.shares.reservationFor(st)
	switch {
	case reservation == nil:
	case !fits:
		reservation.until = 0
	case reservation.until == 0:
		reservation.until = s.now + maxShareReserve
	}
}
