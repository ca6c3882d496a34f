package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/seeds"
)

// Which machine is cut off.
const (
	victimHead    = "head"
	victimMiddle  = "middle"
	victimTail    = "tail"
	victimLearner = "learner"
)

// How it is cut off. A frozen machine receives everything that arrived meanwhile when it resumes.
const (
	cutBothWays = "both ways"
	cutInward   = "in"
	cutOutward  = "out"
	cutFrozen   = "frozen"
)

// What else happens during the cut.
const (
	extraNone          = "nothing"
	extraRestart       = "its restart"
	extraPowerLoss     = "its loss of power"
	extraOthersRestart = "the others' restarts"
)

const (
	// cutGrace is how long a cut-off machine may still act on what it received before.
	cutGrace      = 2 * DefaultGrant
	cutShortest   = 5 * time.Second
	cutLongest    = 60 * time.Second
	probeInterval = 20 * time.Millisecond
	// maxCommitGap is the longest time without a commit by the others, and rejoinLimit that until the machine is a member again.
	maxCommitGap = 4 * time.Second
	rejoinLimit  = 4 * time.Second
)

// cutOff is a deployment of which one machine is cut off for a while.
type cutOff struct {
	*world
	victim   *machine
	how      string
	began    time.Duration
	until    time.Duration
	probes   int // proposals and reads tried at the victim
	refusals int
}

// playCutOff plays one scenario and returns its first failure.
func playCutOff(seed uint64, who, how, extra string, trace func(string, ...any)) error {
	w := newWorld(seed, 3, 0, 1)
	if trace != nil {
		w.trace = trace
	}
	w.writeLoop(60 * time.Millisecond)
	w.run(warmUp)
	if w.head() == nil {
		w.fail("no head after the start")
		return w.failure
	}
	c := &cutOff{world: w, how: how}
	c.victim = c.choose(who)
	length := w.randomDuration(cutShortest, cutLongest)
	c.began, c.until = w.now, w.now+length
	w.after(length, c.proposeAtVictim)
	c.cut(length)
	c.probeLoop()
	w.after(w.randomDuration(0, length), func() { c.injectExtraFault(extra) })
	c.checkOthersCommit(extra)
	c.checkReturn()
	return w.failure
}

// choose returns the machine to cut off; a learner is one that has just returned without its disk.
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
		c.run(c.now + c.randomDuration(0, time.Second))
		chosen.start()
		c.run(c.now + c.randomDuration(0, 400*time.Millisecond))
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

func (c *cutOff) injectExtraFault(extra string) {
	if c.how == cutFrozen && (extra == extraRestart || extra == extraPowerLoss) {
		c.until = c.now // the restarted process isn't frozen
	}
	switch extra {
	case extraRestart:
		c.restart(c.victim, false)
	case extraPowerLoss:
		c.restart(c.victim, true)
	case extraOthersRestart:
		for i, m := range c.machines {
			if m != c.victim {
				c.after(time.Duration(i)*maxCommitGap, func() { c.restart(m, c.random.IntN(2) == 0) })
			}
		}
	}
}

func (c *cutOff) restart(m *machine, power bool) {
	if power {
		m.losePower()
	} else {
		m.kill()
	}
	c.after(c.randomDuration(0, 300*time.Millisecond), func() {
		m.start()
		if m == c.victim {
			m.compactAt = 1 << 20 // it learns of no commit, and would compact a log that doesn't get shorter after every sync
		}
	})
}

// probeLoop tries proposals and reads at the machine, until a while after its return. What the machine received before the cut counts for
// a moment; after that it has to refuse both as long as it is cut off.
func (c *cutOff) probeLoop() {
	if c.now > c.until+rejoinLimit {
		return
	}
	m := c.victim
	settled := c.now > c.began+cutGrace && c.now < c.until
	if m.process != nil {
		_, read := m.process.ReadIndex(m.clock())
		proposal := m.process.CanPropose(m.clock()) == nil
		c.probes++
		if !read && !proposal {
			c.refusals++
		}
		if settled && (read || proposal) {
			c.fail("%s is cut off (%s) and accepts proposals (%t), reads (%t)", m.address, c.how, proposal, read)
		}
		c.proposeAtVictim()
	}
	c.after(probeInterval, c.probeLoop)
}

// proposeAtVictim proposes an entry at the machine, even if that is its first input after a freeze.
func (c *cutOff) proposeAtVictim() {
	if m := c.victim; m.process != nil && m.frozenUntil <= c.now {
		c.written++
		m.propose([][]byte{fmt.Appendf(nil, "order %d there", c.written)})
	}
}

// checkOthersCommit checks that the other machines commit all the time.
func (c *cutOff) checkOthersCommit(extra string) {
	for c.now < c.until && c.failure == nil {
		before := len(c.oracle.entries)
		c.run(min(c.now+maxCommitGap, c.until))
		if len(c.oracle.entries) == before && c.now < c.until && extra != extraOthersRestart {
			c.fail("nothing was committed for %v", maxCommitGap)
		}
	}
}

// checkReturn checks that the machine is a member again soon after its return, with every entry.
func (c *cutOff) checkReturn() {
	c.run(c.until)
	if c.untilInChain(c.victim, rejoinLimit) >= rejoinLimit && c.failure == nil {
		c.fail("%s isn't back %v after its return", c.victim.address, rejoinLimit)
	}
	before := len(c.oracle.entries)
	c.run(c.now + commitTimeout)
	if c.failure == nil && len(c.oracle.entries) == before {
		c.fail("nothing is committed after the return")
	}
	if c.failure == nil && c.refusals == 0 {
		c.fail("none of %d proposals and reads was refused", c.probes)
	}
}

// TestCutOff cuts each place in the chain off, or freezes it, for 5 to 60 s, in each way and with restarts at the same time. GAUGESLIP_CUTOFFS
// sets the number of seeds for each scenario, GAUGESLIP_CUTOFF selects one seed; -run selects the scenario.
func TestCutOff(t *testing.T) {
	played := seeds.List(t, "GAUGESLIP_CUTOFF", "GAUGESLIP_CUTOFFS", 2, 1) // with seed 2 a head that heard nobody once made itself the only member
	trace := func(*testing.T) func(string, ...any) { return nil }
	if _, alone := seeds.Single(t, "GAUGESLIP_CUTOFF"); alone {
		trace = func(t *testing.T) func(string, ...any) { return t.Logf }
	}
	for _, who := range []string{victimHead, victimMiddle, victimTail, victimLearner} {
		for _, how := range []string{cutBothWays, cutInward, cutOutward, cutFrozen} {
			for _, extra := range []string{extraNone, extraRestart, extraPowerLoss, extraOthersRestart} {
				t.Run(fmt.Sprintf("%s/%s/%s", who, how, extra), func(t *testing.T) {
					t.Parallel()
					for _, seed := range played {
						require.NoError(t, playCutOff(seed, who, how, extra, trace(t)),
							"replay with GAUGESLIP_CUTOFF=%d go test -run '%s' ./coord/replica", seed, t.Name())
					}
				})
			}
		}
	}
}
