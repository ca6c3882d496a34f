package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// blockAdmissions keeps the head from admitting a learner for a while.
func (w *world) blockAdmissions(length time.Duration) {
	for end := w.now + length; w.now < end && w.failure == nil; w.run(w.now + time.Millisecond) {
		if head := w.head(); head != nil {
			head.process.head.holdRetryAt = never
		}
	}
	if head := w.head(); head != nil {
		head.process.head.holdRetryAt = 0
	}
}

// member returns the machine's member entry in views.
func (m *machine) member() view.Member { return m.process.Self() }

// The place of a lost disk in a chain of f+1, and its vote, go to the new disk at its address in one view.
func TestNewDiskInAShortChain(t *testing.T) {
	for seed := range uint64(deploymentSeeds) {
		w := newCalmWorld(t, seed, 3, 0, 2)
		m := w.others()[0]
		old := m.member().ID
		m.losePower()
		w.run(w.now + time.Second) // what m had acknowledged is committed
		m.loseDisk()
		m.start()
		assert.Less(t, w.untilInChain(m, 5*time.Second), 1500*time.Millisecond, "seed %d", seed)
		w.run(w.now + 100*time.Millisecond)
		v := w.head().process.View()
		assert.Len(t, v.Voters, 3, "seed %d", seed)
		assert.False(t, v.IsVoter(old) || v.InChain(old), "seed %d", seed)
		assert.Less(t, w.untilCommitted(time.Second), 200*time.Millisecond, "seed %d", seed)
		require.NoError(t, w.failure, "seed %d", seed)
	}
}

// The vote of a lost disk goes to the new disk at its address, and its place in the chain with it, even if the chain keeps its lost
// members for lack of others: every member of a chain has a vote.
func TestLostDiskLosesItsPlaceWithItsVote(t *testing.T) {
	cfg := testConfig("a")
	cfg.Tolerance = 2
	s := newSettled(t, cfg, chain.Log{}, "a", "b", "c", "d", "e")
	s.core.view.Chain = testMembers("a", "b", "c")
	s.core.peer("b", s.now).silent = true
	s.core.peer("c", s.now).gone = true
	next := s.core.viewWithLearner(s.now, view.Member{ID: "new", Address: testMember("c").Address}, "")
	for _, member := range next.Chain {
		assert.True(t, next.IsVoter(member.ID), "%s has no vote", member.ID)
	}
	assert.True(t, next.InChain("new") && next.InChain("b"))
	assert.Greater(t, len(next.Chain), cfg.Tolerance)
}

// The view that admits a member also drops the lost ones, if f+1 others are there with it.
func TestAdmissionViewDropsLostMember(t *testing.T) {
	s := newSettled(t, testConfig("a"), chain.Log{}, "a", "b", "c")
	s.core.peer("b", s.now).silent = true
	next := s.core.viewWithLearner(s.now, testMember("d"), "")
	assert.Equal(t, testMembers("a", "c", "d"), next.Chain)
	assert.Equal(t, testMembers("a", "b", "c", "d"), next.Voters, "its vote must stay until it has been out of reach for long")
}

// A disk that has moved to another address isn't in the chain twice.
func TestMovedDiskHasOnePlace(t *testing.T) {
	cfg := testConfig("a")
	cfg.Tolerance = 2
	s := newSettled(t, cfg, chain.Log{}, "a", "b", "c", "d", "e")
	s.core.view.Chain = testMembers("a", "b", "c")
	s.core.peer("b", s.now).silent = true
	s.core.peer("c", s.now).gone = true
	moved := view.Member{ID: "c", Address: "elsewhere:1"}
	next := s.core.viewWithLearner(s.now, moved, "")
	assert.Equal(t, append(testMembers("a", "b"), moved), next.Chain)
	assert.Contains(t, next.Voters, moved)
}

// This is the seed in which a lost disk kept its place in the chain after its vote was reassigned: two disks were lost while other
// machines were cut off, killed and frozen.
func TestSeatIsReassignedDuringOverlappingLosses(t *testing.T) {
	require.NoError(t, playTrial(237, nil), "replay with GAUGESLIP_TRIAL=237 go test -run TestTrials ./coord/replica")
}

// A disk that moves to another address gets its own vote back there, and not that of another.
func TestMovedDiskHasItsSeat(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		m := w.others()[0]
		m.losePower()
		w.run(w.now + 100*time.Millisecond)
		m.address = "10.0.1.1:8146"
		m.start()
		w.run(w.now + 500*time.Millisecond)
		v := w.head().process.View()
		assert.Len(t, v.Voters, 3, "seed %d", w.seed)
		assert.Contains(t, v.Voters, m.member(), "seed %d", w.seed)
		assert.Contains(t, v.Chain, m.member(), "seed %d", w.seed)
	})
}

// A new machine takes the vote of one that has long been out of reach in the same view that admits it.
func TestNewMachineTakesADeadSeatAtOnce(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		old := w.others()[0]
		id := old.member().ID
		old.losePower()
		old.removed = true
		w.run(w.now + 2500*time.Millisecond)
		epoch := w.head().process.View().Epoch
		other := w.newMachine()
		other.start()
		assert.Less(t, w.untilInChain(other, 5*time.Second), time.Second, "seed %d", w.seed)
		assert.Equal(t, epoch+1, w.head().process.View().Epoch, "seed %d", w.seed)
		assert.Len(t, w.head().process.View().Voters, 3, "seed %d", w.seed)
		assert.False(t, w.head().process.View().IsVoter(id), "seed %d", w.seed)
	})
}

// A dead voter beyond 2f+1 loses its vote after a while, but not at once. One that is needed for 2f+1 keeps it.
func TestDeadVotersAreDroppedDownTo2fPlus1(t *testing.T) {
	for seed := range uint64(8) {
		w := newCalmWorld(t, seed, 3, 1, 1)
		w.others()[0].losePower()
		w.run(w.now + voterTimeout - 500*time.Millisecond)
		assert.Len(t, w.head().process.View().Voters, 4, "seed %d", seed)
		w.run(w.now + time.Second)
		assert.Len(t, w.head().process.View().Voters, 3, "seed %d", seed)
		w.run(w.now + voterTimeout)
		assert.Len(t, w.head().process.View().Voters, 3, "seed %d", seed)
		require.NoError(t, w.failure, "seed %d", seed)
	}
}

// A dead member that stays in the chain for lack of others keeps its vote as long.
func TestDeadMemberKeepsItsVote(t *testing.T) {
	for seed := range uint64(8) {
		w := newCalmWorld(t, seed, 3, 1, 1)
		others := w.others()
		others[1].losePower()
		w.blockAdmissions(time.Second)
		others[1].start()
		others[2].losePower()
		w.blockAdmissions(time.Second)
		others[2].start()
		w.blockAdmissions(100 * time.Millisecond)
		others[0].losePower()
		w.blockAdmissions(voterTimeout + time.Second)
		require.NoError(t, w.failure, "seed %d", seed)
		require.NotNil(t, w.head(), "seed %d", seed)
		assert.Len(t, w.head().process.View().Chain, 2, "seed %d", seed)
		assert.Less(t, w.untilCommitted(2*time.Second), time.Second, "seed %d", seed)
	}
}

// A member that leaves keeps its vote if that is needed for 2f+1.
func TestLeaverKeepsANeededVote(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		leaver := w.others()[0]
		leaver.input(Leave{})
		assert.Less(t, w.untilLeft(leaver, time.Second), 500*time.Millisecond, "seed %d", w.seed)
		w.run(w.now + voterTimeout + time.Second)
		assert.Len(t, w.head().process.View().Voters, 3, "seed %d", w.seed)
	})
}

// A voter that has promised another's ballot grants the head nothing; the next epoch clears the promise.
func TestOldPromisesAreCleared(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		m, other := w.others()[0], w.others()[1]
		require.True(t, m.process.acceptor.Prepare(view.Ballot{Round: 1, Owner: other.member().ID}))
		w.run(w.now + refusedGrantTimeout + time.Second)
		assert.False(t, m.process.acceptor.PromisedToOther(w.head().member().ID), "seed %d", w.seed)
		other.losePower()
		w.run(w.now + 2*time.Second)
		assert.Less(t, w.untilCommitted(time.Second), 200*time.Millisecond, "seed %d", w.seed)
	})
}
