package quota

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestADeskCountsWhatItHasProposed(t *testing.T) {
	ledger := NewLedger()
	ledger.Configure(Plan{Promised: map[string]int64{"teff": 4}})
	desk := NewProposalTracker(ledger)
	desk.Propose("teff", 3)
	assert.EqualValues(t, 1, desk.Available("teff"))
	assert.False(t, desk.Fits("teff", 2))
	assert.True(t, desk.Fits("teff", 0))
	assert.True(t, desk.Fits("stranger", 100))

	ledger.Charge("teff", 3)
	assert.EqualValues(t, -2, desk.Available("teff"), "between the commit and the word of it, it counts twice")
	desk.Settle("teff", 3, true)
	assert.EqualValues(t, 1, desk.Available("teff"))
}

func TestProposalsOfAllWithoutAShareCountTogether(t *testing.T) {
	ledger := NewLedger()
	ledger.Configure(Plan{Promised: map[string]int64{"teff": 4}, Pool: 10, Pooled: true})
	desk := NewProposalTracker(ledger)
	desk.Propose("", 2)
	desk.Propose("gone", 3)
	desk.Propose("teff", 4)
	assert.EqualValues(t, 1, desk.Available("another"))
	ledger.Configure(Plan{Promised: map[string]int64{"teff": 4, "gone": 3}, Pool: 10, Pooled: true})
	assert.EqualValues(t, 1, desk.Available(""), "the plan moved both the share and what was proposed on it")
	assert.EqualValues(t, 0, desk.Available("gone"))
}

func TestADeskTellsWhenSomeoneMayTakeMore(t *testing.T) {
	ledger := NewLedger()
	ledger.Configure(Plan{Promised: map[string]int64{"teff": 4}})
	desk := NewProposalTracker(ledger)
	assert.False(t, desk.CapacityFreed())

	desk.Propose("teff", 2)
	ledger.Charge("teff", 2)
	desk.Settle("teff", 2, true)
	assert.False(t, desk.CapacityFreed(), "a start that holds frees nothing")

	desk.Propose("teff", 2)
	desk.Settle("teff", 2, false)
	assert.True(t, desk.CapacityFreed())
	assert.False(t, desk.CapacityFreed(), "it tells once")

	ledger.Release("teff", 1)
	assert.True(t, desk.CapacityFreed())
	ledger.Configure(Plan{})
	assert.True(t, desk.CapacityFreed())
}
