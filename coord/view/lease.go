package view

import (
	"slices"
	"time"
)

// Numerator and denominator of the fraction of a grant for which the head holds its lease. The rest allows for clock drift.
const (
	leaseNumerator   = 9
	leaseDenominator = 10
)

// trackedHeartbeats is how many of the latest heartbeats' sending times are kept.
const trackedHeartbeats = 64

// Lease computes the head's lease from the grants of the voters in one epoch.
type Lease struct {
	grant         time.Duration
	base          uint64
	last          uint64
	sent          [trackedHeartbeats]time.Duration
	grantedSentAt map[ReplicaID]time.Duration // when the latest heartbeat that the voter has granted was sent
	scratch       []time.Duration
}

// NewLease returns a lease without grants, for grants of the given duration. Heartbeats are numbered from first+1 on.
// The value first must differ between incarnations of the head, because an answer to a heartbeat of an earlier one must not count.
func NewLease(grant time.Duration, first uint64) Lease {
	return Lease{grant: grant, base: first, last: first, grantedSentAt: make(map[ReplicaID]time.Duration)}
}

// Sent records that a heartbeat is sent now and returns its sequence number.
func (l *Lease) Sent(now time.Duration) uint64 {
	l.last++
	l.sent[l.last%trackedHeartbeats] = now
	return l.last
}

// Granted records that a replica has granted the heartbeat with the given sequence number. It ignores numbers that were not assigned
// here and those whose sending time is no longer kept.
func (l *Lease) Granted(id ReplicaID, sequence uint64) {
	if sequence <= l.base || sequence > l.last || l.last-sequence >= trackedHeartbeats {
		return
	}
	sent := l.sent[sequence%trackedHeartbeats]
	if before, ok := l.grantedSentAt[id]; !ok || sent > before {
		l.grantedSentAt[id] = sent
	}
}

// MajoritySince returns the latest sending time such that a majority of the voters has granted a heartbeat sent then or later. It
// reports false if no majority has granted any heartbeat.
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

// Until returns the end of the lease, or zero if there is none.
func (l *Lease) Until(v View) time.Duration {
	since, ok := l.MajoritySince(v)
	if !ok {
		return 0
	}
	return since + l.grant*leaseNumerator/leaseDenominator
}
