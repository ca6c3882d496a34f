package simnet

import "math"

// Ending is what happens at the byte where a direction of a connection ends before its writer ends it.
type Ending uint8

const (
	// Reset breaks the connection: the reader gets the bytes before it, then a reset; the writer gets the reset at once.
	Reset Ending = iota + 1
	// Finish gives the reader an end of the stream there; later bytes are dropped and the writer learns nothing.
	Finish
	// Silence holds the later bytes for ever.
	Silence
)

// Limit ends one direction after so many bytes. The zero Limit ends nothing.
type Limit struct {
	Bytes int64
	Then  Ending
}

// Fate is what a plan has for one connection: Out goes from its dialer to its listener, Back the other way.
type Fate struct{ Out, Back Limit }

// Plan chooses the fate of the nth connection, from 0, that one host dials to another.
type Plan func(from, to string, nth int) Fate

// SetPlan has the plan asked for each connection from now on; nil plans nothing. The plan must not call the network.
func (n *Network) SetPlan(plan Plan) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.plan = plan
}

// fate counts a connection and asks the plan for its fate.
func (n *Network) fate(from, to string) Fate {
	nth := n.dials[way{from, to}]
	n.dials[way{from, to}]++
	if n.plan == nil {
		return Fate{}
	}
	return n.plan(from, to, nth)
}

// room returns how many more bytes pass before the limit.
func (l Limit) room(written int64) int64 {
	if l.Then == 0 {
		return math.MaxInt64
	}
	return max(l.Bytes-written, 0)
}
