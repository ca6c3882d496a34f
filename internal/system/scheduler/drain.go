package scheduler

import "time"

// leave is what is known of a worker's leaving.
type leave struct {
	at    time.Duration // when it is gone at the earliest; 0: it stays
	again bool          // another look is planned
}

const (
	// leaveMargin is what is kept of the time that is left, besides a stop.
	leaveMargin = 700 * time.Millisecond
	// hopeless is how many times the time that is left a run must need to be moved at once though its progress is kept.
	hopelessLeft = 3
	// doubtfulLeft is the same for a run that loses its progress: workers often stay longer than they say.
	doubtfulLeft = 1.3
	// leaveLook is how often the runs of a leaving worker are looked at.
	leaveLook = 250 * time.Millisecond
)

// drain takes note that a worker is to leave, and of how long it surely stays.
func (s *Scheduler) drain(w *worker, remainingMs int64) {
	if !w.draining {
		w.draining = true
		w.leave.at = s.now + s.bounds.DrainTimeout()
	}
	if remainingMs > 0 {
		w.leave.at = s.now + time.Duration(remainingMs)*time.Millisecond
	}
	s.evacuate(w)
}

// evacuate moves the runs that won't end before their worker leaves, and looks again while something runs there.
func (s *Scheduler) evacuate(w *worker) {
	for _, r := range w.list {
		if r.phase == runPresent && !r.stopWanted && s.mustLeave(r) {
			s.move(r)
		}
	}
	if len(w.runs) == 0 || w.leave.again {
		return
	}
	w.leave.again = true
	s.at(s.now+leaveLook, func() {
		w.leave.again = false
		if s.workers[w.life.Instance] == w {
			s.evacuate(w)
		}
	})
}

// mustLeave tells whether it is time to stop a run on a leaving worker: late for those that keep their progress, so that they may still
// end, at once for those that can't end.
func (s *Scheduler) mustLeave(r *run) bool {
	if r.step == nil || r.foreign {
		return false
	}
	left := r.worker.leave.at - s.now
	needed := s.remaining(r)
	justInTime := left <= s.bounds.Stop()+leaveMargin
	switch {
	case r.step.stage.LongRunning:
		return justInTime || s.roomElsewhere(r)
	case needed <= left:
		return false
	case r.step.stage.Checkpoints:
		return justInTime || needed > hopelessLeft*left
	}
	return float64(needed) > doubtfulLeft*float64(left)
}

// roomElsewhere tells whether another worker would take the run's task now.
func (s *Scheduler) roomElsewhere(r *run) bool {
	t := r.task()
	return t != nil && s.best(r.step.service.workers, r.step, t) != nil
}

// move stops a run to start its task elsewhere; a gang moves as a whole.
func (s *Scheduler) move(r *run) {
	r.moved = true
	if t := r.task(); t != nil {
		t.moves++
	}
	if r.step != nil && !r.foreign && r.step.stage.Gang {
		s.stopGang(r.step)
		return
	}
	s.wantStop(r)
}
