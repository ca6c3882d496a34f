package view

import "time"

// Prepare asks the voters of the sender's view for a promise.
type Prepare struct{ Ballot Ballot }

// Promise answers Prepare.
type Promise struct {
	Ballot   Ballot // the one asked for
	OK       bool
	Leaving  bool   // the answering replica wants out of the chain
	Promised Ballot // where not OK: the ballot in the way; zero if it is a grant, or no vote
	Accepted Ballot
	Value    *View // with Accepted
}

// Accept asks the voters to accept a value.
type Accept struct {
	Ballot Ballot
	Value  View
}

// Accepted answers Accept.
type Accepted struct {
	Ballot   Ballot
	OK       bool
	Promised Ballot // where not OK: the ballot in the way; zero if it is a grant, or no vote
}

// Heartbeat is sent by the head to every voter.
type Heartbeat struct {
	Sequence uint64
	Echo     uint64        // to the tail: the last heartbeat that it has acknowledged
	ReadFor  time.Duration // to the tail: how long it may answer reads, counted from when it acknowledged Echo
}

// Digest sums up a replica's state after all entries up to Index. Those of one Format are the same at all replicas whose state is.
type Digest struct {
	Index  uint64
	Format uint32
	Sum    uint64
}

// HeartbeatAck answers Heartbeat, with the state of the member's part of the chain.
type HeartbeatAck struct {
	Sequence uint64
	Granted  bool
	Received uint64 // last index held
	Synced   uint64 // last index on disk
	Acked    uint64 // last index on disk here and at all successors
	// Digests are the last few of the member's state.
	Digests []Digest
	Broken  bool // the disk refuses
}

// Join asks the head to become a member; the sender's data stand in the message.
type Join struct{ Sequence uint64 }

// LeaveNotice asks the head to be left out of the chain; the sender has stopped to answer reads.
type LeaveNotice struct {
	Sequence uint64
	Broken   bool // the disk refuses: it can't acknowledge anything any more
}

// Request asks for the newest view.
type Request struct{ Sequence uint64 }
