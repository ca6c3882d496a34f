package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// others returns the machines other than the head, in the order of their addresses.
func (w *world) others() []*machine {
	var others []*machine
	for _, m := range w.machines {
		if m != w.head() {
			others = append(others, m)
		}
	}
	return others
}

// requireStays simulates for a while, and checks that a leaver is still a member and that writes continue.
func (w *world) requireStays(t *testing.T, leaver *machine, length time.Duration) {
	before := len(w.oracle.entries)
	w.run(w.now + length)
	require.NoError(t, w.failure, "seed %d", w.seed)
	assert.False(t, leaver.left, "seed %d: it has left", w.seed)
	assert.Greater(t, len(w.oracle.entries), before+10, "seed %d", w.seed)
	require.NotNil(t, w.head(), "seed %d", w.seed)
	assert.True(t, w.head().process.View().InChain(leaver.process.Self().ID), "seed %d", w.seed)
}

// untilLeft simulates until a leaver has left, and returns how long that took.
func (w *world) untilLeft(leaver *machine, most time.Duration) time.Duration {
	began := w.now
	for !leaver.left && w.now < began+most && w.failure == nil {
		w.run(w.now + time.Millisecond)
	}
	return w.now - began
}

// A leaver, the head or another member, stays and works while fewer than f+1 others have everything. It leaves as soon as a third member
// is in.
func TestLeaverStaysUntilOthersHaveEverything(t *testing.T) {
	for _, ofHead := range []bool{false, true} {
		eachSeed(t, func(t *testing.T, w *world) {
			others := w.others()
			leaver, lost := others[0], others[1]
			if ofHead {
				leaver = w.head()
			}
			lost.loseDisk()
			w.run(w.now + time.Second)
			leaver.input(Leave{})
			w.requireStays(t, leaver, 3*time.Second)
			lost.start()
			assert.Less(t, w.untilLeft(leaver, 5*time.Second), 1500*time.Millisecond, "seed %d", w.seed)
			assert.Less(t, w.untilCommitted(5*time.Second), 500*time.Millisecond, "seed %d", w.seed)
			assert.Len(t, w.head().process.View().Chain, 2, "seed %d", w.seed)
		})
	}
}

// If two members want to leave at once, only one can be spared.
func TestLastButOneStays(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		others := w.others()
		others[0].input(Leave{})
		others[1].input(Leave{})
		w.run(w.now + 500*time.Millisecond)
		require.True(t, others[0].left != others[1].left, "seed %d", w.seed)
		if others[0].left {
			others[0], others[1] = others[1], others[0]
		}
		w.requireStays(t, others[0], time.Second)
		head := w.head()
		head.input(Leave{})
		w.requireStays(t, head, time.Second)
	})
}

// A leaver that is killed while it waits still has its place when it returns, with no other member to catch up from.
func TestKilledLeaverKeepsItsPlace(t *testing.T) {
	for _, ofHead := range []bool{false, true} {
		eachSeed(t, func(t *testing.T, w *world) {
			others := w.others()
			leaver, lost := others[0], others[1]
			if ofHead {
				leaver = w.head()
			}
			lost.losePower()
			lost.removed = true
			w.run(w.now + time.Second)
			leaver.input(Leave{})
			w.run(w.now + 300*time.Millisecond)
			leaver.kill()
			w.run(w.now + time.Second)
			leaver.start()
			assert.Less(t, w.untilCommitted(5*time.Second), 1500*time.Millisecond, "seed %d", w.seed)
		})
	}
}

// A chain of f+1 loses a member for a moment, and then the head with its disk. The member has everything and leads.
func TestStoppedMemberLeadsWhenTheHeadsDiskIsLost(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		head, others := w.head(), w.others()
		member, outside := others[0], others[1]
		w.cut(head, outside, time.Second)
		w.cut(member, outside, time.Second)
		w.run(w.now + time.Second)
		w.blockAdmissions(500 * time.Millisecond)
		require.False(t, head.process.View().InChain(outside.process.Self().ID), "seed %d", w.seed)
		member.kill()
		w.blockAdmissions(time.Second)
		head.loseDisk()
		member.start()
		w.run(w.now + 30*time.Millisecond)
		assert.Less(t, w.untilCommitted(5*time.Second), 2*time.Second, "seed %d", w.seed)
	})
}

// cut cuts the links between two machines, in both directions.
func (w *world) cut(a, b *machine, length time.Duration) {
	w.cuts[[2]string{a.address, b.address}] = w.now + length
	w.cuts[[2]string{b.address, a.address}] = w.now + length
}

// A candidate that is answered only by a voter outside the chain keeps the old head in the chain: with it, f+1 disks have everything.
func TestElectionKeepsEnoughMembers(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		head, others := w.head(), w.others()
		w.cut(head, others[1], time.Minute)
		w.cut(others[0], others[1], time.Second)
		w.run(w.now + 2*time.Second)
		require.Len(t, head.process.View().Chain, 2, "seed %d", w.seed)
		head.losePower()
		for w.head() == nil && w.failure == nil && w.now < time.Minute {
			w.run(w.now + time.Millisecond)
		}
		require.Same(t, others[0], w.head(), "seed %d", w.seed)
		assert.Len(t, w.head().process.View().Chain, 2, "seed %d", w.seed)
		if w.seed%2 == 0 { // the voter takes the place of the old head in one view
			epoch := w.head().process.View().Epoch
			assert.Less(t, w.untilInChain(others[1], 5*time.Second), time.Second, "seed %d", w.seed)
			assert.Len(t, w.head().process.View().Chain, 2, "seed %d", w.seed)
			assert.Equal(t, epoch+1, w.head().process.View().Epoch, "seed %d", w.seed)
			return
		}
		w.cut(others[0], others[1], time.Minute) // or the old head returns and continues in its place
		w.cut(head, others[1], time.Minute)
		head.start()
		assert.Less(t, w.untilCommitted(5*time.Second), time.Second, "seed %d", w.seed)
	})
}

// The new machine joined first and has everything, then the old one leaves. The next loss, at once, leaves a majority.
func TestLossAfterReplacementLeavesAMajority(t *testing.T) {
	for _, ofHead := range []bool{false, true} {
		eachSeed(t, func(t *testing.T, w *world) {
			newcomer := w.newMachine()
			newcomer.start()
			require.Less(t, w.untilInChain(newcomer, 5*time.Second), time.Second)
			leaver := w.others()[0]
			if ofHead {
				leaver = w.head()
			}
			leaver.input(Leave{})
			require.Less(t, w.untilLeft(leaver, 5*time.Second), time.Second, "seed %d", w.seed)
			leaver.kill()
			leaver.removed = true
			w.untilCommitted(time.Second)
			w.head().losePower()
			assert.Less(t, w.untilCommitted(5*time.Second), 1200*time.Millisecond, "seed %d", w.seed)
		})
	}
}

// A member whose disk refuses writes counts as lost at once, even if it has to stay in the chain. Restarted with its disk, it continues
// in its place.
func TestFailedDiskCountsAsLost(t *testing.T) {
	for seed := range uint64(deploymentSeeds) {
		w := newCalmWorld(t, seed, 3, 0, 2)
		m, head := w.others()[0], w.head()
		m.dropPending()
		m.syncingWrites = 1
		m.input(DiskFailed{})
		w.run(w.now + 50*time.Millisecond)
		assert.ErrorIs(t, head.process.CanPropose(head.clock()), ErrChainTooShort, "seed %d", seed)
		w.run(w.now + 50*time.Millisecond)
		m.syncingWrites = 0
		m.losePower()
		w.run(w.now + 100*time.Millisecond)
		m.start()
		w.run(w.now + 200*time.Millisecond)
		assert.NoError(t, head.process.CanPropose(head.clock()), "seed %d", seed)
		assert.Less(t, w.untilCommitted(5*time.Second), 500*time.Millisecond, "seed %d", seed)
		require.NoError(t, w.failure, "seed %d", seed)
	}
}

// A leaving head accepts no writes once it can go.
func TestLeavingHeadRefusesWrites(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		head := w.head()
		head.input(Leave{})
		head.input(Tick{}) // as from the embedder, once everything that had arrived is handed in
		assert.ErrorIs(t, head.process.CanPropose(head.clock()), ErrNotHead, "seed %d", w.seed)
	})
}

// A leave notice is repeated if it gets lost. A replica that isn't in the chain has left at once. A replica that has left may return and
// stay.
func TestLeaveNoticeIsRepeatedAndLeaverMayReturn(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		leaver := w.others()[0]
		w.cut(leaver, w.head(), 80*time.Millisecond)
		leaver.input(Leave{})
		assert.Less(t, w.untilLeft(leaver, 5*time.Second), 400*time.Millisecond, "seed %d", w.seed)
		leaver.kill()
		leaver.start()
		assert.Less(t, w.untilInChain(leaver, 5*time.Second), time.Second, "seed %d", w.seed)
		w.run(w.now + time.Second)
		assert.Len(t, w.head().process.View().Chain, 3, "seed %d", w.seed)
		learner := w.newMachine()
		learner.start()
		learner.input(Leave{})
		assert.True(t, learner.left, "seed %d", w.seed)
	})
}

// A head whose disk stalls yields to the only other member while a third can't reach it.
func TestStalledHeadThatCannotBeSparedYields(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		head, others := w.head(), w.others()
		w.cut(head, others[1], time.Minute)
		w.cut(others[0], others[1], time.Second)
		w.run(w.now + 2*time.Second)
		require.Len(t, head.process.View().Chain, 2, "seed %d", w.seed)
		head.stalledUntil = w.now + 10*time.Second
		w.run(w.now + 30*time.Millisecond)
		assert.Less(t, w.untilCommitted(5*time.Second), 2500*time.Millisecond, "seed %d", w.seed)
		assert.NotSame(t, head, w.head(), "seed %d", w.seed)
	})
}

// A candidate waits a moment for all running members.
func TestElectionWaitsForAllRunningMembers(t *testing.T) {
	for seed := range uint64(deploymentSeeds) {
		w := newCalmWorld(t, seed, 3, 2, 1)
		w.head().losePower()
		w.untilCommitted(5 * time.Second)
		assert.Len(t, w.head().process.View().Chain, 4, "seed %d", seed)
	}
}

// A leaving head waits until it knows whether the others run, and stays if one of them doesn't, with and without writes.
func TestHeadDoesNotLeaveToADeadMember(t *testing.T) {
	for _, writes := range []bool{false, true} {
		for seed := range uint64(deploymentSeeds) {
			w := newWorld(seed, 3, 0, 1)
			if writes {
				w.writeLoop(10 * time.Millisecond)
			}
			w.run(warmUp)
			head := w.head()
			w.others()[1].losePower()
			w.run(w.now + w.randomDuration(300*time.Millisecond, 600*time.Millisecond))
			head.input(Leave{})
			w.run(w.now + 3*time.Second)
			require.NoError(t, w.failure, "seed %d", seed)
			assert.False(t, head.left, "seed %d", seed)
			assert.True(t, head == w.head(), "seed %d", seed)
		}
	}
}
