package main

import (
	"gaugeslip/coord/view"
	"gaugeslip/internal/system/console"
	"gaugeslip/internal/system/internalapi"
)

type tenantsCommand struct{ replicaFlags }

// tenantsOutput is the output of `tenants --json`.
type tenantsOutput struct{ Tenants []internalapi.TenantOverview }

func (c *tenantsCommand) Run(printer *console.Printer) error {
	var reply internalapi.TenantsReply
	verdict := func() (internalapi.Verdict, view.View) { return reply.Verdict, reply.View }
	reset := func() { reply = internalapi.TenantsReply{} }
	if err := c.callHead(internalapi.MethodTenants, internalapi.TenantsArgs{}, &reply, verdict, reset); err != nil {
		return err
	}
	shown := tenantsOutput{Tenants: reply.Tenants}
	return c.printer(printer).Print(shown, func(t *console.Table) { tenantsTable(t, &shown) })
}

func tenantsTable(t *console.Table, shown *tenantsOutput) {
	t.Row("TENANT", "NAMED", "LIMIT", "USED", "HELD", "FOR ITS SHARE")
	for i := range shown.Tenants {
		tenant := &shown.Tenants[i]
		t.Row(console.OrDash(tenant.Name), console.YesNo(tenant.Named), limitText(tenant), tenant.Used, tenant.Held, tenant.KeptBack)
	}
}

func limitText(tenant *internalapi.TenantOverview) any {
	if !tenant.Bounded {
		return "none"
	}
	return tenant.Limit
}
