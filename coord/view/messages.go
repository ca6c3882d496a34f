package view

import "time"

// Prepare asks the voters of the sender's view for a promise (phase 1 of Paxos).
type Prepare struct{ Ballot Ballot }

// Promise answers Prepare.
type Promise struct {
	Ballot   Ballot // the ballot of the Prepare
	OK       bool
	Leaving  bool   // the answering replica wants to leave the chain
	Promised Ballot // if not OK: the higher ballot promised; zero if a grant prevents the promise or the replica has no vote
	Accepted Ballot // the highest ballot in which the replica has accepted a value; zero if none
	Value    *View  // the value accepted in ballot Accepted, or nil
}

// Accept asks the voters to accept a value (phase 2 of Paxos).
type Accept struct {
	Ballot Ballot
	Value  View
}

// Accepted answers Accept.
type Accepted struct {
	Ballot   Ballot
	OK       bool
	Promised Ballot // if not OK: the higher ballot promised; zero if a grant prevents the vote or the replica has no vote
}

// Heartbeat is sent by the head to every voter.
type Heartbeat struct {
	Sequence uint64
	Echo     uint64        // to the tail: sequence of the last heartbeat that the tail has acknowledged
	ReadFor  time.Duration // to the tail: how long it may answer reads, counted from when the tail acknowledged Echo
}

// Digest is a checksum of a replica's state after all entries up to Index. Digests of one Format are equal at all replicas whose state is
// equal.
type Digest struct {
	Index  uint64
	Format uint32
	Sum    uint64
}

// HeartbeatAck answers Heartbeat and reports the progress of the member in the chain.
type HeartbeatAck struct {
	Sequence uint64
	Granted  bool   // the voter grants the head its lease for this heartbeat
	Received uint64 // last index held
	Synced   uint64 // last index on disk
	Acked    uint64 // last index on disk here and at all successors
	// Digests are the most recent digests of the member's state.
	Digests []Digest
	Broken  bool // the member's disk fails
}

// Join asks the head to admit the sender as a member. The enclosing message describes the sender.
type Join struct{ Sequence uint64 }

// LeaveNotice asks the head to remove the sender from the chain. The sender has stopped answering reads.
type LeaveNotice struct {
	Sequence uint64
	Broken   bool // the sender's disk fails: it can no longer acknowledge entries
}

// Request asks for the latest view.
type Request struct{ Sequence uint64 }
