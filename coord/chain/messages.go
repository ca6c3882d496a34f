package chain

// Body is one message between neighbours in the chain, or between the head and a learner. Exactly one field is set.
type Body struct {
	Hello    *Hello
	Append   *Append
	Ack      *Ack
	Probe    *Probe
	Chunk    *Chunk
	ChunkAck *ChunkAck
}

// Hello asks the predecessor to open a session and describes the sender's log.
type Hello struct {
	Session uint64
	Runs    []Run
	Acked   uint64 // last index on disk at the sender and at all its successors
}

// Append carries entries that follow Prev. The Append with Start opens the session: the receiver drops all entries
// after Prev, and is in step once it holds Target.
type Append struct {
	Session   uint64
	Start     bool
	Target    uint64 // with Start: the last index that the sender holds
	Prev      uint64
	PrevEpoch uint64
	Commit    uint64
	Entries   []Entry
}

// Ack reports that all entries up to Index are on disk at the sender and at all its successors.
type Ack struct {
	Session uint64
	Index   uint64
	Stored  uint64 // last index on the sender's own disk
}

// Probe asks for an Ack, or for a Hello if the receiver lacks entries or has another session.
type Probe struct {
	Session uint64
	Last    uint64 // last index that the sender has sent
}

// Chunk is a part of a snapshot: Data starts at Offset of Total bytes.
type Chunk struct {
	Session uint64
	Index   uint64
	Epoch   uint64
	Offset  int
	Total   int
	Sum     uint64 // checksum of the whole snapshot's data, see snapshotChecksum; 0: none given
	Data    []byte
}

// ChunkAck reports in Offset how many bytes of the snapshot have been received.
type ChunkAck struct {
	Session uint64
	Index   uint64
	Offset  int
}

// Snapshot is the state of the state machine after all entries up to Index. Epoch is the epoch of the entry at Index.
type Snapshot struct {
	Index uint64
	Epoch uint64
	Data  []byte
}
