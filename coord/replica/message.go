package replica

import (
	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// Message is what replicas send to each other. At most one field after View is set. Messages may be lost, duplicated, delayed and
// reordered. A Message must not be changed once it is handed out.
type Message struct {
	From     view.Member
	To       view.ReplicaID // empty: the replica at the address, whatever its identity
	Epoch    uint64         // of the sender's view
	Viewless bool           // the sender knows no view
	View     *view.View     // the sender's view, where the receiver may not know it

	Prepare      *view.Prepare
	Promise      *view.Promise
	Accept       *view.Accept
	Accepted     *view.Accepted
	Heartbeat    *view.Heartbeat
	HeartbeatAck *view.HeartbeatAck
	Join         *view.Join
	Leave        *view.LeaveNotice
	Request      *view.Request
	Differs      *view.Digest // from the head, where the receiver's state differs: the agreed digest
	Chain        *chain.Body
}

// Envelope is a message and the address to send it to.
type Envelope struct {
	To      string
	Message *Message
}

// Input is the input of one Step.
type Input interface{ input() }

// Receive hands in a message from another replica.
type Receive struct{ Message *Message }

// Tick reports that time has passed.
type Tick struct{}

// Synced reports that all records up to Token are on disk.
type Synced struct{ Token uint64 }

// DiskFailed reports that the disk refuses writes. The replica acknowledges nothing any more and leaves the chain.
type DiskFailed struct{}

// Leave asks the replica to leave the chain. A head hands its place over.
type Leave struct{}

// Contacts sets the addresses of other replicas, from the seeds or from discovery. They replace the earlier ones.
type Contacts struct{ Addresses []string }

// SnapshotReady answers Output.NeedSnapshot: the state after all delivered entries up to Index.
type SnapshotReady struct {
	Index uint64
	Data  []byte
}

// StateDigest hands in the digest of the state after all delivered entries up to the digest's index.
type StateDigest struct{ Digest view.Digest }

func (StateDigest) input()   {}
func (Receive) input()       {}
func (Tick) input()          {}
func (Synced) input()        {}
func (DiskFailed) input()    {}
func (Leave) input()         {}
func (Contacts) input()      {}
func (SnapshotReady) input() {}

// Event reports a change to the embedder.
type Event interface{ event() }

// BecameHead reports that this replica is the head and that it has delivered everything that its predecessors can have committed.
// Continued is true if it was the head in the epoch before as well, with no other head in between.
type BecameHead struct {
	Epoch     uint64
	Continued bool
}

// LostHead reports that this replica is no longer the head or has no lease.
type LostHead struct {
	Epoch uint64
	Cause Cause
}

// ViewChanged reports that a newer view is known, and why it was proposed.
type ViewChanged struct {
	View  view.View
	Cause Cause
}

// Left reports that the replica has left the chain, as requested by Leave.
type Left struct{}

func (BecameHead) event()  {}
func (LostHead) event()    {}
func (ViewChanged) event() {}
func (Left) event()        {}
