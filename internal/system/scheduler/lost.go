package scheduler

import (
	"time"

	"gaugeslip/internal/system/state"
)

const (
	// clockStretch is by what factor a hold may last longer than stated, because workers' clocks may be slow.
	clockStretch = 1.03
	lossMargin   = 200 * time.Millisecond
)

// lossBound returns by when the holds of everything that may run on an unreachable worker have certainly expired. It covers the holds that
// an earlier head renewed, and the highest due time that this scheduler sent, which also limits calls that are carried out late.
func (s *Scheduler) lossBound(w *worker) time.Duration {
	bound := s.startedAt + time.Duration(clockStretch*float64(s.bounds.MaxHold()))
	if w.clock.known && w.maxDueMs > 0 {
		bound = max(bound, w.clock.passedBy(w.maxDueMs))
	}
	return bound + lossMargin
}

// checkLoss gives up the runs on an unreachable worker once its holds have certainly expired.
func (s *Scheduler) checkLoss(w *worker) {
	if w.lossProposed || w.reach == reachAnswering || w.reach == reachOver || len(w.runs) == 0 {
		return
	}
	if w.reach == reachUnheard && w.identity.Address != "" && w.hold.failures == 0 {
		return // no hold to it has been tried yet
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

// proposeLoss proposes that none of a worker's runs exists any more.
func (s *Scheduler) proposeLoss(w *worker) {
	if w.lossProposed {
		return
	}
	w.lossProposed = true
	s.propose(state.Command{Kind: state.KindWorkerLost, WorkerLost: w.identity.Instance})
}

// instanceEnded handles an answer by which a different instance runs at the worker's address.
func (s *Scheduler) instanceEnded(w *worker) {
	if w.reach == reachOver {
		return
	}
	w.reach = reachOver
	if len(w.runs) > 0 || s.machine.Worker(w.identity.Instance) != nil {
		s.proposeLoss(w)
	}
}

// lossCommitted handles the commit of a worker's loss. If the instance still exists it is contacted again; runs that it lists are then
// foreign.
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
