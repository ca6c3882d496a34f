// Package quota keeps each tenant's promised share of the accelerators.
//
// A Ledger says how many accelerators each tenant was promised and how many its runs take that may exist. It is part of the
// replicated state: it follows from the commands of the chain alone, so that it is the same on every replica, whichever admits. A
// start that doesn't fit there doesn't hold, however many replicas have proposed starts at the same time. A Desk is what one admitting
// replica keeps besides: what it has proposed itself and hasn't seen committed yet.
//
// Nothing here does I/O, reads a clock or starts a goroutine; a Ledger and its Desks belong to one goroutine.
package quota

import (
	"fmt"
	"math/bits"
)

// Millionths is how many parts a whole has of which shares are counted.
const Millionths = 1_000_000

// Unlimited is what a tenant may take that nothing bounds.
const Unlimited int64 = 1<<63 - 1

// Plan is what one configuration promises. The zero Plan promises nothing and bounds nobody.
type Plan struct {
	// Promised are the accelerators of each tenant, by its name; it is never changed once a Ledger has it. A plan that names no
	// tenant bounds nobody.
	Promised map[string]int64
	// Pool is how many accelerators there are to be promised; Pooled tells that it was stated. All who aren't named share what of
	// it nobody was promised. Where it isn't stated they take what they find.
	Pool   int64
	Pooled bool
}

// InForce tells whether the plan bounds anybody.
func (p *Plan) InForce() bool { return len(p.Promised) > 0 }

// Remainder is what all tenants together may take that the plan doesn't name.
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

// ShareOf is how many whole accelerators so many millionths of a pool are. It rounds down, so that what is promised is never more
// than there is, and no tenant's part falls while the pool grows.
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

// OversizeError tells of a job that can't run within its tenant's share, were all of that free.
type OversizeError struct {
	Tenant string
	// Stage is the number of the step; Need is what its largest part takes that has to start at once, Limit what there is.
	Stage       int
	Need, Limit int64
}

// Error names the step, its need and the share.
func (e *OversizeError) Error() string {
	if e.Tenant == "" {
		return fmt.Sprintf("stages[%d] needs %d accelerators at once, and its queue may take %d", e.Stage, e.Need, e.Limit)
	}
	return fmt.Sprintf("stages[%d] needs %d accelerators at once, and the share of tenant %q is %d", e.Stage, e.Need, e.Tenant, e.Limit)
}
