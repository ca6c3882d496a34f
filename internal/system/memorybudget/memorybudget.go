// Package memorybudget limits the memory that several users reserve together.
package memorybudget

import "sync/atomic"

// Budget is a limit on the bytes reserved at a time. It is safe for concurrent use.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Held returns the number of bytes reserved at present.
func (b *Budget) Held() int64 { return b.held.Load() }

// reserve reserves size more bytes. It reports false, and reserves nothing, if the budget lacks them.
func (b *Budget) reserve(size int64) bool {
	for {
		held := b.held.Load()
		if held+size > b.limit {
			return false
		}
		if b.held.CompareAndSwap(held, held+size) {
			return true
		}
	}
}

// Lease is one user's reservation, until its release. It isn't safe for concurrent use.
type Lease struct {
	budget *Budget
	held   int64
}

// NewLease returns a lease that reserves nothing yet.
func (b *Budget) NewLease() *Lease { return &Lease{budget: b} }

// Release returns all reserved bytes to the budget. The memory they stand for must not be used after that.
func (l *Lease) Release() {
	l.budget.held.Add(-l.held)
	l.held = 0
}

// Grow raises the reservation to size bytes; it never lowers it. It reports false if the budget lacks the memory.
func (l *Lease) Grow(size int64) bool {
	if size > l.held && !l.budget.reserve(size-l.held) {
		return false
	}
	l.held = max(l.held, size)
	return true
}
