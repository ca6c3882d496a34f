package membership

import (
	"gaugeslip/coord/gossip"
	"gaugeslip/coord/peersampling"
)

// ServiceName is the net/rpc name under which the service of a node is registered.
const ServiceName = "Membership"

const (
	exchangeMethod = ServiceName + ".Exchange"
	pushMethod     = ServiceName + ".Push"
)

// ExchangeArgs start an exchange of state and, if Shuffle is set, a shuffle.
type ExchangeArgs struct {
	Gossip  gossip.Request
	Shuffle *peersampling.ShuffleRequest
}

// ExchangeReply answers the exchange and the shuffle.
type ExchangeReply struct {
	Gossip  gossip.Reply
	Shuffle *peersampling.ShuffleReply
}

// PushArgs carry a push and the address from which to request the values that it announces.
type PushArgs struct {
	From string
	Push gossip.Push
}

// PushReply answers a push.
type PushReply struct{ Reply gossip.PushReply }

// Service is the net/rpc service of a node. It is registered under ServiceName.
type Service struct{ node *Node }

// Exchange answers an exchange of another node.
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

// Push handles a push of another node.
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
