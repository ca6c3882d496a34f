package quota

// ProposalTracker tracks the outstanding proposals of one admitting replica. It combines the ledger, as of its last applied entry,
// with the starts that the replica has proposed and whose result it has not seen. It keeps the replica from proposing starts that would be
// rejected; only the ledger guarantees that no share is exceeded. A new head begins with a new tracker, since by then the starts that its
// predecessors proposed either are in the ledger or will never be. Create one with NewProposalTracker.
type ProposalTracker struct {
	ledger       *Ledger
	proposed     map[string]int64
	seenReleases uint64
	rejected     bool // a proposed start was rejected since the last call of CapacityFreed
}

// NewProposalTracker returns a ProposalTracker without outstanding proposals.
func NewProposalTracker(ledger *Ledger) *ProposalTracker {
	return &ProposalTracker{ledger: ledger, proposed: make(map[string]int64), seenReleases: ledger.Releases()}
}

// Available returns how many more accelerators may be proposed for a tenant now. It may be negative.
func (d *ProposalTracker) Available(tenant string) int64 {
	free := d.ledger.Available(tenant)
	if free == Unlimited {
		return Unlimited
	}
	return free - d.outstanding(tenant)
}

// Fits reports whether the needed accelerators may be proposed for a tenant now. A need of 0 always fits.
func (d *ProposalTracker) Fits(tenant string, need int64) bool {
	return need <= 0 || need <= d.Available(tenant)
}

// Propose records a proposed start. The caller must have checked with Fits that it fits.
func (d *ProposalTracker) Propose(tenant string, need int64) {
	if need > 0 {
		d.proposed[tenant] += need
	}
}

// Settle records that a proposed start came back from the chain and was applied. If it took effect, the ledger holds it by now. need must be
// the value given to Propose; the caller keeps it, since the job may have finished and been deleted by then.
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

// CapacityFreed reports whether some tenant may take more accelerators than at the last call. The caller should then retry tasks held
// back by a share.
func (d *ProposalTracker) CapacityFreed() bool {
	moved := d.rejected || d.seenReleases != d.ledger.Releases()
	d.rejected, d.seenReleases = false, d.ledger.Releases()
	return moved
}

// outstanding returns the proposed accelerators that count against the account that bounds a tenant.
func (d *ProposalTracker) outstanding(tenant string) int64 {
	bounding := d.ledger.boundingAccount(tenant)
	if bounding.named {
		return d.proposed[tenant]
	}
	sum := int64(0)
	for other, proposed := range d.proposed {
		if d.ledger.boundingAccount(other) == bounding {
			sum += proposed
		}
	}
	return sum
}
