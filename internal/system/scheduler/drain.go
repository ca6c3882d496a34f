package scheduler

import "time"

// departure is what is known of a worker's leaving.
type departure struct {
	earliest     time.Duration // when it is gone at the earliest; 0: it stays
	checkPlanned bool          // another look is planned
}

const (
	// evacuationMargin is what is kept of the time that is left, besides a stop.
	evacuationMargin = 700 * time.Millisecond
	// hopeless is how many times the time that is left a run must need to be moved at once though its progress is kept.
	hopelessFactor = 3
	// doubtfulFactor is the same for a run that loses its progress: workers often stay longer than they say.
	doubtfulFactor = 1.3
	// evacuationInterval is how often the runs of a leaving worker are looked at.
	evacuationInterval = 250 * time.Millisecond
)

// drain takes note that a worker is to leave, and of how long it surely stays.
func (s *Scheduler) drain(w *worker, remainingMs int64) {
	if !w.draining {
		w.draining = true
		w.departure.earliest = s.now + s.bounds.DrainTimeout()
	}
	if remainingMs > 0 {
		w.departure.earliest = s.now + time.Duration(remainingMs)*time.Millisecond
	}
	s.evacuate(w)
}

// evacuate moves the runs that won't end before their worker leaves, and looks again while something runs there.
func (s *Scheduler) evacuate(w *worker) {
	for _, r := range w.runList {
		if r.phase == runPresent && !r.stopWanted && s.mustEvacuate(r) {
			s.moveRun(r)
		}
	}
	if len(w.runs) == 0 || w.departure.checkPlanned {
		return
	}
	w.departure.checkPlanned = true
	s.runAt(s.now+evacuationInterval, func() {
		w.departure.checkPlanned = false
		if s.workers[w.identity.Instance] == w {
			s.evacuate(w)
		}
	})
}

// mustEvacuate tells whether it is time to stop a run on a leaving worker: late for those that keep their progress, so that they may still
// end, at once for those that can't end.
func (s *Scheduler) mustEvacuate(r *run) bool {
	if r.step == nil || r.foreign {
		return false
	}
	left := r.worker.departure.earliest - s.now
	needed := s.remaining(r)
	justInTime := left <= s.bounds.Stop()+evacuationMargin
	switch {
	case r.step.stage.LongRunning:
		return justInTime || s.fitsElsewhere(r)
	case needed <= left:
		return false
	case r.step.stage.Checkpoints:
		return justInTime || needed > hopelessFactor*left
	}
	return float64(needed) > doubtfulFactor*float64(left)
}

// fitsElsewhere tells whether another worker would take the run's task now.
func (s *Scheduler) fitsElsewhere(r *run) bool {
	t := r.task()
	return t != nil && s.bestWorker(r.step.service.workers, r.step, t) != nil
}

// moveRun stops a run to start its task elsewhere; a gang moves as a whole.
func (s *Scheduler) moveRun(r *run) {
	r.moved = true
	if t := r.task(); t != nil {
		t.moves++
	}
	if r.step != nil && !r.foreign && r.step.stage.Gang {
		s.stopGang(r.step)
		return
	}
	s.requestStop(r)
}
