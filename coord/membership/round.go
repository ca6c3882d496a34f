package membership

import (
	"time"

	"gaugeslip/coord/peersampling"
)

const (
	// jitterDivisor limits the jitter of a round: it comes earlier or later by at most 1/jitterDivisor of the interval.
	jitterDivisor = 4
	// roundsPerShuffle is the number of rounds from one shuffle to the next. In the first initialRounds it is initialRoundsPerShuffle.
	roundsPerShuffle        = 16
	initialRoundsPerShuffle = 2
	initialRounds           = 24
	// freeRoundsPerExchange is the number of free rounds per exchange with a random peer while a preferred peer answers.
	freeRoundsPerExchange = 2
	// maxExchanges bounds the exchanges in progress. A round that finds this many starts none.
	maxExchanges = 8
	// maxPreferredTries is how many preferred peers an exchange tries in turn until one answers.
	maxPreferredTries = 3
)

// exchange is an exchange that a round starts.
type exchange struct {
	address string
	shuffle *peersampling.ShuffleRequest
	// preferred means that other preferred peers are tried if this exchange fails.
	preferred bool
}

// Round starts the exchanges of one round and returns the time until the next round. A started node calls it by itself. Call it directly
// only to drive a node that is not started.
func (n *Node) Round() time.Duration {
	preferred := n.preferred()
	wait, exchanges := n.planRound(preferred)
	for _, each := range exchanges {
		n.spawn(func() { n.runExchange(each) })
	}
	return wait
}

// preferred returns the preferred peers other than the node itself.
func (n *Node) preferred() []string {
	var others []string
	for _, address := range n.options.Preferred() {
		if address != n.options.Self.Address {
			others = append(others, address)
		}
	}
	return others
}

// planRound draws the time until the next round and selects the exchanges of this one: a shuffle if it is due, a preferred peer if the next
// round might be too late for it, else a random peer. While a preferred peer answers, some rounds start no exchange.
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

// minWait returns the shortest time between two rounds.
func (n *Node) minWait() time.Duration {
	return n.options.Interval - n.options.Interval/jitterDivisor
}

func (n *Node) drawWait() time.Duration {
	jitterRange := int64(2 * (n.options.Interval / jitterDivisor))
	return n.minWait() + time.Duration(n.random.Int64N(jitterRange+1))
}

// waitUntilNext draws the time until the next round. It shortens the time if the call of a preferred peer is due earlier.
func (n *Node) waitUntilNext(now time.Duration) time.Duration {
	wait := n.drawWait()
	if left := n.untilPreferredDue(now); left >= n.minWait() {
		wait = min(wait, left)
	}
	return wait
}

// untilPreferredDue returns the time until a preferred peer must be called again.
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

// randomDue reports whether a round without another exchange starts one with a random peer. It counts the free rounds.
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

// appendRandom adds an exchange with a random peer of the view. If the view is empty, it adds a shuffle, which calls a seed.
func (n *Node) appendRandom(exchanges []exchange) []exchange {
	sample := n.sampler.Sample(1)
	if len(sample) == 0 {
		return n.appendShuffle(exchanges)
	}
	return append(exchanges, exchange{address: sample[0].Address})
}
