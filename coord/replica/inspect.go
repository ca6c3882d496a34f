package replica

import (
	"cmp"
	"slices"
	"time"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// Status is what an operator is shown of a replica. Times are lengths, seen from the moment of the call.
type Status struct {
	Self view.Member
	View view.View
	// Position is the place in the chain, -1 without one.
	Position int
	// Head and Tail tell what the replica may do now: act as the head, and answer reads as the tail.
	Head, Tail bool
	// Lease is what is left of the head's lease, 0 at others.
	Lease time.Duration
	// Committed, Last and Synced are the last indexes known to be committed, held, and on the disk here.
	Committed, Last, Synced uint64
	// Leaving tells that the replica wants out of the chain.
	Leaving bool
	// Admitting is the learner for which the head holds writes back, if any.
	Admitting view.ReplicaID
	// Members are the voters and what the head last heard of each; at others than the head only who they are.
	Members []MemberStatus
	// Learners are those who have asked the head to become members.
	Learners []LearnerStatus
}

// MemberStatus is a voter, as the head knows it.
type MemberStatus struct {
	Member view.Member
	// Position is the place in the chain, -1 without one.
	Position int
	// Heard is how long ago it answered; -1 where that isn't known.
	Heard time.Duration
	// Received, Synced and Acked are the last indexes that it holds, has on disk, and has on disk together with its successors.
	Received, Synced, Acked uint64
	Leaving, Gone           bool
}

// LearnerStatus is a replica that catches up, as the head knows it.
type LearnerStatus struct {
	Member view.Member
	// Acked is the last index on its disk.
	Acked uint64
	// Heard is how long ago it asked last.
	Heard time.Duration
	// Penalty is how much longer it is kept out, after it had stopped to acknowledge.
	Penalty time.Duration
}

// Status gives a copy of what the replica knows, for operators. It changes nothing.
func (r *Replica) Status(now time.Duration) Status {
	status := Status{Self: r.self, View: r.view, Position: r.position(), Head: r.IsHead(now), Tail: r.IsTail(now),
		Committed: r.Committed(), Last: r.LastIndex(), Synced: r.chain.Synced(), Leaving: r.leaving}
	for _, voter := range r.view.Voters {
		status.Members = append(status.Members, r.memberStatus(now, voter))
	}
	if !r.leading() {
		return status
	}
	status.Lease = max(r.head.leaseUntil-now, 0)
	status.Admitting = r.head.admitting
	for id, known := range r.head.learners {
		acked, _, _ := r.chain.Learner(id)
		status.Learners = append(status.Learners, LearnerStatus{Member: known.member, Acked: acked, Heard: now - known.heardAt,
			Penalty: max(r.head.penalties[id].until-now, 0)})
	}
	slices.SortFunc(status.Learners, func(a, b LearnerStatus) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
	return status
}

func (r *Replica) memberStatus(now time.Duration, voter view.Member) MemberStatus {
	status := MemberStatus{Member: voter, Position: r.view.Position(voter.ID), Heard: -1}
	known := r.peers[voter.ID]
	switch {
	case voter.ID == r.self.ID:
		status.Heard = 0
		status.Received, status.Synced, status.Acked = r.LastIndex(), r.chain.Synced(), r.chain.Acked()
	case known != nil && r.leading():
		status.Heard = now - known.heard.at
		status.Received, status.Synced, status.Acked = known.received, known.synced, known.acked
		status.Leaving, status.Gone = known.leaving, known.gone
	}
	return status
}

// RecordContent is what one record says; exactly the field that Kind names is set.
type RecordContent struct {
	Kind     RecordKind
	Entry    *chain.Entry
	Truncate uint64 // all after this index is dropped
	// Committed is the index up to which all entries are committed.
	Committed uint64
	Snapshot  *chain.Snapshot // of KindSnapshotPart: what this part holds
	View      *view.View
	Acceptor  *view.Acceptor
	Identity  view.ReplicaID
	Unfit     string
}

// Inspect reads one record by itself. The error wraps view.ErrCorrupt.
func Inspect(record Record) (RecordContent, error) {
	var alone Persisted
	found := RecordContent{Kind: record.Kind}
	if record.Kind == KindEntry {
		entry, err := decodeEntry(record.Data)
		found.Entry = &entry
		return found, err
	}
	if record.Kind == KindTruncate {
		index, _, err := uvarint(record.Data)
		found.Truncate = index
		return found, err
	}
	if record.Kind == KindCommitted {
		index, _, err := uvarint(record.Data)
		found.Committed = index
		return found, err
	}
	if record.Kind == KindSnapshotPart {
		part, err := decodePart(record.Data)
		found.Snapshot = &chain.Snapshot{Index: part.index, Epoch: part.epoch, Data: part.data}
		return found, err
	}
	if err := alone.apply(record); err != nil {
		return found, err
	}
	found.Snapshot, found.Identity, found.Unfit = alone.Snapshot, alone.Identity, alone.Unfit
	switch record.Kind {
	case KindView:
		found.View = &alone.View
	case KindAcceptor:
		found.Acceptor = &alone.Acceptor
	}
	return found, nil
}
