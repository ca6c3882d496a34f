package control

import (
	"cmp"
	"slices"

	"gaugeslip/internal/system/figures"
	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/quota"
)

// Tenants returns the tenants' shares of accelerators and the tasks that wait for them. Only the head can answer.
func (s *Service) Tenants(_ internalapi.TenantsArgs, reply *internalapi.TenantsReply) (err error) {
	*reply, err = queryOnLoop(s.node, s.node.tenants)
	return err
}

// tenants builds the reply to Tenants. It runs on the loop.
func (n *Node) tenants() internalapi.TenantsReply {
	if !n.acting() || n.scheduler == nil {
		return internalapi.TenantsReply{Verdict: internalapi.NotHead, View: n.engine.view()}
	}
	ledger := n.engine.machine.Quotas()
	waiting := n.scheduler.Tenants()
	reply := internalapi.TenantsReply{Verdict: internalapi.Done}
	for _, account := range ledger.Accounts() {
		shown := tenantOverview(account)
		shown.Held, shown.KeptBack = waiting[account.Tenant].WaitingTasks, waiting[account.Tenant].ShareBlocked
		delete(waiting, account.Tenant)
		reply.Tenants = append(reply.Tenants, shown)
	}
	for name, view := range waiting {
		shown := tenantOverview(quota.Account{Tenant: name, Limit: ledger.Limit(name)})
		shown.Held, shown.KeptBack = view.WaitingTasks, view.ShareBlocked
		reply.Tenants = append(reply.Tenants, shown)
	}
	slices.SortFunc(reply.Tenants, func(a, b internalapi.TenantOverview) int { return cmp.Compare(a.Name, b.Name) })
	return reply
}

func tenantOverview(account quota.Account) internalapi.TenantOverview {
	shown := internalapi.TenantOverview{Name: account.Tenant, Named: account.Named, Used: account.Used}
	if account.Limit != quota.Unlimited {
		shown.Bounded, shown.Limit = true, account.Limit
	}
	return shown
}

// writeTenants writes the metrics of tenants, and none while no tenant is configured.
func writeTenants(w *figures.Writer, ledger *quota.Ledger) {
	if !ledger.InForce() {
		return
	}
	accounts := ledger.Accounts()
	limits := make([]figures.Labelled, 0, len(accounts))
	used := make([]figures.Labelled, 0, len(accounts))
	for _, account := range accounts {
		if account.Limit != quota.Unlimited {
			limits = append(limits, figures.Labelled{Label: account.Tenant, Value: float64(account.Limit)})
		}
		used = append(used, figures.Labelled{Label: account.Tenant, Value: float64(account.Used)})
	}
	w.Gauges("tenant_share_accelerators", "Accelerators that a tenant may have in use; empty: those without a share, together.", "tenant", limits)
	w.Gauges("tenant_used_accelerators", "Accelerators of a tenant's runs that may exist.", "tenant", used)
}
