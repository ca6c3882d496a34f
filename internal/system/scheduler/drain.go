package scheduler

import "time"

// departure is what is known of when a draining worker leaves.
type departure struct {
	earliest     time.Duration // earliest time at which it is gone; 0 if it stays
	checkPlanned bool          // the next evacuation check is scheduled
}

const (
	// evacuationMargin is reserved from the remaining time, in addition to the duration of a stop.
	evacuationMargin = 700 * time.Millisecond
	// hopelessFactor is how many times the remaining time a run must need to be moved at once although its progress is saved.
	hopelessFactor = 3
	// doubtfulFactor is the same for a run that loses its progress. It is above 1 because workers often stay longer than announced.
	doubtfulFactor = 1.3
	// evacuationInterval is how often the runs of a draining worker are checked.
	evacuationInterval = 250 * time.Millisecond
)

// drain records that a worker is draining and how long it will certainly stay.
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

// evacuate moves runs that will not end before their worker leaves. It schedules the next check while runs remain.
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

// mustEvacuate reports whether a run on a draining worker has to be stopped now. Runs that keep their progress are stopped as late as
// possible, so that they may still end; runs that cannot end in time are stopped at once.
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

// fitsElsewhere reports whether another worker could take the run's task now.
func (s *Scheduler) fitsElsewhere(r *run) bool {
	t := r.task()
	return t != nil && s.bestWorker(r.step.service.workers, r.step, t) != nil
}

// moveRun stops a run so that its task starts elsewhere. A gang moves as a whole.
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
