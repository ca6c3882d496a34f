package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// candidate is b of a chain a, b, c that has stood for the head's place, and its ballot.
func candidate(t *testing.T) (*stand, view.Ballot) {
	s := settled(t, standConfig("b"), chain.Log{}, "a", "b", "c")
	s.stand(standLength)
	s.sync()
	prepares := s.prepares()
	require.NotEmpty(t, prepares)
	return s, prepares[0].Ballot
}

// stand lets time pass in steps too short for a frozen process.
func (s *stand) stand(length time.Duration) {
	for end := s.now + length; s.now < end && !s.core.proposer.Active(); {
		s.after(10 * time.Millisecond)
	}
}

func (s *stand) promise(from view.ReplicaID, promise view.Promise) {
	promise.OK = true
	s.receive(from, &Message{Promise: &promise})
}

// The lease that a head takes along into the next epoch is over before anyone stands against it.
func TestNobodyStandsWithinAGrant(t *testing.T) {
	s := settled(t, standConfig("b"), chain.Log{}, "a", "b", "c")
	learnt := s.now
	s.stand(standLength)
	require.True(t, s.core.proposer.Active())
	require.GreaterOrEqual(t, s.now, learnt+DefaultGrant)

	s = settled(t, standConfig("b"), chain.Log{}, "a", "b", "c")
	s.stand(DefaultGrant / 2)
	heard := s.now
	s.beat("a", view.Heartbeat{Sequence: 1})
	s.stand(standLength)
	require.True(t, s.core.proposer.Active())
	assert.GreaterOrEqual(t, s.now, heard+DefaultGrant)
}

func TestCandidateNeedsAMajority(t *testing.T) {
	s, _ := candidate(t)
	for range 20 {
		s.after(10 * time.Millisecond)
	}
	assert.Empty(t, s.accepts(), "its own promise is no majority")
}

func TestOwnPromiseCountsOnceItIsOnDisk(t *testing.T) {
	s := settled(t, standConfig("b"), chain.Log{}, "a", "b", "c")
	s.stand(standLength)
	ballot := s.prepares()[0].Ballot
	s.promise("c", view.Promise{Ballot: ballot})
	for range 20 {
		s.after(10 * time.Millisecond)
	}
	require.Empty(t, s.accepts(), "c alone has promised for good")
	s.sync()
	s.after(10 * time.Millisecond)
	assert.NotEmpty(t, s.accepts())
}

func TestCandidateTakesUpWhatMayBeDecided(t *testing.T) {
	s, ballot := candidate(t)
	found := standView(standEpoch+1, "c", "b")
	s.promise("c", view.Promise{Ballot: ballot, Accepted: view.Ballot{Owner: "a"}, Value: &found})
	accepts := s.accepts()
	require.NotEmpty(t, accepts)
	assert.True(t, accepts[0].Value.Equal(found))
}

func TestPromiseOfAnotherBallotDoesNotCount(t *testing.T) {
	s, ballot := candidate(t)
	ballot.Life++
	s.promise("c", view.Promise{Ballot: ballot})
	for range 20 {
		s.after(10 * time.Millisecond)
	}
	assert.Empty(t, s.accepts())
}

func TestDoubledPromiseCountsOnce(t *testing.T) {
	s := settled(t, standConfig("b"), chain.Log{}, "a", "b", "c")
	s.stand(standLength)
	ballot := s.prepares()[0].Ballot
	s.promise("c", view.Promise{Ballot: ballot})
	s.promise("c", view.Promise{Ballot: ballot})
	for range 20 {
		s.after(10 * time.Millisecond)
	}
	assert.Empty(t, s.accepts())
}

func TestViewNeedsAMajority(t *testing.T) {
	s, ballot := candidate(t)
	s.promise("c", view.Promise{Ballot: ballot})
	s.after(2 * lateVoteWait)
	require.NotEmpty(t, s.accepts())
	s.sync() // its own vote
	require.Equal(t, uint64(standEpoch), s.core.View().Epoch)
	s.receive("c", &Message{Accepted: &view.Accepted{Ballot: view.Ballot{Owner: "b"}, OK: true}})
	require.Equal(t, uint64(standEpoch), s.core.View().Epoch, "that was another ballot")
	s.receive("c", &Message{Accepted: &view.Accepted{Ballot: ballot}})
	require.Equal(t, uint64(standEpoch), s.core.View().Epoch, "it was refused")
	s.receive("c", &Message{Accepted: &view.Accepted{Ballot: ballot, OK: true}})
	assert.Equal(t, uint64(standEpoch+1), s.core.View().Epoch)
}

// A head that comes back may drop a tail only when the permission that its earlier life gave has run out.
func TestRestartedHeadWaitsForTheTail(t *testing.T) {
	s := resumed(t, standConfig("a"), Persisted{View: standView(standEpoch, "a", "b", "c")})
	s.step(Tick{})
	ballot := s.prepares()[0].Ballot
	s.sync()
	s.promise("b", view.Promise{Ballot: ballot})
	for s.now < standStart+DefaultGrant/readGrantDivisor-10*time.Millisecond {
		s.after(10 * time.Millisecond)
		require.Empty(t, s.accepts(), "c may answer reads")
	}
	s.after(10 * time.Millisecond)
	accepts := s.accepts()
	require.NotEmpty(t, accepts)
	assert.False(t, accepts[0].Value.InChain("c"))
}

// A head that comes back drops others than the tail at once if an entry of the epoch is known to be committed: they all know the view then, in
// which only the tail may read. An entry of an earlier epoch, or one that isn't known to be committed, proves nothing.
func TestRestartedHeadWaitsForNobodyButTheTailOnceAllKnowTheView(t *testing.T) {
	for name, c := range map[string]struct {
		epoch, committed uint64
		at               time.Duration
	}{
		"committed":     {standEpoch, 3, lateVoteWait},
		"not committed": {standEpoch, 0, DefaultGrant / readGrantDivisor},
		"earlier":       {standEpoch - 1, 3, DefaultGrant / readGrantDivisor},
	} {
		t.Run(name, func(t *testing.T) {
			s := resumed(t, standConfig("a"), Persisted{View: standView(standEpoch, "a", "b", "c"), Log: logOf(c.epoch, 3), Committed: c.committed})
			s.step(Tick{})
			ballot := s.prepares()[0].Ballot
			s.sync()
			s.promise("c", view.Promise{Ballot: ballot, OK: true})
			for s.now < standStart+c.at {
				require.Empty(t, s.accepts(), "b may answer reads, or answer yet")
				s.after(10 * time.Millisecond)
			}
			s.after(10 * time.Millisecond)
			accepts := s.accepts()
			require.NotEmpty(t, accepts)
			assert.False(t, accepts[0].Value.InChain("b"))
		})
	}
}

// A head's lease ends with its epoch: in the next one it leads only once a majority has granted it a heartbeat of that epoch, as the grants of
// those who learn an epoch end with the one before, and nothing but patience keeps them from standing.
func TestALeaseEndsWithItsEpoch(t *testing.T) {
	s := settled(t, standConfig("a"), chain.Log{}, "a", "b", "c")
	s.after(s.core.cfg.HeartbeatEvery)
	s.ack("b")
	require.True(t, s.isHead())
	s.learn(s.core.View().Next())
	s.sync()
	require.True(t, s.core.entered)
	assert.False(t, s.isHead())
	s.ack("b")
	assert.True(t, s.isHead())
}
