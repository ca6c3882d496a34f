package view

import (
	"slices"
	"time"
)

// Numerator and denominator of the part of a grant for which the head holds its lease.
const (
	leasePart  = 9
	leaseParts = 10
)

const heartbeatsKept = 64

// Lease is the head's side of the grants of one epoch.
type Lease struct {
	grant   time.Duration
	first   uint64
	last    uint64
	sent    [heartbeatsKept]time.Duration
	granted map[ReplicaID]time.Duration // when the heartbeat that was granted last had been sent
	scratch []time.Duration
}

// NewLease makes a lease without grants. Heartbeats are numbered from above first, which differs between lives: an
// answer to an earlier life's must not count.
func NewLease(grant time.Duration, first uint64) Lease {
	return Lease{grant: grant, first: first, last: first, granted: make(map[ReplicaID]time.Duration)}
}

// Sent notes a heartbeat sent now and gives it its number.
func (l *Lease) Sent(now time.Duration) uint64 {
	l.last++
	l.sent[l.last%heartbeatsKept] = now
	return l.last
}

// Granted notes that a voter has granted the heartbeat of that number.
func (l *Lease) Granted(id ReplicaID, sequence uint64) {
	if sequence <= l.first || sequence > l.last || l.last-sequence >= heartbeatsKept {
		return
	}
	sent := l.sent[sequence%heartbeatsKept]
	if before, ok := l.granted[id]; !ok || sent > before {
		l.granted[id] = sent
	}
}

// MajoritySince is when the last heartbeat was sent that a majority has granted.
func (l *Lease) MajoritySince(v View) (time.Duration, bool) {
	l.scratch = l.scratch[:0]
	for _, voter := range v.Voters {
		if sent, ok := l.granted[voter.ID]; ok {
			l.scratch = append(l.scratch, sent)
		}
	}
	if len(l.scratch) < v.Majority() {
		return 0, false
	}
	slices.Sort(l.scratch)
	return l.scratch[len(l.scratch)-v.Majority()], true
}

// Until is the end of the lease; without one, zero.
func (l *Lease) Until(v View) time.Duration {
	since, ok := l.MajoritySince(v)
	if !ok {
		return 0
	}
	return since + l.grant*leasePart/leaseParts
}
