package scheduler

import (
	"gaugeslip/internal/system/quota"
	"gaugeslip/internal/system/state"
)

// shares keeps what is proposed within the tenants' shares of accelerators. That none is exceeded rests on the replicated state alone.
type shares struct {
	desk     *quota.Desk
	proposed map[state.Run]claim
}

// claim is what a proposed start takes of its tenant's share; its job may be over and gone when it comes back.
type claim struct {
	tenant string
	need   int64
}

func newShares(ledger *quota.Ledger) shares {
	return shares{desk: quota.NewDesk(ledger), proposed: make(map[state.Run]claim)}
}

// propose takes note of a start that is proposed.
func (s *shares) propose(name state.Run, st *step) {
	if st.need.GPUs == 0 {
		return
	}
	taken := claim{tenant: st.job.record.Tenant, need: st.need.GPUs}
	s.proposed[name] = taken
	s.desk.Propose(taken.tenant, taken.need)
}

// settle takes note that a start came back from the chain. Those of a predecessor were never proposed here.
func (s *shares) settle(name state.Run, holds bool) {
	taken, own := s.proposed[name]
	if !own {
		return
	}
	delete(s.proposed, name)
	s.desk.Settle(taken.tenant, taken.need, holds)
}

// fit tells whether the step's tenant may take what the step needs at once: that of one task, or of the whole gang.
func (s *shares) fit(st *step) bool {
	need := st.need.GPUs
	if st.stage.Gang {
		need *= int64(len(st.tasks))
	}
	return s.desk.Fits(st.job.record.Tenant, need)
}

// shareFits tells whether the next task of a step, or its gang, fits its tenant's share; if not, the step is kept back.
func (s *Scheduler) shareFits(st *step) bool {
	fits := s.shares.fit(st)
	st.kept = !fits
	if fits {
		return true
	}
	st.service.kept = true
	if st.service.reserved.step == st { // room that is kept for it would stand idle
		s.release(st.service)
	}
	return false
}

// keptBack tells whether a held step is still kept back by its tenant's share. One that isn't any more is tried on all workers.
func (s *Scheduler) keptBack(st *step) bool {
	if !st.kept {
		return false
	}
	if !s.shareFits(st) {
		return true
	}
	st.fresh = true
	return false
}

// retryKept has the held steps tried again that were kept back, once some tenant may take more.
func (s *Scheduler) retryKept() {
	if !s.shares.desk.Moved() {
		return
	}
	for _, svc := range s.kinds {
		if svc.kept {
			svc.fresh = true
		}
	}
}
