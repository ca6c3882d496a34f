package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/seeds"
)

// Who is cut off.
const (
	victimHead    = "head"
	victimMiddle  = "middle"
	victimTail    = "tail"
	victimLearner = "learner"
)

// How it is cut off. A frozen one hears all that came meanwhile when it wakes.
const (
	cutBothWays = "both ways"
	cutInward   = "in"
	cutOutward  = "out"
	cutFrozen   = "frozen"
)

// What happens besides, in the middle of it.
const (
	besidesNothing = "nothing"
	besidesRestart = "its restart"
	besidesPower   = "its loss of power"
	besidesOthers  = "the others' restarts"
)

const (
	// cutGrace is how long a cut-off machine may still act by what it was told before.
	cutGrace    = 2 * DefaultGrant
	cutShortest = 5 * time.Second
	cutLongest  = 60 * time.Second
	askEvery    = 20 * time.Millisecond
	// goesOn is within how long the others commit again, and backIn within how long the machine is a member again.
	goesOn = 4 * time.Second
	backIn = 4 * time.Second
)

// cutOff is a deployment of which one machine is cut off for a while.
type cutOff struct {
	*world
	victim  *machine
	how     string
	began   time.Duration
	until   time.Duration
	asked   int // orders and reads there
	refused int
}

// playCutOff plays one scenario and gives its first failure.
func playCutOff(seed uint64, who, how, besides string, trace func(string, ...any)) error {
	w := newWorld(seed, 3, 0, 1)
	if trace != nil {
		w.trace = trace
	}
	w.write(60 * time.Millisecond)
	w.run(warmUp)
	if w.head() == nil {
		w.fail("no head after the start")
		return w.failure
	}
	c := &cutOff{world: w, how: how}
	c.victim = c.choose(who)
	length := w.between(cutShortest, cutLongest)
	c.began, c.until = w.now, w.now+length
	w.after(length, c.order)
	c.cut(length)
	c.askEvery()
	w.after(w.between(0, length), func() { c.besides(besides) })
	c.goOn(besides)
	c.finish()
	return w.failure
}

// choose gives the machine; a learner is one that has just come back without its disk.
func (c *cutOff) choose(who string) *machine {
	chain := c.head().process.View().Chain
	at := map[string]int{victimHead: 0, victimMiddle: 1, victimTail: 2, victimLearner: c.random.IntN(3)}[who]
	var chosen *machine
	for _, m := range c.machines {
		if m.address == chain[at].Address {
			chosen = m
		}
	}
	if who == victimLearner {
		chosen.loseDisk()
		c.run(c.now + c.between(0, time.Second))
		chosen.start()
		c.run(c.now + c.between(0, 400*time.Millisecond))
	}
	return chosen
}

func (c *cutOff) cut(length time.Duration) {
	if c.how == cutFrozen {
		c.victim.freeze(length)
		return
	}
	for _, other := range c.machines {
		if other == c.victim {
			continue
		}
		if c.how != cutInward {
			c.cuts[[2]string{c.victim.address, other.address}] = c.until
		}
		if c.how != cutOutward {
			c.cuts[[2]string{other.address, c.victim.address}] = c.until
		}
	}
}

func (c *cutOff) besides(what string) {
	if c.how == cutFrozen && (what == besidesRestart || what == besidesPower) {
		c.until = c.now // another process isn't frozen
	}
	switch what {
	case besidesRestart:
		c.restart(c.victim, false)
	case besidesPower:
		c.restart(c.victim, true)
	case besidesOthers:
		for i, m := range c.machines {
			if m != c.victim {
				c.after(time.Duration(i)*goesOn, func() { c.restart(m, c.random.IntN(2) == 0) })
			}
		}
	}
}

func (c *cutOff) restart(m *machine, power bool) {
	if power {
		m.losePower()
	} else {
		m.end()
	}
	c.after(c.between(0, 300*time.Millisecond), func() {
		m.start()
		if m == c.victim {
			m.compact = 1 << 20 // it learns of no commit, and would rewrite a log that doesn't get shorter after every sync
		}
	})
}

// askEvery hands orders and reads to the machine, till a while after its return. What it was told before the cut counts for
// a moment; then it has to refuse both at once, as long as it is cut off.
func (c *cutOff) askEvery() {
	if c.now > c.until+backIn {
		return
	}
	m := c.victim
	settled := c.now > c.began+cutGrace && c.now < c.until
	if m.process != nil {
		_, read := m.process.ReadIndex(m.clock())
		order := m.process.CanPropose(m.clock()) == nil
		c.asked++
		if !read && !order {
			c.refused++
		}
		if settled && (read || order) {
			c.fail("%s is cut off (%s) and takes orders (%t), reads (%t)", m.address, c.how, order, read)
		}
		c.order()
	}
	c.after(askEvery, c.askEvery)
}

// order hands an order to the machine, also if that is the first thing that it sees after a freeze.
func (c *cutOff) order() {
	if m := c.victim; m.process != nil && m.frozen <= c.now {
		c.written++
		m.propose([][]byte{fmt.Appendf(nil, "order %d there", c.written)})
	}
}

// goOn holds that the others commit all the while.
func (c *cutOff) goOn(besides string) {
	for c.now < c.until && c.failure == nil {
		before := len(c.oracle.entries)
		c.run(min(c.now+goesOn, c.until))
		if len(c.oracle.entries) == before && c.now < c.until && besides != besidesOthers {
			c.fail("nothing was committed for %v", goesOn)
		}
	}
}

// finish holds that the machine is back soon after its return, with all.
func (c *cutOff) finish() {
	c.run(c.until)
	if c.untilIn(c.victim, backIn) >= backIn && c.failure == nil {
		c.fail("%s isn't back %v after its return", c.victim.address, backIn)
	}
	before := len(c.oracle.entries)
	c.run(c.now + recovers)
	if c.failure == nil && len(c.oracle.entries) == before {
		c.fail("nothing is committed after the return")
	}
	if c.failure == nil && c.refused == 0 {
		c.fail("of %d orders and reads none was refused", c.asked)
	}
}

// TestCutOff plays a cut, or a freeze, of 5 to 60 s of each place, in each way, with restarts besides. GAUGESLIP_CUTOFFS gives the
// number of seeds for each, GAUGESLIP_CUTOFF one seed; -run names the scenario.
func TestCutOff(t *testing.T) {
	played := seeds.Played(t, "GAUGESLIP_CUTOFF", "GAUGESLIP_CUTOFFS", 2, 1) // at seed 2 a head that heard nobody made itself the only member
	trace := func(*testing.T) func(string, ...any) { return nil }
	if _, alone := seeds.Alone(t, "GAUGESLIP_CUTOFF"); alone {
		trace = func(t *testing.T) func(string, ...any) { return t.Logf }
	}
	for _, who := range []string{victimHead, victimMiddle, victimTail, victimLearner} {
		for _, how := range []string{cutBothWays, cutInward, cutOutward, cutFrozen} {
			for _, besides := range []string{besidesNothing, besidesRestart, besidesPower, besidesOthers} {
				t.Run(fmt.Sprintf("%s/%s/%s", who, how, besides), func(t *testing.T) {
					t.Parallel()
					for _, seed := range played {
						require.NoError(t, playCutOff(seed, who, how, besides, trace(t)), "replay with GAUGESLIP_CUTOFF=%d go test -run '%s' ./coord/replica", seed, t.Name())
					}
				})
			}
		}
	}
}
