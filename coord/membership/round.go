package membership

import (
	"time"

	"gaugeslip/coord/peersampling"
)

const (
	// jitterDivisor is the part of the interval by which a round comes earlier or later at most: one of jitterDivisor.
	jitterDivisor = 4
	// roundsPerShuffle is how many rounds there are to a shuffle; while the view is young it is initialRoundsPerShuffle.
	roundsPerShuffle        = 16
	initialRoundsPerShuffle = 2
	initialRounds           = 24
	// freeRoundsPerExchange is how many free rounds there are to an exchange with any peer while the preferred answer.
	freeRoundsPerExchange = 2
	// maxExchanges is how many exchanges may be out at once; a round beyond that is left out.
	maxExchanges = 8
	// maxPreferredTries is how many preferred peers are asked in turn until one answers.
	maxPreferredTries = 3
)

// exchange is one that a round begins.
type exchange struct {
	address string
	shuffle *peersampling.ShuffleRequest
	// preferred says that others of the preferred are asked if this one fails.
	preferred bool
}

// Round begins one round's exchanges and returns the time until the next round. Start calls it; a node that isn't started may be
// driven by it.
func (n *Node) Round() time.Duration {
	preferred := n.preferred()
	wait, exchanges := n.planRound(preferred)
	for _, each := range exchanges {
		n.spawn(func() { n.runExchange(each) })
	}
	return wait
}

// preferred returns the preferred peers without the node itself.
func (n *Node) preferred() []string {
	var others []string
	for _, address := range n.options.Preferred() {
		if address != n.options.Self.Address {
			others = append(others, address)
		}
	}
	return others
}

// planRound draws the time until the next round and picks this round's exchanges: a shuffle when it is due, a preferred peer when one
// would be asked too late in the next round, else any peer. While preferred peers answer, some rounds stay free.
func (n *Node) planRound(preferred []string) (wait time.Duration, exchanges []exchange) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.options.Clock()
	if n.activeExchanges >= maxExchanges {
		return n.drawWait(), nil
	}
	if n.shuffleDue() {
		exchanges = n.appendShuffle(exchanges)
	}
	if n.preferredDue(now) {
		exchanges = n.appendPreferred(exchanges, now, preferred)
	}
	if len(exchanges) == 0 && n.randomDue(now, preferred) {
		exchanges = n.appendRandom(exchanges)
	}
	n.rounds++
	n.activeExchanges += len(exchanges)
	return n.waitUntilNext(now), exchanges
}

// minWait is the shortest time between two rounds.
func (n *Node) minWait() time.Duration {
	return n.options.Interval - n.options.Interval/jitterDivisor
}

func (n *Node) drawWait() time.Duration {
	jitterRange := int64(2 * (n.options.Interval / jitterDivisor))
	return n.minWait() + time.Duration(n.random.Int64N(jitterRange+1))
}

// waitUntilNext draws the time until the next round, which comes before a preferred peer would be asked too late.
func (n *Node) waitUntilNext(now time.Duration) time.Duration {
	wait := n.drawWait()
	if left := n.untilPreferredDue(now); left >= n.minWait() {
		wait = min(wait, left)
	}
	return wait
}

// untilPreferredDue is the time until a preferred peer has to be asked again.
func (n *Node) untilPreferredDue(now time.Duration) time.Duration {
	return n.lastPreferred + n.options.PreferredInterval - now
}

func (n *Node) shuffleDue() bool {
	if n.rounds < initialRounds {
		return n.rounds%initialRoundsPerShuffle == 0
	}
	return n.rounds%roundsPerShuffle == 0
}

func (n *Node) preferredDue(now time.Duration) bool {
	return !n.preferredAsked || n.untilPreferredDue(now) < n.minWait()
}

// randomDue reports whether a round without another exchange has one with any peer.
func (n *Node) randomDue(now time.Duration, preferred []string) bool {
	n.freeRounds++
	return n.freeRounds%freeRoundsPerExchange == 0 || !n.rotation.anyTrusted(now, preferred)
}

func (n *Node) appendShuffle(exchanges []exchange) []exchange {
	to, request, ok := n.sampler.Shuffle()
	if !ok {
		return exchanges
	}
	return append(exchanges, exchange{address: to, shuffle: &request})
}

func (n *Node) appendPreferred(exchanges []exchange, now time.Duration, preferred []string) []exchange {
	address, ok := n.rotation.next(now, preferred)
	if !ok {
		return exchanges
	}
	n.lastPreferred = now
	n.preferredAsked = true
	return append(exchanges, exchange{address: address, preferred: true})
}

// appendRandom picks one of the view; if that is empty a shuffle calls a seed.
func (n *Node) appendRandom(exchanges []exchange) []exchange {
	sample := n.sampler.Sample(1)
	if len(sample) == 0 {
		return n.appendShuffle(exchanges)
	}
	return append(exchanges, exchange{address: sample[0].Address})
}
