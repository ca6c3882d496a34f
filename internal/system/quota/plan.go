// Package quota enforces each tenant's share of the accelerators.
//
// A Ledger holds how many accelerators each tenant was promised, and how many are taken by its runs that may exist. It is part of the
// replicated state: it is derived from the commands of the chain alone, so that it is the same on every replica, whichever one admits. A
// start that doesn't fit there is rejected, however many replicas have proposed starts at the same time. A ProposalTracker tracks what one
// admitting replica has proposed and not yet seen committed.
//
// The package does no I/O, reads no clock and starts no goroutines. A Ledger and its trackers must be used by one goroutine only.
package quota

import (
	"fmt"
	"math/bits"
)

// Millionths is the number of parts into which the whole pool is divided to express shares.
const Millionths = 1_000_000

// Unlimited is the limit of a tenant that nothing bounds.
const Unlimited int64 = 1<<63 - 1

// Plan holds the accelerators that one configuration promises to tenants. The zero Plan bounds no tenant.
type Plan struct {
	// Promised is the number of accelerators of each tenant, by name. It must not be modified once a Ledger has the plan. A plan that names
	// no tenant bounds no tenant.
	Promised map[string]int64
	// Pool is the total number of accelerators, if Pooled is true. All tenants that the plan doesn't name share the part of the pool that is
	// promised to nobody. Without a pool, they are unlimited.
	Pool   int64
	Pooled bool
}

// InForce reports whether the plan bounds any tenant.
func (p *Plan) InForce() bool { return len(p.Promised) > 0 }

// Remainder returns the number of accelerators that all tenants that the plan doesn't name may take together.
func (p *Plan) Remainder() int64 {
	if !p.InForce() || !p.Pooled {
		return Unlimited
	}
	rest := p.Pool
	for _, promised := range p.Promised {
		rest -= promised
	}
	return max(0, rest)
}

// ShareOf returns the number of whole accelerators in a share of the pool, given in millionths. It rounds down, so that shares never add
// up to more than the pool, and a tenant's part never falls when the pool grows.
func ShareOf(millionths, pool int64) int64 {
	if millionths <= 0 || pool <= 0 {
		return 0
	}
	if millionths >= Millionths {
		return pool
	}
	high, low := bits.Mul64(uint64(millionths), uint64(pool))
	whole, _ := bits.Div64(high, low, Millionths)
	return int64(whole)
}

// OversizeError reports a job that couldn't run within its tenant's share even if the whole share were free.
type OversizeError struct {
	Tenant string
	// Stage is the index of the stage. Need is the number of accelerators that must start at once there, Limit the tenant's limit.
	Stage       int
	Need, Limit int64
}

// Error names the stage, its need and the limit.
func (e *OversizeError) Error() string {
	if e.Tenant == "" {
		return fmt.Sprintf("stages[%d] needs %d accelerators at once, and its queue may take %d", e.Stage, e.Need, e.Limit)
	}
	return fmt.Sprintf("stages[%d] needs %d accelerators at once, and the share of tenant %q is %d", e.Stage, e.Need, e.Tenant, e.Limit)
}
