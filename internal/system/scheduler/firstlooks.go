package scheduler

const (
	// maxFirstHolds bounds the looks that are out at workers which have answered nothing yet: a new head that asks thousands at once has
	// no processor left for the answers, which then come too late, and none for its lease.
	maxFirstHolds = 128
	// smallFleet are asked all at once: asked in turn they would only keep the head from starting anything for a moment.
	smallFleet = 640
)

// firstHoldQueue are the looks at workers that have answered no hold of this scheduler.
type firstHoldQueue struct {
	inFlight int
	// fleet is how many workers the last list had.
	fleet int
	// urgent and others wait for their turn: workers on which something may run go before those on which nothing does.
	urgent, others []*worker
}

// maxFirstHoldsNow is how many first looks may be out.
func (s *Scheduler) maxFirstHoldsNow() int {
	if max(len(s.workers), s.firstHolds.fleet) <= smallFleet {
		return smallFleet
	}
	return maxFirstHolds
}

// maySendHold tells whether a worker's hold may be sent now. A first look for which there is no place waits for its turn.
func (s *Scheduler) maySendHold(w *worker) bool {
	if w.reach != reachUnheard || s.firstHolds.inFlight < s.maxFirstHoldsNow() {
		return true
	}
	if w.hold.inFirstQueue {
		return false
	}
	w.hold.inFirstQueue = true
	if len(w.runs) > 0 {
		s.firstHolds.urgent = append(s.firstHolds.urgent, w)
	} else {
		s.firstHolds.others = append(s.firstHolds.others, w)
	}
	return false
}

// firstHoldEnded gives the place of a first look to the next worker that waits for one.
func (s *Scheduler) firstHoldEnded() {
	s.firstHolds.inFlight--
	for s.firstHolds.inFlight < s.maxFirstHoldsNow() {
		w := s.firstHolds.next()
		if w == nil {
			return
		}
		w.hold.inFirstQueue = false
		if s.workers[w.identity.Instance] == w {
			s.scheduleHold(w, s.now)
		}
	}
}

// next takes the worker whose turn has come, nil if none waits.
func (l *firstHoldQueue) next() *worker {
	queue := &l.urgent
	if len(*queue) == 0 {
		queue = &l.others
	}
	if len(*queue) == 0 {
		return nil
	}
	w := (*queue)[0]
	*queue = (*queue)[1:]
	return w
}
