package quota

import (
	"fmt"
	"testing"
)

// BenchmarkProposalTracker checks, proposes, charges, settles and releases one start for one of 160 tenants.
func BenchmarkProposalTracker(b *testing.B) {
	plan := Plan{Promised: map[string]int64{}, Pool: 2600, Pooled: true}
	names := make([]string, 160)
	for index := range names {
		names[index] = fmt.Sprintf("team-%03d", index)
		plan.Promised[names[index]] = 16
	}
	ledger := NewLedger()
	ledger.Configure(plan)
	tracker := NewProposalTracker(ledger)
	b.ReportAllocs()
	index := 0
	for b.Loop() {
		tenant := names[index%len(names)]
		index++
		if !tracker.Fits(tenant, 1) {
			b.Fatal("1 accelerator does not fit")
		}
		tracker.Propose(tenant, 1)
		ledger.Charge(tenant, 1)
		tracker.Settle(tenant, 1, true)
		ledger.Release(tenant, 1)
	}
}
