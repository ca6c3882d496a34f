package replica

import (
	"cmp"
	"slices"
	"time"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// Status is the state of a replica for operators. Times are durations relative to the moment of the call.
type Status struct {
	Self view.Member
	View view.View
	// Position is the place in the chain, -1 if not in it.
	Position int
	// Head and Tail report what the replica may do now: act as the head, and answer reads as the tail.
	Head, Tail bool
	// Lease is what is left of the head's lease, 0 at other replicas.
	Lease time.Duration
	// Committed, Last and Synced are the last indexes known to be committed, in the log, and on the own disk.
	Committed, Last, Synced uint64
	// Leaving reports that the replica wants to leave the chain.
	Leaving bool
	// Admitting is the learner for which the head holds writes back, if any.
	Admitting view.ReplicaID
	// Members are the voters, with what the head last heard from each; at other replicas only who they are.
	Members []MemberStatus
	// Learners are the replicas that have asked the head to become members.
	Learners []LearnerStatus
}

// MemberStatus is a voter as the head sees it.
type MemberStatus struct {
	Member view.Member
	// Position is the place in the chain, -1 if not in it.
	Position int
	// Heard is how long ago it answered, -1 if unknown.
	Heard time.Duration
	// Received, Synced and Acked are the last indexes that it has in its log, on its disk, and on its disk and those of its successors.
	Received, Synced, Acked uint64
	Leaving, Gone           bool
}

// LearnerStatus is a replica that catches up, as the head sees it.
type LearnerStatus struct {
	Member view.Member
	// Acked is the last index on its disk.
	Acked uint64
	// Heard is how long ago it last asked to join.
	Heard time.Duration
	// Penalty is how much longer it is kept out because it had stopped acknowledging.
	Penalty time.Duration
}

// Status returns a copy of the replica's state for operators. It changes nothing.
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

// RecordContent is the content of one record. Only the field that Kind names is set.
type RecordContent struct {
	Kind     RecordKind
	Entry    *chain.Entry
	Truncate uint64 // all entries after this index are dropped
	// Committed is the index up to which all entries are committed.
	Committed uint64
	Snapshot  *chain.Snapshot // for KindSnapshotPart: the content of this part
	View      *view.View
	Acceptor  *view.Acceptor
	Identity  view.ReplicaID
	Unfit     string
}

// Inspect decodes one record by itself. An error wraps view.ErrCorrupt.
func Inspect(record Record) (RecordContent, error) {
	var single Persisted
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
		part, err := decodeSnapshotPart(record.Data)
		found.Snapshot = &chain.Snapshot{Index: part.index, Epoch: part.epoch, Data: part.data}
		return found, err
	}
	if err := single.apply(record); err != nil {
		return found, err
	}
	found.Snapshot, found.Identity, found.Unfit = single.Snapshot, single.Identity, single.Unfit
	switch record.Kind {
	case KindView:
		found.View = &single.View
	case KindAcceptor:
		found.Acceptor = &single.Acceptor
	}
	return found, nil
}
