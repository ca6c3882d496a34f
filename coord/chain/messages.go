package chain

// Body is one message between neighbours in the chain, or between the head and a learner. One field is set.
type Body struct {
	Hello    *Hello
	Append   *Append
	Ack      *Ack
	Probe    *Probe
	Chunk    *Chunk
	ChunkAck *ChunkAck
}

// Hello opens a session with the predecessor: the sender tells what it has.
type Hello struct {
	Session uint64
	Runs    []Run
	Acked   uint64 // on disk at the sender and all its successors
}

// Append carries entries that follow Prev. The one with Start opens the session: the receiver drops all after Prev,
// and is in step itself once it has Target.
type Append struct {
	Session   uint64
	Start     bool
	Target    uint64 // with Start: the last index that the sender has
	Prev      uint64
	PrevEpoch uint64
	Commit    uint64
	Entries   []Entry
}

// Ack says that all up to Index is on disk at the sender and at all its successors.
type Ack struct {
	Session uint64
	Index   uint64
	Stored  uint64 // on the disk of the sender
}

// Probe asks for an Ack, or for a Hello where something is missing.
type Probe struct {
	Session uint64
	Last    uint64 // last index sent
}

// Chunk is a part of a snapshot.
type Chunk struct {
	Session uint64
	Index   uint64
	Epoch   uint64
	Offset  int
	Total   int
	Sum     uint64 // of the whole snapshot's data, see snapshotChecksum; 0: not given
	Data    []byte
}

// ChunkAck tells how many bytes of the snapshot have come.
type ChunkAck struct {
	Session uint64
	Index   uint64
	Offset  int
}

// Snapshot is the state after all entries up to Index.
type Snapshot struct {
	Index uint64
	Epoch uint64
	Data  []byte
}
