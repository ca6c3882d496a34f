package quota

import (
	"fmt"
	"testing"
)

// BenchmarkDesk asks for room, proposes, charges and settles one start, and ends it, for one of 160 tenants.
func BenchmarkDesk(b *testing.B) {
	plan := Plan{Promised: map[string]int64{}, Pool: 2600, Pooled: true}
	names := make([]string, 160)
	for index := range names {
		names[index] = fmt.Sprintf("team-%03d", index)
		plan.Promised[names[index]] = 16
	}
	ledger := NewLedger()
	ledger.Configure(plan)
	desk := NewProposalTracker(ledger)
	b.ReportAllocs()
	index := 0
	for b.Loop() {
		tenant := names[index%len(names)]
		index++
		if !desk.Fits(tenant, 1) {
			b.Fatal("it doesn't fit")
		}
		desk.Propose(tenant, 1)
		ledger.Charge(tenant, 1)
		desk.Settle(tenant, 1, true)
		ledger.Release(tenant, 1)
	}
}
