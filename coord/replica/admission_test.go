package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A learner whose disk is too slow never has everything while writes are held back; the healthy one beside it gets in all the same, and
// writes aren't held back for the slow one again and again.
func TestSlowLearnerKeepsNobodyOut(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		slow, healthy := w.newMachine(), w.newMachine()
		slow.start()
		healthy.start()
		if healthy.process.Self().ID < slow.process.Self().ID {
			slow, healthy = healthy, slow
		}
		slow.sync = 350 * time.Millisecond
		assert.Less(t, w.untilIn(healthy, 5*time.Second), 2*time.Second, "seed %d", w.seed)
		before := len(w.oracle.entries)
		w.run(w.now + 4*time.Second)
		assert.False(t, w.head().process.View().InChain(slow.process.Self().ID), "seed %d", w.seed)
		assert.Greater(t, len(w.oracle.entries)-before, 650, "seed %d", w.seed)
	})
}

// A member was dropped for its disk again and again. Once the disk is well, it is back within the bound.
func TestPenaltyEndsWithTheTrouble(t *testing.T) {
	for _, spares := range []int{0, 1} {
		for seed := range uint64(4) {
			w := calm(t, seed, 3, spares, 1)
			m := w.others()[0]
			for range 5 {
				m.stalled = w.now + 1500*time.Millisecond
				w.run(w.now + 1500*time.Millisecond)
				require.False(t, w.head().process.View().InChain(m.process.Self().ID), "seed %d", seed)
				require.Less(t, w.untilIn(m, 20*time.Second), 3*time.Second, "seed %d", seed)
				w.run(w.now + 500*time.Millisecond)
			}
			require.NoError(t, w.failure, "seed %d", seed)
		}
	}
}

// A disk that stalls every other second, for longer than is borne, isn't well between its stalls: the member is let in a few times only.
func TestFlappingDiskStaysOut(t *testing.T) {
	for seed := range uint64(5) {
		w := calm(t, seed, 3, 0, 1)
		m := w.others()[0]
		epoch := w.head().process.View().Epoch
		for range 12 {
			m.stalled = w.now + 1600*time.Millisecond
			w.run(w.now + 2600*time.Millisecond)
		}
		require.NoError(t, w.failure, "seed %d", seed)
		require.NotNil(t, w.head(), "seed %d", seed)
		assert.Less(t, w.head().process.View().Epoch-epoch, uint64(8), "seed %d", seed)
	}
}

// A member that stopped was never in trouble with its disk: it is back as soon as it can be, however often.
func TestStoppedMemberIsNotPunished(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		for range 4 {
			m := w.others()[0]
			m.losePower()
			w.run(w.now + time.Second)
			m.start()
			assert.Less(t, w.untilIn(m, 5*time.Second), time.Second, "seed %d", w.seed)
			w.run(w.now + 300*time.Millisecond)
		}
	})
}

// A lost disk's vote goes to the new one at its address as soon as that asks to join, long before it has everything: a majority is
// there with every machine that runs.
func TestNewDiskVotesAtOnce(t *testing.T) {
	for _, quick := range []bool{false, true} {
		eachSeed(t, func(t *testing.T, w *world) {
			m := w.others()[0]
			old := m.process.Self().ID
			m.loseDisk()
			if !quick {
				w.run(w.now + 1500*time.Millisecond)
			}
			m.start()
			for end := w.now + 500*time.Millisecond; w.now < end; w.run(w.now + time.Millisecond) {
				if head := w.head(); head != nil {
					head.process.head.holdRetryAt = never // nobody is admitted
				}
			}
			v := w.head().process.View()
			assert.False(t, v.IsVoter(old), "seed %d", w.seed)
			assert.True(t, v.IsVoter(m.process.Self().ID), "seed %d", w.seed)
			assert.Len(t, v.Voters, 3, "seed %d", w.seed)
		})
	}
}

// A head whose disk stalls while it enters a view gives way, though it can't propose anything.
func TestHeadStallsWhileItEnters(t *testing.T) {
	for seed := range uint64(deploymentSeeds) {
		w := calm(t, seed, 3, 2, 2)
		head := w.head()
		w.others()[0].losePower()
		for epoch := head.process.View().Epoch; head.process.View().Epoch == epoch && w.failure == nil; {
			w.run(w.now + time.Millisecond)
		}
		head.stalled = w.now + 10*time.Second
		w.run(w.now + 30*time.Millisecond)
		assert.Less(t, w.untilCommitted(5*time.Second), 1500*time.Millisecond, "seed %d", seed)
		require.NoError(t, w.failure, "seed %d", seed)
	}
}

// A member that was kept out, however long its penalty, is let in as soon as the chain is too short without it.
func TestPenaltyIsWaivedForAShortChain(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		others := w.others()
		kept, lost := others[0], others[1]
		kept.stalled = w.now + 1200*time.Millisecond
		w.run(w.now + 1100*time.Millisecond)
		w.head().process.head.penalties[kept.member().ID] = penalty{last: w.head().clock(), until: w.head().clock() + maxPenalty}
		lost.losePower()
		w.run(w.now + 30*time.Millisecond) // what was under way before
		assert.Less(t, w.untilCommitted(5*time.Second), 1500*time.Millisecond, "seed %d", w.seed)
		assert.True(t, w.head().process.View().InChain(kept.member().ID), "seed %d", w.seed)
	})
}

// Writes that are held back for a learner whose disk stalls go on soon.
func TestHoldEnds(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		m := w.newMachine()
		m.start()
		w.bar(time.Second)
		m.stalled = w.now + 10*time.Second
		w.bar(50 * time.Millisecond)
		for w.now < time.Minute && (w.head() == nil || w.head().process.head.admitting == "") {
			w.run(w.now + 100*time.Microsecond)
		}
		assert.Less(t, w.untilCommitted(5*time.Second), admissionHoldTimeout+100*time.Millisecond, "seed %d", w.seed)
		w.run(w.now + time.Second)
		require.NotNil(t, w.head(), "seed %d", w.seed)
		assert.Len(t, w.head().process.View().Chain, 3, "seed %d", w.seed)
	})
}

// Under writing that never rests a learner always lacks something: holding writes back lets it in.
func TestHoldLetsALearnerIn(t *testing.T) {
	for seed := range uint64(5) {
		w := newWorld(seed, 3, 0, 1)
		w.write(2 * time.Millisecond)
		w.run(warmUp)
		m := w.newMachine()
		m.start()
		assert.Less(t, w.untilIn(m, 3*time.Second), 1200*time.Millisecond, "seed %d", seed)
		require.NoError(t, w.failure, "seed %d", seed)
	}
}

// A learner that had everything and then stopped isn't let in, also where nothing is written meanwhile.
func TestDeadLearnerStaysOut(t *testing.T) {
	for seed := range uint64(deploymentSeeds) {
		w := newWorld(seed, 3, 0, 1)
		w.run(warmUp)
		m := w.newMachine()
		m.start()
		w.bar(time.Second)
		acked, _, ok := w.head().process.chain.Learner(m.member().ID)
		require.True(t, ok && acked == w.head().process.LastIndex(), "seed %d", seed)
		m.end()
		w.bar(600 * time.Millisecond)
		epoch := w.head().process.View().Epoch
		w.run(w.now + 3*time.Second)
		assert.Equal(t, epoch, w.head().process.View().Epoch, "seed %d", seed)
	}
}

// A silent member is dropped also where nothing is written.
func TestSilentMemberIsDroppedAtRest(t *testing.T) {
	for seed := range uint64(deploymentSeeds) {
		w := newWorld(seed, 3, 0, 1)
		w.run(warmUp)
		w.others()[1].losePower()
		w.run(w.now + 2*DefaultDropAfter)
		assert.Len(t, w.head().process.View().Chain, 2, "seed %d", seed)
	}
}

// With one machine at first, nothing is committed before f+1 have it.
func TestOneSeedWaitsForOthers(t *testing.T) {
	for seed := range uint64(deploymentSeeds) {
		w := newWorld(seed, 1, 2, 1)
		w.write(10 * time.Millisecond)
		w.run(warmUp)
		require.NoError(t, w.failure, "seed %d", seed)
		assert.NotEmpty(t, w.oracle.entries, "seed %d", seed)
		assert.Len(t, w.head().process.View().Chain, 3, "seed %d", seed)
	}
}

// The tolerance is raised by one: what is under way isn't committed on as few disks as before.
func TestHigherToleranceHoldsCommitsBack(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		w.others()[1].losePower()
		w.run(w.now + 2*time.Second)
		require.Len(t, w.head().process.View().Chain, 2, "seed %d", w.seed)
		w.tolerance = 2
		w.head().process.cfg.Tolerance = 2
		before := len(w.oracle.entries)
		w.run(w.now + time.Second)
		require.NoError(t, w.failure, "seed %d", w.seed)
		assert.Len(t, w.oracle.entries, before, "seed %d", w.seed)
	})
}

// A learner whose disk is slower than the members' gets in with everything, or not at all.
func TestSlowerLearnerHasEverything(t *testing.T) {
	for seed := range uint64(5) {
		w := newWorld(seed, 3, 0, 1)
		w.write(2 * time.Millisecond)
		w.run(warmUp)
		m := w.newMachine()
		m.sync = 60 * time.Millisecond
		m.start()
		assert.Less(t, w.untilIn(m, 5*time.Second), 2*time.Second, "seed %d", seed)
		require.NoError(t, w.failure, "seed %d", seed)
	}
}

// An admission is one view: a member that doesn't hear of it in time, and whose vote it didn't need, isn't taken for lost.
func TestAdmissionDropsNobody(t *testing.T) {
	for seed := range uint64(8) {
		w := calm(t, seed, 3, 2, 1)
		epoch := w.head().process.View().Epoch
		m := w.newMachine()
		m.start()
		for w.now < time.Minute && (w.head() == nil || w.head().process.head.admitting == "") {
			w.run(w.now + 100*time.Microsecond)
		}
		head, unheard := w.head(), w.others()[1]
		w.cut(head, unheard, 250*time.Millisecond)
		for w.now < time.Minute && head.process.View().Epoch == epoch {
			w.run(w.now + 100*time.Microsecond)
		}
		assert.False(t, head.process.isLost(head.clock(), unheard.member().ID, ""), "seed %d", seed)
		w.run(w.now + time.Second)
		require.NotNil(t, w.head(), "seed %d", seed)
		assert.Len(t, w.head().process.View().Chain, 6, "seed %d", seed)
	}
}

// A new head with enough members acts before it takes newcomers in, and goes on for a while without holding writes back for them.
func TestANewHeadActsBeforeItAdmits(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		for _, m := range w.machines {
			m.losePower()
		}
		w.run(w.now + 100*time.Millisecond)
		late := w.machines[len(w.machines)-1]
		for _, m := range w.machines {
			if m != late {
				m.start()
			}
		}
		w.run(w.now + 700*time.Millisecond)
		head := w.head()
		require.NotNil(t, head, "seed %d", w.seed)
		acted := head.process.head.headSince
		late.start()
		w.untilIn(late, 5*time.Second)
		assert.GreaterOrEqual(t, head.clock()-acted, admissionDelay, "seed %d", w.seed)
		assert.Less(t, head.clock()-acted, 2*time.Second, "seed %d", w.seed)
	})
}
