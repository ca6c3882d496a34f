package clusterconfig

import (
	"math"

	"gaugeslip/internal/system/findings"
	"gaugeslip/internal/system/quota"
)

// shareTolerance is the permitted distance of a share from a whole number of millionths. It covers the rounding error of float64.
const shareTolerance = 1e-6

// Plan converts the quotas to a plan for the quota ledger.
func (q *Quotas) Plan() quota.Plan {
	plan := quota.Plan{Pool: q.Pool, Pooled: q.Pooled}
	if len(q.Tenants) == 0 {
		return plan
	}
	plan.Promised = make(map[string]int64, len(q.Tenants))
	for index := range q.Tenants {
		plan.Promised[q.Tenants[index].Name] = q.Tenants[index].Accelerators
	}
	return plan
}

// quotas converts the quotas of all tenants.
func (r *reader) quotas(wire *wireConfig) Quotas {
	quotas := Quotas{}
	if wire.Accelerators != nil {
		quotas.Pool = r.accelerators("accelerators", *wire.Accelerators)
		quotas.Pooled = true
	}
	if len(wire.Tenants) == 0 {
		return quotas
	}
	quotas.Tenants = make([]Tenant, len(wire.Tenants))
	shares := int64(0)
	for index := range wire.Tenants {
		tenant := &wire.Tenants[index]
		promised, millionths := r.tenantAccelerators(index, tenant, &quotas)
		quotas.Tenants[index] = Tenant{Name: tenant.Name, Accelerators: promised}
		shares += millionths
	}
	if shares > quota.Millionths {
		r.found.Add("tenants", "the shares sum to %.12g, more than 1", float64(shares)/quota.Millionths)
	}
	return quotas
}

// tenantAccelerators returns the accelerators promised to a tenant, and its share in millionths if the configuration sets a share.
func (r *reader) tenantAccelerators(index int, tenant *wireTenant, quotas *Quotas) (accelerators, millionths int64) {
	switch {
	case tenant.Share != nil && tenant.Accelerators != nil:
		r.found.Add(findings.Item("tenants", index, ""), "has both a share and accelerators")
	case tenant.Accelerators != nil:
		return r.accelerators(findings.Item("tenants", index, "accelerators"), *tenant.Accelerators), 0
	case tenant.Share == nil:
		r.found.Add(findings.Item("tenants", index, ""), "has neither a share nor accelerators")
	case !quotas.Pooled:
		r.found.Add(findings.Item("tenants", index, "share"), "is a share of nothing: the configuration states no accelerators")
	default:
		millionths = r.share(findings.Item("tenants", index, "share"), *tenant.Share)
		return quota.ShareOf(millionths, quotas.Pool), millionths
	}
	return 0, 0
}

// share converts a share between 0 and 1 to millionths.
func (r *reader) share(place string, value float64) int64 {
	if value < 0 || value > 1 {
		r.found.Add(place, "%v is not from 0 to 1", value)
		return 0
	}
	millionths := math.Round(value * quota.Millionths)
	if math.Abs(value*quota.Millionths-millionths) > shareTolerance {
		r.found.Add(place, "%v has more than six digits after the point", value)
	}
	return int64(millionths)
}

// accelerators converts a number of accelerators.
func (r *reader) accelerators(place string, value float64) int64 {
	if value < 0 {
		r.found.Add(place, "%v is negative", value)
		return 0
	}
	if value > maxAccelerators || value != math.Trunc(value) {
		r.found.Add(place, "%v is not a whole number up to %d", value, int64(maxAccelerators))
		return 0
	}
	return int64(value)
}

// maxAccelerators bounds each number of accelerators, so that sums can't overflow.
const maxAccelerators = 1 << 40

// checkTenants checks that tenant names are unique and that the pool covers all promises. It returns the index of each name.
func checkTenants(quotas *Quotas, found *findings.Findings) map[string]int {
	seen := make(map[string]int, len(quotas.Tenants))
	sum := int64(0)
	for index := range quotas.Tenants {
		tenant := &quotas.Tenants[index]
		sum += tenant.Accelerators
		if tenant.Name == "" {
			found.Add(findings.Item("tenants", index, "name"), "is empty")
			continue
		}
		if first, duplicate := seen[tenant.Name]; duplicate {
			found.Add(findings.Item("tenants", index, "name"), "%q is also the name of tenants[%d]", tenant.Name, first)
			continue
		}
		seen[tenant.Name] = index
	}
	if quotas.Pooled && sum > quotas.Pool {
		found.Add("tenants", "are promised %d accelerators of %d", sum, quotas.Pool)
	}
	return seen
}
