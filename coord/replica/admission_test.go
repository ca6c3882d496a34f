package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A learner whose disk is too slow never catches up while writes are held back. It must not keep the healthy learner beside it out, and
// writes must not be held back for it again and again.
func TestSlowLearnerKeepsNobodyOut(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		slow, healthy := w.newMachine(), w.newMachine()
		slow.start()
		healthy.start()
		if healthy.process.Self().ID < slow.process.Self().ID {
			slow, healthy = healthy, slow
		}
		slow.syncTime = 350 * time.Millisecond
		assert.Less(t, w.untilInChain(healthy, 5*time.Second), 2*time.Second, "seed %d", w.seed)
		before := len(w.oracle.entries)
		w.run(w.now + 4*time.Second)
		assert.False(t, w.head().process.View().InChain(slow.process.Self().ID), "seed %d", w.seed)
		assert.Greater(t, len(w.oracle.entries)-before, 650, "seed %d", w.seed)
	})
}

// A member was dropped several times for its disk. Once the disk works, the member is back within the bound.
func TestPenaltyEndsWithTheTrouble(t *testing.T) {
	for _, spares := range []int{0, 1} {
		for seed := range uint64(4) {
			w := newCalmWorld(t, seed, 3, spares, 1)
			m := w.others()[0]
			for range 5 {
				m.stalledUntil = w.now + 1500*time.Millisecond
				w.run(w.now + 1500*time.Millisecond)
				require.False(t, w.head().process.View().InChain(m.process.Self().ID), "seed %d", seed)
				require.Less(t, w.untilInChain(m, 20*time.Second), 3*time.Second, "seed %d", seed)
				w.run(w.now + 500*time.Millisecond)
			}
			require.NoError(t, w.failure, "seed %d", seed)
		}
	}
}

// A disk that stalls every other second, for longer than is tolerated, doesn't recover between its stalls: the member is admitted only a
// few times.
func TestFlappingDiskStaysOut(t *testing.T) {
	for seed := range uint64(5) {
		w := newCalmWorld(t, seed, 3, 0, 1)
		m := w.others()[0]
		epoch := w.head().process.View().Epoch
		for range 12 {
			m.stalledUntil = w.now + 1600*time.Millisecond
			w.run(w.now + 2600*time.Millisecond)
		}
		require.NoError(t, w.failure, "seed %d", seed)
		require.NotNil(t, w.head(), "seed %d", seed)
		assert.Less(t, w.head().process.View().Epoch-epoch, uint64(8), "seed %d", seed)
	}
}

// A member that was stopped had no fault of its disk: it is admitted again without a penalty, however often it stops.
func TestStoppedMemberIsNotPenalised(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		for range 4 {
			m := w.others()[0]
			m.losePower()
			w.run(w.now + time.Second)
			m.start()
			assert.Less(t, w.untilInChain(m, 5*time.Second), time.Second, "seed %d", w.seed)
			w.run(w.now + 300*time.Millisecond)
		}
	})
}

// The vote of a lost disk goes to the new disk at its address as soon as that asks to join, long before it has everything: every running
// machine counts towards a majority.
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
					head.process.head.holdRetryAt = never // no learner is admitted
				}
			}
			v := w.head().process.View()
			assert.False(t, v.IsVoter(old), "seed %d", w.seed)
			assert.True(t, v.IsVoter(m.process.Self().ID), "seed %d", w.seed)
			assert.Len(t, v.Voters, 3, "seed %d", w.seed)
		})
	}
}

// A head whose disk stalls while it enters a view makes way for another, although it can't propose anything.
func TestHeadDiskStallsWhileEnteringView(t *testing.T) {
	for seed := range uint64(deploymentSeeds) {
		w := newCalmWorld(t, seed, 3, 2, 2)
		head := w.head()
		w.others()[0].losePower()
		for epoch := head.process.View().Epoch; head.process.View().Epoch == epoch && w.failure == nil; {
			w.run(w.now + time.Millisecond)
		}
		head.stalledUntil = w.now + 10*time.Second
		w.run(w.now + 30*time.Millisecond)
		assert.Less(t, w.untilCommitted(5*time.Second), 1500*time.Millisecond, "seed %d", seed)
		require.NoError(t, w.failure, "seed %d", seed)
	}
}

// A member that is kept out is admitted as soon as the chain is too short without it, however long its penalty.
func TestPenaltyIsWaivedForAShortChain(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		others := w.others()
		kept, lost := others[0], others[1]
		kept.stalledUntil = w.now + 1200*time.Millisecond
		w.run(w.now + 1100*time.Millisecond)
		w.head().process.head.penalties[kept.member().ID] = penalty{last: w.head().clock(), until: w.head().clock() + maxPenalty}
		lost.losePower()
		w.run(w.now + 30*time.Millisecond) // for entries that were in progress
		assert.Less(t, w.untilCommitted(5*time.Second), 1500*time.Millisecond, "seed %d", w.seed)
		assert.True(t, w.head().process.View().InChain(kept.member().ID), "seed %d", w.seed)
	})
}

// Writes that are held back for a learner whose disk stalls continue soon.
func TestWriteHoldEnds(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		m := w.newMachine()
		m.start()
		w.blockAdmissions(time.Second)
		m.stalledUntil = w.now + 10*time.Second
		w.blockAdmissions(50 * time.Millisecond)
		for w.now < time.Minute && (w.head() == nil || w.head().process.head.admitting == "") {
			w.run(w.now + 100*time.Microsecond)
		}
		assert.Less(t, w.untilCommitted(5*time.Second), admissionHoldTimeout+100*time.Millisecond, "seed %d", w.seed)
		w.run(w.now + time.Second)
		require.NotNil(t, w.head(), "seed %d", w.seed)
		assert.Len(t, w.head().process.View().Chain, 3, "seed %d", w.seed)
	})
}

// Under continuous writes a learner always lacks some entries: holding writes back lets it catch up.
func TestWriteHoldAdmitsLearner(t *testing.T) {
	for seed := range uint64(5) {
		w := newWorld(seed, 3, 0, 1)
		w.writeLoop(2 * time.Millisecond)
		w.run(warmUp)
		m := w.newMachine()
		m.start()
		assert.Less(t, w.untilInChain(m, 3*time.Second), 1200*time.Millisecond, "seed %d", seed)
		require.NoError(t, w.failure, "seed %d", seed)
	}
}

// A learner that had everything and then stopped isn't admitted, even if nothing is written meanwhile.
func TestDeadLearnerStaysOut(t *testing.T) {
	for seed := range uint64(deploymentSeeds) {
		w := newWorld(seed, 3, 0, 1)
		w.run(warmUp)
		m := w.newMachine()
		m.start()
		w.blockAdmissions(time.Second)
		acked, _, ok := w.head().process.chain.Learner(m.member().ID)
		require.True(t, ok && acked == w.head().process.LastIndex(), "seed %d", seed)
		m.kill()
		w.blockAdmissions(600 * time.Millisecond)
		epoch := w.head().process.View().Epoch
		w.run(w.now + 3*time.Second)
		assert.Equal(t, epoch, w.head().process.View().Epoch, "seed %d", seed)
	}
}

// A silent member is dropped even if nothing is written.
func TestSilentMemberIsDroppedWithoutWrites(t *testing.T) {
	for seed := range uint64(deploymentSeeds) {
		w := newWorld(seed, 3, 0, 1)
		w.run(warmUp)
		w.others()[1].losePower()
		w.run(w.now + 2*DefaultDropAfter)
		assert.Len(t, w.head().process.View().Chain, 2, "seed %d", seed)
	}
}

// If the deployment starts with one machine, nothing is committed before f+1 machines have it.
func TestOneSeedWaitsForOthers(t *testing.T) {
	for seed := range uint64(deploymentSeeds) {
		w := newWorld(seed, 1, 2, 1)
		w.writeLoop(10 * time.Millisecond)
		w.run(warmUp)
		require.NoError(t, w.failure, "seed %d", seed)
		assert.NotEmpty(t, w.oracle.entries, "seed %d", seed)
		assert.Len(t, w.head().process.View().Chain, 3, "seed %d", seed)
	}
}

// After the tolerance is raised by one, entries in progress aren't committed on as few disks as before.
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

// A learner whose disk is slower than the members' is admitted with every entry, or not at all.
func TestSlowerLearnerHasEverything(t *testing.T) {
	for seed := range uint64(5) {
		w := newWorld(seed, 3, 0, 1)
		w.writeLoop(2 * time.Millisecond)
		w.run(warmUp)
		m := w.newMachine()
		m.syncTime = 60 * time.Millisecond
		m.start()
		assert.Less(t, w.untilInChain(m, 5*time.Second), 2*time.Second, "seed %d", seed)
		require.NoError(t, w.failure, "seed %d", seed)
	}
}

// An admission is one view change: a member that doesn't learn of it in time, and whose vote wasn't needed, isn't considered lost.
func TestAdmissionDropsNobody(t *testing.T) {
	for seed := range uint64(8) {
		w := newCalmWorld(t, seed, 3, 2, 1)
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

// A new head with enough members acts before it admits newcomers, and continues for a while without holding writes back for them.
func TestNewHeadActsBeforeAdmitting(t *testing.T) {
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
		w.untilInChain(late, 5*time.Second)
		assert.GreaterOrEqual(t, head.clock()-acted, admissionDelay, "seed %d", w.seed)
		assert.Less(t, head.clock()-acted, 2*time.Second, "seed %d", w.seed)
	})
}
