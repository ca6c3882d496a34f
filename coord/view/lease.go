package view

import (
	"slices"
	"time"
)

// Numerator and denominator of the part of a grant for which the head holds its lease.
const (
	leaseNumerator   = 9
	leaseDenominator = 10
)

const trackedHeartbeats = 64

// Lease is the head's side of the grants of one epoch.
type Lease struct {
	grant         time.Duration
	base          uint64
	last          uint64
	sent          [trackedHeartbeats]time.Duration
	grantedSentAt map[ReplicaID]time.Duration // when the heartbeat that was granted last had been sent
	scratch       []time.Duration
}

// NewLease makes a lease without grants. Heartbeats are numbered from above first, which differs between lives: an
// answer to an earlier life's must not count.
func NewLease(grant time.Duration, first uint64) Lease {
	return Lease{grant: grant, base: first, last: first, grantedSentAt: make(map[ReplicaID]time.Duration)}
}

// Sent notes a heartbeat sent now and gives it its number.
func (l *Lease) Sent(now time.Duration) uint64 {
	l.last++
	l.sent[l.last%trackedHeartbeats] = now
	return l.last
}

// Granted notes that a voter has granted the heartbeat of that number.
func (l *Lease) Granted(id ReplicaID, sequence uint64) {
	if sequence <= l.base || sequence > l.last || l.last-sequence >= trackedHeartbeats {
		return
	}
	sent := l.sent[sequence%trackedHeartbeats]
	if before, ok := l.grantedSentAt[id]; !ok || sent > before {
		l.grantedSentAt[id] = sent
	}
}

// MajoritySince is when the last heartbeat was sent that a majority has granted.
func (l *Lease) MajoritySince(v View) (time.Duration, bool) {
	l.scratch = l.scratch[:0]
	for _, voter := range v.Voters {
		if sent, ok := l.grantedSentAt[voter.ID]; ok {
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
	return since + l.grant*leaseNumerator/leaseDenominator
}
