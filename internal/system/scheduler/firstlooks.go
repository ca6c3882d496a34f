package scheduler

const (
	// maxFirstHolds limits the holds in flight to workers that have not answered any yet. If a new head contacts thousands at once, it has
	// no processor time left for the answers, which then come too late, nor for renewing its lease.
	maxFirstHolds = 128
	// smallFleet is the number of workers up to which all are contacted at once. Contacting them in turn would only delay the first starts.
	smallFleet = 640
)

// firstHoldQueue holds the workers that have not answered a hold of this scheduler and wait to be sent one.
type firstHoldQueue struct {
	inFlight int
	// fleet is how many workers the last list had.
	fleet int
	// urgent and others wait for their turn. Workers on which runs may exist go first.
	urgent, others []*worker
}

// maxFirstHoldsNow returns how many first holds may be in flight.
func (s *Scheduler) maxFirstHoldsNow() int {
	if max(len(s.workers), s.firstHolds.fleet) <= smallFleet {
		return smallFleet
	}
	return maxFirstHolds
}

// maySendHold reports whether a worker's hold may be sent now. If the limit of first holds is reached, the worker is queued.
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

// firstHoldEnded lets the next queued workers send their first hold.
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

// next removes and returns the worker whose turn it is; nil if none waits.
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
