package control

import (
	"gaugeslip/coord/chain"
	"gaugeslip/coord/replica"
	"gaugeslip/coord/view"
	"gaugeslip/internal/system/state"
)

// maxDigestBatch is how many entries may come at once for their digests to be taken; a head proposes half as many at a time.
const maxDigestBatch = 2 * maxProposalBatch

// recordDigest sums up what an entry came to.
func (e *engine) recordDigest(entry chain.Entry, result *state.Result) {
	if e.catchingUp() {
		return
	}
	if sum, due := e.audit.RecordEntry(entry.Index, entry.Data, result, e.machine); due {
		e.digests = append(e.digests, view.Digest{Index: entry.Index, Format: state.AuditFormat, Sum: sum})
	}
}

// reportDigests hands the digests that have come up to the core, which compares them with those of the others.
func (e *engine) reportDigests() {
	for len(e.digests) > 0 {
		digest := e.digests[0]
		e.digests = e.digests[1:]
		e.step(replica.StateDigest{Digest: digest})
	}
}
