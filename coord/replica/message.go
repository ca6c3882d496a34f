package replica

import (
	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// Message is what replicas say to each other. At most one field after View is set. Messages may be lost, doubled,
// late and out of order. A Message must not be changed once it is handed out.
type Message struct {
	From     view.Member
	To       view.ReplicaID // empty: whoever is at the address
	Epoch    uint64         // of the sender's view
	Viewless bool           // the sender knows no view
	View     *view.View     // where the receiver may not know it: the sender's view

	Prepare      *view.Prepare
	Promise      *view.Promise
	Accept       *view.Accept
	Accepted     *view.Accepted
	Heartbeat    *view.Heartbeat
	HeartbeatAck *view.HeartbeatAck
	Join         *view.Join
	Leave        *view.LeaveNotice
	Request      *view.Request
	Differs      *view.Digest // from the head: what is agreed, where the receiver's state differs
	Chain        *chain.Body
}

// Envelope is a message and the address that it goes to.
type Envelope struct {
	To      string
	Message *Message
}

// Input is what a Replica is told in a Step.
type Input interface{ input() }

// Receive is a message from another replica.
type Receive struct{ Message *Message }

// Tick says that time has passed.
type Tick struct{}

// Synced says that all records up to this token's are on disk.
type Synced struct{ Token uint64 }

// DiskFailed says that the disk refuses: nothing is acknowledged any more, and the replica leaves the chain.
type DiskFailed struct{}

// Leave asks the replica to get out of the chain, handing over the head's place if it has it.
type Leave struct{}

// Contacts are addresses of other replicas, from the seeds or by hearsay. They replace the ones given before.
type Contacts struct{ Addresses []string }

// SnapshotReady answers Output.NeedSnapshot: the state after all delivered entries up to Index.
type SnapshotReady struct {
	Index uint64
	Data  []byte
}

// StateDigest gives the digest of the state after all delivered entries up to its index.
type StateDigest struct{ Digest view.Digest }

func (StateDigest) input()   {}
func (Receive) input()       {}
func (Tick) input()          {}
func (Synced) input()        {}
func (DiskFailed) input()    {}
func (Leave) input()         {}
func (Contacts) input()      {}
func (SnapshotReady) input() {}

// Event tells the embedder of a change.
type Event interface{ event() }

// BecameHead says that this replica is the head and that all its predecessors can have committed is delivered.
// Continued: it was the head in the epoch before as well, with no other in between.
type BecameHead struct {
	Epoch     uint64
	Continued bool
}

// LostHead says that this replica isn't the head any more, or has no lease.
type LostHead struct {
	Epoch uint64
	Cause Cause
}

// ViewChanged says that a newer view is known, and why it was wished for.
type ViewChanged struct {
	View  view.View
	Cause Cause
}

// Left says that the replica is out of the chain, as it was told to by Leave.
type Left struct{}

func (BecameHead) event()  {}
func (LostHead) event()    {}
func (ViewChanged) event() {}
func (Left) event()        {}
