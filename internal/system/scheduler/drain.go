package scheduler

import "time"

// leave is what is known of a worker's leaving.
type leave struct {
	at time.Duration // when it is gone at the earliest; 0: not known
}

// drain takes note that a worker is to leave, and of how long it surely stays.
func (s *Scheduler) drain(w *worker, remainingMs int64) {
	if !w.draining {
		w.draining = true
		w.leave.at = s.now + s.bounds.DrainTimeout()
	}
	if remainingMs > 0 {
		w.leave.at = s.now + time.Duration(remainingMs)*time.Millisecond
	}
}
