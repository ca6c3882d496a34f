package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/budget"
	"gaugeslip/policy"
)

// A job beyond its tenant's quota has its one answer at once and never comes before the module; others pass. A probe that there is
// no room for is told as never sent, in the same Step, and nothing is held against its host.
func TestBudgetGate(t *testing.T) {
	core := bare(t)
	cfg := core.cfg
	cfg.MaxRetryAfter = 2 * time.Second
	cfg.Tenants = []policy.Tenant{{Name: "a", Quota: 10}, {Name: "free"}}
	lim := budget.Defaults()
	lim.Probes = 20
	accounts, gate, lists := BudgetAccounts(&lim, &cfg)
	require.Len(t, accounts, 2)
	assert.Equal(t, -1, lists)
	ledger := budget.NewLedger(accounts, 0)
	g := gate(ledger)
	now := 1000 * time.Second
	for i := range accounts {
		ledger.SetShare(now, i, budget.Share{Floor: budget.Whole})
	}
	let := func(tenant int, n int) (in int) {
		for i := range n {
			var p Pass
			g.In(now, []Message{JobArrived{Job: uint64(i), Tenant: tenant}}, &p)
			if in += len(p.on); len(p.do) > 0 {
				r := p.do[0].(LocalReply)
				assert.True(t, r.Refused)
				assert.Positive(t, r.RetryAfter)
				assert.LessOrEqual(t, r.RetryAfter, 2*time.Second)
			}
			assert.Equal(t, 1, len(p.on)+len(p.do))
		}
		return in
	}
	assert.Zero(t, let(0, 5), "a share comes empty")
	now += time.Second
	assert.Equal(t, 10, let(0, 30))
	assert.Equal(t, 30, let(1, 30), "no quota")
	assert.Equal(t, 30, let(-1, 30), "no tenant")
	now += 500 * time.Millisecond
	assert.Equal(t, 5, let(0, 30))

	var p Pass
	out := []Command{Probe{Worker: 7}, Probe{Worker: 7}, Probe{Worker: 7}, Probe{Worker: 8}, Send{}}
	ledger.Take(now, 1, 7)
	ledger.Take(now, 1, 8)
	now += 100 * time.Millisecond
	g.Out(now, out, &p)
	assert.Equal(t, []Command{Probe{Worker: 7}, Probe{Worker: 7}, Probe{Worker: 8}, Send{}}, p.do)
	assert.Equal(t, []Message{ProbeEnded{Worker: 7, Result: policy.NeverSent}}, p.on)

	// In a chain with a host: the module goes on without the answer, and does not suspect the host.
	lim.Probes, lim.Tenants = 0.001, false
	cfg.Probes, cfg.ReportInProbes = true, true
	core, err := New(cfg, 1)
	require.NoError(t, err)
	accounts, gate, _ = BudgetAccounts(&lim, &cfg)
	c := NewChain(core, Gates{Budget: gate(budget.NewLedger(accounts, 0))})
	c.Step(now, []Message{HostList{Whole: true, Hosts: []Host{{Name: "s-00000001", Addr: "h", Scale: 1}}}})
	for i := range 20 {
		now += 50 * time.Millisecond
		for _, x := range c.Step(now, []Message{JobArrived{Job: uint64(100 + i), Tenant: -1, At: now, Budget: time.Second, Size: time.Millisecond, Slots: 1}}) {
			_, asks := x.(Probe)
			assert.False(t, asks)
		}
	}
	known, excluded := c.Workers()
	assert.Equal(t, []int{1, 0}, []int{known, excluded})
}
