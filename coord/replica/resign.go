package replica

import "time"

// stepDownIfStuck steps down where the heartbeats of this replica would only keep the others from electing a new head: it hasn't heard a
// majority for a grant, or it can't get its view onto its disk.
func (r *Replica) stepDownIfStuck(now time.Duration) bool {
	switch {
	case r.lostMajority(now):
		r.stepDown(now)
		r.electionAt = now + r.jitter(r.cfg.Grant/2) + r.cfg.Grant/8
	case r.cannotEnter(now):
		r.stepDown(now)
		r.electionAt = now + r.cfg.Grant + r.jitter(r.cfg.Grant/2)
	default:
		return false
	}
	return true
}

// lostMajority reports whether no majority has granted a heartbeat for a grant, own pauses subtracted.
func (r *Replica) lostMajority(now time.Duration) bool {
	since, ok := r.head.lease.MajoritySince(r.view)
	if !ok {
		since = r.viewLearnedAt
	}
	paused := r.pausedSince(r.head.leaseRenewed)
	if now-since-paused <= r.cfg.Grant || r.isOnlyVoter() {
		return false
	}
	r.setCause(now, Cause{Kind: CauseMajorityLost, Member: r.self.ID, Silence: now - since, Paused: paused, Patience: r.cfg.Grant})
	return true
}

// cannotEnter reports whether the disk here takes too long to store the view that made this replica the head.
func (r *Replica) cannotEnter(now time.Duration) bool {
	patience := r.cfg.StallAfter + min(r.slowestSync.recent(now), r.cfg.StallAfter)
	if r.entered || r.diskIdle(now) <= patience || r.isOnlyVoter() {
		return false
	}
	r.setCause(now, Cause{Kind: CauseOwnDisk, Member: r.self.ID, Stuck: r.diskIdle(now), Patience: patience})
	return true
}
