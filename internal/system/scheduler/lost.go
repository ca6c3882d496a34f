package scheduler

import (
	"time"

	"gaugeslip/internal/system/state"
)

const (
	// clockStretch is by how much longer than stated a hold may last, since workers' clocks may be slow.
	clockStretch = 1.03
	lossMargin   = 200 * time.Millisecond
)

// lossBound is when the holds of all that may run on a worker have surely run out, if it can't be reached: those that a predecessor
// renewed, and the highest due time of this scheduler, which holds also for calls that are carried out late.
func (s *Scheduler) lossBound(w *worker) time.Duration {
	bound := s.startedAt + time.Duration(clockStretch*float64(s.bounds.MaxHold()))
	if w.clock.known && w.maxDueMs > 0 {
		bound = max(bound, w.clock.passedBy(w.maxDueMs))
	}
	return bound + lossMargin
}

// checkLoss gives up what runs on a worker out of reach once its holds have surely run out.
func (s *Scheduler) checkLoss(w *worker) {
	if w.lossProposed || w.reach == reachAnswering || w.reach == reachOver || len(w.runs) == 0 {
		return
	}
	if w.reach == reachUnheard && w.identity.Address != "" && w.hold.failures == 0 {
		return // it hasn't been asked yet
	}
	bound := s.lossBound(w)
	if s.now < bound {
		if w.hold.lossCheckAt != bound {
			w.hold.lossCheckAt = bound
			s.runAt(bound, func() { s.checkLoss(w) })
		}
		return
	}
	s.proposeLoss(w)
}

// proposeLoss proposes that nothing runs any more of what ran on a worker.
func (s *Scheduler) proposeLoss(w *worker) {
	if w.lossProposed {
		return
	}
	w.lossProposed = true
	s.propose(state.Command{Kind: state.KindWorkerLost, WorkerLost: w.identity.Instance})
}

// instanceEnded takes note that another life is at the worker's address.
func (s *Scheduler) instanceEnded(w *worker) {
	if w.reach == reachOver {
		return
	}
	w.reach = reachOver
	if len(w.runs) > 0 || s.machine.Worker(w.identity.Instance) != nil {
		s.proposeLoss(w)
	}
}

// lossCommitted takes in the commit of a worker's loss. A life that is still there is asked anew: what it lists is foreign.
func (s *Scheduler) lossCommitted(instance string) {
	w := s.workers[instance]
	if w == nil {
		return
	}
	w.lossProposed = false
	if w.reach != reachOver {
		w.reach = reachUnheard
	}
	names := s.scratch.names[:0]
	for i := len(w.runList) - 1; i >= 0; i-- {
		r := w.runList[i]
		names = append(names, r.name)
		s.markWasted(r, PartLost)
		s.dropRun(r)
	}
	w.used = Resources{}
	for _, name := range names {
		s.reconcileTask(name.Task)
	}
	s.scratch.names = names[:0]
	s.scheduleHold(w, s.now+maxRetry)
}
