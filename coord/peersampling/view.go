package peersampling

import (
	"math/rand/v2"
	"slices"
)

// view is a bounded set of peers with distinct addresses, in no particular order.
type view struct {
	peers []Peer
	size  int
}

// find returns the index of the peer at an address, or -1.
func (v *view) find(address string) int {
	return slices.IndexFunc(v.peers, func(p Peer) bool { return p.Address == address })
}

func (v *view) full() bool { return len(v.peers) >= v.size }

// remove removes the peer at an index.
func (v *view) remove(index int) {
	last := len(v.peers) - 1
	v.peers[index] = v.peers[last]
	v.peers = v.peers[:last]
}

// oldest returns the index of a peer with the greatest age, or -1 if the view is empty.
func (v *view) oldest() int {
	oldest := -1
	for i := range v.peers {
		if oldest < 0 || v.peers[i].Age > v.peers[oldest].Age {
			oldest = i
		}
	}
	return oldest
}

// incrementAges increments the age of every peer and removes those older than the limit.
func (v *view) incrementAges(limit uint16) {
	for i := range v.peers {
		v.peers[i].Age++
	}
	v.peers = slices.DeleteFunc(v.peers, func(p Peer) bool { return p.Age > limit })
}

// sample returns up to n distinct peers, drawn uniformly. It reorders the view.
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

// insert adds a peer. It replaces an older description of the same address. Otherwise it uses free room, or else replaces the first peer of
// sent that is still in the view. It returns the rest of sent.
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
