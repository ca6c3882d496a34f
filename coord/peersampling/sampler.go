package peersampling

import (
	"math/rand/v2"
	"slices"
)

const (
	// DefaultSize is the default number of peers in a view.
	DefaultSize = 12
	// maxShufflePeers bounds the descriptions in one message, including that of the sender.
	maxShufflePeers = 5
	// shufflesPerSeed is the mean number of shuffles per shuffle with a seed. Shuffles with seeds let partitions heal.
	shufflesPerSeed = 10
	// maxAgeFactor times the view size is the maximum age of a description.
	maxAgeFactor = 4
)

// Sampler holds the view of one process and carries out its part of the shuffles.
type Sampler struct {
	self       Peer
	seeds      []string
	view       view
	quarantine quarantine
	random     *rand.Rand
	shuffles   uint64
	// pending holds the unanswered requests by the address of the peer they were sent to.
	pending map[string]pendingRequest
}

// pendingRequest is a request without an answer.
type pendingRequest struct {
	// partner is the peer that received the request. Of a seed that is not in the view, only the address is known.
	partner Peer
	// offer is the part of the view that was sent.
	offer []Peer
}

// New returns a sampler with an empty view for the process self. The view holds up to size peers, or DefaultSize if size is not positive.
// The seeds are called while the view is empty, and occasionally after that. randomSeed seeds all random choices.
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

// SetSeeds replaces the seeds and keeps the view.
func (s *Sampler) SetSeeds(seeds []string) {
	s.seeds = slices.DeleteFunc(slices.Clone(seeds), func(address string) bool {
		return address == "" || address == s.self.Address
	})
}

// Self returns the description of the own process.
func (s *Sampler) Self() Peer { return s.self }

// Full reports whether the view is full.
func (s *Sampler) Full() bool { return s.view.full() }

// Peers returns the view, in no particular order.
func (s *Sampler) Peers() []Peer { return slices.Clone(s.view.peers) }

// Sample returns up to n distinct peers of the view, drawn uniformly.
func (s *Sampler) Sample(n int) []Peer { return s.view.sample(n, s.random) }

// Shuffle starts a shuffle and returns the request and the address to send it to. The caller reports the outcome with HandleReply or
// MarkFailed. ok is false if there is neither a peer nor a seed to call.
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

// pickPartner selects the peer to shuffle with: with probability 1/shufflesPerSeed, or if the view is empty, a seed; else the oldest peer
// of the view, which it removes from the view. Without seeds it always selects from the view.
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

// pickSeed draws a seed. It returns the description in the view if there is one, else one with the address only.
func (s *Sampler) pickSeed() Peer {
	address := s.seeds[s.random.IntN(len(s.seeds))]
	if i := s.view.find(address); i >= 0 {
		return s.view.peers[i]
	}
	return Peer{Address: address}
}

// drawOffer draws the descriptions to send to a peer in addition to the own one.
func (s *Sampler) drawOffer(address string) []Peer {
	offer := s.view.sample(maxShufflePeers, s.random)
	offer = slices.DeleteFunc(offer, func(p Peer) bool { return p.Address == address })
	return offer[:min(len(offer), maxShufflePeers-1)]
}

// HandleRequest adds the part of the view that a request offers and returns a part of the own view.
func (s *Sampler) HandleRequest(request ShuffleRequest) ShuffleReply {
	offer := s.drawOffer(request.From.Address)
	s.insertRequest(request.From, request.Peers, offer)
	return ShuffleReply{From: s.self, Peers: offer}
}

// HandleReply handles the answer to a request. It ignores an answer without a pending request, for example after MarkFailed.
func (s *Sampler) HandleReply(from string, reply ShuffleReply) {
	request, ok := s.pending[from]
	if !ok {
		return
	}
	delete(s.pending, from)
	// A shuffle reverses the edge between the two: the partner now has this process in its view, and returns to this view only if it has
	// room.
	s.quarantine.release(reply.From.Address)
	s.insertAll(reply.Peers, request.offer)
	if s.acceptable(reply.From) {
		s.view.insert(reply.From, nil)
	}
}

// MarkFailed records that a peer did not answer a call. It removes the peer from the view. Descriptions of this incarnation from other
// peers are rejected for a number of shuffles, unless the peer itself calls or answers before.
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

// insertRequest adds the sender of a request, which is evidently alive, and then the peers that it offers.
func (s *Sampler) insertRequest(from Peer, peers, sent []Peer) {
	s.quarantine.release(from.Address)
	if s.acceptable(from) {
		sent = s.view.insert(from, sent)
	}
	s.insertAll(peers, sent)
}

// insertAll adds the acceptable peers. If the view is full, they replace those in sent.
func (s *Sampler) insertAll(peers, sent []Peer) {
	for _, peer := range peers {
		if s.acceptable(peer) {
			sent = s.view.insert(peer, sent)
		}
	}
}

// acceptable reports whether a description may be added to the view.
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
