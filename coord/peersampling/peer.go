package peersampling

// Peer describes one incarnation of a process that others may call. An incarnation is one run of the process.
type Peer struct {
	// Address is where the process is called. No two live processes share one.
	Address string
	// Role and Zone are passed on unchanged.
	Role string
	Zone string
	// Incarnation is greater for each later incarnation at the address.
	Incarnation uint64
	// Age counts the shuffles since the peer created this description, made by the processes whose views contained it.
	Age uint16
}

// supersedes reports whether p is more recent than another description of the same address: a later incarnation, or a younger description
// of the same one.
func (p Peer) supersedes(other Peer) bool {
	if p.Incarnation != other.Incarnation {
		return p.Incarnation > other.Incarnation
	}
	return p.Age < other.Age
}

// ShuffleRequest offers a part of the view of the sender in exchange for a part of the view of the receiver.
type ShuffleRequest struct {
	From  Peer
	Peers []Peer
}

// ShuffleReply carries the receiver's part.
type ShuffleReply struct {
	From  Peer
	Peers []Peer
}
