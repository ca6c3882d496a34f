package chain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newServingHead is a head of epoch 5 with these entries on disk and a successor that has opened session 9 with an empty log.
func newServingHead(t *testing.T, entries ...Entry) *testReplica {
	head := newTestReplica(t, headMember, 1, entries...)
	head.Enter(head.now, Role{Epoch: 5, Head: true, Downstream: &learnerMember})
	head.receiveSuccessorHello(9, 0, Run{Epoch: 0})
	return head
}

func TestAckOfAnotherSessionIsIgnored(t *testing.T) {
	head := newServingHead(t, entriesWithEpochs(1, 1, 1)...)
	head.receiveSuccessorAck(8, 3)
	assert.Zero(t, head.Acked())
	head.receiveSuccessorAck(9, 2)
	assert.Equal(t, uint64(2), head.Acked())
	head.downstream.close()
	head.receiveSuccessorAck(0, 3)
	assert.Equal(t, uint64(2), head.Acked(), "without a session")
}

func TestAckBeyondSentEntriesIsCapped(t *testing.T) {
	head := newServingHead(t)
	for range 40 { // more than the window lets through
		head.write(string(filledBytes('a', batchBytes)))
	}
	head.syncAll(1)
	require.Less(t, head.downstream.next, uint64(40))
	head.receiveSuccessorAck(9, 1000)
	assert.Less(t, head.Acked(), uint64(40))
}

// A peer may hold more than this replica, of an epoch that lost: its word counts as far as both are the same.
func TestHelloAckIsCappedAtTheMatch(t *testing.T) {
	head := newTestReplica(t, headMember, 1, entriesWithEpochs(1, 1, 5, 5)...)
	head.Enter(head.now, Role{Epoch: 5, Head: true, Downstream: &learnerMember})
	head.receiveSuccessorHello(9, 4, Run{Epoch: 0}, Run{Epoch: 1, First: 1, Last: 2}, Run{Epoch: 3, First: 3, Last: 4})
	assert.Equal(t, uint64(2), head.Acked())
	sent := appendsOf(head.takeSent())
	require.NotEmpty(t, sent)
	assert.Equal(t, uint64(2), sent[0].Prev)
}

func TestStaleHelloIsIgnored(t *testing.T) {
	head := newServingHead(t, entriesWithEpochs(1)...)
	const newer = 1<<sessionBits | 2
	head.receiveSuccessorHello(newer, 1, Run{Epoch: 0}, Run{Epoch: 1, First: 1, Last: 1})
	head.takeSent()
	head.receiveSuccessorHello(newer-1, 0, Run{Epoch: 0})
	assert.Empty(t, head.takeSent())
	assert.Equal(t, uint64(newer), head.downstream.session)
	head.receiveSuccessorHello(2<<sessionBits|1, 1, Run{Epoch: 0}, Run{Epoch: 1, First: 1, Last: 1})
	assert.NotEmpty(t, head.takeSent(), "another life")
}

// A Hello is repeated until the answer is there; while a snapshot is under way it must not begin anew.
func TestRepeatedHelloDoesNotRestartATransfer(t *testing.T) {
	head, learner := newTrimmedHead(t, 10), newLearner(t, 2)
	forwardMessages(learner, head, nil)
	head.Offer(head.now, 10, filledBytes('a', 4*chunkBytes))
	forwardMessages(head, learner, nil)
	forwardMessages(learner, head, nil)
	head.takeSent()
	acked := head.learners[0].transfer.acked
	require.Positive(t, acked)
	learner.sendHello(learner.now)
	forwardMessages(learner, head, nil)
	assert.False(t, head.WantsSnapshot())
	assert.Equal(t, acked, head.learners[0].transfer.acked)
}

func TestOnlyTheHeadAcceptsLearners(t *testing.T) {
	r := newFollower(t, false, entriesWithEpochs(1)...)
	r.receiveStart(1, 1, 1, 0)
	r.takeSent()
	r.receiveSuccessorHello(9, 0, Run{Epoch: 0})
	assert.Empty(t, r.takeSent())
	assert.Empty(t, r.learners)
}

// Another disk may answer at the place of a learner: what the one before had doesn't count for it.
func TestNewLearnerSessionResetsAcknowledgedIndex(t *testing.T) {
	head := newTestReplica(t, headMember, 1, entriesWithEpochs(1, 1)...)
	head.Enter(head.now, Role{Epoch: 5, Head: true})
	head.receiveSuccessorHello(1<<sessionBits|1, 2, Run{Epoch: 0}, Run{Epoch: 1, First: 1, Last: 2})
	acked, _, ok := head.Learner(learnerMember.ID)
	require.True(t, ok)
	require.Equal(t, uint64(2), acked)
	head.receiveSuccessorHello(2<<sessionBits|1, 0, Run{Epoch: 0})
	acked, _, _ = head.Learner(learnerMember.ID)
	assert.Zero(t, acked)
}

func TestLearnerIsNotReadyDuringATransfer(t *testing.T) {
	head, learner := newTrimmedHead(t, 10), newLearner(t, 2)
	forwardMessages(learner, head, nil)
	_, _, ok := head.Learner(learnerMember.ID)
	assert.False(t, ok, "it waits for a snapshot")
	head.Offer(head.now, 10, filledBytes('a', 4*chunkBytes))
	_, _, ok = head.Learner(learnerMember.ID)
	assert.False(t, ok, "a snapshot is under way")
	exchangeUntilIdle(head, learner)
	_, _, ok = head.Learner(learnerMember.ID)
	assert.True(t, ok)
}

// A snapshot says what has been delivered, and nothing that isn't committed.
func TestSnapshotOfferNeedsADeliveredIndexAndItsEpoch(t *testing.T) {
	head, learner := newTrimmedHead(t, 10), newLearner(t, 2)
	forwardMessages(learner, head, nil)
	head.write("x")
	head.Offer(head.now, 11, filledBytes('a', 1))
	assert.True(t, head.WantsSnapshot(), "11 isn't committed")
	head.Offer(head.now, 9, filledBytes('a', 1))
	assert.True(t, head.WantsSnapshot(), "the epoch of 9 isn't known any more")
	assert.Empty(t, chunksOf(head.takeSent()))
	head.Offer(head.now, 10, filledBytes('a', 1))
	assert.False(t, head.WantsSnapshot())
	sent := chunksOf(head.takeSent())
	require.Equal(t, 1, len(sent))
	assert.Equal(t, uint64(10), sent[0].Index)
	assert.Equal(t, uint64(2), sent[0].Epoch)
}

func TestChunkAckOfAnotherSnapshotOrSessionIsIgnored(t *testing.T) {
	head, learner := newTrimmedHead(t, 10), newLearner(t, 2)
	forwardMessages(learner, head, nil)
	head.Offer(head.now, 10, filledBytes('a', 8*chunkBytes))
	head.takeSent()
	session := head.learners[0].session
	for _, ack := range []ChunkAck{{Session: session, Index: 9, Offset: chunkBytes}, {Session: session + 1, Index: 10, Offset: chunkBytes}} {
		head.receiveFrom(learnerMember, &Body{ChunkAck: &ack})
		assert.Zero(t, head.learners[0].transfer.acked)
		assert.Empty(t, head.takeSent())
	}
	head.receiveFrom(learnerMember, &Body{ChunkAck: &ChunkAck{Session: session, Index: 10, Offset: chunkBytes}})
	assert.Equal(t, 1, len(chunksOf(head.takeSent())))
}

func TestLostChunksAreRetransmitted(t *testing.T) {
	head, learner := newTrimmedHead(t, 10), newLearner(t, 2)
	forwardMessages(learner, head, nil)
	head.Offer(head.now, 10, filledBytes('a', 3*chunkBytes))
	head.takeSent() // lost
	head.advance(transferTimeout)
	sent := chunksOf(head.takeSent())
	require.NotEmpty(t, sent)
	assert.Zero(t, sent[0].Offset)
}

// While a snapshot comes in, the learner asks less often: a Hello costs the head a look through both logs.
func TestLearnerSendsFewerHellosDuringATransfer(t *testing.T) {
	learner := newLearner(t, 2)
	learner.takeSent()
	learner.receiveFrom(headMember, &Body{Chunk: chunksFor(learner.session, 10, filledBytes('a', 2*chunkBytes))[0]})
	learner.takeSent()
	learner.advance(helloInterval)
	assert.Empty(t, hellosOf(learner.takeSent()))
	learner.advance(2 * transferTimeout)
	assert.Equal(t, 1, len(hellosOf(learner.takeSent())), "the head may have forgotten it")
}

// A peer that needs entries which have been dropped meanwhile begins anew.
func TestPeerThatNeedsTrimmedEntriesIsProbedForANewSession(t *testing.T) {
	head := newTestReplica(t, headMember, 1)
	head.Enter(head.now, Role{Epoch: 5, Head: true})
	head.receiveSuccessorHello(9, 0, Run{Epoch: 0})
	head.takeSent()
	for range 40 { // more than the window lets through
		head.write(string(filledBytes('a', batchBytes)))
	}
	head.syncAll(1)
	head.Commit(head.now)
	head.takeSent()
	head.log.Drop(40)
	head.receiveSuccessorAck(9, 2)
	sent := head.takeSent()
	assert.Empty(t, appendsOf(sent))
	assert.NotEmpty(t, probesOf(sent))
	assert.Zero(t, head.learners[0].session)
}

func TestUndeliveredEntriesAreNotTrimmed(t *testing.T) {
	head := newTestReplica(t, headMember, 1)
	head.cfg.KeepEntries, head.cfg.KeepBytes = 0, 0
	head.Enter(head.now, Role{Epoch: 5, Head: true})
	head.write("a", "b")
	head.syncAll(1)
	head.write("c")
	head.Commit(head.now)
	assert.Equal(t, uint64(2), head.Log().Base())
	assert.Equal(t, uint64(3), head.Log().Last())
}

func TestSilentLearnerIsRemoved(t *testing.T) {
	head := newTestReplica(t, headMember, 1)
	head.Enter(head.now, Role{Epoch: 5, Head: true})
	head.receiveSuccessorHello(9, 0, Run{Epoch: 0})
	head.advance(learnerTimeout)
	assert.Len(t, head.learners, 1)
	head.advance(time.Millisecond)
	assert.Empty(t, head.learners)
}
