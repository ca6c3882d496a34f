package peers

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"gaugeslip/coord/gossip"
	"gaugeslip/coord/membership"
	"gaugeslip/coord/transport"
	"gaugeslip/internal/pause"
)

const (
	callTimeout      = 300 * time.Millisecond
	suspicionTimeout = 2 * time.Second // between a call without answer and the look that decides
	helpers          = 3               // members that are asked whether they reach a suspect
	// presenceService is what the service of members' looks at one another is registered as.
	presenceService = "Presence"
)

var errNoMember = errors.New("peers: no member has this name")

// prober calls members by name, at the address that the own settings have for each, and looks after those that don't answer.
type prober struct {
	peers  *Peers
	client *transport.Client
	ctx    context.Context // ends the looks
}

// Call calls a method of a member; it is membership.Caller's.
func (c *prober) Call(address, method string, args, reply any, timeout time.Duration) error {
	member := number(address, len(c.peers.cfg.Members))
	if member < 0 {
		return errNoMember
	}
	err := c.call(member, method, args, reply, timeout)
	if err != nil {
		c.suspect(member)
	}
	return err
}

func (c *prober) call(member int, method string, args, reply any, timeout time.Duration) error {
	return c.client.Call(c.peers.cfg.Members[member], c.peers.memberPrefix(member)+method, args, reply, timeout)
}

// ping tells whether a member answers.
func (c *prober) ping(member int) bool {
	return c.call(member, presenceService+".Ping", PingArgs{}, &PingReply{}, callTimeout) == nil
}

// reachedBy tells whether another member reaches a suspect.
func (c *prober) reachedBy(helper, suspect int) bool {
	var reply ReachReply
	err := c.call(helper, presenceService+".Reach", ReachArgs{Member: suspect}, &reply, 2*callTimeout)
	return err == nil && reply.Reached
}

// suspect has a member that did not answer looked at again after a while, unless that is under way.
func (c *prober) suspect(member int) {
	p := c.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.ctx.Err() != nil || p.suspects[member] || !p.roster.alive(member) {
		return
	}
	p.suspects[member] = true
	word := p.roster.versions[member]
	p.probes.Go(func() { c.probe(member, word) })
}

// probe decides about a suspect: it is silent if it has said nothing newer, and neither this process nor any helper reaches it.
func (c *prober) probe(member int, word gossip.Version) {
	waited := pause.For(c.ctx, suspicionTimeout) == nil
	silent := waited && c.isCurrent(member, word) && !c.reachable(member)
	p := c.peers
	p.mu.Lock()
	delete(p.suspects, member)
	p.mu.Unlock()
	if silent && c.ctx.Err() == nil {
		p.announce(member, withStatus(word, statusSilent))
	}
}

// isCurrent tells whether a word is still the last about a member.
func (c *prober) isCurrent(member int, word gossip.Version) bool {
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()
	return c.peers.roster.versions[member] == word
}

// reachable looks at a member itself, then through others.
func (c *prober) reachable(member int) bool {
	if c.ping(member) {
		return true
	}
	for _, helper := range c.helpers(member) {
		if c.reachedBy(helper, member) {
			return true
		}
	}
	return false
}

// helpers draws some members that may be asked about a suspect.
func (c *prober) helpers(suspect int) (drawn []int) {
	p := c.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, member := range rand.Perm(len(p.cfg.Members)) {
		if len(drawn) == helpers {
			break
		}
		if member != p.cfg.Self && member != suspect && p.roster.alive(member) {
			drawn = append(drawn, member)
		}
	}
	return drawn
}

// PingArgs and PingReply are empty.
type (
	PingArgs  struct{}
	PingReply struct{}
)

// ReachArgs ask whether a member is reached.
type ReachArgs struct{ Member int }

// ReachReply answers that.
type ReachReply struct{ Reached bool }

// Presence is the net/rpc service by which members look at one another.
type Presence struct{ prober *prober }

// Ping answers.
func (*Presence) Ping(PingArgs, *PingReply) error { return nil }

// Reach looks at another member for the caller.
func (p *Presence) Reach(args ReachArgs, reply *ReachReply) error {
	if args.Member < 0 || args.Member >= len(p.prober.peers.cfg.Members) {
		return errNoMember
	}
	reply.Reached = p.prober.ping(args.Member)
	return nil
}

var _ membership.Caller = (*prober)(nil)
