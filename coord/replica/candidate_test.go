package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// newCandidate returns replica b of the chain a, b, c, which has started an election, and its ballot.
func newCandidate(t *testing.T) (*harness, view.Ballot) {
	s := newSettled(t, testConfig("b"), chain.Log{}, "a", "b", "c")
	s.advanceUntilCandidate(pastAllGrants)
	s.sync()
	prepares := s.prepares()
	require.NotEmpty(t, prepares)
	return s, prepares[0].Ballot
}

// advanceUntilCandidate lets time pass until an election starts, in steps too short to look like a pause.
func (s *harness) advanceUntilCandidate(length time.Duration) {
	for end := s.now + length; s.now < end && !s.core.proposer.Active(); {
		s.advance(10 * time.Millisecond)
	}
}

func (s *harness) promise(from view.ReplicaID, promise view.Promise) {
	promise.OK = true
	s.receive(from, &Message{Promise: &promise})
}

// The lease that a head keeps into the next epoch has run out before anyone starts an election against it.
func TestNoElectionWithinAGrant(t *testing.T) {
	s := newSettled(t, testConfig("b"), chain.Log{}, "a", "b", "c")
	learned := s.now
	s.advanceUntilCandidate(pastAllGrants)
	require.True(t, s.core.proposer.Active())
	require.GreaterOrEqual(t, s.now, learned+DefaultGrant)

	s = newSettled(t, testConfig("b"), chain.Log{}, "a", "b", "c")
	s.advanceUntilCandidate(DefaultGrant / 2)
	heard := s.now
	s.heartbeat("a", view.Heartbeat{Sequence: 1})
	s.advanceUntilCandidate(pastAllGrants)
	require.True(t, s.core.proposer.Active())
	assert.GreaterOrEqual(t, s.now, heard+DefaultGrant)
}

func TestCandidateNeedsAMajority(t *testing.T) {
	s, _ := newCandidate(t)
	for range 20 {
		s.advance(10 * time.Millisecond)
	}
	assert.Empty(t, s.accepts(), "its own promise is no majority")
}

func TestOwnPromiseCountsOnceItIsOnDisk(t *testing.T) {
	s := newSettled(t, testConfig("b"), chain.Log{}, "a", "b", "c")
	s.advanceUntilCandidate(pastAllGrants)
	ballot := s.prepares()[0].Ballot
	s.promise("c", view.Promise{Ballot: ballot})
	for range 20 {
		s.advance(10 * time.Millisecond)
	}
	require.Empty(t, s.accepts(), "only c has promised durably")
	s.sync()
	s.advance(10 * time.Millisecond)
	assert.NotEmpty(t, s.accepts())
}

func TestCandidateAdoptsPossiblyDecidedValue(t *testing.T) {
	s, ballot := newCandidate(t)
	found := testView(testEpoch+1, "c", "b")
	s.promise("c", view.Promise{Ballot: ballot, Accepted: view.Ballot{Owner: "a"}, Value: &found})
	accepts := s.accepts()
	require.NotEmpty(t, accepts)
	assert.True(t, accepts[0].Value.Equal(found))
}

func TestPromiseOfAnotherBallotDoesNotCount(t *testing.T) {
	s, ballot := newCandidate(t)
	ballot.Life++
	s.promise("c", view.Promise{Ballot: ballot})
	for range 20 {
		s.advance(10 * time.Millisecond)
	}
	assert.Empty(t, s.accepts())
}

func TestDuplicatePromiseCountsOnce(t *testing.T) {
	s := newSettled(t, testConfig("b"), chain.Log{}, "a", "b", "c")
	s.advanceUntilCandidate(pastAllGrants)
	ballot := s.prepares()[0].Ballot
	s.promise("c", view.Promise{Ballot: ballot})
	s.promise("c", view.Promise{Ballot: ballot})
	for range 20 {
		s.advance(10 * time.Millisecond)
	}
	assert.Empty(t, s.accepts())
}

func TestViewNeedsAMajority(t *testing.T) {
	s, ballot := newCandidate(t)
	s.promise("c", view.Promise{Ballot: ballot})
	s.advance(2 * lateVoteWait)
	require.NotEmpty(t, s.accepts())
	s.sync() // its own vote
	require.Equal(t, uint64(testEpoch), s.core.View().Epoch)
	s.receive("c", &Message{Accepted: &view.Accepted{Ballot: view.Ballot{Owner: "b"}, OK: true}})
	require.Equal(t, uint64(testEpoch), s.core.View().Epoch, "that was another ballot")
	s.receive("c", &Message{Accepted: &view.Accepted{Ballot: ballot}})
	require.Equal(t, uint64(testEpoch), s.core.View().Epoch, "it was refused")
	s.receive("c", &Message{Accepted: &view.Accepted{Ballot: ballot, OK: true}})
	assert.Equal(t, uint64(testEpoch+1), s.core.View().Epoch)
}

// A restarted head may drop the tail only once the read permission of its earlier incarnation has run out.
func TestRestartedHeadWaitsForTailReadPermission(t *testing.T) {
	s := newRestarted(t, testConfig("a"), Persisted{View: testView(testEpoch, "a", "b", "c")})
	s.step(Tick{})
	ballot := s.prepares()[0].Ballot
	s.sync()
	s.promise("b", view.Promise{Ballot: ballot})
	for s.now < testStart+DefaultGrant/readGrantDivisor-10*time.Millisecond {
		s.advance(10 * time.Millisecond)
		require.Empty(t, s.accepts(), "c may answer reads")
	}
	s.advance(10 * time.Millisecond)
	accepts := s.accepts()
	require.NotEmpty(t, accepts)
	assert.False(t, accepts[0].Value.InChain("c"))
}

// A restarted head drops members other than the tail at once if an entry of the epoch is known to be committed: then all of them know the
// view, in which only the tail may answer reads. An entry of an earlier epoch, or one that isn't known to be committed, proves nothing.
func TestRestartedHeadWaitsOnlyForTailOnceAllKnowTheView(t *testing.T) {
	for name, c := range map[string]struct {
		epoch, committed uint64
		at               time.Duration
	}{
		"committed":     {testEpoch, 3, lateVoteWait},
		"not committed": {testEpoch, 0, DefaultGrant / readGrantDivisor},
		"earlier":       {testEpoch - 1, 3, DefaultGrant / readGrantDivisor},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRestarted(t, testConfig("a"), Persisted{View: testView(testEpoch, "a", "b", "c"), Log: testLog(c.epoch, 3), Committed: c.committed})
			s.step(Tick{})
			ballot := s.prepares()[0].Ballot
			s.sync()
			s.promise("c", view.Promise{Ballot: ballot, OK: true})
			for s.now < testStart+c.at {
				require.Empty(t, s.accepts(), "b may answer reads, or may still answer the ballot")
				s.advance(10 * time.Millisecond)
			}
			s.advance(10 * time.Millisecond)
			accepts := s.accepts()
			require.NotEmpty(t, accepts)
			assert.False(t, accepts[0].Value.InChain("b"))
		})
	}
}

// A head's lease ends with its epoch. In the next epoch it leads only once a majority has granted it a heartbeat of that epoch: a replica
// that learns an epoch forgets its grants of the one before, and only its election timer keeps it from starting an election.
func TestALeaseEndsWithItsEpoch(t *testing.T) {
	s := newSettled(t, testConfig("a"), chain.Log{}, "a", "b", "c")
	s.advance(s.core.cfg.HeartbeatEvery)
	s.ack("b")
	require.True(t, s.isHead())
	s.receiveView(s.core.View().Next())
	s.sync()
	require.True(t, s.core.entered)
	assert.False(t, s.isHead())
	s.ack("b")
	assert.True(t, s.isHead())
}
