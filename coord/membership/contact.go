package membership

import (
	"gaugeslip/coord/gossip"
)

// runExchange carries out one exchange of a round. If a preferred peer does not answer, it tries other preferred peers.
func (n *Node) runExchange(e exchange) {
	defer n.exchangeDone()
	answered := n.exchangeWith(e)
	for tries := 1; e.preferred && !answered && tries < maxPreferredTries; tries++ {
		address, ok := n.nextPreferred(e.address)
		if !ok {
			return
		}
		e.address = address
		answered = n.exchangeWith(e)
	}
}

// exchangeDone counts one exchange less in progress.
func (n *Node) exchangeDone() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.activeExchanges--
}

// nextPreferred selects another preferred peer than the one that failed. It returns false if there is none.
func (n *Node) nextPreferred(failed string) (string, bool) {
	preferred := n.preferred()
	n.mu.Lock()
	defer n.mu.Unlock()
	address, ok := n.rotation.next(n.options.Clock(), preferred)
	return address, ok && address != failed
}

// exchangeWith calls a peer, handles its answer and reports whether there was one.
func (n *Node) exchangeWith(e exchange) bool {
	args := ExchangeArgs{Gossip: n.gossipRequest(), Shuffle: e.shuffle}
	var reply ExchangeReply
	err := n.caller.Call(e.address, exchangeMethod, args, &reply, n.options.CallTimeout)
	if err != nil {
		n.recordFailure(e.address)
		return false
	}
	n.handleReply(e, &reply)
	return true
}

// gossipRequest returns the gossip request that starts an exchange.
func (n *Node) gossipRequest() gossip.Request {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.store.BeginExchange()
}

// handleReply handles the answer to an exchange.
func (n *Node) handleReply(e exchange, reply *ExchangeReply) {
	n.mu.Lock()
	if e.shuffle != nil && reply.Shuffle != nil {
		n.sampler.HandleReply(e.address, *reply.Shuffle)
	}
	n.rotation.markAnswered(e.address)
	learned, push := n.store.HandleReply(n.options.Clock(), reply.Gossip)
	targets := n.queueLearned(learned, e.address)
	n.mu.Unlock()

	n.spread(learned, targets)
	n.spawnPush(e.address, push)
}

// recordFailure records that a peer did not answer.
func (n *Node) recordFailure(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sampler.MarkFailed(address)
	n.rotation.markFailed(n.options.Clock(), address)
}

// queueLearned queues learned values for the subscribers and selects the peers to push them to. The caller holds the lock, and calls spread
// after releasing it.
func (n *Node) queueLearned(learned []gossip.Value, source string) (targets []string) {
	if len(learned) == 0 {
		return nil
	}
	n.deliveries.queue(learned)
	peers := n.sampler.Sample(gossip.Fanout + 1)
	addresses := make([]string, 0, len(peers))
	for _, peer := range peers {
		addresses = append(addresses, peer.Address)
	}
	return gossip.PushTargets(addresses, source, n.random)
}

// spread pushes learned values to the targets and delivers them to the subscribers.
func (n *Node) spread(learned []gossip.Value, targets []string) {
	if len(learned) == 0 {
		return
	}
	rumor := gossip.Rumor(learned)
	for _, target := range targets {
		n.spawnPush(target, &rumor)
	}
	n.deliveries.run()
}

// spawnPush sends a push on a goroutine of its own. It does nothing without a push or an address.
func (n *Node) spawnPush(address string, push *gossip.Push) {
	if push != nil && address != "" {
		n.spawn(func() { n.push(address, *push) })
	}
}

// push sends a push and handles the answer.
func (n *Node) push(address string, push gossip.Push) {
	args := PushArgs{From: n.options.Self.Address, Push: push}
	var reply PushReply
	timeout := n.options.CallTimeout + gossip.TransferTime(push.Bytes())
	err := n.caller.Call(address, pushMethod, args, &reply, timeout)
	if err != nil {
		n.pushFailed(address, push)
		return
	}
	n.mu.Lock()
	learned := n.store.HandlePushReply(push, reply.Reply)
	targets := n.queueLearned(learned, address)
	n.mu.Unlock()

	n.spread(learned, targets)
}

// pushFailed records that a peer did not answer a push and abandons the push.
func (n *Node) pushFailed(address string, push gossip.Push) {
	n.recordFailure(address)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.store.AbandonPush(push)
}
