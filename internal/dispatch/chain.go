package dispatch

import "time"

// Gate is a pure subject wrapped so that it sees the messages on their way to the core and the commands on their way
// back, in the same Step and by the same clock. It decides when a job comes before the module and with how much of its
// time; which host, whether to retry and what to turn away stays the module's.
//
// The rules are checked at the end of the chain, so a gate that answers a job must neither let it go on nor answer it
// again, and may let a refused one in once more only where the module's own answer proves that this is harmless.
type Gate interface {
	// In takes the messages of a Step, in order. What it hands to p.On goes on; what it hands to p.Do is done.
	In(now time.Duration, in []Message, p *Pass)
	// Out takes the commands that came of them, in order, and hands to p.Do what is to be done. What it hands to
	// p.On goes in once more, in the same Step.
	Out(now time.Duration, out []Command, p *Pass)
	// Wake tells when the gate's next Step is due though nothing happens.
	Wake() (at time.Duration, ok bool)
	// Detached counts the jobs without a connection that are before the module or at a host.
	Detached() int
	// ModuleLost tells that the module has forgotten what was before it. Keeps then tells of a job whether it is the
	// gate's alone, and goes on.
	ModuleLost(now time.Duration)
	Owns(job uint64) bool
	// Recreate makes one that knows nothing, for when a panic has left this one in doubt.
	Recreate() Gate
}

// Pass is what a gate hands on.
type Pass struct {
	on []Message
	do []Command
}

// Forward sends a message on towards the core.
func (p *Pass) Forward(m Message) { p.on = append(p.on, m) }

// Emit sends a command on towards the sockets.
func (p *Pass) Emit(c Command) { p.do = append(p.do, c) }

// Chain is a Core with gates round it. Like a Core it is not safe for use by more than one goroutine. With no gates it
// costs nothing and changes nothing.
type Chain struct {
	core   *Core
	gates  []Gate // the outermost first
	passes []Pass // one a gate
	inCore bool   // a Step is in the core, not in a gate
}

// Gates are those that a Chain can have; nil ones are not there.
type Gates struct {
	Waiting *WaitingGate
	Budget  *BudgetGate
	Shed    *ShedGate
	Sites   *SitesGate
}

// NewChain puts gates round a core. Their order is written down here alone: the waiting room is the outermost, since what waits is
// for no later gate to count yet; then budgets, since what a tenant may not ask for at all is no overload; then the one that sheds, and
// next to the core the one that judges sites, which sees what the core asks for.
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
	return c.pass(now, 0, in)
}

// pass takes a Step through the gates from number n on. A gate may send messages in again for what came out; it must
// see to it that this ends.
func (c *Chain) pass(now time.Duration, n int, in []Message) []Command {
	if n == len(c.gates) {
		c.inCore = true
		out := c.core.Step(now, in)
		c.inCore = false
		return out
	}
	g, p := c.gates[n], &c.passes[n]
	p.do, p.on = p.do[:0], p.on[:0]
	g.In(now, in, p)
	for {
		out := c.pass(now, n+1, p.on)
		p.on = p.on[:0]
		if g.Out(now, out, p); len(p.on) == 0 {
			return p.do
		}
	}
}

// Wake tells when the next Step is due though nothing happens.
func (c *Chain) Wake() (at time.Duration, ok bool) {
	at, ok = c.core.Wake()
	for _, g := range c.gates {
		if t, there := g.Wake(); there && (!ok || t < at) {
			at, ok = t, true
		}
	}
	return at, ok
}

// Detached counts the jobs without a connection that are before the module or at a host.
func (c *Chain) Detached() (n int) {
	for _, g := range c.gates {
		n += g.Detached()
	}
	return n
}

// OpenJobs is how many jobs the core's table holds.
func (c *Chain) OpenJobs() int { return c.core.OpenJobs() }

// WatchVersion is the version that a watch begins after.
func (c *Chain) WatchVersion() uint64 { return c.core.WatchVersion() }

// Rebuild makes a Chain for when a panic has left this one in doubt, and the list to begin it with. Gates go on with what
// is theirs alone where the panic was in the module; keeps tells which jobs that are. After one in a gate nothing
// of it is trusted.
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

// Workers counts the listed hosts and those that the dispatcher keeps away from; see Core.Workers.
func (c *Chain) Workers() (known, excluded int) { return c.core.Workers() }

// Cordoned lists the hosts that are out by hand.
func (c *Chain) Cordoned() []string { return c.core.Cordoned() }
