package membership

import (
	"gaugeslip/coord/gossip"
	"gaugeslip/coord/peersampling"
)

// ServiceName is what a node's service is registered as.
const ServiceName = "Membership"

const (
	exchangeMethod = ServiceName + ".Exchange"
	pushMethod     = ServiceName + ".Push"
)

// ExchangeArgs begin an exchange of state, and a shuffle where there is one.
type ExchangeArgs struct {
	Gossip  gossip.Request
	Shuffle *peersampling.ShuffleRequest
}

// ExchangeReply answers both.
type ExchangeReply struct {
	Gossip  gossip.Reply
	Shuffle *peersampling.ShuffleReply
}

// PushArgs are a push and the address to ask for what it announces.
type PushArgs struct {
	From string
	Push gossip.Push
}

// PushReply answers a push.
type PushReply struct{ Reply gossip.PushReply }

// Service is the net/rpc service of a node, to be registered as ServiceName.
type Service struct{ node *Node }

// Exchange answers another node's exchange.
func (s *Service) Exchange(args ExchangeArgs, reply *ExchangeReply) error {
	n := s.node
	n.mu.Lock()
	defer n.mu.Unlock()
	reply.Gossip = n.store.HandleRequest(args.Gossip)
	if args.Shuffle != nil {
		shuffle := n.sampler.HandleRequest(*args.Shuffle)
		reply.Shuffle = &shuffle
	}
	return nil
}

// Push takes in another node's push.
func (s *Service) Push(args PushArgs, reply *PushReply) error {
	n := s.node
	n.mu.Lock()
	learned, answer, pull := n.store.HandlePush(n.options.Clock(), args.Push)
	targets := n.queueLearned(learned, args.From)
	n.mu.Unlock()

	reply.Reply = answer
	n.spread(learned, targets)
	n.spawnPush(args.From, pull)
	return nil
}
