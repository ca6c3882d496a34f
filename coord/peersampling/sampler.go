package peersampling

import (
	"math/rand/v2"
	"slices"
)

const (
	// DefaultSize is how many peers a view holds where nothing else is said.
	DefaultSize = 12
	// maxShufflePeers is how many descriptions one message carries at most, the sender's among them.
	maxShufflePeers = 5
	// shufflesPerSeed is how many shuffles go to the view for one that goes to a seed, so that partitions heal.
	shufflesPerSeed = 10
	// maxAgeFactor is the greatest age of a description, in view sizes.
	maxAgeFactor = 4
)

// Sampler is the view of one process and its part in the shuffles.
type Sampler struct {
	self       Peer
	seeds      []string
	view       view
	quarantine quarantine
	random     *rand.Rand
	shuffles   uint64
	// pending holds the unanswered requests by whom they were sent to.
	pending map[string]pendingRequest
}

// pendingRequest is a request that has no answer yet.
type pendingRequest struct {
	// partner is whom it went to, as far as known: a seed may be known by its address only.
	partner Peer
	// offer is what it gave away.
	offer []Peer
}

// New starts an empty view of a number of peers (DefaultSize if it isn't positive) for the process self. The seeds are called
// while the view is empty, and now and then after that; randomSeed drives every choice.
func New(self Peer, seeds []string, size int, randomSeed uint64) *Sampler {
	if size <= 0 {
		size = DefaultSize
	}
	self.Age = 0
	s := &Sampler{
		self:       self,
		view:       view{size: size, peers: make([]Peer, 0, size)},
		quarantine: newQuarantine(uint64(size)),
		random:     rand.New(rand.NewPCG(randomSeed, self.Incarnation)),
		pending:    map[string]pendingRequest{},
	}
	s.SetSeeds(seeds)
	return s
}

// SetSeeds takes other seeds in place of those before; the view stays.
func (s *Sampler) SetSeeds(seeds []string) {
	s.seeds = slices.DeleteFunc(slices.Clone(seeds), func(address string) bool {
		return address == "" || address == s.self.Address
	})
}

// Self returns the own description.
func (s *Sampler) Self() Peer { return s.self }

// Full reports whether the view has no room left.
func (s *Sampler) Full() bool { return s.view.full() }

// Peers returns the view, in no order.
func (s *Sampler) Peers() []Peer { return slices.Clone(s.view.peers) }

// Sample returns up to n different peers of the view, drawn evenly.
func (s *Sampler) Sample(n int) []Peer { return s.view.sample(n, s.random) }

// Shuffle begins one shuffle and returns whom to send the request to. The caller tells the outcome by HandleReply or Failed. It
// isn't ok when there is neither a peer nor a seed to call.
func (s *Sampler) Shuffle() (to string, request ShuffleRequest, ok bool) {
	s.shuffles++
	s.quarantine.expire(s.shuffles)
	s.view.incrementAges(uint16(maxAgeFactor * s.view.size))
	partner, ok := s.pickPartner()
	if !ok {
		return "", ShuffleRequest{}, false
	}
	offer := s.drawOffer(partner.Address)
	s.pending[partner.Address] = pendingRequest{partner: partner, offer: offer}
	return partner.Address, ShuffleRequest{From: s.self, Peers: offer}, true
}

// pickPartner picks whom to shuffle with: now and then a seed, else the oldest of the view, which it takes out.
func (s *Sampler) pickPartner() (Peer, bool) {
	oldest := s.view.oldest()
	seedsTurn := oldest < 0 || s.random.IntN(shufflesPerSeed) == 0
	if seedsTurn && len(s.seeds) > 0 {
		return s.pickSeed(), true
	}
	if oldest < 0 {
		return Peer{}, false
	}
	peer := s.view.peers[oldest]
	s.view.remove(oldest)
	return peer, true
}

// pickSeed draws a seed; what the view knows of it goes with it.
func (s *Sampler) pickSeed() Peer {
	address := s.seeds[s.random.IntN(len(s.seeds))]
	if i := s.view.find(address); i >= 0 {
		return s.view.peers[i]
	}
	return Peer{Address: address}
}

// drawOffer draws what to send to a peer besides the own description.
func (s *Sampler) drawOffer(address string) []Peer {
	offer := s.view.sample(maxShufflePeers, s.random)
	offer = slices.DeleteFunc(offer, func(p Peer) bool { return p.Address == address })
	return offer[:min(len(offer), maxShufflePeers-1)]
}

// HandleRequest takes another's part and returns the own one.
func (s *Sampler) HandleRequest(request ShuffleRequest) ShuffleReply {
	offer := s.drawOffer(request.From.Address)
	s.insertRequest(request.From, request.Peers, offer)
	return ShuffleReply{From: s.self, Peers: offer}
}

// HandleReply takes the answer of the peer that a request went to. An answer to none, or after Failed, changes nothing.
func (s *Sampler) HandleReply(from string, reply ShuffleReply) {
	request, ok := s.pending[from]
	if !ok {
		return
	}
	delete(s.pending, from)
	// The swap turns the edge round: the partner is taken back only where there is room for it.
	s.quarantine.release(reply.From.Address)
	s.insertAll(reply.Peers, request.offer)
	if s.acceptable(reply.From) {
		s.view.insert(reply.From, nil)
	}
}

// MarkFailed tells that a peer hasn't answered a call: it leaves the view, and others' descriptions of this life of it aren't taken
// for a while unless it is heard.
func (s *Sampler) MarkFailed(address string) {
	failed := s.pending[address].partner
	delete(s.pending, address)
	if i := s.view.find(address); i >= 0 {
		failed = s.view.peers[i]
		s.view.remove(i)
	}
	if failed.Address != "" {
		s.quarantine.add(failed, s.shuffles)
	}
}

// insertRequest takes in what a request brought; its sender was heard, and goes first.
func (s *Sampler) insertRequest(from Peer, peers, sent []Peer) {
	s.quarantine.release(from.Address)
	if s.acceptable(from) {
		sent = s.view.insert(from, sent)
	}
	s.insertAll(peers, sent)
}

func (s *Sampler) insertAll(peers, sent []Peer) {
	for _, peer := range peers {
		if s.acceptable(peer) {
			sent = s.view.insert(peer, sent)
		}
	}
}

// acceptable reports whether a description may enter the view.
func (s *Sampler) acceptable(peer Peer) bool {
	switch {
	case peer.Address == "" || peer.Address == s.self.Address:
		return false
	case int(peer.Age) > maxAgeFactor*s.view.size:
		return false
	default:
		return !s.quarantine.contains(peer)
	}
}
