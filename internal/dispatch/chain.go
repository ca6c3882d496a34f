package dispatch

import "time"

// Gate is a filter that is free of I/O, between the sockets and the core. It sees the messages on their way to the core and the
// commands on their way back, in the same Step and with the same time. It decides when a job reaches the module and how much of its
// time is left by then. The module alone chooses hosts, retries and refuses.
//
// The rules of a job's answers are checked at the end of the chain. A gate that answers a job must therefore not forward it or answer
// it again. It may forward a refused job once more only if the module's answer proves that this is harmless.
type Gate interface {
	// In processes the messages of a Step, in order. It forwards messages with p.Forward and emits commands with p.Emit.
	In(now time.Duration, in []Message, p *Pass)
	// Out processes the commands that result, in order. It emits commands with p.Emit. Messages that it forwards with p.Forward enter
	// the rest of the chain in the same Step.
	Out(now time.Duration, out []Command, p *Pass)
	// Wake returns the time at which the gate's next Step is due if no message arrives before.
	Wake() (at time.Duration, ok bool)
	// Detached returns the number of jobs without a client connection that are in the module or at a host.
	Detached() int
	// ModuleLost is called when the module has lost its state in a panic. Owns then reports whether a job is in this gate alone and
	// goes on.
	ModuleLost(now time.Duration)
	Owns(job uint64) bool
	// Recreate returns an empty gate, for use after a panic in this one.
	Recreate() Gate
}

// Pass collects what a gate forwards and emits.
type Pass struct {
	messages []Message
	commands []Command
}

// Forward sends a message on towards the core.
func (p *Pass) Forward(m Message) { p.messages = append(p.messages, m) }

// Emit sends a command on towards the sockets.
func (p *Pass) Emit(c Command) { p.commands = append(p.commands, c) }

// Chain is a Core with gates in front of it. It is not safe for concurrent use. Without gates it adds no cost and changes nothing.
type Chain struct {
	core   *Core
	gates  []Gate // outermost first
	passes []Pass // one for each gate
	inCore bool   // the Step is in the core, not in a gate
}

// Gates are the possible gates of a Chain; nil means that the gate is not used.
type Gates struct {
	Waiting *WaitingGate
	Budget  *BudgetGate
	Shed    *ShedGate
	Sites   *SitesGate
}

// NewChain puts gates in front of a core, in a fixed order. The waiting room is outermost, since no other gate may count a job that
// waits. Budgets come next, since a job beyond its tenant's quota is no sign of overload. Then comes load shedding. The gate that
// judges sites is next to the core, to see what the core sends.
func NewChain(core *Core, g Gates) *Chain {
	c := &Chain{core: core}
	if g.Waiting != nil {
		c.gates = append(c.gates, g.Waiting)
	}
	if g.Budget != nil {
		c.gates = append(c.gates, g.Budget)
	}
	if g.Shed != nil {
		c.gates = append(c.gates, g.Shed)
	}
	if g.Sites != nil {
		c.gates = append(c.gates, g.Sites)
	}
	c.passes = make([]Pass, len(c.gates))
	return c
}

// Step is Core.Step through the gates. The result is valid until the next Step.
func (c *Chain) Step(now time.Duration, in []Message) []Command {
	if len(c.gates) == 0 {
		c.inCore = true
		return c.core.Step(now, in)
	}
	return c.stepFrom(now, 0, in)
}

// stepFrom takes a Step through the gates from number n on. A gate may forward messages in Out; it must ensure that this ends.
func (c *Chain) stepFrom(now time.Duration, n int, in []Message) []Command {
	if n == len(c.gates) {
		c.inCore = true
		out := c.core.Step(now, in)
		c.inCore = false
		return out
	}
	g, p := c.gates[n], &c.passes[n]
	p.commands, p.messages = p.commands[:0], p.messages[:0]
	g.In(now, in, p)
	for {
		out := c.stepFrom(now, n+1, p.messages)
		p.messages = p.messages[:0]
		if g.Out(now, out, p); len(p.messages) == 0 {
			return p.commands
		}
	}
}

// Wake returns the time at which the next Step is due if no message arrives before.
func (c *Chain) Wake() (at time.Duration, ok bool) {
	at, ok = c.core.Wake()
	for _, g := range c.gates {
		if t, there := g.Wake(); there && (!ok || t < at) {
			at, ok = t, true
		}
	}
	return at, ok
}

// Detached returns the number of jobs without a client connection that are in the module or at a host.
func (c *Chain) Detached() (n int) {
	for _, g := range c.gates {
		n += g.Detached()
	}
	return n
}

// OpenJobs returns the number of jobs in the core's table.
func (c *Chain) OpenJobs() int { return c.core.OpenJobs() }

// WatchVersion returns the version after which a watch starts.
func (c *Chain) WatchVersion() uint64 { return c.core.WatchVersion() }

// Rebuild returns a new Chain to use after a panic, and the list of known hosts as its first message. After a panic in the module the
// gates keep the jobs that they alone hold; keeps reports which jobs those are. After a panic in a gate all gates start empty.
func (c *Chain) Rebuild(now time.Duration) (n *Chain, known HostList, keeps func(job uint64) bool, err error) {
	core, known, err := c.core.Rebuild()
	if err != nil {
		return nil, HostList{}, nil, err
	}
	n = &Chain{core: core}
	if c.inCore {
		n.gates = c.gates
		for _, g := range n.gates {
			g.ModuleLost(now)
		}
	} else {
		for _, g := range c.gates {
			n.gates = append(n.gates, g.Recreate())
		}
	}
	n.passes = make([]Pass, len(n.gates))
	return n, known, func(job uint64) bool {
		for _, g := range n.gates {
			if g.Owns(job) {
				return true
			}
		}
		return false
	}, nil
}

// Workers returns the number of listed hosts and of those that the dispatcher avoids; see Core.Workers.
func (c *Chain) Workers() (known, excluded int) { return c.core.Workers() }

// Cordoned returns the names of the hosts that an operator has taken out of service.
func (c *Chain) Cordoned() []string { return c.core.Cordoned() }
