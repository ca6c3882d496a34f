package peersampling

// quarantine remembers for a number of shuffles which lives didn't answer, so that others' stale descriptions don't bring them
// back at once.
type quarantine struct {
	lives map[string]quarantined
	// span is how many of the own shuffles a life stays in.
	span uint64
}

type quarantined struct {
	incarnation uint64
	until       uint64
}

func newQuarantine(span uint64) quarantine {
	return quarantine{lives: map[string]quarantined{}, span: span}
}

// add puts a life in at the given shuffle.
func (q *quarantine) add(peer Peer, shuffle uint64) {
	q.lives[peer.Address] = quarantined{incarnation: peer.Incarnation, until: shuffle + q.span}
}

// holds reports whether a peer is in: the same life or an earlier one.
func (q *quarantine) holds(peer Peer) bool {
	held, ok := q.lives[peer.Address]
	return ok && peer.Incarnation <= held.incarnation
}

// lift lets the peer at an address out; it was heard.
func (q *quarantine) lift(address string) { delete(q.lives, address) }

// expire lets out those whose time is over at the given shuffle.
func (q *quarantine) expire(shuffle uint64) {
	for address, held := range q.lives {
		if shuffle >= held.until {
			delete(q.lives, address)
		}
	}
}
