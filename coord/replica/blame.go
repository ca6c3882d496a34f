package replica

import (
	"time"

	"gaugeslip/coord/view"
)

// stallState is what a head watches to tell whose disk holds an entry up.
type stallState struct {
	blockedSince timestamp     // since when only others can hold the watched entry up
	ownSynced    uint64        // last index on the disk here
	aheadSince   time.Duration // since when a member has more on its disk than that; 0: none has
}

// watchPendingEntry follows one entry after the other to its commitment.
func (r *Replica) watchPendingEntry(now time.Duration) {
	h := &r.head
	if r.Committed() >= h.watchedIndex || len(r.view.Chain) <= r.cfg.Tolerance {
		h.watchedIndex, h.watchedSince = r.LastIndex(), now
		h.stall.blockedSince = r.timestamp(now)
	}
	if r.chain.Synced() < h.watchedIndex {
		h.stall.blockedSince = r.timestamp(now)
	}
	r.watchOwnDisk(now)
}

// watchOwnDisk notes since when another disk is ahead of the one here.
func (r *Replica) watchOwnDisk(now time.Duration) {
	b := &r.head.stall
	if synced := r.chain.Synced(); synced != b.ownSynced {
		b.ownSynced, b.aheadSince = synced, 0
	}
	if b.aheadSince != 0 {
		return
	}
	for _, member := range r.view.Chain[1:] {
		if p := r.peers[member.ID]; p != nil && p.synced > b.ownSynced {
			b.aheadSince = now
			return
		}
	}
}

// stalledMember is the member because of which nothing has been committed for too long, if any. One that is silent isn't blamed for its disk:
// it is dropped for its silence, or comes back from a pause.
func (r *Replica) stalledMember(now time.Duration) view.ReplicaID {
	id := r.blockingMember(now)
	if id == "" || r.unresponsive(now, r.peer(id, now)) || r.elapsedSince(now, r.head.stall.blockedSince) <= r.entryTimeout(now, id) {
		return ""
	}
	return id
}

// blockingMember is the member that holds the watched entry up, if any does: the first that hasn't got it on disk, or is silent, so that what
// it has can't get on or back.
func (r *Replica) blockingMember(now time.Duration) view.ReplicaID {
	stuck := r.head.watchedIndex
	if r.Committed() >= stuck {
		return ""
	}
	for _, member := range r.view.Chain[1:] {
		if p := r.peers[member.ID]; p != nil && (p.synced < stuck || r.unresponsive(now, p)) {
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

// unresponsive tells whether a member has let heartbeats go without an answer.
func (r *Replica) unresponsive(now time.Duration, p *peer) bool {
	return r.elapsedSince(now, p.heard) > quietHeartbeats*r.cfg.HeartbeatEvery
}

// noteAcknowledgement notes that a member has answered. One that was silent for a while, but shorter than it may be, gets the time to make up for
// it: its disk can't be blamed for what it hadn't been told yet, nor can those behind it. Where the member that holds the watched entry up
// has got it, others' silence was no reason for that, and its own, in which it may have stood still, only for as long as it lasted.
func (r *Replica) noteAcknowledgement(now time.Duration, p *peer) {
	silence := now - p.heard.at
	p.heard, p.ackedAt = r.timestamp(now), now
	if silence <= quietHeartbeats*r.cfg.HeartbeatEvery {
		return
	}
	holder := r.peers[r.blockingMember(now)]
	stuck := &r.head.stall.blockedSince
	switch {
	case holder == nil || holder.received < r.head.watchedIndex:
		*stuck = r.timestamp(now)
	case holder == p:
		stuck.at = min(stuck.at+silence, now)
	}
}

// ownDiskStalled tells whether the disk here has done nothing for too long.
func (r *Replica) ownDiskStalled(now time.Duration) bool {
	return r.diskFailed || r.diskIdle(now) > r.diskTimeout(now, r.self.ID)
}

// diskIdle is for how long writes have waited without any of them ending.
func (r *Replica) diskIdle(now time.Duration) time.Duration {
	if len(r.pendingWrites) == 0 {
		return 0
	}
	return now - max(r.pendingWrites[0].at, r.lastSyncAt)
}

// shouldYieldForDisk tells whether the head should hand over for its disk's sake: it stalls while others' disks work. Where none is
// ahead they may share what slows them down, and another head would fare no better.
func (r *Replica) shouldYieldForDisk(now time.Duration) bool {
	if !r.ownDiskStalled(now) {
		return false
	}
	ahead := r.head.stall.aheadSince
	return r.diskFailed || ahead != 0 && now-ahead > r.cfg.StallAfter/aheadDivisor
}

// entryTimeout is how long an entry may wait for one member: what the own disk took lately is granted to others' as well.
func (r *Replica) entryTimeout(now time.Duration, id view.ReplicaID) time.Duration {
	return r.diskTimeout(now, id) + min(r.slowestSync.recent(now), r.cfg.StallAfter)
}

// slowestSync keeps the longest sync of late.
type slowestSync struct {
	longest time.Duration
	at      time.Duration
}

// record takes in a sync that has ended now.
func (p *slowestSync) record(now, took time.Duration) {
	if took >= p.recent(now) {
		p.longest, p.at = took, now
	}
}

// recent is the longest sync of late.
func (p *slowestSync) recent(now time.Duration) time.Duration {
	if now-p.at > slowSyncMemory {
		return 0
	}
	return p.longest
}
