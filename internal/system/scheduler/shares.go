package scheduler

import (
	"gaugeslip/internal/system/quota"
	"gaugeslip/internal/system/state"
)

// shares keeps what is proposed within the tenants' shares of accelerators. That none is exceeded rests on the replicated state alone.
type shares struct {
	tracker      *quota.Desk
	proposed     map[state.Run]claim
	reservations map[string]*shareReservation // by tenant
	released     bool                         // something that was kept back is free again
}

// claim is what a proposed start takes of its tenant's share; its job may be over and gone when it comes back.
type claim struct {
	tenant string
	need   int64
}

func newShares(ledger *quota.Ledger) shares {
	return shares{tracker: quota.NewDesk(ledger), proposed: make(map[state.Run]claim), reservations: make(map[string]*shareReservation)}
}

// propose takes note of a start that is proposed.
func (s *shares) propose(name state.Run, st *step) {
	if st.need.GPUs == 0 {
		return
	}
	taken := claim{tenant: st.tenant(), need: st.need.GPUs}
	s.proposed[name] = taken
	s.tracker.Propose(taken.tenant, taken.need)
}

// decided takes note that a start came back from the chain. Those of a predecessor were never proposed here.
func (s *shares) decided(name state.Run, holds bool) {
	taken, own := s.proposed[name]
	if !own {
		return
	}
	delete(s.proposed, name)
	s.tracker.Settle(taken.tenant, taken.need, holds)
}

// tenant is whose share the step's tasks count against.
func (st *step) tenant() string { return st.job.record.Tenant }

// acceleratorsAtOnce is how many accelerators the step needs at once: for one task, or for the whole gang.
func (st *step) acceleratorsAtOnce() int64 {
	if st.stage.Gang {
		return st.need.GPUs * int64(len(st.tasks))
	}
	return st.need.GPUs
}

// fit tells whether the step's tenant may take what the step needs at once. What takes no accelerators always fits.
func (s *shares) fit(st *step) bool {
	need := st.acceleratorsAtOnce()
	return need == 0 || s.tracker.Fits(st.tenant(), need+s.reservedAgainst(st))
}

// changed tells whether kept steps are to be tried again.
func (s *shares) changed() bool {
	moved := s.tracker.Moved() || s.released
	s.released = false
	return moved
}

// shareFits tells whether the next task of a step, or its gang, fits its tenant's share; if not, the step is kept back.
func (s *Scheduler) shareFits(st *step) bool {
	fits := s.shares.fit(st)
	st.shareBlocked = !fits
	s.noteShareFit(st, fits)
	if fits {
		return true
	}
	st.service.shareBlocked = true
	if st.service.reserved.step == st { // room that is kept for it would stand idle
		s.releaseWorkers(st.service)
	}
	return false
}

// stillShareBlocked tells whether a held step is still kept back by its tenant's share. One that isn't any more is tried on all workers.
func (s *Scheduler) stillShareBlocked(st *step) bool {
	if !st.shareBlocked {
		return false
	}
	if !s.shareFits(st) {
		s.considerReservingShare(st)
		return true
	}
	st.tryAll = true
	return false
}

// retryShareBlocked has the held steps tried again that were kept back, once some tenant may take more.
func (s *Scheduler) retryShareBlocked() {
	if !s.shares.changed() {
		return
	}
	for _, svc := range s.serviceOrder {
		if svc.shareBlocked {
			svc.tryAll = true
		}
	}
}
