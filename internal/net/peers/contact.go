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
	suspicionTimeout = 2 * time.Second // from a call without an answer to the probe that decides
	helpers          = 3               // members that are asked whether they reach a suspect
	// presenceService is the name under which the members' probe service is registered.
	presenceService = "Presence"
)

var errNoMember = errors.New("peers: no member has this name")

// prober calls members by name, at the addresses in this process's settings, and probes those that do not answer.
type prober struct {
	peers  *Peers
	client *transport.Client
	ctx    context.Context // ends the probes
}

// Call calls a method of a member. It implements membership.Caller.
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

// ping reports whether a member answers.
func (c *prober) ping(member int) bool {
	return c.call(member, presenceService+".Ping", PingArgs{}, &PingReply{}, callTimeout) == nil
}

// reachedBy reports whether another member reaches a suspect.
func (c *prober) reachedBy(helper, suspect int) bool {
	var reply ReachReply
	err := c.call(helper, presenceService+".Reach", ReachArgs{Member: suspect}, &reply, 2*callTimeout)
	return err == nil && reply.Reached
}

// suspect schedules a probe of a member that did not answer, unless one is in progress.
func (c *prober) suspect(member int) {
	p := c.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.ctx.Err() != nil || p.suspects[member] || !p.roster.alive(member) {
		return
	}
	p.suspects[member] = true
	version := p.roster.versions[member]
	p.probes.Go(func() { c.probe(member, version) })
}

// probe decides about a suspect after the timeout. The suspect is silent if it has published nothing newer and neither
// this process nor any helper reaches it.
func (c *prober) probe(member int, version gossip.Version) {
	waited := pause.For(c.ctx, suspicionTimeout) == nil
	silent := waited && c.isCurrent(member, version) && !c.reachable(member)
	p := c.peers
	p.mu.Lock()
	delete(p.suspects, member)
	p.mu.Unlock()
	if silent && c.ctx.Err() == nil {
		p.announce(member, withStatus(version, statusSilent))
	}
}

// isCurrent reports whether a version is still the latest about a member.
func (c *prober) isCurrent(member int, version gossip.Version) bool {
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()
	return c.peers.roster.versions[member] == version
}

// reachable probes a member directly, then through helpers.
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

// helpers returns random members that may be asked about a suspect.
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

// ReachArgs ask whether a member can be reached.
type ReachArgs struct{ Member int }

// ReachReply is the reply to ReachArgs.
type ReachReply struct{ Reached bool }

// Presence is the net/rpc service with which members probe one another.
type Presence struct{ prober *prober }

// Ping replies at once.
func (*Presence) Ping(PingArgs, *PingReply) error { return nil }

// Reach probes another member for the caller.
func (p *Presence) Reach(args ReachArgs, reply *ReachReply) error {
	if args.Member < 0 || args.Member >= len(p.prober.peers.cfg.Members) {
		return errNoMember
	}
	reply.Reached = p.prober.ping(args.Member)
	return nil
}

var _ membership.Caller = (*prober)(nil)
