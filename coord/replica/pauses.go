package replica

import "time"

// pauses sums up for how long this replica was held up: for want of processor, by a collection, by a busy embedder. A replica says
// with each output when it wants to be woken; what a step comes later than that, it was held up.
type pauses struct {
	due   time.Duration // when the next step is due at the latest
	short time.Duration // the sum of those that others may well have noticed nothing of
	long  time.Duration // the sum of those longer than frozenAfter
}

// mark is a moment, with the pauses up to then.
type mark struct {
	at          time.Duration
	short, long time.Duration
}

// mark is the present moment.
func (r *Replica) mark(now time.Duration) mark {
	return mark{at: now, short: r.pauses.short, long: r.pauses.long}
}

// pausedSince is how much of the time since a moment isn't held against others, as this replica was held up itself. Of short
// pauses a grant counts at most: a replica that is slow for good has to find out a lost one all the same.
func (r *Replica) pausedSince(m mark) time.Duration {
	return r.pauses.long - m.long + min(r.pauses.short-m.short, r.cfg.Grant)
}

// since is the time since a moment, less the own pauses.
func (r *Replica) since(now time.Duration, m mark) time.Duration {
	return now - m.at - r.pausedSince(m)
}

// awake notices for how long this replica was held up: what others did meanwhile hasn't been looked at yet.
func (r *Replica) awake(now time.Duration) {
	late, gap := now-r.pauses.due, now-r.stepped
	r.stepped = now
	if gap > frozenAfter {
		r.pauses.long += gap
		r.excuse(gap)
		if r.electAt != never {
			later := max(r.electAt, now+frozenPatience)
			r.electPaused += later - r.electAt
			r.electAt = later
		}
		return
	}
	if r.pauses.due == 0 || late < leastPause {
		return
	}
	r.pauses.short += late
	r.excuse(late)
	if r.electAt != never {
		late = min(late, r.cfg.Grant-r.electExcused)
		r.electExcused += late
		r.electPaused += late
		r.electAt += late
	}
}

// excuse takes a pause off what is held against disks and voters.
func (r *Replica) excuse(pause time.Duration) {
	for _, p := range r.peers {
		p.ackedAt += pause
	}
	for i := range r.writes {
		r.writes[i].at += pause
	}
}
