package internalapi

import "gaugeslip/coord/view"

// MethodTenants returns the tenants' shares of accelerators. Only the head answers.
const MethodTenants = Service + ".Tenants"

// TenantsArgs are the arguments of MethodTenants.
type TenantsArgs struct{}

// TenantsReply holds, with verdict Done, all tenants that are configured, use accelerators or have waiting tasks, sorted by name.
type TenantsReply struct {
	Verdict Verdict
	View    view.View // with NotHead
	Tenants []TenantOverview
}

// TenantOverview is the share of one tenant and its use.
type TenantOverview struct {
	// Name is empty for jobs without a tenant.
	Name string
	// Named reports whether the configuration names the tenant. If not, Limit is the share that all unnamed tenants have in common.
	Named bool
	// Limit and Used are in accelerators. Limit is valid only if Bounded is set.
	Bounded     bool
	Limit, Used int64
	// Held is how many tasks with accelerators wait, KeptBack how many of those wait for their tenant's share.
	Held, KeptBack int
}
