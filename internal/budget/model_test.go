package budget

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
)

// The model checker: three members, all voters, and two budgets, played by real Nodes. One clock is a fifth slow and one a fifth fast.
// Time passes in ticks. All combinations of faults are tried, up to a number of faults per history: a message is lost, is late by one,
// three or seven ticks, or is repeated that much later; a member is killed and restarted, or paused for three or eight ticks, at any
// tick. Each state is visited once.

const (
	tickLen  = 10
	modelLen = 20 // ticks
)

// modelState is a state of the model.
type modelState struct {
	tick         int
	clock        [3]time.Duration
	nodes        [3]*Node
	paused       [3]int // until this tick
	seen         [3]time.Duration
	incarnations uint64
	faults       int // faults left
	inFlight     []delivery
	trace        string
}

type delivery struct {
	due int
	m   Message
}

// mutant changes the protocol, or which units count as usable.
type mutant struct {
	drift   float64                         // the drift that nodes allow for; negative: the real one
	restart func(n *Node)                   // called after a start
	before  func(s *modelState, m *Message) // called before a message is processed
	after   func(s *modelState, m *Message) // called after a message was processed
	usable  func(s *modelState, i, budget int) Units
}

func (s *modelState) at(i int) time.Duration { return s.clock[i] }

func (s *modelState) units(i, b int) Units { return s.nodes[i].Share(b).At(s.clock[i]) }

func (n *Node) clone() *Node {
	c := *n
	c.outbox, c.selfMessages = nil, slices.Clone(n.selfMessages)
	c.demand = slices.Clone(n.demand)
	c.grant.Units = slices.Clone(n.grant.Units)
	c.members = slices.Clone(n.members)
	for i := range c.members {
		c.members[i].outstanding = slices.Clone(c.members[i].outstanding) // outstanding grants do not change
	}
	c.parts = nil
	for _, p := range n.parts {
		c.parts = append(c.parts, slices.Clone(p))
	}
	return &c
}

func (s *modelState) clone() *modelState {
	c := *s
	c.inFlight = slices.Clone(s.inFlight)
	for i, n := range s.nodes {
		c.nodes[i] = n.clone()
	}
	return &c
}

// key encodes all that distinguishes a state.
func (s *modelState) key(b []byte) []byte {
	put := func(all ...int64) {
		for _, x := range all {
			b = binary.AppendVarint(b, x)
		}
	}
	ballot := func(x Ballot) { put(int64(x.N), int64(x.Proposer), int64(x.Incarnation)) }
	units := func(all []Units) {
		for _, u := range all {
			put(int64(u))
		}
	}
	put(int64(s.tick), int64(s.faults), int64(s.incarnations))
	for i, n := range s.nodes {
		put(int64(s.clock[i]), int64(s.paused[i]), int64(s.seen[i]), int64(n.cfg.Incarnation), int64(n.startedAt), int64(n.now), int64(n.acceptedUntil), int64(n.maxBallotNumber),
			int64(n.attemptStart), int64(n.phase), int64(n.votes), int64(n.retryAt), int64(n.leadUntil), int64(n.epoch), int64(n.dividedAt), int64(n.seq),
			int64(n.nextRequestAt), int64(n.leader), int64(n.unanswered), int64(n.lastGrantAt), int64(n.grant.Epoch), int64(n.grantEnd), int64(n.grantsTaken))
		ballot(n.promised)
		ballot(n.acceptedBallot)
		ballot(n.ballot)
		ballot(n.leadBallot)
		ballot(n.grant.Ballot)
		units(n.grant.Units)
		for _, x := range n.requests {
			put(int64(x.seq), int64(x.at))
		}
		for _, a := range n.members {
			put(int64(a.incarnation), int64(a.lastHeard), int64(len(a.outstanding)))
			units(a.demand)
			for _, g := range a.outstanding {
				put(int64(g.incarnation), int64(g.epoch), int64(g.until))
				units(g.units)
			}
		}
		for _, p := range n.parts {
			units(p)
		}
	}
	for _, l := range s.inFlight {
		put(int64(l.due))
		b = Append(b, &l.m)
	}
	return b
}

// search plays all histories with a number of faults, and returns the number of states and the first violation.
func search(faults, most int, mut mutant) (states int, violation string) {
	first := &modelState{faults: faults, incarnations: 3}
	for i := range first.nodes {
		first.nodes[i] = modelNode(i, uint64(i+1), 0, &mut)
		first.nodes[i].startedAt = -1000                    // all have run for long
		first.nodes[i].lastGrantAt = time.Duration(-60 + i) // and there is no leader
		first.nodes[i].retryAt = time.Duration(i * 30)
	}
	seen := map[[2]uint64]struct{}{}
	stack := []*modelState{first}
	var buf []byte
	for len(stack) > 0 && len(seen) < most {
		s := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		buf = s.key(buf[:0])
		k := [2]uint64{xxhash.Sum64(buf), xxhash.Sum64(append(buf, 1))}
		if _, old := seen[k]; old {
			continue
		}
		seen[k] = struct{}{}
		for b := range 2 {
			sum := Units(0)
			for i := range s.nodes {
				if mut.usable != nil {
					sum += mut.usable(s, i, b)
				} else {
					sum += s.units(i, b)
				}
			}
			if sum > Whole {
				return len(seen), fmt.Sprintf("tick %d: %d units of budget %d owned: %s", s.tick, sum, b, s.trace)
			}
		}
		stack = s.next(stack, &mut)
	}
	return len(seen), ""
}

// modelNode starts a member.
func modelNode(i int, incarnation uint64, now time.Duration, mut *mutant) *Node {
	c := Config{Self: i, Members: 3, Voters: 3, Budgets: 2, Floor: Whole / 16, LeaseTime: 60, RequestInterval: 20, Drift: 0.2, Incarnation: incarnation}
	if mut.drift >= 0 {
		c.Drift = mut.drift
	}
	n := NewNode(c, now)
	n.nextRequestAt = now + time.Duration(i*7)
	n.SetDemand([]Units{Whole, Whole / Units(1+2*i)})
	if mut.restart != nil {
		mut.restart(n)
	}
	return n
}

// next adds the successors of a state. Messages that are due are processed first; otherwise a tick passes.
func (s *modelState) next(to []*modelState, mut *mutant) []*modelState {
	for k, l := range s.inFlight {
		if l.due > s.tick {
			continue
		}
		if s.paused[l.m.To] > s.tick { // the message waits for its paused receiver
			continue
		}
		without := func(faults int, what string) *modelState {
			c := s.clone()
			c.inFlight = slices.Delete(c.inFlight, k, k+1)
			if c.faults -= faults; faults > 0 {
				c.trace += fmt.Sprintf("%d: %s %d>%d %s; ", s.tick, kindNames[l.m.Kind], l.m.From, l.m.To, what)
			}
			return c
		}
		if s.faults > 0 {
			to = append(to, without(1, "lost"))
			for _, late := range []int{1, 3, 7} {
				c := without(1, fmt.Sprint("late ", late))
				c.inFlight = append(c.inFlight, delivery{s.tick + late, l.m})
				to = append(to, c)
				c = without(1, fmt.Sprint("again ", late))
				c.inFlight = append(c.inFlight, delivery{s.tick + late, l.m})
				c.deliver(l.m, mut)
				to = append(to, c)
			}
		}
		c := without(0, "")
		c.deliver(l.m, mut)
		return append(to, c)
	}
	if s.tick >= modelLen {
		return to
	}
	tick := func(c *modelState) {
		c.tick++
		for i, by := range [3]time.Duration{tickLen - 2, tickLen + 2, tickLen} {
			if c.clock[i] += by; c.paused[i] <= c.tick {
				c.seen[i] = c.clock[i]
				c.step(i, nil)
			}
		}
		to = append(to, c)
	}
	if s.faults > 0 {
		for i := range s.nodes {
			c := s.clone()
			c.faults--
			c.incarnations++
			c.trace += fmt.Sprintf("%d: %d restarts; ", s.tick, i)
			c.nodes[i], c.paused[i], c.seen[i] = modelNode(i, c.incarnations, c.clock[i], mut), 0, c.clock[i]
			tick(c)
			for _, long := range []int{3, 8} {
				c := s.clone()
				c.faults--
				c.trace += fmt.Sprintf("%d: %d paused for %d; ", s.tick, i, long)
				c.paused[i], c.seen[i] = s.tick+long, c.clock[i]
				tick(c)
			}
		}
	}
	tick(s.clone())
	return to
}

var kindNames = map[Kind]string{Prepare: "prepare", Promise: "promise", Nack: "nack", Propose: "propose", Accepted: "accepted", Request: "ask",
	Grant: "grant", Redirect: "redirect"}

func (s *modelState) deliver(m Message, mut *mutant) {
	if mut.before != nil {
		mut.before(s, &m)
	}
	if s.step(m.To, []Message{m}); mut.after != nil {
		mut.after(s, &m)
	}
}

func (s *modelState) step(i int, in []Message) {
	for _, m := range s.nodes[i].Step(s.clock[i], in) {
		s.inFlight = append(s.inFlight, delivery{s.tick, m})
	}
}

// In no history with up to two faults, of any kind at any point, do the members own more than the whole at any tick.
func TestModel(t *testing.T) {
	t.Parallel()
	began := time.Now()
	states, violation := search(2, 1<<30, mutant{drift: -1})
	assert.Empty(t, violation)
	t.Logf("%d states in %v", states, time.Since(began))
	assert.Greater(t, states, 10_000)
}

// Every weakened protocol is found by the same search, with as many faults or fewer.
func TestModelFindsMutants(t *testing.T) {
	for name, m := range map[string]mutant{
		"drift of zero": {drift: 0},
		"share used after its end": {drift: -1, usable: func(s *modelState, i, b int) Units {
			x := s.nodes[i].Share(b)
			return x.Floor + x.Extra
		}},
		"checked before a pause, used after": {drift: -1, usable: func(s *modelState, i, b int) Units {
			return s.nodes[i].Share(b).At(s.seen[i])
		}},
		"units reused before the confirmation": {drift: -1, before: func(s *modelState, m *Message) {
			if m.Kind == Request && s.nodes[m.To].IsLeader(s.at(m.To)) {
				m.Ballot, m.Epoch = s.nodes[m.To].leadBallot, 1<<31
			}
		}},
		"earlier epoch accepted": {drift: -1, before: func(s *modelState, m *Message) {
			if n := s.nodes[m.To]; m.Kind == Grant && m.Epoch < n.grant.Epoch {
				m.Epoch = n.grant.Epoch + 1 // an old grant passes for a new one
			}
		}},
		"a voter that votes right after a start": {drift: -1, restart: func(n *Node) { n.startedAt -= 1000 }},
		"leader lease counted from its confirmation": {drift: -1, after: func(s *modelState, m *Message) {
			if n := s.nodes[m.To]; m.Kind == Accepted && n.IsLeader(s.at(m.To)) {
				n.leadUntil = max(n.leadUntil, s.at(m.To)+n.cfg.LeaseTime)
			}
		}},
		"grant counted from its arrival": {drift: -1, before: func(s *modelState, m *Message) {
			if n := s.nodes[m.To]; m.Kind == Grant {
				n.requests[m.Seq%uint32(len(n.requests))].at = s.at(m.To)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, violation := search(2, 1<<21, m)
			assert.NotEmpty(t, violation, "not found in %d states", states)
			t.Logf("%d states: %s", states, violation)
		})
	}
}
