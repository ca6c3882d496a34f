package quota

// ProposalTracker is what one admitting replica goes by when it proposes starts: the ledger as far as this replica has seen the chain, and on top
// of it what it has proposed and not seen committed or refused. It keeps a replica from proposing what can't hold; that no share is
// exceeded rests on the ledger alone. A new head begins with a new Desk, since the intents of its predecessors are either in the ledger
// by then or never will be. Make one with NewProposalTracker.
type ProposalTracker struct {
	ledger       *Ledger
	proposed     map[string]int64
	seenReleases uint64
	rejected     bool // some proposal came to nothing since Moved was asked
}

// NewProposalTracker gives a desk with nothing proposed.
func NewProposalTracker(ledger *Ledger) *ProposalTracker {
	return &ProposalTracker{ledger: ledger, proposed: make(map[string]int64), seenReleases: ledger.Releases()}
}

// Available is how many more accelerators may be proposed for a tenant now; it may be below 0.
func (d *ProposalTracker) Available(tenant string) int64 {
	free := d.ledger.Available(tenant)
	if free == Unlimited {
		return Unlimited
	}
	return free - d.outstanding(tenant)
}

// Fits tells whether so many accelerators may be proposed for a tenant now. What takes none always fits.
func (d *ProposalTracker) Fits(tenant string, need int64) bool {
	return need <= 0 || need <= d.Available(tenant)
}

// Propose takes note of a start that was proposed, which the caller has found to fit.
func (d *ProposalTracker) Propose(tenant string, need int64) {
	if need > 0 {
		d.proposed[tenant] += need
	}
}

// Settle takes note that a start of this desk came back from the chain, after it was applied. One that holds is in the ledger by now.
// The need is that with which it was proposed: the caller keeps it, since the job may be over and gone by then.
func (d *ProposalTracker) Settle(tenant string, need int64, holds bool) {
	if need <= 0 {
		return
	}
	if d.proposed[tenant] -= need; d.proposed[tenant] <= 0 {
		delete(d.proposed, tenant)
	}
	if !holds {
		d.rejected = true
	}
}

// CapacityFreed tells whether some tenant may take more than when this was asked last: then held tasks that were kept back by a share are to
// be tried again.
func (d *ProposalTracker) CapacityFreed() bool {
	moved := d.rejected || d.seenReleases != d.ledger.Releases()
	d.rejected, d.seenReleases = false, d.ledger.Releases()
	return moved
}

// outstanding is what is proposed on the account that bounds a tenant.
func (d *ProposalTracker) outstanding(tenant string) int64 {
	bounding := d.ledger.bounding(tenant)
	if bounding.named {
		return d.proposed[tenant]
	}
	sum := int64(0)
	for other, proposed := range d.proposed {
		if d.ledger.bounding(other) == bounding {
			sum += proposed
		}
	}
	return sum
}
