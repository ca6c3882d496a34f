package replica

import (
	"time"

	"gaugeslip/coord/view"
)

// blameState is what a head watches to tell whose disk holds an entry up.
type blameState struct {
	stuck     mark          // since when only others can hold the watched entry up
	ownSynced uint64        // last index on the disk here
	aheadAt   time.Duration // since when a member has more on its disk than that; 0: none has
}

// watchStuck follows one entry after the other to its commitment.
func (r *Replica) watchStuck(now time.Duration) {
	h := &r.head
	if r.Committed() >= h.stuckIndex || len(r.view.Chain) <= r.cfg.Tolerance {
		h.stuckIndex, h.stuckSince = r.LastIndex(), now
		h.blame.stuck = r.mark(now)
	}
	if r.chain.Synced() < h.stuckIndex {
		h.blame.stuck = r.mark(now)
	}
	r.watchOwnDisk(now)
}

// watchOwnDisk notes since when another disk is ahead of the one here.
func (r *Replica) watchOwnDisk(now time.Duration) {
	b := &r.head.blame
	if synced := r.chain.Synced(); synced != b.ownSynced {
		b.ownSynced, b.aheadAt = synced, 0
	}
	if b.aheadAt != 0 {
		return
	}
	for _, member := range r.view.Chain[1:] {
		if p := r.peers[member.ID]; p != nil && p.synced > b.ownSynced {
			b.aheadAt = now
			return
		}
	}
}

// culprit is the member because of which nothing has been committed for too long, if any. One that is silent isn't blamed for its disk:
// it is dropped for its silence, or comes back from a pause.
func (r *Replica) culprit(now time.Duration) view.ReplicaID {
	id := r.holder(now)
	if id == "" || r.quiet(now, r.peer(id, now)) || r.since(now, r.head.blame.stuck) <= r.memberPatience(now, id) {
		return ""
	}
	return id
}

// holder is the member that holds the watched entry up, if any does: the first that hasn't got it on disk, or is silent, so that what
// it has can't get on or back.
func (r *Replica) holder(now time.Duration) view.ReplicaID {
	stuck := r.head.stuckIndex
	if r.Committed() >= stuck {
		return ""
	}
	for _, member := range r.view.Chain[1:] {
		if p := r.peers[member.ID]; p != nil && (p.synced < stuck || r.quiet(now, p)) {
			return member.ID
		}
	}
	for _, member := range r.view.Chain[1:] {
		if p := r.peers[member.ID]; p != nil && p.acked >= stuck {
			return member.ID
		}
	}
	return ""
}

// quiet tells whether a member has let heartbeats go without an answer.
func (r *Replica) quiet(now time.Duration, p *peer) bool {
	return r.since(now, p.heard) > inTouch*r.cfg.HeartbeatEvery
}

// heardAgain notes that a member has answered. One that was silent for a while, but shorter than it may be, gets the time to make up for
// it: its disk can't be blamed for what it hadn't been told yet, nor can those behind it. Where the member that holds the watched entry up
// has got it, others' silence was no reason for that, and its own, in which it may have stood still, only for as long as it lasted.
func (r *Replica) heardAgain(now time.Duration, p *peer) {
	silence := now - p.heard.at
	p.heard, p.ackedAt = r.mark(now), now
	if silence <= inTouch*r.cfg.HeartbeatEvery {
		return
	}
	holder := r.peers[r.holder(now)]
	stuck := &r.head.blame.stuck
	switch {
	case holder == nil || holder.received < r.head.stuckIndex:
		*stuck = r.mark(now)
	case holder == p:
		stuck.at = min(stuck.at+silence, now)
	}
}

// ownDiskStalls tells whether the disk here has done nothing for too long.
func (r *Replica) ownDiskStalls(now time.Duration) bool {
	return r.broken || r.diskIdle(now) > r.stallPatience(now, r.self.ID)
}

// diskIdle is for how long writes have waited without any of them ending.
func (r *Replica) diskIdle(now time.Duration) time.Duration {
	if len(r.writes) == 0 {
		return 0
	}
	return now - max(r.writes[0].at, r.syncedAt)
}

// ownDiskHinders tells whether the head should hand over for its disk's sake: it stalls while others' disks work. Where none is
// ahead they may share what slows them down, and another head would fare no better.
func (r *Replica) ownDiskHinders(now time.Duration) bool {
	if !r.ownDiskStalls(now) {
		return false
	}
	ahead := r.head.blame.aheadAt
	return r.broken || ahead != 0 && now-ahead > r.cfg.StallAfter/aheadPart
}

// memberPatience is how long an entry may wait for one member: what the own disk took lately is granted to others' as well.
func (r *Replica) memberPatience(now time.Duration, id view.ReplicaID) time.Duration {
	return r.stallPatience(now, id) + min(r.pace.recent(now), r.cfg.StallAfter)
}

// diskPace keeps the longest sync of late.
type diskPace struct {
	longest time.Duration
	at      time.Duration
}

// note takes in a sync that has ended now.
func (p *diskPace) note(now, took time.Duration) {
	if took >= p.recent(now) {
		p.longest, p.at = took, now
	}
}

// recent is the longest sync of late.
func (p *diskPace) recent(now time.Duration) time.Duration {
	if now-p.at > paceKept {
		return 0
	}
	return p.longest
}
