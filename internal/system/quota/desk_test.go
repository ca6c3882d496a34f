package quota

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestReservationsCountAgainstTheShare(t *testing.T) {
	ledger := NewLedger()
	ledger.Configure(Plan{Promised: map[string]int64{"teff": 4}})
	desk := NewDesk(ledger)
	desk.Propose("teff", 3)
	assert.EqualValues(t, 1, desk.Room("teff"))
	assert.False(t, desk.Fits("teff", 2))
	assert.True(t, desk.Fits("teff", 0))
	assert.True(t, desk.Fits("unnamed", 100))

	ledger.Charge("teff", 3)
	assert.EqualValues(t, -2, desk.Room("teff"), "between commit and Settle the start counts twice")
	desk.Settle("teff", 3, true)
	assert.EqualValues(t, 1, desk.Room("teff"))
}

func TestReservationsOfUnnamedTenantsCountTogether(t *testing.T) {
	ledger := NewLedger()
	ledger.Configure(Plan{Promised: map[string]int64{"teff": 4}, Pool: 10, Pooled: true})
	desk := NewDesk(ledger)
	desk.Propose("", 2)
	desk.Propose("gone", 3)
	desk.Propose("teff", 4)
	assert.EqualValues(t, 1, desk.Room("another"))
	ledger.Configure(Plan{Promised: map[string]int64{"teff": 4, "gone": 3}, Pool: 10, Pooled: true})
	assert.EqualValues(t, 1, desk.Room(""), "the new plan moves both the promise and the proposal to an account of its own")
	assert.EqualValues(t, 0, desk.Room("gone"))
}

func TestFreedCapacityIsReportedOnce(t *testing.T) {
	ledger := NewLedger()
	ledger.Configure(Plan{Promised: map[string]int64{"teff": 4}})
	desk := NewDesk(ledger)
	assert.False(t, desk.Moved())

	desk.Propose("teff", 2)
	ledger.Charge("teff", 2)
	desk.Settle("teff", 2, true)
	assert.False(t, desk.Moved(), "a start that took effect frees nothing")

	desk.Propose("teff", 2)
	desk.Settle("teff", 2, false)
	assert.True(t, desk.Moved())
	assert.False(t, desk.Moved(), "a change is reported once")

	ledger.Release("teff", 1)
	assert.True(t, desk.Moved())
	ledger.Configure(Plan{})
	assert.True(t, desk.Moved())
}
