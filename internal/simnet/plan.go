package simnet

import "math"

// Ending is what happens when a direction of a connection reaches its limit.
type Ending uint8

const (
	// Reset resets the connection: the reader gets the bytes before the limit, then a reset; the writer gets the reset at once.
	Reset Ending = iota + 1
	// Finish gives the reader an end of the stream at the limit; later bytes are dropped and the writer is not notified.
	Finish
	// Silence drops the later bytes; neither end is notified.
	Silence
)

// Limit applies an Ending to one direction after a number of bytes. The zero Limit has no effect.
type Limit struct {
	Bytes int64
	Then  Ending
}

// Fate holds the limits of one connection: Out from its dialer to its listener, Back in the other direction.
type Fate struct{ Out, Back Limit }

// Plan chooses the fate of the nth connection, from 0, that one host dials to another.
type Plan func(from, to string, nth int) Fate

// SetPlan sets the plan that is called for each new connection; with nil, connections have no limits. The plan must not call the network.
func (n *Network) SetPlan(plan Plan) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.plan = plan
}

// fate counts a connection and returns the fate that the plan gives it.
func (n *Network) fate(from, to string) Fate {
	nth := n.dials[route{from, to}]
	n.dials[route{from, to}]++
	if n.plan == nil {
		return Fate{}
	}
	return n.plan(from, to, nth)
}

// remaining returns the number of bytes that may still pass before the limit.
func (l Limit) remaining(written int64) int64 {
	if l.Then == 0 {
		return math.MaxInt64
	}
	return max(l.Bytes-written, 0)
}
