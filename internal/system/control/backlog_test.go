package control

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"gaugeslip/coord/chain"
	"gaugeslip/internal/system/state"
)

// A replica that takes thousands of entries at once, as after a restart, has no time for their digests; it sums up again from there on.
func TestABacklogIsNotSummedUp(t *testing.T) {
	e := &engine{machine: state.New(), audit: state.NewAudit(0)}
	entries := func(count int) (made []chain.Entry) {
		for i := range count {
			made = append(made, chain.Entry{Index: e.appliedTo + uint64(i) + 1, Epoch: 1})
		}
		return made
	}
	e.applyAll(entries(state.AuditEvery))
	assert.Len(t, e.digests, 1)
	e.applyAll(entries(auditBacklog + 1))
	assert.Len(t, e.digests, 1, "the backlog's")
	e.applyAll(entries(2 * state.AuditEvery))
	assert.Len(t, e.digests, 2, "of the part that was seen from its start")
}
