package relay

import (
	"net/netip"
	"time"
)

// Link is one direction of a connection.
type Link struct {
	From, To string
	// Answers marks the direction from the dialled side to the dialling side.
	Answers bool
	// Target is the dialled address.
	Target string
}

// Effect is what happens to the data of a link.
type Effect struct {
	Cut   bool          // data is held up
	Delay time.Duration // additional delay of the data
	// LossProbability is the probability that a chunk of an answer is lost and its connection closed. The request has arrived by then.
	LossProbability float64
}

// Rule applies an effect to the links that it matches.
type Rule struct {
	Matches func(Link) bool
	Effect  Effect
}

// combine returns the effect of both effects together.
func (e Effect) combine(other Effect) Effect {
	return Effect{Cut: e.Cut || other.Cut, Delay: e.Delay + other.Delay, LossProbability: 1 - (1-e.LossProbability)*(1-other.LossProbability)}
}

// hostOf returns the host of an address, or the address itself if it is not of the form IP:PORT.
func hostOf(address string) string {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return parsed.Addr().String()
}
