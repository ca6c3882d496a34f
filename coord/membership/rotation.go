package membership

import (
	"slices"
	"time"
)

// suspicionTimeout is how long a preferred peer that did not answer is skipped.
const suspicionTimeout = 4 * time.Second

// rotation selects preferred peers in turn. It skips peers that recently did not answer, unless all are suspected.
type rotation struct {
	// turn counts the selections. It starts at a random number, so that not all nodes call the same peer first.
	turn     int
	suspects map[string]time.Duration
}

func newRotation(start int) rotation {
	return rotation{turn: start, suspects: map[string]time.Duration{}}
}

// next selects one of the peers. It returns false if there are none. If all are suspected, it selects the one suspected first.
func (r *rotation) next(now time.Duration, peers []string) (string, bool) {
	if len(peers) == 0 {
		return "", false
	}
	r.turn++
	for i := range peers {
		peer := peers[(r.turn+i)%len(peers)]
		if !r.suspected(now, peer) {
			r.turn += i
			return peer, true
		}
	}
	return slices.MinFunc(peers, func(a, b string) int { return int(r.suspects[a] - r.suspects[b]) }), true
}

func (r *rotation) suspected(now time.Duration, peer string) bool {
	until, failed := r.suspects[peer]
	return failed && now < until
}

// anyTrusted reports whether at least one of the peers is not suspected.
func (r *rotation) anyTrusted(now time.Duration, peers []string) bool {
	return slices.ContainsFunc(peers, func(peer string) bool { return !r.suspected(now, peer) })
}

// markFailed records that a peer did not answer, and removes expired suspicions.
func (r *rotation) markFailed(now time.Duration, peer string) {
	for other, until := range r.suspects {
		if now >= until {
			delete(r.suspects, other)
		}
	}
	r.suspects[peer] = now + suspicionTimeout
}

// markAnswered records that a peer answered.
func (r *rotation) markAnswered(peer string) { delete(r.suspects, peer) }
