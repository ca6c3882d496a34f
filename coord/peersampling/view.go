package peersampling

import (
	"math/rand/v2"
	"slices"
)

// view is a bounded set of peers, one for each address, in no order.
type view struct {
	peers []Peer
	size  int
}

// find returns the index of the peer at an address, or -1.
func (v *view) find(address string) int {
	return slices.IndexFunc(v.peers, func(p Peer) bool { return p.Address == address })
}

func (v *view) full() bool { return len(v.peers) >= v.size }

// remove takes out the peer at an index.
func (v *view) remove(index int) {
	last := len(v.peers) - 1
	v.peers[index] = v.peers[last]
	v.peers = v.peers[:last]
}

// oldest returns the index of a peer of the greatest age, or -1 if there is none.
func (v *view) oldest() int {
	oldest := -1
	for i := range v.peers {
		if oldest < 0 || v.peers[i].Age > v.peers[oldest].Age {
			oldest = i
		}
	}
	return oldest
}

// incrementAges makes every peer a shuffle older and drops those beyond the limit.
func (v *view) incrementAges(limit uint16) {
	for i := range v.peers {
		v.peers[i].Age++
	}
	v.peers = slices.DeleteFunc(v.peers, func(p Peer) bool { return p.Age > limit })
}

// sample returns up to n different peers, drawn evenly.
func (v *view) sample(n int, random *rand.Rand) []Peer {
	n = min(n, len(v.peers))
	if n <= 0 {
		return nil
	}
	for i := range n {
		j := i + random.IntN(len(v.peers)-i)
		v.peers[i], v.peers[j] = v.peers[j], v.peers[i]
	}
	return slices.Clone(v.peers[:n])
}

// insert takes a peer in: in place of an older description of it, else where there is room, else in place of the first of given
// that is still there. It returns what is left of given.
func (v *view) insert(peer Peer, sent []Peer) []Peer {
	if i := v.find(peer.Address); i >= 0 {
		if peer.supersedes(v.peers[i]) {
			v.peers[i] = peer
		}
		return sent
	}
	if !v.full() {
		v.peers = append(v.peers, peer)
		return sent
	}
	for len(sent) > 0 {
		i := v.find(sent[0].Address)
		sent = sent[1:]
		if i >= 0 {
			v.peers[i] = peer
			return sent
		}
	}
	return sent
}
