// Package memorybudget bounds the memory that many take together, each as much as it needs.
package memorybudget

import "sync/atomic"

// Budget is the memory for all that is held at a time. It is safe for concurrent use.
type Budget struct {
	most int64
	held atomic.Int64
}

// NewBudget allows so many bytes.
func NewBudget(most int64) *Budget { return &Budget{most: most} }

// Held is how many bytes are held now.
func (b *Budget) Held() int64 { return b.held.Load() }

// take holds that many bytes more, or none.
func (b *Budget) take(count int64) bool {
	for {
		held := b.held.Load()
		if held+count > b.most {
			return false
		}
		if b.held.CompareAndSwap(held, held+count) {
			return true
		}
	}
}

// Lease is what one holder has of a budget, until its release. It isn't safe for concurrent use.
type Lease struct {
	budget *Budget
	held   int64
}

// NewLease begins with nothing.
func (b *Budget) NewLease() *Lease { return &Lease{budget: b} }

// Release gives all of it back; what was held may not be used after that.
func (l *Lease) Release() {
	l.budget.held.Add(-l.held)
	l.held = 0
}

// Grow has the lease hold that many bytes, or tells that there aren't as many.
func (l *Lease) Grow(size int64) bool {
	if size > l.held && !l.budget.take(size-l.held) {
		return false
	}
	l.held = max(l.held, size)
	return true
}
