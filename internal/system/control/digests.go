package control

import (
	"gaugeslip/coord/chain"
	"gaugeslip/coord/replica"
	"gaugeslip/coord/view"
	"gaugeslip/internal/system/state"
)

// maxDigestBatch is how many entries may arrive at once and still have their digests taken. A head proposes half as many at a time.
const maxDigestBatch = 2 * maxProposalBatch

// recordDigest adds an applied entry and its result to the audit, and queues the digest if one is due.
func (e *engine) recordDigest(entry chain.Entry, result *state.Result) {
	if e.catchingUp() {
		return
	}
	if sum, due := e.audit.RecordEntry(entry.Index, entry.Data, result, e.machine); due {
		e.digests = append(e.digests, view.Digest{Index: entry.Index, Format: state.AuditFormat, Sum: sum})
	}
}

// reportDigests passes the queued digests to the core, which compares them with those of the other replicas.
func (e *engine) reportDigests() {
	for len(e.digests) > 0 {
		digest := e.digests[0]
		e.digests = e.digests[1:]
		e.step(replica.StateDigest{Digest: digest})
	}
}
