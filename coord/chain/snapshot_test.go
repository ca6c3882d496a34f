package chain

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A learner is cut off in the midst of a transfer for longer than the head remembers it, and the head goes on: the learner must not
// put the second half of a newer snapshot behind the first half of the older one.
func TestSnapshotsAreNeverMixed(t *testing.T) {
	head, learner := trimmedHead(t, 10), newLearner(t, 2)
	carry(learner, head, nil)
	require.True(t, head.NeedsSnapshot())
	const size = 8 * chunkBytes
	head.OfferSnapshot(head.now, 10, state('a', size))
	for range 2 { // a part of it gets through
		carry(head, learner, nil)
		carry(learner, head, nil)
	}
	require.Zero(t, len(learner.installed))
	head.take()

	head.after(learnerSilence + time.Millisecond)
	learner.after(learnerSilence + time.Millisecond)
	head.take()
	head.write("x", "x")
	head.sync(2)
	head.Commit(head.now)
	carry(learner, head, nil)
	require.True(t, head.NeedsSnapshot())
	head.OfferSnapshot(head.now, 12, state('b', size))
	settleDown(head, learner)
	require.NoError(t, learner.fault)
	require.Equal(t, 1, len(learner.installed))
	got := learner.installed[0]
	assert.Equal(t, uint64(12), got.Index)
	assert.Equal(t, 0, bytes.Count(got.Data, []byte("a")), "bytes of the older snapshot are in the newer one")
	assert.Equal(t, size, len(got.Data))
}

// chunksFor gives the chunks of a snapshot as a head sends them in a session.
func chunksFor(session, index uint64, data []byte) []*Chunk {
	var chunks []*Chunk
	for from := 0; from < len(data); from += chunkBytes {
		to := min(from+chunkBytes, len(data))
		chunks = append(chunks, &Chunk{Session: session, Index: index, Epoch: 2, Offset: from, Total: len(data), Sum: snapshotSum(data),
			Data: data[from:to]})
	}
	return chunks
}

func TestChunksMayComeTwiceAndOutOfOrder(t *testing.T) {
	learner := newLearner(t, 2)
	data := append(state('a', chunkBytes), state('b', chunkBytes)...)
	data = append(data, 'c')
	chunks := chunksFor(learner.session, 10, data)
	for _, at := range []int{1, 0, 2, 0, 1, 0, 2} {
		learner.gets(headMember, &Body{Chunk: chunks[at]})
	}
	require.NoError(t, learner.fault)
	require.Equal(t, 1, len(learner.installed))
	assert.True(t, bytes.Equal(data, learner.installed[0].Data))
	assert.Equal(t, 1, len(learner.snapshots))
	assert.Equal(t, uint64(10), learner.Log().Base())
	assert.Equal(t, uint64(10), learner.Committed())
}

func TestChunksOfAnotherSessionOrAnOlderSnapshotCountForNothing(t *testing.T) {
	learner := newLearner(t, 2)
	newer := chunksFor(learner.session, 12, state('b', 2*chunkBytes))
	older := chunksFor(learner.session, 10, state('a', 2*chunkBytes))
	foreign := chunksFor(learner.session+1, 12, state('b', 2*chunkBytes))
	learner.gets(headMember, &Body{Chunk: foreign[0]})
	learner.gets(headMember, &Body{Chunk: newer[0]})
	learner.take()
	learner.gets(headMember, &Body{Chunk: older[0]})
	learner.gets(headMember, &Body{Chunk: older[1]})
	learner.gets(headMember, &Body{Chunk: foreign[1]})
	assert.Zero(t, len(learner.take()), "what is of no use isn't acknowledged")
	learner.gets(headMember, &Body{Chunk: newer[1]})
	require.Equal(t, 1, len(learner.installed))
	assert.Equal(t, uint64(12), learner.installed[0].Index)
}

func TestADamagedSnapshotIsNotInstalled(t *testing.T) {
	learner := newLearner(t, 2)
	chunks := chunksFor(learner.session, 10, state('a', chunkBytes+1))
	damaged := *chunks[1]
	damaged.Data = []byte{'b'}
	learner.gets(headMember, &Body{Chunk: chunks[0]})
	learner.take()
	learner.gets(headMember, &Body{Chunk: &damaged})
	require.Zero(t, len(learner.installed))
	require.Zero(t, len(learner.snapshots))
	hellos := hellosOf(learner.take())
	require.Equal(t, 1, len(hellos), "it asks anew")
	for _, chunk := range chunksFor(hellos[0].Session, 10, state('a', chunkBytes+1)) {
		learner.gets(headMember, &Body{Chunk: chunk})
	}
	assert.Equal(t, 1, len(learner.installed))
}

// A head of an older version gives no sum.
func TestASnapshotWithoutASumIsInstalled(t *testing.T) {
	learner := newLearner(t, 2)
	for _, chunk := range chunksFor(learner.session, 10, state('a', chunkBytes+1)) {
		chunk.Sum = 0
		learner.gets(headMember, &Body{Chunk: chunk})
	}
	assert.Equal(t, 1, len(learner.installed))
}

func TestASnapshotOfLessThanIsCommittedIsRefused(t *testing.T) {
	learner := newRig(t, learnerMember, 7, entriesOf(1, 1, 1)...)
	learner.EnterView(learner.now, Role{Epoch: 2, Upstream: headMember})
	learner.gets(headMember, &Body{Append: &Append{Session: learner.session, Start: true, Target: 3, Prev: 3, PrevEpoch: 1, Commit: 3}})
	require.Equal(t, uint64(3), learner.Committed())
	learner.EnterView(learner.now, Role{Epoch: 3, Upstream: headMember})
	learner.gets(headMember, &Body{Chunk: chunksFor(learner.session, 2, state('a', 1))[0]})
	assert.ErrorIs(t, learner.fault, ErrDiverged)
	assert.Zero(t, len(learner.installed)+len(learner.snapshots))
	assert.Equal(t, uint64(3), learner.Log().Last())
}

// What stands on the disk of the log that a snapshot replaces says nothing about the snapshot.
func TestASnapshotIsAcknowledgedOnceItIsOnDisk(t *testing.T) {
	learner := newRig(t, learnerMember, 7, entriesOf(1, 1, 1)...)
	learner.EnterView(learner.now, Role{Epoch: 2, Upstream: headMember})
	learner.gets(headMember, &Body{Chunk: chunksFor(learner.session, 10, state('a', 1))[0]})
	assert.Zero(t, learner.Synced())
	assert.Zero(t, hellosOf(learner.take())[1].Acked)
	learner.AssignSyncToken(5)
	learner.SyncedTo(learner.now, 4)
	assert.Zero(t, learner.Synced())
	learner.SyncedTo(learner.now, 5)
	assert.Equal(t, uint64(10), learner.Synced())
}

// The head writes more during a transfer than it keeps of its log: the entries after the snapshot stay until the learner has them.
func TestALearnerNeedsOneSnapshotAlsoWhereTheLogIsTrimmedMeanwhile(t *testing.T) {
	head, learner := trimmedHead(t, 10), newLearner(t, 2)
	head.cfg.KeepEntries, head.cfg.KeepBytes = 10, 1<<20
	carry(learner, head, nil)
	token, offers := uint64(1), 0
	for range 40 {
		if head.NeedsSnapshot() {
			offers++
			head.OfferSnapshot(head.now, head.Committed(), state('a', 8*chunkBytes))
		}
		carry(head, learner, nil)
		token++
		learner.sync(token)
		carry(learner, head, nil)
		if offers > 0 && head.Log().Last() < 60 {
			head.write("x", "x", "x", "x", "x")
			head.sync(token)
			head.Commit(head.now)
		}
	}
	require.NoError(t, learner.fault)
	assert.Equal(t, 1, offers)
	assert.Equal(t, 1, len(learner.installed))
	assert.Equal(t, head.Log().Last(), learner.Log().Last())
	assert.Equal(t, uint64(60), learner.Log().Last())
}

// A learner that is slow or gone must not have the head keep its log without bound.
func TestWhatIsKeptForALearnerIsBounded(t *testing.T) {
	head, learner := trimmedHead(t, 10), newLearner(t, 2)
	head.cfg.KeepEntries, head.cfg.KeepBytes = 10, 1<<20
	carry(learner, head, nil)
	head.OfferSnapshot(head.now, 10, state('a', 8*chunkBytes))
	for token := range uint64(400) {
		head.write("x")
		head.sync(token + 2)
		head.Commit(head.now)
		held := head.Committed() - head.Log().Base()
		require.LessOrEqual(t, held, uint64(transferKeeps*10))
		require.GreaterOrEqual(t, held, min(head.Committed()-10, uint64(transferKeeps*10)))
	}
	head.after(learnerSilence + time.Millisecond)
	head.write("x")
	head.sync(1000)
	head.Commit(head.now)
	assert.Equal(t, uint64(10), head.Committed()-head.Log().Base(), "nobody needs it any more")
}

// A Hello that comes late or twice, after the head has forgotten the learner, has it send a snapshot in a session in which the learner
// takes entries already: it asks in another one, and is in step again.
func TestASnapshotInAnOpenedSessionIsAskedForAnew(t *testing.T) {
	head, learner := trimmedHead(t, 10), newLearner(t, 2)
	old := learner.take()
	for _, p := range old {
		head.gets(learnerMember, p.body)
	}
	head.OfferSnapshot(head.now, 10, state('a', 10))
	settleDown(head, learner)
	require.Equal(t, 1, len(learner.installed))
	var late []*Body
	learner.hello(learner.now)
	for _, p := range learner.take() {
		late = append(late, p.body)
		head.gets(learnerMember, p.body)
	}
	settleDown(head, learner)

	head.after(learnerSilence + time.Millisecond) // it is forgotten, and the log goes on without it
	head.write("x", "x")
	head.sync(2)
	head.Commit(head.now)
	head.log.Drop(12)
	head.take()
	for _, body := range late {
		head.gets(learnerMember, body)
	}
	require.True(t, head.NeedsSnapshot())
	head.OfferSnapshot(head.now, 12, state('b', 10))
	learner.after(rehelloAfter)
	for range 4 {
		carry(head, learner, nil)
		carry(learner, head, nil)
		head.OfferSnapshot(head.now, 12, state('b', 10))
	}
	require.NoError(t, learner.fault)
	require.Equal(t, 2, len(learner.installed))
	assert.Equal(t, uint64(12), learner.installed[1].Index)
}

func TestALateChunkDoesNotReplaceAnOpenedLog(t *testing.T) {
	r := follower(t, false, entriesOf(1)...)
	r.starts(1, 1, 1, 0)
	r.gets(headMember, &Body{Chunk: chunksFor(r.session, 10, state('a', 1))[0]})
	assert.Zero(t, len(r.installed))
	assert.Equal(t, uint64(1), r.Log().Last())
}

// The head changes in the midst of a transfer: what the one before sends late counts for nothing, and the new one's snapshot is installed whole.
func TestAHeadThatChangesDuringATransferBeginsAnew(t *testing.T) {
	learner := newLearner(t, 2)
	before := chunksFor(learner.session, 12, state('a', 2*chunkBytes))
	learner.gets(headMember, &Body{Chunk: before[0]})
	learner.EnterView(learner.now, Role{Epoch: 3, Upstream: middleMember})
	learner.take()
	after := chunksFor(learner.session, 11, state('b', 2*chunkBytes))
	learner.gets(headMember, &Body{Chunk: before[1]})
	learner.gets(middleMember, &Body{Chunk: before[1]})
	assert.Zero(t, len(learner.take()))
	for _, chunk := range after {
		learner.gets(middleMember, &Body{Chunk: chunk})
	}
	require.Equal(t, 1, len(learner.installed))
	assert.Equal(t, uint64(11), learner.installed[0].Index)
	assert.Zero(t, bytes.Count(learner.installed[0].Data, []byte("a")))
}

// While a snapshot comes in the head goes on; the learner then gets what was written meanwhile, and all of it once.
func TestWritesDuringATransferFollowTheSnapshot(t *testing.T) {
	head, learner := trimmedHead(t, 10), newLearner(t, 2)
	head.cfg.KeepEntries, head.cfg.KeepBytes = 100, 1<<20
	carry(learner, head, nil)
	head.OfferSnapshot(head.now, 10, state('a', 3*chunkBytes))
	head.write("b", "c")
	head.sync(2)
	head.Commit(head.now)
	settleDown(head, learner)
	learner.sync(1)
	settleDown(head, learner)
	require.NoError(t, learner.fault)
	require.Equal(t, 1, len(learner.installed))
	assert.Equal(t, uint64(12), learner.Synced())
	acked, _, ok := head.Learner(learnerMember.ID)
	assert.True(t, ok)
	assert.Equal(t, uint64(12), acked)
	head.after(commitDelay)
	settleDown(head, learner)
	var data []string
	for _, e := range learner.delivered {
		data = append(data, string(e.Data))
	}
	assert.Equal(t, []string{"b", "c"}, data)
}
