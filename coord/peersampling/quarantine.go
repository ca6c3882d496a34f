package peersampling

// quarantine remembers for a number of shuffles which lives didn't answer, so that others' stale descriptions don't bring them
// back at once.
type quarantine struct {
	entries map[string]quarantined
	// duration is how many of the own shuffles a life stays in.
	duration uint64
}

type quarantined struct {
	incarnation uint64
	until       uint64
}

func newQuarantine(span uint64) quarantine {
	return quarantine{entries: map[string]quarantined{}, duration: span}
}

// add puts a life in at the given shuffle.
func (q *quarantine) add(peer Peer, shuffle uint64) {
	q.entries[peer.Address] = quarantined{incarnation: peer.Incarnation, until: shuffle + q.duration}
}

// contains reports whether a peer is in: the same life or an earlier one.
func (q *quarantine) contains(peer Peer) bool {
	entry, ok := q.entries[peer.Address]
	return ok && peer.Incarnation <= entry.incarnation
}

// release lets the peer at an address out; it was heard.
func (q *quarantine) release(address string) { delete(q.entries, address) }

// expire lets out those whose time is over at the given shuffle.
func (q *quarantine) expire(shuffle uint64) {
	for address, entry := range q.entries {
		if shuffle >= entry.until {
			delete(q.entries, address)
		}
	}
}
