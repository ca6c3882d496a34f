package membership

import (
	"gaugeslip/coord/gossip"
)

// carryOut does one exchange of a round; in place of a preferred peer that doesn't answer others are asked.
func (n *Node) carryOut(e exchange) {
	defer n.exchangeOver()
	answered := n.exchangeWith(e)
	for tries := 1; e.preferred && !answered && tries < preferredTries; tries++ {
		address, ok := n.nextPreferred(e.address)
		if !ok {
			return
		}
		e.address = address
		answered = n.exchangeWith(e)
	}
}

func (n *Node) exchangeOver() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.exchanges--
}

// nextPreferred picks another preferred peer than the one that has just failed.
func (n *Node) nextPreferred(failed string) (string, bool) {
	preferred := n.preferred()
	n.mu.Lock()
	defer n.mu.Unlock()
	address, ok := n.rotation.next(n.options.Clock(), preferred)
	return address, ok && address != failed
}

// exchangeWith calls a peer and carries on with its answer. It reports whether there was one.
func (n *Node) exchangeWith(e exchange) bool {
	args := ExchangeArgs{Gossip: n.begin(), Shuffle: e.shuffle}
	var reply ExchangeReply
	err := n.caller.Call(e.address, exchangeMethod, args, &reply, n.options.CallTimeout)
	if err != nil {
		n.noteFailed(e.address)
		return false
	}
	n.finish(e, &reply)
	return true
}

func (n *Node) begin() gossip.Request {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.store.Begin()
}

// finish takes in the answer to an exchange.
func (n *Node) finish(e exchange, reply *ExchangeReply) {
	n.mu.Lock()
	if e.shuffle != nil && reply.Shuffle != nil {
		n.sampler.HandleReply(e.address, *reply.Shuffle)
	}
	n.rotation.answered(e.address)
	learned, push := n.store.HandleReply(n.options.Clock(), reply.Gossip)
	targets := n.noteLearned(learned, e.address)
	n.mu.Unlock()

	n.spread(learned, targets)
	n.spawnPush(e.address, push)
}

// noteFailed notes that a peer didn't answer.
func (n *Node) noteFailed(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sampler.Failed(address)
	n.rotation.failed(n.options.Clock(), address)
}

// noteLearned queues news for the subscribers and draws whom to push it to. The caller holds the lock, and calls spread without.
func (n *Node) noteLearned(learned []gossip.Value, source string) (targets []string) {
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

// spread pushes news to the targets and hands it to the subscribers.
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

// spawnPush sends a push beside what goes on, if there is one.
func (n *Node) spawnPush(address string, push *gossip.Push) {
	if push != nil && address != "" {
		n.spawn(func() { n.push(address, *push) })
	}
}

// push sends a push and takes in the answer.
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
	targets := n.noteLearned(learned, address)
	n.mu.Unlock()

	n.spread(learned, targets)
}

func (n *Node) pushFailed(address string, push gossip.Push) {
	n.noteFailed(address)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.store.Abandon(push)
}
