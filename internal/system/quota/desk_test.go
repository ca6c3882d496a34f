package quota

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestReservationsCountAgainstTheShare(t *testing.T) {
	ledger := NewLedger()
	ledger.Configure(Plan{Promised: map[string]int64{"teff": 4}})
	tracker := NewProposalTracker(ledger)
	tracker.Propose("teff", 3)
	assert.EqualValues(t, 1, tracker.Available("teff"))
	assert.False(t, tracker.Fits("teff", 2))
	assert.True(t, tracker.Fits("teff", 0))
	assert.True(t, tracker.Fits("unnamed", 100))

	ledger.Charge("teff", 3)
	assert.EqualValues(t, -2, tracker.Available("teff"), "between commit and Settle the start counts twice")
	tracker.Settle("teff", 3, true)
	assert.EqualValues(t, 1, tracker.Available("teff"))
}

func TestReservationsOfUnnamedTenantsCountTogether(t *testing.T) {
	ledger := NewLedger()
	ledger.Configure(Plan{Promised: map[string]int64{"teff": 4}, Pool: 10, Pooled: true})
	tracker := NewProposalTracker(ledger)
	tracker.Propose("", 2)
	tracker.Propose("gone", 3)
	tracker.Propose("teff", 4)
	assert.EqualValues(t, 1, tracker.Available("another"))
	ledger.Configure(Plan{Promised: map[string]int64{"teff": 4, "gone": 3}, Pool: 10, Pooled: true})
	assert.EqualValues(t, 1, tracker.Available(""), "the new plan moves both the promise and the proposal to an account of its own")
	assert.EqualValues(t, 0, tracker.Available("gone"))
}

func TestFreedCapacityIsReportedOnce(t *testing.T) {
	ledger := NewLedger()
	ledger.Configure(Plan{Promised: map[string]int64{"teff": 4}})
	tracker := NewProposalTracker(ledger)
	assert.False(t, tracker.CapacityFreed())

	tracker.Propose("teff", 2)
	ledger.Charge("teff", 2)
	tracker.Settle("teff", 2, true)
	assert.False(t, tracker.CapacityFreed(), "a start that took effect frees nothing")

	tracker.Propose("teff", 2)
	tracker.Settle("teff", 2, false)
	assert.True(t, tracker.CapacityFreed())
	assert.False(t, tracker.CapacityFreed(), "a change is reported once")

	ledger.Release("teff", 1)
	assert.True(t, tracker.CapacityFreed())
	ledger.Configure(Plan{})
	assert.True(t, tracker.CapacityFreed())
}
