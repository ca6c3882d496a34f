package relay

import (
	"net/netip"
	"time"
)

// Link is one direction of a connection: bytes go from one host to the other.
type Link struct {
	From, To string
	// Answers tells that this is the direction of the side that was dialled.
	Answers bool
	// Target is the address that was dialled.
	Target string
}

// Effect is what happens to bytes of a link.
type Effect struct {
	Cut   bool          // they are held up
	Delay time.Duration // they come so much later
	// LossProbability is the probability that a piece of an answer is lost, and its connection with it. The request has arrived by then.
	LossProbability float64
}

// Rule gives its effect to the links that it matches.
type Rule struct {
	Matches func(Link) bool
	Effect  Effect
}

// combine sums effects up.
func (e Effect) combine(other Effect) Effect {
	return Effect{Cut: e.Cut || other.Cut, Delay: e.Delay + other.Delay, LossProbability: 1 - (1-e.LossProbability)*(1-other.LossProbability)}
}

// hostOf is the host of an address, or the address itself where it is none.
func hostOf(address string) string {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return parsed.Addr().String()
}
