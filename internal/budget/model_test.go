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

// The model: three members, all of which vote, and two budgets, played by real Nodes on clocks of which one is a fifth slow and one
// a fifth fast. Time goes by in ticks. What goes wrong is chosen in every way there is, up to so many faults in one history: any
// message is lost, late by one, three or seven ticks, or comes again so much later; any member is killed and starts again, or is
// paused for three or eight ticks, at any tick. Each state is looked at once.

const (
	tickLen  = 10
	modelLen = 20 // ticks
)

// state is one of the model's.
type state struct {
	tick   int
	clock  [3]time.Duration
	nodes  [3]*Node
	paused [3]int // until this tick
	seen   [3]time.Duration
	lives  uint64
	faults int // that may yet come
	mail   []letter
	trace  string
}

type letter struct {
	due int
	m   Message
}

// mutant changes the protocol, or what is held to be usable.
type mutant struct {
	drift   float64                    // reckoned with; negative: as it is
	restart func(n *Node)              // after a start
	before  func(s *state, m *Message) // a message is taken in
	after   func(s *state, m *Message) // it was
	usable  func(s *state, i, budget int) Units
}

func (s *state) at(i int) time.Duration { return s.clock[i] }

func (s *state) units(i, b int) Units { return s.nodes[i].Share(b).At(s.clock[i]) }

func (n *Node) clone() *Node {
	c := *n
	c.out, c.own = nil, slices.Clone(n.own)
	c.need = slices.Clone(n.need)
	c.held.Units = slices.Clone(n.held.Units)
	c.asks = slices.Clone(n.asks)
	for i := range c.asks {
		c.asks[i].out = slices.Clone(c.asks[i].out) // grants do not change once they are out
	}
	c.parts = nil
	for _, p := range n.parts {
		c.parts = append(c.parts, slices.Clone(p))
	}
	return &c
}

func (s *state) clone() *state {
	c := *s
	c.mail = slices.Clone(s.mail)
	for i, n := range s.nodes {
		c.nodes[i] = n.clone()
	}
	return &c
}

// key names a state by all that can matter.
func (s *state) key(b []byte) []byte {
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
	put(int64(s.tick), int64(s.faults), int64(s.lives))
	for i, n := range s.nodes {
		put(int64(s.clock[i]), int64(s.paused[i]), int64(s.seen[i]), int64(n.cfg.Incarnation), int64(n.born), int64(n.now), int64(n.holdUntil), int64(n.top),
			int64(n.began), int64(n.phase), int64(n.yes), int64(n.retryAt), int64(n.leadUntil), int64(n.epoch), int64(n.divided), int64(n.seq),
			int64(n.askAt), int64(n.leader), int64(n.missed), int64(n.heard), int64(n.held.Epoch), int64(n.end), int64(n.given))
		ballot(n.promised)
		ballot(n.holder)
		ballot(n.ballot)
		ballot(n.lead)
		ballot(n.held.Ballot)
		units(n.held.Units)
		for _, x := range n.sent {
			put(int64(x.seq), int64(x.at))
		}
		for _, a := range n.asks {
			put(int64(a.life), int64(a.heard), int64(len(a.out)))
			units(a.want)
			for _, g := range a.out {
				put(int64(g.life), int64(g.epoch), int64(g.until))
				units(g.units)
			}
		}
		for _, p := range n.parts {
			units(p)
		}
	}
	for _, l := range s.mail {
		put(int64(l.due))
		b = Append(b, &l.m)
	}
	return b
}

// search plays all histories with so many faults, and gives the states and the first breach.
func search(faults, most int, mut mutant) (states int, breach string) {
	first := &state{faults: faults, lives: 3}
	for i := range first.nodes {
		first.nodes[i] = modelNode(i, uint64(i+1), 0, &mut)
		first.nodes[i].born = -1000                   // all have been there for long
		first.nodes[i].heard = time.Duration(-60 + i) // and nobody leads
		first.nodes[i].retryAt = time.Duration(i * 30)
	}
	seen := map[[2]uint64]struct{}{}
	stack := []*state{first}
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
				return len(seen), fmt.Sprintf("tick %d: %d units of budget %d: %s", s.tick, sum, b, s.trace)
			}
		}
		stack = s.next(stack, &mut)
	}
	return len(seen), ""
}

// modelNode starts a member.
func modelNode(i int, life uint64, now time.Duration, mut *mutant) *Node {
	c := Config{Self: i, Members: 3, Voters: 3, Budgets: 2, Floor: Whole / 16, LeaseTime: 60, RequestInterval: 20, Drift: 0.2, Incarnation: life}
	if mut.drift >= 0 {
		c.Drift = mut.drift
	}
	n := NewNode(c, now)
	n.askAt = now + time.Duration(i*7)
	n.SetDemand([]Units{Whole, Whole / Units(1+2*i)})
	if mut.restart != nil {
		mut.restart(n)
	}
	return n
}

// next adds the states that may follow. A message that is due is dealt with first; else a tick goes by.
func (s *state) next(to []*state, mut *mutant) []*state {
	for k, l := range s.mail {
		if l.due > s.tick {
			continue
		}
		if s.paused[l.m.To] > s.tick { // it waits there
			continue
		}
		without := func(faults int, what string) *state {
			c := s.clone()
			c.mail = slices.Delete(c.mail, k, k+1)
			if c.faults -= faults; faults > 0 {
				c.trace += fmt.Sprintf("%d: %s %d>%d %s; ", s.tick, kindNames[l.m.Kind], l.m.From, l.m.To, what)
			}
			return c
		}
		if s.faults > 0 {
			to = append(to, without(1, "lost"))
			for _, late := range []int{1, 3, 7} {
				c := without(1, fmt.Sprint("late ", late))
				c.mail = append(c.mail, letter{s.tick + late, l.m})
				to = append(to, c)
				c = without(1, fmt.Sprint("again ", late))
				c.mail = append(c.mail, letter{s.tick + late, l.m})
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
	tick := func(c *state) {
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
			c.lives++
			c.trace += fmt.Sprintf("%d: %d starts again; ", s.tick, i)
			c.nodes[i], c.paused[i], c.seen[i] = modelNode(i, c.lives, c.clock[i], mut), 0, c.clock[i]
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

func (s *state) deliver(m Message, mut *mutant) {
	if mut.before != nil {
		mut.before(s, &m)
	}
	if s.step(m.To, []Message{m}); mut.after != nil {
		mut.after(s, &m)
	}
}

func (s *state) step(i int, in []Message) {
	for _, m := range s.nodes[i].Step(s.clock[i], in) {
		s.mail = append(s.mail, letter{s.tick, m})
	}
}

// No history with up to two faults, of any kind at any place, has more than the whole owned at any tick.
func TestModel(t *testing.T) {
	t.Parallel()
	began := time.Now()
	states, breach := search(2, 1<<30, mutant{drift: -1})
	assert.Empty(t, breach)
	t.Logf("%d states in %v", states, time.Since(began))
	assert.Greater(t, states, 10_000)
}

// Every way in which the protocol could be weaker is found by the same search, with the same faults or fewer.
func TestModelFindsMutants(t *testing.T) {
	for name, m := range map[string]mutant{
		"drift of zero": {drift: 0},
		"lapse forgotten": {drift: -1, usable: func(s *state, i, b int) Units {
			x := s.nodes[i].Share(b)
			return x.Floor + x.Extra
		}},
		"check before a pause, use after": {drift: -1, usable: func(s *state, i, b int) Units {
			return s.nodes[i].Share(b).At(s.seen[i])
		}},
		"given out before the ack": {drift: -1, before: func(s *state, m *Message) {
			if m.Kind == Request && s.nodes[m.To].IsLeader(s.at(m.To)) {
				m.Ballot, m.Epoch = s.nodes[m.To].lead, 1<<31
			}
		}},
		"epoch reused": {drift: -1, before: func(s *state, m *Message) {
			if n := s.nodes[m.To]; m.Kind == Grant && m.Epoch < n.held.Epoch {
				m.Epoch = n.held.Epoch + 1 // an old grant passes for a new one
			}
		}},
		"a voter that speaks at once": {drift: -1, restart: func(n *Node) { n.born -= 1000 }},
		"the lead counted from its end": {drift: -1, after: func(s *state, m *Message) {
			if n := s.nodes[m.To]; m.Kind == Accepted && n.IsLeader(s.at(m.To)) {
				n.leadUntil = max(n.leadUntil, s.at(m.To)+n.cfg.LeaseTime)
			}
		}},
		"a grant counted from when it came": {drift: -1, before: func(s *state, m *Message) {
			if n := s.nodes[m.To]; m.Kind == Grant {
				n.sent[m.Seq%uint32(len(n.sent))].at = s.at(m.To)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			states, breach := search(2, 1<<21, m)
			assert.NotEmpty(t, breach, "not found in %d states", states)
			t.Logf("%d states: %s", states, breach)
		})
	}
}
