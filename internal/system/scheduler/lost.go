package scheduler

import (
	"time"

	"gaugeslip/internal/system/state"
)

const (
	// holdStretch is by how much longer than stated a hold may last, since workers' clocks may be slow.
	holdStretch = 1.03
	lossMargin  = 200 * time.Millisecond
)

// lossBound is when the holds of all that may run on a worker have surely run out, if it can't be reached: those that a predecessor
// renewed, and the highest due time of this scheduler, which holds also for calls that are carried out late.
func (s *Scheduler) lossBound(w *worker) time.Duration {
	bound := s.started + time.Duration(holdStretch*float64(s.bounds.MaxHold()))
	if w.clock.known && w.highestDue > 0 {
		bound = max(bound, w.clock.surelyPast(w.highestDue))
	}
	return bound + lossMargin
}

// checkLoss gives up what runs on a worker out of reach once its holds have surely run out.
func (s *Scheduler) checkLoss(w *worker) {
	if w.losing || w.reach == answering || w.reach == over || len(w.runs) == 0 {
		return
	}
	if w.reach == unheard && w.life.Address != "" && w.hold.failures == 0 {
		return // it hasn't been asked yet
	}
	bound := s.lossBound(w)
	if s.now < bound {
		if w.hold.lossAt != bound {
			w.hold.lossAt = bound
			s.at(bound, func() { s.checkLoss(w) })
		}
		return
	}
	s.lose(w)
}

// lose proposes that nothing runs any more of what ran on a worker.
func (s *Scheduler) lose(w *worker) {
	if w.losing {
		return
	}
	w.losing = true
	s.propose(state.Command{Kind: state.KindWorkerLost, WorkerLost: w.life.Instance})
}

// lifeOver takes note that another life is at the worker's address.
func (s *Scheduler) lifeOver(w *worker) {
	if w.reach == over {
		return
	}
	w.reach = over
	if len(w.runs) > 0 || s.machine.Worker(w.life.Instance) != nil {
		s.lose(w)
	}
}

// lossCommitted takes in the commit of a worker's loss. A life that is still there is asked anew: what it lists is foreign.
func (s *Scheduler) lossCommitted(instance string) {
	w := s.workers[instance]
	if w == nil {
		return
	}
	w.losing = false
	if w.reach != over {
		w.reach = unheard
	}
	names := s.scratch.names[:0]
	for i := len(w.list) - 1; i >= 0; i-- {
		r := w.list[i]
		names = append(names, r.name)
		s.spoiled(r, PartLost)
		s.drop(r)
	}
	w.used = Resources{}
	for _, name := range names {
		s.settleName(name.Task)
	}
	s.scratch.names = names[:0]
	s.holdAt(w, s.now+longestRetry)
}
