package replica

import "time"

// pauses sums up for how long this replica was held up: for want of processor, by a collection, by a busy embedder. A replica says
// with each output when it wants to be woken; what a step comes later than that, it was held up.
type pauses struct {
	due   time.Duration // when the next step is due at the latest
	short time.Duration // the sum of those that others may well have noticed nothing of
	long  time.Duration // the sum of those longer than longPauseThreshold
}

// timestamp is a moment, with the pauses up to then.
type timestamp struct {
	at          time.Duration
	short, long time.Duration
}

// timestamp is the present moment.
func (r *Replica) timestamp(now time.Duration) timestamp {
	return timestamp{at: now, short: r.pauses.short, long: r.pauses.long}
}

// pausedSince is how much of the time since a moment isn't held against others, as this replica was held up itself. Of short
// pauses a grant counts at most: a replica that is slow for good has to find out a lost one all the same.
func (r *Replica) pausedSince(m timestamp) time.Duration {
	return r.pauses.long - m.long + min(r.pauses.short-m.short, r.cfg.Grant)
}

// elapsedSince is the time since a moment, less the own pauses.
func (r *Replica) elapsedSince(now time.Duration, m timestamp) time.Duration {
	return now - m.at - r.pausedSince(m)
}

// notePause notices for how long this replica was held up: what others did meanwhile hasn't been looked at yet.
func (r *Replica) notePause(now time.Duration) {
	late, gap := now-r.pauses.due, now-r.lastStep
	r.lastStep = now
	if gap > longPauseThreshold {
		r.pauses.long += gap
		r.discountPause(gap)
		if r.electionAt != never {
			later := max(r.electionAt, now+electionDelayAfterPause)
			r.electionPaused += later - r.electionAt
			r.electionAt = later
		}
		return
	}
	if r.pauses.due == 0 || late < minPause {
		return
	}
	r.pauses.short += late
	r.discountPause(late)
	if r.electionAt != never {
		late = min(late, r.cfg.Grant-r.electionShortPaused)
		r.electionShortPaused += late
		r.electionPaused += late
		r.electionAt += late
	}
}

// discountPause takes a pause off what is held against disks and voters.
func (r *Replica) discountPause(pause time.Duration) {
	for _, p := range r.peers {
		p.ackedAt += pause
	}
	for i := range r.pendingWrites {
		r.pendingWrites[i].at += pause
	}
}
