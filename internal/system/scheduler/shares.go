package scheduler

import (
	"gaugeslip/internal/system/quota"
	"gaugeslip/internal/system/state"
)

// shares limits what is proposed to the tenants' shares of accelerators. It only avoids useless proposals: the replicated state alone
// ensures that no share is exceeded.
type shares struct {
	tracker      *quota.ProposalTracker
	proposed     map[state.Run]claim
	reservations map[string]*shareReservation // by tenant
	released     bool                         // a reservation was ended since the last dispatch
}

// claim is what a proposed start takes of its tenant's share. It is stored because its job may be gone when the start comes back from the
// chain.
type claim struct {
	tenant string
	need   int64
}

func newShares(ledger *quota.Ledger) shares {
	return shares{tracker: quota.NewProposalTracker(ledger), proposed: make(map[state.Run]claim), reservations: make(map[string]*shareReservation)}
}

// propose records the claim of a proposed start.
func (s *shares) propose(name state.Run, st *step) {
	if st.need.GPUs == 0 {
		return
	}
	taken := claim{tenant: st.tenant(), need: st.need.GPUs}
	s.proposed[name] = taken
	s.tracker.Propose(taken.tenant, taken.need)
}

// decided records that a start came back from the chain. Starts of an earlier head were never recorded here.
func (s *shares) decided(name state.Run, holds bool) {
	taken, ok := s.proposed[name]
	if !ok {
		return
	}
	delete(s.proposed, name)
	s.tracker.Settle(taken.tenant, taken.need, holds)
}

// tenant returns the tenant whose share the step's tasks count against.
func (st *step) tenant() string { return st.job.record.Tenant }

// acceleratorsAtOnce returns how many accelerators the step needs at once: for one task, or for the whole gang.
func (st *step) acceleratorsAtOnce() int64 {
	if st.stage.Gang {
		return st.need.GPUs * int64(len(st.tasks))
	}
	return st.need.GPUs
}

// fit reports whether the step's tenant may take what the step needs at once. Steps without accelerators always fit.
func (s *shares) fit(st *step) bool {
	need := st.acceleratorsAtOnce()
	return need == 0 || s.tracker.Fits(st.tenant(), need+s.reservedAgainst(st))
}

// changed reports, once, whether blocked steps are to be tried again.
func (s *shares) changed() bool {
	changed := s.tracker.CapacityFreed() || s.released
	s.released = false
	return changed
}

// shareFits reports whether the next task of a step, or its gang, fits its tenant's share. If not, the step is marked as blocked by its
// share.
func (s *Scheduler) shareFits(st *step) bool {
	fits := s.shares.fit(st)
	st.shareBlocked = !fits
	s.noteShareFit(st, fits)
	if fits {
		return true
	}
	st.service.shareBlocked = true
	if st.service.reserved.step == st { // workers reserved for it would stay idle
		s.releaseWorkers(st.service)
	}
	return false
}

// stillShareBlocked reports whether a queued step is still blocked by its tenant's share. If it no longer is, it is tried on all workers.
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

// retryShareBlocked has blocked steps tried again once some tenant may take more.
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
