package replica

import "time"

// pauses sums up for how long this replica was paused: by lack of processor time, by a garbage collection, or by a busy embedder. Each
// output says when the replica wants to be woken; the time by which a step comes later than that is a pause.
type pauses struct {
	due   time.Duration // when the next step is due at the latest
	short time.Duration // the sum of pauses that others may well not have noticed
	long  time.Duration // the sum of pauses longer than longPauseThreshold
}

// timestamp is a moment, with the sums of the pauses up to then.
type timestamp struct {
	at          time.Duration
	short, long time.Duration
}

// timestamp returns the present moment.
func (r *Replica) timestamp(now time.Duration) timestamp {
	return timestamp{at: now, short: r.pauses.short, long: r.pauses.long}
}

// pausedSince returns how much of the time since a moment isn't counted against others, because this replica was paused itself. Short
// pauses count for at most a grant in all: a replica that is permanently slow must still detect a lost one.
func (r *Replica) pausedSince(m timestamp) time.Duration {
	return r.pauses.long - m.long + min(r.pauses.short-m.short, r.cfg.Grant)
}

// elapsedSince returns the time since a moment, less the own pauses.
func (r *Replica) elapsedSince(now time.Duration, m timestamp) time.Duration {
	return now - m.at - r.pausedSince(m)
}

// notePause records for how long this replica was paused: it hasn't seen yet what others did meanwhile.
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

// discountPause subtracts a pause from the waiting times of disks and voters.
func (r *Replica) discountPause(pause time.Duration) {
	for _, p := range r.peers {
		p.ackedAt += pause
	}
	for i := range r.pendingWrites {
		r.pendingWrites[i].at += pause
	}
}
