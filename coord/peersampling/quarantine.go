package peersampling

// quarantine records for a number of shuffles which incarnations did not answer, so that stale descriptions from other peers do not bring
// them back immediately.
type quarantine struct {
	entries map[string]quarantined
	// duration is the number of own shuffles that an incarnation stays in quarantine.
	duration uint64
}

type quarantined struct {
	incarnation uint64
	until       uint64
}

func newQuarantine(span uint64) quarantine {
	return quarantine{entries: map[string]quarantined{}, duration: span}
}

// add adds the incarnation of a peer at the given shuffle.
func (q *quarantine) add(peer Peer, shuffle uint64) {
	q.entries[peer.Address] = quarantined{incarnation: peer.Incarnation, until: shuffle + q.duration}
}

// contains reports whether the incarnation of a peer, or a later one at its address, is in quarantine.
func (q *quarantine) contains(peer Peer) bool {
	entry, ok := q.entries[peer.Address]
	return ok && peer.Incarnation <= entry.incarnation
}

// release removes the peer at an address, because it called or answered.
func (q *quarantine) release(address string) { delete(q.entries, address) }

// expire removes the entries that end at or before the given shuffle.
func (q *quarantine) expire(shuffle uint64) {
	for address, entry := range q.entries {
		if shuffle >= entry.until {
			delete(q.entries, address)
		}
	}
}
