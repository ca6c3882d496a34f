package internalapi

import "gaugeslip/coord/view"

// MethodTenants asks the head for the tenants.
const MethodTenants = Service + ".Tenants"

// TenantsArgs asks the head for the tenants' shares of accelerators.
type TenantsArgs struct{}

// TenantsReply holds, with Done, all tenants that the configuration names, that use accelerators or of which something waits, by name.
type TenantsReply struct {
	Verdict Verdict
	View    view.View // with NotHead
	Tenants []TenantOverview
}

// TenantOverview is one tenant.
type TenantOverview struct {
	// Name is empty for those without one.
	Name string
	// Named tells whether the configuration names it; if not, Limit is what all those have in common that it doesn't name.
	Named bool
	// Limit and Used are in accelerators; Limit counts only where Bounded.
	Bounded     bool
	Limit, Used int64
	// Held is how many tasks wait that take accelerators, KeptBack how many of those wait for the share.
	Held, KeptBack int
}
