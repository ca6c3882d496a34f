package scheduler

import "time"

// keeping holds a tenant's share back for a step that needs much of it at once. A tenant has one at a time.
type keeping struct {
	step *step
	// until is when it ends at the latest; 0 while the share has no room for the step yet.
	until time.Duration
}

const (
	// keepAfter is the part of its slack that a step waits before its tenant's share is kept back for it.
	keepAfter = 4
	// longestKeep bounds how long a share that has room for the step stands idle while no workers have room for it; afterwards
	// others go first for a pause. It is also how often a keeping is looked at.
	longestKeep = 2500 * time.Millisecond
	keepPause   = 1500 * time.Millisecond
	// leastKept is the least number of accelerators at once for which a share is kept back: one is found by whoever is first.
	leastKept = 2
)

// considerKeeping keeps a tenant's share back for a step that it has kept back for long enough: from then on nothing of the tenant that has
// a later deadline takes what the step needs.
func (s *Scheduler) considerKeeping(st *step) {
	if !st.queued || !st.kept || st.atOnce() < leastKept {
		return
	}
	if from := st.keepFrom(); s.now < from {
		s.planKeeping(st, from)
		return
	}
	current := s.shares.keepings[st.tenant()]
	if current != nil && current.step.deadline() <= st.deadline() {
		return
	}
	if !s.attainable(st) {
		st.keepNotBefore = s.now + keepPause
		return
	}
	s.keepShare(st)
}

// keepFrom is when a share may be kept back for the step at the earliest.
func (st *step) keepFrom() time.Duration {
	slack := st.deadline() - st.size - st.readyAt
	return max(st.readyAt+max(slack/keepAfter, 0), st.keepNotBefore)
}

func (s *Scheduler) planKeeping(st *step, from time.Duration) {
	if st.keepPlanned {
		return
	}
	st.keepPlanned = true
	s.at(from, func() {
		st.keepPlanned = false
		s.considerKeeping(st)
	})
}

func (s *Scheduler) keepShare(st *step) {
	kept := &keeping{step: st}
	s.shares.keepings[st.tenant()] = kept
	s.shares.returned = true // another may have been kept for, with another need
	s.at(s.now+longestKeep, func() { s.lookAtKeeping(kept) })
}

// lookAtKeeping gives up what came to nothing: the share had room for long enough, or won't have any.
func (s *Scheduler) lookAtKeeping(kept *keeping) {
	st := kept.step
	if s.shares.keepings[st.tenant()] != kept {
		return
	}
	if kept.until > 0 && s.now >= kept.until || !s.attainable(st) {
		st.keepNotBefore = s.now + keepPause
		s.stopKeeping(st)
		return
	}
	next := s.now + longestKeep
	if kept.until > 0 {
		next = min(next, kept.until)
	}
	s.at(next, func() { s.lookAtKeeping(kept) })
}

// attainable tells whether the step could start once all of its tenant has ended that ever does: if not, nothing is kept back for it.
func (s *Scheduler) attainable(st *step) bool {
	limit := s.machine.Quotas().Limit(st.tenant())
	return st.atOnce() <= limit-s.lasting(st.tenant()) && s.reservable(st) != nil
}

// lasting is how many accelerators those runs of a tenant take that don't end by themselves.
func (s *Scheduler) lasting(tenant string) int64 {
	sum := int64(0)
	for _, w := range s.workers {
		for _, r := range w.list {
			if r.phase.takesRoom() && r.step != nil && r.step.stage.LongRunning && r.step.tenant() == tenant {
				sum += r.need.GPUs
			}
		}
	}
	return sum
}

// stopKeeping ends what was kept back for a step, and has those tried that it kept from starting.
func (s *Scheduler) stopKeeping(st *step) {
	if s.shares.keepingFor(st) == nil {
		return
	}
	delete(s.shares.keepings, st.tenant())
	s.shares.returned = true
}

// keepingFor gives what is kept back for a step, nil where nothing is.
func (s *shares) keepingFor(st *step) *keeping {
	if len(s.keepings) == 0 {
		return nil
	}
	if kept := s.keepings[st.tenant()]; kept != nil && kept.step == st {
		return kept
	}
	return nil
}

// keptFrom is how many accelerators are kept from a step for one with an earlier deadline.
func (s *shares) keptFrom(st *step) int64 {
	if len(s.keepings) == 0 {
		return 0
	}
	kept := s.keepings[st.tenant()]
	if kept == nil || kept.step == st || st.deadline() < kept.step.deadline() {
		return 0
	}
	return kept.step.atOnce()
}

// fitFound bounds how long a share is kept back from the time on at which it has room for the step.
func (s *Scheduler) fitFound(st *step, fits bool) {
	kept := s.shares.keepingFor(st)
	switch {
	case kept == nil:
	case !fits:
		kept.until = 0
	case kept.until == 0:
		kept.until = s.now + longestKeep
	}
}
