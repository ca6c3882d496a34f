package scheduler

import (
	"gaugeslip/internal/system/quota"
	"gaugeslip/internal/system/state"
)

// shares keeps what is proposed within the tenants' shares of accelerators. That none is exceeded rests on the replicated state alone.
type shares struct {
	desk     *quota.ProposalTracker
	proposed map[state.Run]claim
	keepings map[string]*keeping // by tenant
	returned bool                // something that was kept back is free again
}

// claim is what a proposed start takes of its tenant's share; its job may be over and gone when it comes back.
type claim struct {
	tenant string
	need   int64
}

func newShares(ledger *quota.Ledger) shares {
	return shares{desk: quota.NewProposalTracker(ledger), proposed: make(map[state.Run]claim), keepings: make(map[string]*keeping)}
}

// propose takes note of a start that is proposed.
func (s *shares) propose(name state.Run, st *step) {
	if st.need.GPUs == 0 {
		return
	}
	taken := claim{tenant: st.tenant(), need: st.need.GPUs}
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

// tenant is whose share the step's tasks count against.
func (st *step) tenant() string { return st.job.record.Tenant }

// atOnce is how many accelerators the step needs at once: for one task, or for the whole gang.
func (st *step) atOnce() int64 {
	if st.stage.Gang {
		return st.need.GPUs * int64(len(st.tasks))
	}
	return st.need.GPUs
}

// fit tells whether the step's tenant may take what the step needs at once. What takes no accelerators always fits.
func (s *shares) fit(st *step) bool {
	need := st.atOnce()
	return need == 0 || s.desk.Fits(st.tenant(), need+s.keptFrom(st))
}

// moved tells whether kept steps are to be tried again.
func (s *shares) moved() bool {
	moved := s.desk.CapacityFreed() || s.returned
	s.returned = false
	return moved
}

// shareFits tells whether the next task of a step, or its gang, fits its tenant's share; if not, the step is kept back.
func (s *Scheduler) shareFits(st *step) bool {
	fits := s.shares.fit(st)
	st.kept = !fits
	s.fitFound(st, fits)
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
		s.considerKeeping(st)
		return true
	}
	st.fresh = true
	return false
}

// retryKept has the held steps tried again that were kept back, once some tenant may take more.
func (s *Scheduler) retryKept() {
	if !s.shares.moved() {
		return
	}
	for _, svc := range s.kinds {
		if svc.kept {
			svc.fresh = true
		}
	}
}
