package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// voter is b of a chain a, b, c that hasn't heard its head yet.
func voter(t *testing.T) *stand { return settled(t, standConfig("b"), chain.Log{}, "a", "b", "c") }

func TestGrantKeepsOthersOut(t *testing.T) {
	s := voter(t)
	s.beat("a", view.Heartbeat{Sequence: 1})
	require.True(t, s.acks()[0].Granted)
	s.now += DefaultGrant - time.Millisecond
	s.prepare("c", 1)
	require.False(t, s.promises()[0].OK, "the grant counts still")
	s.accept("c", 1, standView(standEpoch+1, "c", "b"))
	require.False(t, s.accepteds()[0].OK)
	s.now += time.Millisecond
	s.prepare("c", 2)
	s.sync()
	assert.True(t, s.promises()[0].OK, "it is over")
}

func TestLaterHeartbeatProlongsTheGrant(t *testing.T) {
	s := voter(t)
	s.beat("a", view.Heartbeat{Sequence: 1})
	s.now += DefaultGrant / 2
	s.beat("a", view.Heartbeat{Sequence: 2})
	s.now += DefaultGrant - time.Millisecond
	s.drain()
	s.prepare("c", 1)
	assert.False(t, s.promises()[0].OK)
}

func TestPromiseLeavesAfterItsSync(t *testing.T) {
	s := voter(t)
	s.drain()
	ballot := s.prepare("c", 3)
	require.Empty(t, s.promises(), "the promise isn't on disk")
	restored, err := Restore(s.records)
	require.NoError(t, err)
	require.Equal(t, ballot, restored.Acceptor.Promised, "what is to be on disk holds it")
	s.prepare("c", 3)
	require.Empty(t, s.promises(), "asked again, it isn't on disk either")
	s.sync()
	promises := s.promises()
	require.Len(t, promises, 2)
	assert.True(t, promises[0].OK)
}

func TestAcceptedLeavesAfterItsSync(t *testing.T) {
	s := voter(t)
	s.drain()
	next := standView(standEpoch+1, "c", "b")
	ballot := s.accept("c", 3, next)
	require.Empty(t, s.accepteds(), "the vote isn't on disk")
	restored, err := Restore(s.records)
	require.NoError(t, err)
	require.Equal(t, ballot, restored.Acceptor.Accepted, "what is to be on disk holds it")
	require.True(t, restored.Acceptor.Value.Equal(next))
	s.accept("c", 3, next)
	require.Empty(t, s.accepteds())
	s.sync()
	accepted := s.accepteds()
	require.Len(t, accepted, 2)
	assert.True(t, accepted[0].OK)
}

func TestEachPromiseWaitsForItsOwnSync(t *testing.T) {
	s := voter(t)
	s.drain()
	first := s.prepare("c", 3)
	token := s.token
	s.prepare("c", 4)
	s.step(Synced{Token: token})
	promises := s.promises()
	require.Len(t, promises, 1, "the second isn't on disk")
	assert.Equal(t, first, promises[0].Ballot)
}

func TestNothingIsPromisedOnABrokenDisk(t *testing.T) {
	s := voter(t)
	s.drain()
	s.prepare("c", 2)
	token := s.token
	s.step(DiskFailed{})
	s.step(Synced{Token: token})
	s.prepare("c", 3)
	s.accept("c", 3, standView(standEpoch+1, "c", "b"))
	s.step(Synced{Token: s.token + 1})
	for _, m := range s.drain() {
		assert.False(t, m.Promise != nil && m.Promise.OK || m.Accepted != nil && m.Accepted.OK)
	}
}

func TestRestartedVoterWaitsOutItsGrants(t *testing.T) {
	s := resumed(t, standConfig("b"), Persisted{View: standView(standEpoch, "a", "b", "c")})
	s.now += DefaultGrant - time.Millisecond
	s.prepare("c", 1)
	require.False(t, s.promises()[0].OK)
	s.now += time.Millisecond
	s.prepare("c", 2)
	s.sync()
	assert.True(t, s.promises()[0].OK)
}

// The earlier life may have granted in an epoch of which its disk has no trace.
func TestRestartedVoterWaitsInALaterEpochToo(t *testing.T) {
	s := resumed(t, standConfig("b"), Persisted{View: standView(standEpoch-1, "a", "b", "c")})
	s.now += time.Millisecond
	s.learn(standView(standEpoch, "a", "b", "c"))
	s.sync()
	s.now = standStart + DefaultGrant - time.Millisecond
	s.prepare("c", 1)
	require.False(t, s.promises()[0].OK)
	s.now += time.Millisecond
	s.prepare("c", 2)
	s.sync()
	assert.True(t, s.promises()[0].OK)
}

// A seed that dies at the very first start, before anything is on its disk, has the same identity in its next life.
func TestRestartedSeedWaitsOutItsGrants(t *testing.T) {
	genesis := standView(0, "a", "b", "c")
	cfg := standConfig("b")
	cfg.Genesis = &genesis
	s := resumed(t, cfg, Persisted{})
	s.step(Tick{})
	s.sync()
	s.drain()
	s.now += DefaultGrant - time.Millisecond
	s.prepare("c", 1)
	assert.False(t, s.promises()[0].OK)
}

func TestRestartedVoterKeepsItsVotes(t *testing.T) {
	higher := view.Ballot{Round: 9, Owner: "c", Life: 1}
	found := standView(standEpoch+1, "c", "b")
	disk := Persisted{View: standView(standEpoch, "a", "b", "c"),
		Acceptor: view.Acceptor{Instance: standEpoch + 1, Promised: higher, Accepted: higher, Value: &found}}
	s := resumed(t, standConfig("b"), disk)
	s.now += standLength
	s.prepare("a", 5)
	refused := s.promises()[0]
	require.False(t, refused.OK)
	require.Equal(t, higher, refused.Promised)
	s.prepare("a", 10)
	s.sync()
	promise := s.promises()[0]
	require.True(t, promise.OK)
	require.Equal(t, higher, promise.Accepted)
	assert.True(t, promise.Value.Equal(found))
}

func TestVotesOfAnotherInstanceDontCount(t *testing.T) {
	ballot := view.Ballot{Round: 9, Owner: "c", Life: 1}
	found := standView(standEpoch, "c", "b")
	disk := Persisted{View: standView(standEpoch, "a", "b", "c"),
		Acceptor: view.Acceptor{Instance: standEpoch, Promised: ballot, Accepted: ballot, Value: &found}}
	s := resumed(t, standConfig("b"), disk)
	s.now += standLength
	s.prepare("c", 1)
	s.sync()
	promise := s.promises()[0]
	require.True(t, promise.OK)
	assert.Nil(t, promise.Value, "it was accepted for the epoch that is over")
}

func TestLearntViewBeginsAnotherInstance(t *testing.T) {
	s := voter(t)
	s.accept("c", 9, standView(standEpoch+1, "c", "b"))
	s.sync()
	s.learn(standView(standEpoch+1, "c", "b"))
	s.sync()
	s.drain()
	s.prepare("c", 1)
	s.sync()
	promise := s.promises()[0]
	require.True(t, promise.OK)
	assert.Nil(t, promise.Value)
}

func TestRewrittenLogKeepsTheVotes(t *testing.T) {
	s := voter(t)
	ballot := s.accept("c", 9, standView(standEpoch+1, "c", "b"))
	s.sync()
	restored, err := Restore(s.core.Compact(nil, 0))
	require.NoError(t, err)
	assert.Equal(t, view.ReplicaID("b"), restored.Identity)
	assert.Equal(t, uint64(standEpoch), restored.View.Epoch)
	assert.Equal(t, ballot, restored.Acceptor.Accepted)
}

func TestNoGrantAfterAPromise(t *testing.T) {
	s := voter(t)
	s.prepare("c", 1)
	s.sync()
	s.drain()
	s.beat("a", view.Heartbeat{Sequence: 1})
	assert.False(t, s.acks()[0].Granted)
}

func TestWhoHasNoVoteNeitherVotesNorGrants(t *testing.T) {
	s := settled(t, standConfig("d"), chain.Log{}, "a", "b", "c")
	s.drain()
	s.prepare("c", 1)
	s.accept("c", 1, standView(standEpoch+1, "c", "b"))
	s.beat("a", view.Heartbeat{Sequence: 1})
	s.sync()
	for _, m := range s.drain() {
		assert.False(t, m.Promise != nil && m.Promise.OK)
		assert.False(t, m.Accepted != nil && m.Accepted.OK)
		assert.False(t, m.HeartbeatAck != nil && m.HeartbeatAck.Granted)
	}
}

// What belongs to another epoch is not taken; whoever is behind is told the view, and asked for it where it is ahead.
func TestMessagesOfOtherEpochsDontCount(t *testing.T) {
	for _, epoch := range []uint64{standEpoch - 1, standEpoch + 1} {
		s := voter(t)
		s.drain()
		prepare := &view.Prepare{Ballot: view.Ballot{Round: 1, Owner: "c"}}
		s.receiveAsItIs("c", &Message{Epoch: epoch, Prepare: prepare})
		s.receiveAsItIs("a", &Message{Epoch: epoch, Heartbeat: &view.Heartbeat{Sequence: 1}})
		s.sync()
		for _, m := range s.drain() {
			assert.Nil(t, m.Promise, "epoch %d", epoch)
			assert.Nil(t, m.HeartbeatAck, "epoch %d", epoch)
			assert.Equal(t, epoch < standEpoch, m.View != nil)
			assert.Equal(t, epoch > standEpoch, m.Request != nil)
		}
	}
}

func TestMessagesForAnotherDiskDontCount(t *testing.T) {
	s := voter(t)
	s.drain()
	m := &Message{From: standMember("a"), To: "lost", Epoch: standEpoch, Heartbeat: &view.Heartbeat{Sequence: 1}}
	s.step(Receive{m})
	assert.Empty(t, s.acks())
}

func TestOnlyTheHeadIsGranted(t *testing.T) {
	s := voter(t)
	s.drain()
	s.beat("c", view.Heartbeat{Sequence: 1})
	assert.Empty(t, s.acks())
	s.prepare("c", 1)
	s.sync()
	assert.True(t, s.promises()[0].OK, "there is no grant")
}

func TestOlderViewIsNotTaken(t *testing.T) {
	s := voter(t)
	s.learn(standView(standEpoch-1, "x", "y", "z"))
	assert.Equal(t, uint64(standEpoch), s.core.View().Epoch)
	assert.NoError(t, s.fault)
}

func TestTwoViewsOfOneEpochAreAFault(t *testing.T) {
	s := voter(t)
	s.learn(standView(standEpoch, "a", "b"))
	assert.ErrorIs(t, s.fault, chain.ErrDiverged)
}
