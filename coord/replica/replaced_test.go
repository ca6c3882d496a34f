package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// askToJoin hands in a join request of a replica at an address that knows the view of an epoch.
func (s *harness) askToJoin(id view.ReplicaID, address string, epoch uint64) {
	from := view.Member{ID: id, Address: address}
	s.step(Receive{&Message{From: from, Epoch: epoch, Join: &view.Join{Sequence: 1}}})
}

// newGrantingVoter returns replica b of the chain a, b, c, which has just granted a heartbeat of a.
func newGrantingVoter(t *testing.T) *harness {
	s := newSettled(t, testConfig("b"), chain.Log{}, "a", "b", "c")
	s.heartbeat("a", view.Heartbeat{Sequence: 1})
	s.takeSent()
	return s
}

func TestReplacedHeadIsNotWaitedFor(t *testing.T) {
	s := newGrantingVoter(t)
	s.askToJoin("a2", "a:1", testEpoch)
	s.advance(electionStagger)
	require.NotEmpty(t, s.prepares(), "no process can use the grant any more")
	s.prepare("c", 9)
	s.sync()
	promises := s.promises()
	require.NotEmpty(t, promises)
	assert.True(t, promises[len(promises)-1].OK, "the grant doesn't block another candidate either")
}

func TestJoinWithoutProofReplacesNobody(t *testing.T) {
	for name, ask := range map[string]func(*harness){
		"it knows an earlier view only": func(s *harness) { s.askToJoin("a2", "a:1", testEpoch-1) },
		"it knows no view": func(s *harness) {
			from := view.Member{ID: "a2", Address: "a:1"}
			s.step(Receive{&Message{From: from, Viewless: true, Join: &view.Join{Sequence: 1}}})
		},
		"it is at another address": func(s *harness) { s.askToJoin("a2", "a:2", testEpoch) },
		"it is the head itself":    func(s *harness) { s.askToJoin("a", "a:1", testEpoch) },
		"the tail is replaced":     func(s *harness) { s.askToJoin("c2", "c:1", testEpoch) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newGrantingVoter(t)
			ask(s)
			s.advance(DefaultGrant - 10*time.Millisecond)
			assert.Empty(t, s.prepares())
			s.prepare("c", 9)
			s.sync()
			promises := s.promises()
			require.NotEmpty(t, promises)
			assert.False(t, promises[len(promises)-1].OK)
		})
	}
}

// A replacement that was proven in one view proves nothing in the next.
func TestReplacementProofEndsWithItsView(t *testing.T) {
	s := newGrantingVoter(t)
	s.askToJoin("a2", "a:1", testEpoch)
	s.receiveView(testView(testEpoch+1, "a", "b", "c"))
	s.sync()
	s.heartbeat("a", view.Heartbeat{Sequence: 1})
	s.takeSent()
	s.prepare("c", 9)
	s.sync()
	promises := s.promises()
	require.NotEmpty(t, promises)
	assert.False(t, promises[len(promises)-1].OK)
}

// A tail whose disk is lost can't answer reads, whatever permission it had.
func TestAReplacedTailIsDroppedAtOnce(t *testing.T) {
	s := newRestarted(t, testConfig("a"), Persisted{View: testView(testEpoch, "a", "b", "c")})
	s.step(Tick{})
	ballot := s.prepares()[0].Ballot
	s.sync()
	s.askToJoin("c2", "c:1", testEpoch)
	s.promise("b", view.Promise{Ballot: ballot})
	s.advance(lateVoteWait + 10*time.Millisecond)
	require.Less(t, s.now, testStart+DefaultGrant/readGrantDivisor)
	accepts := s.accepts()
	require.NotEmpty(t, accepts)
	assert.False(t, accepts[0].Value.InChain("c"))
}
