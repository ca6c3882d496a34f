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

// A member was dropped for its disk again and again. Once the disk is well, it is back within the bound where the chain needs it, and
// has to sit its penalty out where 2f+1 others are there.
func TestPenaltyEndsWithTheTrouble(t *testing.T) {
	for _, spares := range []int{0, 1} {
		for seed := range uint64(deploymentSeeds) {
			w := calm(t, seed, 3, spares, 1)
			m := w.others()[0]
			for range 4 {
				m.stalled = w.now + 1500*time.Millisecond
				w.run(w.now + 1500*time.Millisecond)
				require.False(t, w.head().process.View().InChain(m.process.Self().ID), "seed %d", seed)
				if spares == 0 {
					require.Less(t, w.untilIn(m, 20*time.Second), catchUp, "seed %d", seed)
				} else {
					w.untilIn(m, 20*time.Second)
				}
				w.run(w.now + 500*time.Millisecond)
			}
			m.stalled = w.now + 1500*time.Millisecond
			w.run(w.now + 1500*time.Millisecond)
			took := w.untilIn(m, 20*time.Second)
			require.NoError(t, w.failure, "seed %d", seed)
			if spares == 0 {
				assert.Less(t, took, catchUp, "seed %d", seed)
			} else {
				assert.Greater(t, took, 8*time.Second, "seed %d", seed)
			}
		}
	}
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
					head.process.head.heldAgain = never // nobody is admitted
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
