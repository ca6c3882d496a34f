package membership

import (
	"slices"
	"time"
)

// suspicionTimeout is how long a preferred peer that didn't answer is passed over.
const suspicionTimeout = 4 * time.Second

// rotation takes preferred peers in turn and passes over those that didn't answer lately, while others are left.
type rotation struct {
	// turn counts the picks; it starts anywhere, so that not all nodes call the same peer at first.
	turn     int
	suspects map[string]time.Duration
}

func newRotation(start int) rotation {
	return rotation{turn: start, suspects: map[string]time.Duration{}}
}

// next picks one of the peers, or none if there is none. If all are suspected it is the one suspected for longest.
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

// anyTrusted reports whether one of the peers isn't suspected.
func (r *rotation) anyTrusted(now time.Duration, peers []string) bool {
	return slices.ContainsFunc(peers, func(peer string) bool { return !r.suspected(now, peer) })
}

// markFailed notes that a peer didn't answer; answered that it did.
func (r *rotation) markFailed(now time.Duration, peer string) {
	for other, until := range r.suspects {
		if now >= until {
			delete(r.suspects, other)
		}
	}
	r.suspects[peer] = now + suspicionTimeout
}

func (r *rotation) markAnswered(peer string) { delete(r.suspects, peer) }
