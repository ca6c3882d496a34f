package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// bar keeps the head from admitting anybody for a while.
func (w *world) bar(length time.Duration) {
	for end := w.now + length; w.now < end && w.failure == nil; w.run(w.now + time.Millisecond) {
		if head := w.head(); head != nil {
			head.process.head.heldAgain = never
		}
	}
	if head := w.head(); head != nil {
		head.process.head.heldAgain = 0
	}
}

// member is how a machine stands in views.
func (m *machine) member() view.Member { return m.process.Self() }

// A lost disk's place in a chain of f+1 and its vote go to the new one at its address, in one view.
func TestNewDiskInAShortChain(t *testing.T) {
	for seed := range uint64(deploymentSeeds) {
		w := calm(t, seed, 3, 0, 2)
		m := w.others()[0]
		old := m.member().ID
		m.losePower()
		w.run(w.now + time.Second) // what m had acknowledged is committed
		m.loseDisk()
		m.start()
		assert.Less(t, w.untilIn(m, 5*time.Second), 1500*time.Millisecond, "seed %d", seed)
		w.run(w.now + 100*time.Millisecond)
		v := w.head().process.View()
		assert.Len(t, v.Voters, 3, "seed %d", seed)
		assert.False(t, v.IsVoter(old) || v.InChain(old), "seed %d", seed)
		assert.Less(t, w.untilCommitted(time.Second), 200*time.Millisecond, "seed %d", seed)
		require.NoError(t, w.failure, "seed %d", seed)
	}
}

// The vote of a lost disk goes to the new one at its address, and its place in the chain with it, also where the chain keeps its lost
// members for want of others: whoever is in a chain has a vote.
func TestALostDisksPlaceGoesWithItsVote(t *testing.T) {
	cfg := standConfig("a")
	cfg.Tolerance = 2
	s := settled(t, cfg, chain.Log{}, "a", "b", "c", "d", "e")
	s.core.view.Chain = standMembers("a", "b", "c")
	s.core.peer("b", s.now).silent = true
	s.core.peer("c", s.now).gone = true
	next := s.core.viewWith(s.now, view.Member{ID: "new", Address: standMember("c").Address}, "")
	for _, member := range next.Chain {
		assert.True(t, next.IsVoter(member.ID), "%s has no vote", member.ID)
	}
	assert.True(t, next.InChain("new") && next.InChain("b"))
	assert.Greater(t, len(next.Chain), cfg.Tolerance)
}

// The view that lets a member in is also the one that leaves out those who are lost, where f+1 others are there with it.
func TestALostMemberGoesWithTheViewThatLetsAnotherIn(t *testing.T) {
	s := settled(t, standConfig("a"), chain.Log{}, "a", "b", "c")
	s.core.peer("b", s.now).silent = true
	next := s.core.viewWith(s.now, standMember("d"), "")
	assert.Equal(t, standMembers("a", "c", "d"), next.Chain)
	assert.Equal(t, standMembers("a", "b", "c", "d"), next.Voters, "its vote stays till it is long out of reach")
}

// A disk that has moved to another address isn't in the chain twice.
func TestAMovedDiskHasOnePlace(t *testing.T) {
	cfg := standConfig("a")
	cfg.Tolerance = 2
	s := settled(t, cfg, chain.Log{}, "a", "b", "c", "d", "e")
	s.core.view.Chain = standMembers("a", "b", "c")
	s.core.peer("b", s.now).silent = true
	s.core.peer("c", s.now).gone = true
	moved := view.Member{ID: "c", Address: "elsewhere:1"}
	next := s.core.viewWith(s.now, moved, "")
	assert.Equal(t, append(standMembers("a", "b"), moved), next.Chain)
	assert.Contains(t, next.Voters, moved)
}

// TestASeatPassesAmongOverlappingLosses plays the seed in which a lost disk kept its place in the chain after its vote was given away:
// two disks were lost while others were cut off, killed and frozen.
func TestASeatPassesAmongOverlappingLosses(t *testing.T) {
	require.NoError(t, trial(237, nil), "replay with GAUGESLIP_TRIAL=237 go test -run TestTrials ./coord/replica")
}

// A disk that moves to another address has its vote back there, and no other's.
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

// A new machine takes the vote of one that is long out of reach in the very view that lets it in.
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
		assert.Less(t, w.untilIn(other, 5*time.Second), time.Second, "seed %d", w.seed)
		assert.Equal(t, epoch+1, w.head().process.View().Epoch, "seed %d", w.seed)
		assert.Len(t, w.head().process.View().Voters, 3, "seed %d", w.seed)
		assert.False(t, w.head().process.View().IsVoter(id), "seed %d", w.seed)
	})
}

// A dead voter beyond 2f+1 loses its vote after a while, not at once, and one that 2f+1 need keeps it.
func TestDeadVotersGoAsFarAsTheyAreSpared(t *testing.T) {
	for seed := range uint64(8) {
		w := calm(t, seed, 3, 1, 1)
		w.others()[0].losePower()
		w.run(w.now + voterGoneAfter - 500*time.Millisecond)
		assert.Len(t, w.head().process.View().Voters, 4, "seed %d", seed)
		w.run(w.now + time.Second)
		assert.Len(t, w.head().process.View().Voters, 3, "seed %d", seed)
		w.run(w.now + voterGoneAfter)
		assert.Len(t, w.head().process.View().Voters, 3, "seed %d", seed)
		require.NoError(t, w.failure, "seed %d", seed)
	}
}

// A dead member that stays in the chain for want of others has its vote as long.
func TestDeadMemberKeepsItsVote(t *testing.T) {
	for seed := range uint64(8) {
		w := calm(t, seed, 3, 1, 1)
		others := w.others()
		others[1].losePower()
		w.bar(time.Second)
		others[1].start()
		others[2].losePower()
		w.bar(time.Second)
		others[2].start()
		w.bar(100 * time.Millisecond)
		others[0].losePower()
		w.bar(voterGoneAfter + time.Second)
		require.NoError(t, w.failure, "seed %d", seed)
		require.NotNil(t, w.head(), "seed %d", seed)
		assert.Len(t, w.head().process.View().Chain, 2, "seed %d", seed)
		assert.Less(t, w.untilCommitted(2*time.Second), time.Second, "seed %d", seed)
	}
}

// A member that leaves keeps its vote where 2f+1 need it.
func TestLeaverKeepsANeededVote(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		leaver := w.others()[0]
		leaver.input(Leave{})
		assert.Less(t, w.leaves(leaver, time.Second), 500*time.Millisecond, "seed %d", w.seed)
		w.run(w.now + voterGoneAfter + time.Second)
		assert.Len(t, w.head().process.View().Voters, 3, "seed %d", w.seed)
	})
}

// A voter that has promised another's ballot grants the head nothing; the next epoch ends that.
func TestOldPromisesAreCleared(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		m, other := w.others()[0], w.others()[1]
		require.True(t, m.process.acceptor.Prepare(view.Ballot{Round: 1, Owner: other.member().ID}))
		w.run(w.now + refusedRefresh + time.Second)
		assert.False(t, m.process.acceptor.PromisedToOther(w.head().member().ID), "seed %d", w.seed)
		other.losePower()
		w.run(w.now + 2*time.Second)
		assert.Less(t, w.untilCommitted(time.Second), 200*time.Millisecond, "seed %d", w.seed)
	})
}
