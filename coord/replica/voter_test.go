package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// newVoter returns replica b of the chain a, b, c, which hasn't heard its head yet.
func newVoter(t *testing.T) *harness {
	return newSettled(t, testConfig("b"), chain.Log{}, "a", "b", "c")
}

func TestGrantKeepsOthersOut(t *testing.T) {
	s := newVoter(t)
	s.heartbeat("a", view.Heartbeat{Sequence: 1})
	require.True(t, s.acks()[0].Granted)
	s.now += DefaultGrant - time.Millisecond
	s.prepare("c", 1)
	require.False(t, s.promises()[0].OK, "the grant still counts")
	s.accept("c", 1, testView(testEpoch+1, "c", "b"))
	require.False(t, s.acceptedReplies()[0].OK)
	s.now += time.Millisecond
	s.prepare("c", 2)
	s.sync()
	assert.True(t, s.promises()[0].OK, "the grant has run out")
}

func TestLaterHeartbeatExtendsTheGrant(t *testing.T) {
	s := newVoter(t)
	s.heartbeat("a", view.Heartbeat{Sequence: 1})
	s.now += DefaultGrant / 2
	s.heartbeat("a", view.Heartbeat{Sequence: 2})
	s.now += DefaultGrant - time.Millisecond
	s.takeSent()
	s.prepare("c", 1)
	assert.False(t, s.promises()[0].OK)
}

func TestPromiseIsSentAfterItsSync(t *testing.T) {
	s := newVoter(t)
	s.takeSent()
	ballot := s.prepare("c", 3)
	require.Empty(t, s.promises(), "the promise isn't on disk")
	restored, err := Restore(s.records)
	require.NoError(t, err)
	require.Equal(t, ballot, restored.Acceptor.Promised, "the records handed out contain it")
	s.prepare("c", 3)
	require.Empty(t, s.promises(), "it isn't on disk at the second request either")
	s.sync()
	promises := s.promises()
	require.Len(t, promises, 2)
	assert.True(t, promises[0].OK)
}

func TestAcceptedIsSentAfterItsSync(t *testing.T) {
	s := newVoter(t)
	s.takeSent()
	next := testView(testEpoch+1, "c", "b")
	ballot := s.accept("c", 3, next)
	require.Empty(t, s.acceptedReplies(), "the vote isn't on disk")
	restored, err := Restore(s.records)
	require.NoError(t, err)
	require.Equal(t, ballot, restored.Acceptor.Accepted, "the records handed out contain it")
	require.True(t, restored.Acceptor.Value.Equal(next))
	s.accept("c", 3, next)
	require.Empty(t, s.acceptedReplies())
	s.sync()
	accepted := s.acceptedReplies()
	require.Len(t, accepted, 2)
	assert.True(t, accepted[0].OK)
}

func TestEachPromiseWaitsForItsOwnSync(t *testing.T) {
	s := newVoter(t)
	s.takeSent()
	first := s.prepare("c", 3)
	token := s.token
	s.prepare("c", 4)
	s.step(Synced{Token: token})
	promises := s.promises()
	require.Len(t, promises, 1, "the second isn't on disk")
	assert.Equal(t, first, promises[0].Ballot)
}

func TestNothingIsPromisedOnFailedDisk(t *testing.T) {
	s := newVoter(t)
	s.takeSent()
	s.prepare("c", 2)
	token := s.token
	s.step(DiskFailed{})
	s.step(Synced{Token: token})
	s.prepare("c", 3)
	s.accept("c", 3, testView(testEpoch+1, "c", "b"))
	s.step(Synced{Token: s.token + 1})
	for _, m := range s.takeSent() {
		assert.False(t, m.Promise != nil && m.Promise.OK || m.Accepted != nil && m.Accepted.OK)
	}
}

func TestRestartedVoterWaitsOutItsGrants(t *testing.T) {
	s := newRestarted(t, testConfig("b"), Persisted{View: testView(testEpoch, "a", "b", "c")})
	s.now += DefaultGrant - time.Millisecond
	s.prepare("c", 1)
	require.False(t, s.promises()[0].OK)
	s.now += time.Millisecond
	s.prepare("c", 2)
	s.sync()
	assert.True(t, s.promises()[0].OK)
}

// The earlier incarnation may have granted in an epoch of which its disk has no trace.
func TestRestartedVoterWaitsInALaterEpochToo(t *testing.T) {
	s := newRestarted(t, testConfig("b"), Persisted{View: testView(testEpoch-1, "a", "b", "c")})
	s.now += time.Millisecond
	s.receiveView(testView(testEpoch, "a", "b", "c"))
	s.sync()
	s.now = testStart + DefaultGrant - time.Millisecond
	s.prepare("c", 1)
	require.False(t, s.promises()[0].OK)
	s.now += time.Millisecond
	s.prepare("c", 2)
	s.sync()
	assert.True(t, s.promises()[0].OK)
}

// A seed that dies at its very first start, before anything is on its disk, has the same identity in its next incarnation.
func TestRestartedSeedWaitsOutItsGrants(t *testing.T) {
	genesis := testView(0, "a", "b", "c")
	cfg := testConfig("b")
	cfg.Genesis = &genesis
	s := newRestarted(t, cfg, Persisted{})
	s.step(Tick{})
	s.sync()
	s.takeSent()
	s.now += DefaultGrant - time.Millisecond
	s.prepare("c", 1)
	assert.False(t, s.promises()[0].OK)
}

func TestRestartedVoterKeepsItsVotes(t *testing.T) {
	higher := view.Ballot{Round: 9, Owner: "c", Life: 1}
	found := testView(testEpoch+1, "c", "b")
	disk := Persisted{View: testView(testEpoch, "a", "b", "c"),
		Acceptor: view.Acceptor{Instance: testEpoch + 1, Promised: higher, Accepted: higher, Value: &found}}
	s := newRestarted(t, testConfig("b"), disk)
	s.now += pastAllGrants
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

func TestVotesOfAnotherInstanceDoNotCount(t *testing.T) {
	ballot := view.Ballot{Round: 9, Owner: "c", Life: 1}
	found := testView(testEpoch, "c", "b")
	disk := Persisted{View: testView(testEpoch, "a", "b", "c"),
		Acceptor: view.Acceptor{Instance: testEpoch, Promised: ballot, Accepted: ballot, Value: &found}}
	s := newRestarted(t, testConfig("b"), disk)
	s.now += pastAllGrants
	s.prepare("c", 1)
	s.sync()
	promise := s.promises()[0]
	require.True(t, promise.OK)
	assert.Nil(t, promise.Value, "it was accepted for an epoch that has ended")
}

func TestLearnedViewStartsAnotherInstance(t *testing.T) {
	s := newVoter(t)
	s.accept("c", 9, testView(testEpoch+1, "c", "b"))
	s.sync()
	s.receiveView(testView(testEpoch+1, "c", "b"))
	s.sync()
	s.takeSent()
	s.prepare("c", 1)
	s.sync()
	promise := s.promises()[0]
	require.True(t, promise.OK)
	assert.Nil(t, promise.Value)
}

func TestCompactedLogKeepsVotes(t *testing.T) {
	s := newVoter(t)
	ballot := s.accept("c", 9, testView(testEpoch+1, "c", "b"))
	s.sync()
	restored, err := Restore(s.core.Compact(nil, 0))
	require.NoError(t, err)
	assert.Equal(t, view.ReplicaID("b"), restored.Identity)
	assert.Equal(t, uint64(testEpoch), restored.View.Epoch)
	assert.Equal(t, ballot, restored.Acceptor.Accepted)
}

func TestNoGrantAfterAPromise(t *testing.T) {
	s := newVoter(t)
	s.prepare("c", 1)
	s.sync()
	s.takeSent()
	s.heartbeat("a", view.Heartbeat{Sequence: 1})
	assert.False(t, s.acks()[0].Granted)
}

func TestNonVoterNeitherVotesNorGrants(t *testing.T) {
	s := newSettled(t, testConfig("d"), chain.Log{}, "a", "b", "c")
	s.takeSent()
	s.prepare("c", 1)
	s.accept("c", 1, testView(testEpoch+1, "c", "b"))
	s.heartbeat("a", view.Heartbeat{Sequence: 1})
	s.sync()
	for _, m := range s.takeSent() {
		assert.False(t, m.Promise != nil && m.Promise.OK)
		assert.False(t, m.Accepted != nil && m.Accepted.OK)
		assert.False(t, m.HeartbeatAck != nil && m.HeartbeatAck.Granted)
	}
}

// Messages of other epochs are ignored. A sender that is behind is sent the view, and one that is ahead is asked for it.
func TestMessagesOfOtherEpochsDoNotCount(t *testing.T) {
	for _, epoch := range []uint64{testEpoch - 1, testEpoch + 1} {
		s := newVoter(t)
		s.takeSent()
		prepare := &view.Prepare{Ballot: view.Ballot{Round: 1, Owner: "c"}}
		s.receiveUnchanged("c", &Message{Epoch: epoch, Prepare: prepare})
		s.receiveUnchanged("a", &Message{Epoch: epoch, Heartbeat: &view.Heartbeat{Sequence: 1}})
		s.sync()
		for _, m := range s.takeSent() {
			assert.Nil(t, m.Promise, "epoch %d", epoch)
			assert.Nil(t, m.HeartbeatAck, "epoch %d", epoch)
			assert.Equal(t, epoch < testEpoch, m.View != nil)
			assert.Equal(t, epoch > testEpoch, m.Request != nil)
		}
	}
}

func TestMessagesForAnotherDiskDoNotCount(t *testing.T) {
	s := newVoter(t)
	s.takeSent()
	m := &Message{From: testMember("a"), To: "lost", Epoch: testEpoch, Heartbeat: &view.Heartbeat{Sequence: 1}}
	s.step(Receive{m})
	assert.Empty(t, s.acks())
}

func TestOnlyTheHeadIsGranted(t *testing.T) {
	s := newVoter(t)
	s.takeSent()
	s.heartbeat("c", view.Heartbeat{Sequence: 1})
	assert.Empty(t, s.acks())
	s.prepare("c", 1)
	s.sync()
	assert.True(t, s.promises()[0].OK, "there is no grant")
}

func TestOlderViewIsIgnored(t *testing.T) {
	s := newVoter(t)
	s.receiveView(testView(testEpoch-1, "x", "y", "z"))
	assert.Equal(t, uint64(testEpoch), s.core.View().Epoch)
	assert.NoError(t, s.fault)
}

func TestTwoViewsOfOneEpochAreAFault(t *testing.T) {
	s := newVoter(t)
	s.receiveView(testView(testEpoch, "a", "b"))
	assert.ErrorIs(t, s.fault, chain.ErrDiverged)
}
