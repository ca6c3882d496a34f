package chain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newServingHead returns a head of epoch 5 with the given entries on disk, whose successor has opened session 9 with an empty log.
func newServingHead(t *testing.T, entries ...Entry) *testReplica {
	head := newTestReplica(t, headMember, 1, entries...)
	head.EnterView(head.now, Role{Epoch: 5, Head: true, Downstream: &learnerMember})
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
	assert.Equal(t, uint64(2), head.Acked(), "an Ack without a session does not count")
}

func TestAckBeyondSentEntriesIsCapped(t *testing.T) {
	head := newServingHead(t)
	for range 40 { // more than the window allows
		head.write(string(filledBytes('a', batchBytes)))
	}
	head.syncAll(1)
	require.Less(t, head.downstream.next, uint64(40))
	head.receiveSuccessorAck(9, 1000)
	assert.Less(t, head.Acked(), uint64(40))
}

// A peer may hold entries of a superseded epoch that this replica does not hold. Its acknowledgement counts only as far as both logs are
// the same.
func TestHelloAckIsCappedAtTheMatch(t *testing.T) {
	head := newTestReplica(t, headMember, 1, entriesWithEpochs(1, 1, 5, 5)...)
	head.EnterView(head.now, Role{Epoch: 5, Head: true, Downstream: &learnerMember})
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
	assert.NotEmpty(t, head.takeSent(), "a Hello of another incarnation is answered")
}

// A Hello is repeated until it is answered. A repetition must not restart a snapshot transfer.
func TestRepeatedHelloDoesNotRestartATransfer(t *testing.T) {
	head, learner := newTrimmedHead(t, 10), newLearner(t, 2)
	forwardMessages(learner, head, nil)
	head.OfferSnapshot(head.now, 10, filledBytes('a', 4*chunkBytes))
	forwardMessages(head, learner, nil)
	forwardMessages(learner, head, nil)
	head.takeSent()
	acked := head.learners[0].transfer.acked
	require.Positive(t, acked)
	learner.sendHello(learner.now)
	forwardMessages(learner, head, nil)
	assert.False(t, head.NeedsSnapshot())
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

// A learner may come back with another disk. What it acknowledged before must not count for the new session.
func TestNewLearnerSessionResetsAcknowledgedIndex(t *testing.T) {
	head := newTestReplica(t, headMember, 1, entriesWithEpochs(1, 1)...)
	head.EnterView(head.now, Role{Epoch: 5, Head: true})
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
	assert.False(t, ok, "the learner waits for a snapshot")
	head.OfferSnapshot(head.now, 10, filledBytes('a', 4*chunkBytes))
	_, _, ok = head.Learner(learnerMember.ID)
	assert.False(t, ok, "a snapshot is being transferred")
	exchangeUntilIdle(head, learner)
	_, _, ok = head.Learner(learnerMember.ID)
	assert.True(t, ok)
}

// A snapshot must cover only delivered entries, and so nothing that is not committed.
func TestSnapshotOfferNeedsADeliveredIndexAndItsEpoch(t *testing.T) {
	head, learner := newTrimmedHead(t, 10), newLearner(t, 2)
	forwardMessages(learner, head, nil)
	head.write("x")
	head.OfferSnapshot(head.now, 11, filledBytes('a', 1))
	assert.True(t, head.NeedsSnapshot(), "index 11 is not committed")
	head.OfferSnapshot(head.now, 9, filledBytes('a', 1))
	assert.True(t, head.NeedsSnapshot(), "the epoch of index 9 is no longer known")
	assert.Empty(t, chunksOf(head.takeSent()))
	head.OfferSnapshot(head.now, 10, filledBytes('a', 1))
	assert.False(t, head.NeedsSnapshot())
	sent := chunksOf(head.takeSent())
	require.Equal(t, 1, len(sent))
	assert.Equal(t, uint64(10), sent[0].Index)
	assert.Equal(t, uint64(2), sent[0].Epoch)
}

func TestChunkAckOfAnotherSnapshotOrSessionIsIgnored(t *testing.T) {
	head, learner := newTrimmedHead(t, 10), newLearner(t, 2)
	forwardMessages(learner, head, nil)
	head.OfferSnapshot(head.now, 10, filledBytes('a', 8*chunkBytes))
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
	head.OfferSnapshot(head.now, 10, filledBytes('a', 3*chunkBytes))
	head.takeSent() // lost
	head.advance(transferTimeout)
	sent := chunksOf(head.takeSent())
	require.NotEmpty(t, sent)
	assert.Zero(t, sent[0].Offset)
}

// A learner that is receiving a snapshot sends Hellos less often, because the head compares both logs for each Hello.
func TestLearnerSendsFewerHellosDuringATransfer(t *testing.T) {
	learner := newLearner(t, 2)
	learner.takeSent()
	learner.receiveFrom(headMember, &Body{Chunk: chunksFor(learner.session, 10, filledBytes('a', 2*chunkBytes))[0]})
	learner.takeSent()
	learner.advance(helloInterval)
	assert.Empty(t, hellosOf(learner.takeSent()))
	learner.advance(2 * transferTimeout)
	assert.Equal(t, 1, len(hellosOf(learner.takeSent())), "the learner repeats its Hello, as the head may have removed it")
}

// A peer that needs entries which have been dropped meanwhile must open a new session.
func TestPeerThatNeedsTrimmedEntriesIsProbedForANewSession(t *testing.T) {
	head := newTestReplica(t, headMember, 1)
	head.EnterView(head.now, Role{Epoch: 5, Head: true})
	head.receiveSuccessorHello(9, 0, Run{Epoch: 0})
	head.takeSent()
	for range 40 { // more than the window allows
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
	head.EnterView(head.now, Role{Epoch: 5, Head: true})
	head.write("a", "b")
	head.syncAll(1)
	head.write("c")
	head.Commit(head.now)
	assert.Equal(t, uint64(2), head.Log().Base())
	assert.Equal(t, uint64(3), head.Log().Last())
}

func TestSilentLearnerIsRemoved(t *testing.T) {
	head := newTestReplica(t, headMember, 1)
	head.EnterView(head.now, Role{Epoch: 5, Head: true})
	head.receiveSuccessorHello(9, 0, Run{Epoch: 0})
	head.advance(learnerTimeout)
	assert.Len(t, head.learners, 1)
	head.advance(time.Millisecond)
	assert.Empty(t, head.learners)
}
