package dispatch

import (
	"time"

	"gaugeslip/internal/budget"
	"gaugeslip/policy"
)

// BudgetGate holds what the dispatcher does to its share of budgets that belong to the whole fleet: the jobs of a tenant, and the
// probes of a host. A job beyond its tenant's quota is refused at once, with the time until there is room as advice; a probe that
// there is no room for is told to the module as one that was never sent, which then leaves that host alone for a while.
type BudgetGate struct {
	ledger  *budget.Ledger
	tenants []int // account by tenant; -1: none
	probes  int   // account; -1: none
	advice  time.Duration
}

// BudgetAccounts are the accounts that the limits ask for at a dispatcher with these settings, and the gate that uses them, which
// takes any ledger of these accounts. The last account is that of calls for the list where there is a bound on them; lists is its
// number, or -1.
func BudgetAccounts(l *budget.Limits, cfg *policy.Config) (accounts []budget.Account, gate func(*budget.Ledger) *BudgetGate, lists int) {
	g := BudgetGate{probes: -1, advice: cfg.MaxRetryAfter}
	for _, t := range cfg.Tenants {
		account := -1
		if l.Tenants && t.Quota > 0 {
			account = len(accounts)
			accounts = append(accounts, budget.Account{Name: "tenant " + t.Name, PerSecond: t.Quota, Burst: t.Quota * l.Burst})
		}
		g.tenants = append(g.tenants, account)
	}
	if l.Probes > 0 {
		g.probes = len(accounts)
		accounts = append(accounts, budget.Account{Name: "probes of a host", PerSecond: l.Probes, Burst: l.Probes / 10, Keyed: true})
	}
	lists = -1
	if l.ListCalls > 0 {
		lists = len(accounts)
		accounts = append(accounts, budget.Account{Name: "calls for the list", PerSecond: l.ListCalls, Burst: l.ListCalls})
	}
	return accounts, func(ledger *budget.Ledger) *BudgetGate {
		n := g
		n.ledger = ledger
		return &n
	}, lists
}

// In refuses jobs beyond their tenant's quota.
func (g *BudgetGate) In(now time.Duration, in []Message, p *Pass) {
	for _, m := range in {
		if a, ok := m.(JobArrived); ok && a.Wait == nil && a.Tenant >= 0 && a.Tenant < len(g.tenants) && g.tenants[a.Tenant] >= 0 {
			if ok, after := g.ledger.Take(now, g.tenants[a.Tenant], 0); !ok {
				if after < 0 || after > g.advice {
					after = g.advice
				}
				p.Emit(LocalReply{Job: a.Job, Refused: true, RetryAfter: after})
				continue
			}
		}
		p.Forward(m)
	}
}

// Out keeps back probes that there is no room for.
func (g *BudgetGate) Out(now time.Duration, out []Command, p *Pass) {
	for _, c := range out {
		if x, ok := c.(Probe); ok && g.probes >= 0 {
			if ok, _ := g.ledger.Take(now, g.probes, uint64(x.Worker)); !ok {
				p.Forward(ProbeEnded{Worker: x.Worker, Result: policy.NeverSent})
				continue
			}
		}
		p.Emit(c)
	}
}

// Wake has nothing to wake for.
func (g *BudgetGate) Wake() (time.Duration, bool) { return 0, false }

// Detached is 0: no job lives on here.
func (g *BudgetGate) Detached() int { return 0 }

// ModuleLost changes nothing: what was used was used.
func (g *BudgetGate) ModuleLost(time.Duration) {}

// Owns is false: every job that passed is the module's.
func (g *BudgetGate) Owns(uint64) bool { return false }

// Recreate is the gate itself: its ledger is not in doubt.
func (g *BudgetGate) Recreate() Gate { return g }
