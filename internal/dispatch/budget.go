package dispatch

import (
	"time"

	"gaugeslip/internal/budget"
	"gaugeslip/policy"
)

// BudgetGate keeps the dispatcher within its share of fleet-wide budgets: the jobs of each tenant, and the probes of each host. A job
// beyond its tenant's quota is refused at once, with the time until there is quota again as advice. A probe beyond its budget is
// reported to the module as never sent; the module then leaves that host alone for a while.
type BudgetGate struct {
	ledger         *budget.Ledger
	tenantAccounts []int // number of the account, by tenant; -1: none
	probeAccount   int   // number of the account; -1: none
	maxRetryAfter  time.Duration
}

// BudgetAccounts returns the accounts that the limits need at a dispatcher with these settings, and a constructor of the gate that
// uses them, which takes a ledger of these accounts. The last account is that of calls for the list of hosts, if these are limited;
// lists is its number, or -1.
func BudgetAccounts(l *budget.Limits, cfg *policy.Config) (accounts []budget.Account, gate func(*budget.Ledger) *BudgetGate, lists int) {
	g := BudgetGate{probeAccount: -1, maxRetryAfter: cfg.MaxRetryAfter}
	for _, t := range cfg.Tenants {
		account := -1
		if l.Tenants && t.Quota > 0 {
			account = len(accounts)
			accounts = append(accounts, budget.Account{Name: "tenant " + t.Name, PerSecond: t.Quota, Burst: t.Quota * l.Burst})
		}
		g.tenantAccounts = append(g.tenantAccounts, account)
	}
	if l.Probes > 0 {
		g.probeAccount = len(accounts)
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
		if a, ok := m.(JobArrived); ok && a.Wait == nil && a.Tenant >= 0 && a.Tenant < len(g.tenantAccounts) && g.tenantAccounts[a.Tenant] >= 0 {
			if ok, after := g.ledger.Take(now, g.tenantAccounts[a.Tenant], 0); !ok {
				if after < 0 || after > g.maxRetryAfter {
					after = g.maxRetryAfter
				}
				p.Emit(LocalReply{Job: a.Job, Refused: true, RetryAfter: after})
				continue
			}
		}
		p.Forward(m)
	}
}

// Out drops probes beyond the budget and reports them as never sent.
func (g *BudgetGate) Out(now time.Duration, out []Command, p *Pass) {
	for _, c := range out {
		if x, ok := c.(Probe); ok && g.probeAccount >= 0 {
			if ok, _ := g.ledger.Take(now, g.probeAccount, uint64(x.Worker)); !ok {
				p.Forward(ProbeEnded{Worker: x.Worker, Result: policy.NeverSent})
				continue
			}
		}
		p.Emit(c)
	}
}

// Wake returns no time: this gate has no timers.
func (g *BudgetGate) Wake() (time.Duration, bool) { return 0, false }

// Detached returns 0: this gate holds no jobs.
func (g *BudgetGate) Detached() int { return 0 }

// ModuleLost does nothing: what was used stays used.
func (g *BudgetGate) ModuleLost(time.Duration) {}

// Owns returns false: all admitted jobs are in the module.
func (g *BudgetGate) Owns(uint64) bool { return false }

// Recreate returns the gate itself: it has no state but the ledger, which stays valid.
func (g *BudgetGate) Recreate() Gate { return g }
