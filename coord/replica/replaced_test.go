package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// asksToJoin is a replica with an empty disk at an address, which knows the view of an epoch.
func (s *stand) asksToJoin(id view.ReplicaID, address string, epoch uint64) {
	from := view.Member{ID: id, Address: address}
	s.step(Receive{&Message{From: from, Epoch: epoch, Join: &view.Join{Sequence: 1}}})
}

// granted is b of a chain a, b, c that has just granted a heartbeat of a.
func granted(t *testing.T) *stand {
	s := settled(t, standConfig("b"), chain.Log{}, "a", "b", "c")
	s.beat("a", view.Heartbeat{Sequence: 1})
	s.drain()
	return s
}

func TestAHeadThatIsReplacedIsNotWaitedFor(t *testing.T) {
	s := granted(t)
	s.asksToJoin("a2", "a:1", standEpoch)
	s.after(electionStagger)
	require.NotEmpty(t, s.prepares(), "nobody can use the grant any more")
	s.prepare("c", 9)
	s.sync()
	promises := s.promises()
	require.NotEmpty(t, promises)
	assert.True(t, promises[len(promises)-1].OK, "nor for another candidate")
}

func TestOneThatMayBeOlderThanTheViewReplacesNobody(t *testing.T) {
	for name, ask := range map[string]func(*stand){
		"it knows an earlier view only": func(s *stand) { s.asksToJoin("a2", "a:1", standEpoch-1) },
		"it knows no view": func(s *stand) {
			from := view.Member{ID: "a2", Address: "a:1"}
			s.step(Receive{&Message{From: from, Viewless: true, Join: &view.Join{Sequence: 1}}})
		},
		"it is at another address": func(s *stand) { s.asksToJoin("a2", "a:2", standEpoch) },
		"it is the head itself":    func(s *stand) { s.asksToJoin("a", "a:1", standEpoch) },
		"the tail is replaced":     func(s *stand) { s.asksToJoin("c2", "c:1", standEpoch) },
	} {
		t.Run(name, func(t *testing.T) {
			s := granted(t)
			ask(s)
			s.after(DefaultGrant - 10*time.Millisecond)
			assert.Empty(t, s.prepares())
			s.prepare("c", 9)
			s.sync()
			promises := s.promises()
			require.NotEmpty(t, promises)
			assert.False(t, promises[len(promises)-1].OK)
		})
	}
}

// What was proven of a member of one view says nothing of the next.
func TestTheProofEndsWithItsView(t *testing.T) {
	s := granted(t)
	s.asksToJoin("a2", "a:1", standEpoch)
	s.learn(standView(standEpoch+1, "a", "b", "c"))
	s.sync()
	s.beat("a", view.Heartbeat{Sequence: 1})
	s.drain()
	s.prepare("c", 9)
	s.sync()
	promises := s.promises()
	require.NotEmpty(t, promises)
	assert.False(t, promises[len(promises)-1].OK)
}

// A tail whose disk is lost can't answer reads, whatever it was permitted.
func TestAReplacedTailIsDroppedAtOnce(t *testing.T) {
	s := resumed(t, standConfig("a"), Persisted{View: standView(standEpoch, "a", "b", "c")})
	s.step(Tick{})
	ballot := s.prepares()[0].Ballot
	s.sync()
	s.asksToJoin("c2", "c:1", standEpoch)
	s.promise("b", view.Promise{Ballot: ballot})
	s.after(lateVoteWait + 10*time.Millisecond)
	require.Less(t, s.now, standStart+DefaultGrant/readGrantDivisor)
	accepts := s.accepts()
	require.NotEmpty(t, accepts)
	assert.False(t, accepts[0].Value.InChain("c"))
}
