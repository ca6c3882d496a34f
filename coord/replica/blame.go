package replica

import (
	"time"

	"gaugeslip/coord/view"
)

// stallState is what a head tracks to decide whose disk holds an entry up.
type stallState struct {
	blockedSince timestamp     // since when only other members can hold the watched entry up
	ownSynced    uint64        // last index on the own disk
	aheadSince   time.Duration // since when a member has more than that on its disk; 0: none has
}

// watchPendingEntry tracks one entry after the other until it is committed.
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

// watchOwnDisk records since when another disk is ahead of the own one.
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

// stalledMember returns the member because of which nothing has been committed for too long, if any. An unresponsive member doesn't count
// as stalled: it is dropped for its silence, or returns from a pause.
func (r *Replica) stalledMember(now time.Duration) view.ReplicaID {
	id := r.blockingMember(now)
	if id == "" || r.unresponsive(now, r.peer(id, now)) || r.elapsedSince(now, r.head.stall.blockedSince) <= r.entryTimeout(now, id) {
		return ""
	}
	return id
}

// blockingMember returns the member that holds the watched entry up, if any: the first that doesn't have it on disk, or is unresponsive,
// so that the entry or its acknowledgement can't pass it.
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

// unresponsive reports whether a member has left heartbeats unanswered.
func (r *Replica) unresponsive(now time.Duration, p *peer) bool {
	return r.elapsedSince(now, p.heard) > quietHeartbeats*r.cfg.HeartbeatEvery
}

// noteAcknowledgement records that a member has answered a heartbeat. A member that was silent, but not for long enough to be dropped,
// gets time to catch up: its disk can't be held responsible for what it hadn't received yet, nor can the disks behind it. If the member
// that holds the watched entry up has received it, the silence of others was not the reason for that, and its own silence, in which the
// process may have stood still, is excused only for as long as it lasted.
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

// ownDiskStalled reports whether the own disk has failed, or has done nothing for too long.
func (r *Replica) ownDiskStalled(now time.Duration) bool {
	return r.diskFailed || r.diskIdle(now) > r.diskTimeout(now, r.self.ID)
}

// diskIdle returns for how long writes have waited without any of them ending.
func (r *Replica) diskIdle(now time.Duration) time.Duration {
	if len(r.pendingWrites) == 0 {
		return 0
	}
	return now - max(r.pendingWrites[0].at, r.lastSyncAt)
}

// shouldYieldForDisk reports whether the head should hand over because of its disk: it has failed, or stalls while others' disks work. If
// no other disk is ahead, all may have the same cause, and another head would fare no better.
func (r *Replica) shouldYieldForDisk(now time.Duration) bool {
	if !r.ownDiskStalled(now) {
		return false
	}
	ahead := r.head.stall.aheadSince
	return r.diskFailed || ahead != 0 && now-ahead > r.cfg.StallAfter/aheadDivisor
}

// entryTimeout returns how long an entry may wait for one member. The longest recent sync of the own disk is added for the other disks,
// up to StallAfter.
func (r *Replica) entryTimeout(now time.Duration, id view.ReplicaID) time.Duration {
	return r.diskTimeout(now, id) + min(r.slowestSync.recent(now), r.cfg.StallAfter)
}

// slowestSync is the longest recent sync of the own disk.
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

// recent returns the length of the longest recent sync, or 0.
func (p *slowestSync) recent(now time.Duration) time.Duration {
	if now-p.at > slowSyncMemory {
		return 0
	}
	return p.longest
}
