package control

import (
	"gaugeslip/coord/chain"
	"gaugeslip/coord/replica"
	"gaugeslip/coord/view"
	"gaugeslip/internal/system/state"
)

// auditBacklog is how many entries may come at once for their digests to be taken; a head proposes half as many at a time.
const auditBacklog = 2 * mostProposalBatch

// audited sums up what an entry came to.
func (e *engine) audited(entry chain.Entry, result *state.Result) {
	if e.catchingUp() {
		return
	}
	if sum, due := e.audit.RecordEntry(entry.Index, entry.Data, result, e.machine); due {
		e.digests = append(e.digests, view.Digest{Index: entry.Index, Format: state.AuditFormat, Sum: sum})
	}
}

// tellDigests hands the digests that have come up to the core, which compares them with those of the others.
func (e *engine) tellDigests() {
	for len(e.digests) > 0 {
		digest := e.digests[0]
		e.digests = e.digests[1:]
		e.step(replica.StateDigest{Digest: digest})
	}
}
