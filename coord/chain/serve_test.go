package chain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// serving is a head of epoch 5 with these entries on disk and a successor that has opened session 9 with an empty log.
func serving(t *testing.T, entries ...Entry) *rig {
	head := newRig(t, headMember, 1, entries...)
	head.EnterView(head.now, Role{Epoch: 5, Head: true, Downstream: &learnerMember})
	head.opensBehind(9, 0, Run{Epoch: 0})
	return head
}

func TestAnAcknowledgementOfAnotherSessionCountsForNothing(t *testing.T) {
	head := serving(t, entriesOf(1, 1, 1)...)
	head.ackedBehind(8, 3)
	assert.Zero(t, head.Acked())
	head.ackedBehind(9, 2)
	assert.Equal(t, uint64(2), head.Acked())
	head.down.close()
	head.ackedBehind(0, 3)
	assert.Equal(t, uint64(2), head.Acked(), "without a session")
}

func TestNothingCountsAsAcknowledgedThatWasntSent(t *testing.T) {
	head := serving(t)
	for range 40 { // more than the window lets through
		head.write(string(state('a', batchBytes)))
	}
	head.sync(1)
	require.Less(t, head.down.next, uint64(40))
	head.ackedBehind(9, 1000)
	assert.Less(t, head.Acked(), uint64(40))
}

// A peer may hold more than this replica, of an epoch that lost: its word counts as far as both are the same.
func TestAHelloCountsAsFarAsTheLogsAreTheSame(t *testing.T) {
	head := newRig(t, headMember, 1, entriesOf(1, 1, 5, 5)...)
	head.EnterView(head.now, Role{Epoch: 5, Head: true, Downstream: &learnerMember})
	head.opensBehind(9, 4, Run{Epoch: 0}, Run{Epoch: 1, First: 1, Last: 2}, Run{Epoch: 3, First: 3, Last: 4})
	assert.Equal(t, uint64(2), head.Acked())
	sent := appendsOf(head.take())
	require.NotEmpty(t, sent)
	assert.Equal(t, uint64(2), sent[0].Prev)
}

func TestAnOldHelloChangesNothing(t *testing.T) {
	head := serving(t, entriesOf(1)...)
	const newer = 1<<sessionBits | 2
	head.opensBehind(newer, 1, Run{Epoch: 0}, Run{Epoch: 1, First: 1, Last: 1})
	head.take()
	head.opensBehind(newer-1, 0, Run{Epoch: 0})
	assert.Empty(t, head.take())
	assert.Equal(t, uint64(newer), head.down.session)
	head.opensBehind(2<<sessionBits|1, 1, Run{Epoch: 0}, Run{Epoch: 1, First: 1, Last: 1})
	assert.NotEmpty(t, head.take(), "another life")
}

// A Hello is repeated until the answer is there; while a snapshot is under way it must not begin anew.
func TestARepeatedHelloLeavesATransferAlone(t *testing.T) {
	head, learner := trimmedHead(t, 10), newLearner(t, 2)
	carry(learner, head, nil)
	head.OfferSnapshot(head.now, 10, state('a', 4*chunkBytes))
	carry(head, learner, nil)
	carry(learner, head, nil)
	head.take()
	acked := head.learners[0].transfer.acked
	require.Positive(t, acked)
	learner.repeatHello(learner.now)
	carry(learner, head, nil)
	assert.False(t, head.NeedsSnapshot())
	assert.Equal(t, acked, head.learners[0].transfer.acked)
}

func TestOnlyTheHeadTakesLearners(t *testing.T) {
	r := follower(t, false, entriesOf(1)...)
	r.starts(1, 1, 1, 0)
	r.take()
	r.opensBehind(9, 0, Run{Epoch: 0})
	assert.Empty(t, r.take())
	assert.Empty(t, r.learners)
}

// Another disk may answer at the place of a learner: what the one before had doesn't count for it.
func TestALearnerThatBeginsAnewHasAcknowledgedNothing(t *testing.T) {
	head := newRig(t, headMember, 1, entriesOf(1, 1)...)
	head.EnterView(head.now, Role{Epoch: 5, Head: true})
	head.opensBehind(1<<sessionBits|1, 2, Run{Epoch: 0}, Run{Epoch: 1, First: 1, Last: 2})
	acked, _, ok := head.Learner(learnerMember.ID)
	require.True(t, ok)
	require.Equal(t, uint64(2), acked)
	head.opensBehind(2<<sessionBits|1, 0, Run{Epoch: 0})
	acked, _, _ = head.Learner(learnerMember.ID)
	assert.Zero(t, acked)
}

func TestALearnerWithASnapshotUnderWayIsntReady(t *testing.T) {
	head, learner := trimmedHead(t, 10), newLearner(t, 2)
	carry(learner, head, nil)
	_, _, ok := head.Learner(learnerMember.ID)
	assert.False(t, ok, "it waits for a snapshot")
	head.OfferSnapshot(head.now, 10, state('a', 4*chunkBytes))
	_, _, ok = head.Learner(learnerMember.ID)
	assert.False(t, ok, "a snapshot is under way")
	settleDown(head, learner)
	_, _, ok = head.Learner(learnerMember.ID)
	assert.True(t, ok)
}

// A snapshot says what has been delivered, and nothing that isn't committed.
func TestASnapshotIsTakenOfWhatIsDeliveredOnly(t *testing.T) {
	head, learner := trimmedHead(t, 10), newLearner(t, 2)
	carry(learner, head, nil)
	head.write("x")
	head.OfferSnapshot(head.now, 11, state('a', 1))
	assert.True(t, head.NeedsSnapshot(), "11 isn't committed")
	head.OfferSnapshot(head.now, 9, state('a', 1))
	assert.True(t, head.NeedsSnapshot(), "the epoch of 9 isn't known any more")
	assert.Empty(t, chunksOf(head.take()))
	head.OfferSnapshot(head.now, 10, state('a', 1))
	assert.False(t, head.NeedsSnapshot())
	sent := chunksOf(head.take())
	require.Equal(t, 1, len(sent))
	assert.Equal(t, uint64(10), sent[0].Index)
	assert.Equal(t, uint64(2), sent[0].Epoch)
}

func TestWordOnAnotherSnapshotCountsForNothing(t *testing.T) {
	head, learner := trimmedHead(t, 10), newLearner(t, 2)
	carry(learner, head, nil)
	head.OfferSnapshot(head.now, 10, state('a', 8*chunkBytes))
	head.take()
	session := head.learners[0].session
	for _, ack := range []ChunkAck{{Session: session, Index: 9, Offset: chunkBytes}, {Session: session + 1, Index: 10, Offset: chunkBytes}} {
		head.gets(learnerMember, &Body{ChunkAck: &ack})
		assert.Zero(t, head.learners[0].transfer.acked)
		assert.Empty(t, head.take())
	}
	head.gets(learnerMember, &Body{ChunkAck: &ChunkAck{Session: session, Index: 10, Offset: chunkBytes}})
	assert.Equal(t, 1, len(chunksOf(head.take())))
}

func TestLostChunksAreSentAgain(t *testing.T) {
	head, learner := trimmedHead(t, 10), newLearner(t, 2)
	carry(learner, head, nil)
	head.OfferSnapshot(head.now, 10, state('a', 3*chunkBytes))
	head.take() // lost
	head.after(transferStall)
	sent := chunksOf(head.take())
	require.NotEmpty(t, sent)
	assert.Zero(t, sent[0].Offset)
}

// While a snapshot comes in, the learner asks less often: a Hello costs the head a look through both logs.
func TestALearnerIsPatientWhileASnapshotComesIn(t *testing.T) {
	learner := newLearner(t, 2)
	learner.take()
	learner.gets(headMember, &Body{Chunk: chunksFor(learner.session, 10, state('a', 2*chunkBytes))[0]})
	learner.take()
	learner.after(helloEvery)
	assert.Empty(t, hellosOf(learner.take()))
	learner.after(2 * transferStall)
	assert.Equal(t, 1, len(hellosOf(learner.take())), "the head may have forgotten it")
}

// A peer that needs entries which have been dropped meanwhile begins anew.
func TestAPeerThatWasOvertakenByTheTrimBeginsAnew(t *testing.T) {
	head := newRig(t, headMember, 1)
	head.EnterView(head.now, Role{Epoch: 5, Head: true})
	head.opensBehind(9, 0, Run{Epoch: 0})
	head.take()
	for range 40 { // more than the window lets through
		head.write(string(state('a', batchBytes)))
	}
	head.sync(1)
	head.Commit(head.now)
	head.take()
	head.log.Drop(40)
	head.ackedBehind(9, 2)
	sent := head.take()
	assert.Empty(t, appendsOf(sent))
	assert.NotEmpty(t, probesOf(sent))
	assert.Zero(t, head.learners[0].session)
}

func TestTheLogIsDroppedUpToWhatIsDeliveredAtMost(t *testing.T) {
	head := newRig(t, headMember, 1)
	head.cfg.KeepEntries, head.cfg.KeepBytes = 0, 0
	head.EnterView(head.now, Role{Epoch: 5, Head: true})
	head.write("a", "b")
	head.sync(1)
	head.write("c")
	head.Commit(head.now)
	assert.Equal(t, uint64(2), head.Log().Base())
	assert.Equal(t, uint64(3), head.Log().Last())
}

func TestASilentLearnerIsForgotten(t *testing.T) {
	head := newRig(t, headMember, 1)
	head.EnterView(head.now, Role{Epoch: 5, Head: true})
	head.opensBehind(9, 0, Run{Epoch: 0})
	head.after(learnerSilence)
	assert.Len(t, head.learners, 1)
	head.after(time.Millisecond)
	assert.Empty(t, head.learners)
}
