package peersampling

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// addToView adds peers to a view by a request from each of them.
func addToView(s *Sampler, peers ...Peer) {
	for _, peer := range peers {
		s.HandleRequest(ShuffleRequest{From: peer})
	}
}

func addresses(peers []Peer) []string {
	var all []string
	for _, peer := range peers {
		all = append(all, peer.Address)
	}
	return all
}

func TestShuffleWithoutPeersOrSeedsIsNotOK(t *testing.T) {
	s := New(Peer{Address: "a"}, []string{"a", ""}, 4, 1)
	_, _, ok := s.Shuffle()
	assert.False(t, ok, "the own address and an empty one must not be used as seeds")
	assert.Empty(t, s.Sample(3))
}

func TestEmptyViewShufflesWithSeed(t *testing.T) {
	s := New(Peer{Address: "a", Incarnation: 3}, []string{"seed"}, 4, 1)
	to, request, ok := s.Shuffle()
	require.True(t, ok)
	assert.Equal(t, "seed", to)
	assert.Equal(t, ShuffleRequest{From: Peer{Address: "a", Incarnation: 3}}, request)

	seed := Peer{Address: "seed", Role: "server", Zone: "z", Incarnation: 9}
	s.HandleReply(to, ShuffleReply{From: seed, Peers: []Peer{{Address: "b"}, {Address: "a"}}})
	assert.ElementsMatch(t, []Peer{seed, {Address: "b"}}, s.Peers())
}

func TestSetSeedsReplacesSeeds(t *testing.T) {
	s := New(Peer{Address: "a"}, []string{"old"}, 4, 1)
	s.SetSeeds([]string{"new"})
	for range 20 {
		to, _, ok := s.Shuffle()
		require.True(t, ok)
		assert.Equal(t, "new", to)
		s.MarkFailed(to)
	}
}

func TestShuffleRemovesOldestPeer(t *testing.T) {
	s := New(Peer{Address: "a"}, nil, 4, 1)
	addToView(s, Peer{Address: "b", Age: 1}, Peer{Address: "c", Age: 5}, Peer{Address: "d"})
	to, request, ok := s.Shuffle()
	require.True(t, ok)
	assert.Equal(t, "c", to)
	assert.NotContains(t, addresses(request.Peers), "c")
	assert.NotContains(t, addresses(s.Peers()), "c")
}

func TestLaterIncarnationReplacesEarlierOne(t *testing.T) {
	s := New(Peer{Address: "a"}, nil, 4, 1)
	addToView(s, Peer{Address: "b", Incarnation: 2, Age: 3})
	addToView(s, Peer{Address: "b", Incarnation: 1})
	assert.Equal(t, []Peer{{Address: "b", Incarnation: 2, Age: 3}}, s.Peers(), "an earlier incarnation")
	addToView(s, Peer{Address: "b", Incarnation: 2, Age: 5})
	assert.Equal(t, []Peer{{Address: "b", Incarnation: 2, Age: 3}}, s.Peers(), "an older description of the same incarnation")
	addToView(s, Peer{Address: "b", Incarnation: 3, Age: 7})
	assert.Equal(t, []Peer{{Address: "b", Incarnation: 3, Age: 7}}, s.Peers(), "a later incarnation")
}

func TestFailedIncarnationStaysOutUntilItCalls(t *testing.T) {
	dead := Peer{Address: "b", Incarnation: 2}
	s := New(Peer{Address: "a"}, nil, 4, 1)
	addToView(s, dead)
	to, _, _ := s.Shuffle()
	require.Equal(t, "b", to)
	s.MarkFailed("b")
	s.HandleRequest(ShuffleRequest{From: Peer{Address: "c"}, Peers: []Peer{dead}})
	assert.Equal(t, []string{"c"}, addresses(s.Peers()), "a description from another peer")
	s.HandleReply("b", ShuffleReply{From: dead})
	assert.Equal(t, []string{"c"}, addresses(s.Peers()), "an answer after MarkFailed")
	s.HandleRequest(ShuffleRequest{From: Peer{Address: "c"}, Peers: []Peer{{Address: "b", Incarnation: 3}}})
	assert.ElementsMatch(t, []string{"b", "c"}, addresses(s.Peers()), "a later incarnation")

	s.MarkFailed("b")
	addToView(s, Peer{Address: "b", Incarnation: 3})
	assert.ElementsMatch(t, []string{"b", "c"}, addresses(s.Peers()), "a request from the peer itself")
}

func TestUnsolicitedReplyIsIgnored(t *testing.T) {
	s := New(Peer{Address: "a"}, nil, 4, 1)
	s.HandleReply("b", ShuffleReply{From: Peer{Address: "b"}, Peers: []Peer{{Address: "c"}}})
	assert.Empty(t, s.Peers())
}

func TestFullViewReplacesOfferedPeers(t *testing.T) {
	s := New(Peer{Address: "a"}, nil, 3, 1)
	addToView(s, Peer{Address: "b"}, Peer{Address: "c"}, Peer{Address: "d"})
	reply := s.HandleRequest(ShuffleRequest{From: Peer{Address: "x"}, Peers: []Peer{{Address: "y"}}})
	assert.Len(t, s.Peers(), 3)
	assert.Subset(t, addresses(s.Peers()), []string{"x", "y"})
	gave := addresses(reply.Peers)
	for _, kept := range addresses(s.Peers()) {
		if kept != "x" && kept != "y" {
			assert.Contains(t, []string{"b", "c", "d"}, kept)
		}
	}
	assert.Len(t, gave, 3)
}

func TestSampleDrawsDistinctPeers(t *testing.T) {
	s := New(Peer{Address: "a"}, nil, 8, 1)
	addToView(s, Peer{Address: "b"}, Peer{Address: "c"}, Peer{Address: "d"})
	drawn := map[string]int{}
	for range 3000 {
		sample := s.Sample(2)
		require.Len(t, sample, 2)
		require.NotEqual(t, sample[0].Address, sample[1].Address)
		drawn[sample[0].Address]++
	}
	for address, times := range drawn {
		assert.InDelta(t, 1000, times, 150, address)
	}
	assert.Len(t, s.Sample(9), 3)
}
