package chain

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Within a session both logs are the same up to Prev. If they differ there, the entries that follow must be refused.
func TestEntriesAfterMismatchedPrevEpochAreRefused(t *testing.T) {
	r := newFollower(t, false, entriesWithEpochs(1, 1)...)
	r.receiveStart(2, 3, 3, 3, entry(3, 5))
	assert.ErrorIs(t, r.fault, ErrDiverged)
	assert.Equal(t, uint64(2), r.Log().Last())
	assert.Zero(t, r.Committed())
	assert.Empty(t, r.stored)

	r = newFollower(t, false, entriesWithEpochs(1, 1)...)
	r.receiveStart(2, 1, 2, 0)
	r.receiveAppend(2, 4, 3, entry(3, 5))
	assert.ErrorIs(t, r.fault, ErrDiverged)
	assert.Zero(t, r.Committed())
}
