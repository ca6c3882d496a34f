package peersampling

// Peer describes one life of a process that others may call.
type Peer struct {
	// Address is where the process is called; no two live processes share one.
	Address string
	// Role and Zone are handed on as they are.
	Role string
	Zone string
	// Incarnation grows with each life at the address.
	Incarnation uint64
	// Age counts the shuffles that this description has seen since the peer made it.
	Age uint16
}

// supersedes reports whether p tells more than another description of the same address: a later life, or the same seen later.
func (p Peer) supersedes(other Peer) bool {
	if p.Incarnation != other.Incarnation {
		return p.Incarnation > other.Incarnation
	}
	return p.Age < other.Age
}

// ShuffleRequest offers a part of the sender's view in exchange for a part of the receiver's.
type ShuffleRequest struct {
	From  Peer
	Peers []Peer
}

// ShuffleReply is the receiver's part.
type ShuffleReply struct {
	From  Peer
	Peers []Peer
}
