package scheduler

const (
	// mostFirstLooks bounds the looks that are out at workers which have answered nothing yet: a new head that asks thousands at once has
	// no processor left for the answers, which then come too late, and none for its lease.
	mostFirstLooks = 128
	// fewWorkers are asked all at once: asked in turn they would only keep the head from starting anything for a moment.
	fewWorkers = 640
)

// firstLooks are the looks at workers that have answered no hold of this scheduler.
type firstLooks struct {
	out int
	// fleet is how many workers the last list had.
	fleet int
	// urgent and others wait for their turn: workers on which something may run go before those on which nothing does.
	urgent, others []*worker
}

// firstLooksAtOnce is how many first looks may be out.
func (s *Scheduler) firstLooksAtOnce() int {
	if max(len(s.workers), s.looks.fleet) <= fewWorkers {
		return fewWorkers
	}
	return mostFirstLooks
}

// mayLook tells whether a worker's hold may be sent now. A first look for which there is no place waits for its turn.
func (s *Scheduler) mayLook(w *worker) bool {
	if w.reach != unheard || s.looks.out < s.firstLooksAtOnce() {
		return true
	}
	if w.hold.inTurn {
		return false
	}
	w.hold.inTurn = true
	if len(w.runs) > 0 {
		s.looks.urgent = append(s.looks.urgent, w)
	} else {
		s.looks.others = append(s.looks.others, w)
	}
	return false
}

// firstLookEnded gives the place of a first look to the next worker that waits for one.
func (s *Scheduler) firstLookEnded() {
	s.looks.out--
	for s.looks.out < s.firstLooksAtOnce() {
		w := s.looks.next()
		if w == nil {
			return
		}
		w.hold.inTurn = false
		if s.workers[w.life.Instance] == w {
			s.holdAt(w, s.now)
		}
	}
}

// next takes the worker whose turn has come, nil if none waits.
func (l *firstLooks) next() *worker {
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
