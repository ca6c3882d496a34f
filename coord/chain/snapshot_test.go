package chain

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A learner is disconnected during a transfer until the head removes it, and the head appends meanwhile. The learner must not append the
// second half of the newer snapshot to the first half of the older one.
func TestSnapshotsAreNeverMixed(t *testing.T) {
	head, learner := newTrimmedHead(t, 10), newLearner(t, 2)
	forwardMessages(learner, head, nil)
	require.True(t, head.NeedsSnapshot())
	const size = 8 * chunkBytes
	head.OfferSnapshot(head.now, 10, filledBytes('a', size))
	for range 2 { // a part of it gets through
		forwardMessages(head, learner, nil)
		forwardMessages(learner, head, nil)
	}
	require.Zero(t, len(learner.installed))
	head.takeSent()

	head.advance(learnerTimeout + time.Millisecond)
	learner.advance(learnerTimeout + time.Millisecond)
	head.takeSent()
	head.write("x", "x")
	head.syncAll(2)
	head.Commit(head.now)
	forwardMessages(learner, head, nil)
	require.True(t, head.NeedsSnapshot())
	head.OfferSnapshot(head.now, 12, filledBytes('b', size))
	exchangeUntilIdle(head, learner)
	require.NoError(t, learner.fault)
	require.Equal(t, 1, len(learner.installed))
	got := learner.installed[0]
	assert.Equal(t, uint64(12), got.Index)
	assert.Equal(t, 0, bytes.Count(got.Data, []byte("a")), "the newer snapshot contains bytes of the older one")
	assert.Equal(t, size, len(got.Data))
}

// chunksFor returns the chunks of a snapshot as a head sends them in a session.
func chunksFor(session, index uint64, data []byte) []*Chunk {
	var chunks []*Chunk
	for from := 0; from < len(data); from += chunkBytes {
		to := min(from+chunkBytes, len(data))
		chunks = append(chunks, &Chunk{Session: session, Index: index, Epoch: 2, Offset: from, Total: len(data), Sum: snapshotChecksum(data),
			Data: data[from:to]})
	}
	return chunks
}

func TestChunksMayBeDuplicatedAndReordered(t *testing.T) {
	learner := newLearner(t, 2)
	data := append(filledBytes('a', chunkBytes), filledBytes('b', chunkBytes)...)
	data = append(data, 'c')
	chunks := chunksFor(learner.session, 10, data)
	for _, at := range []int{1, 0, 2, 0, 1, 0, 2} {
		learner.receiveFrom(headMember, &Body{Chunk: chunks[at]})
	}
	require.NoError(t, learner.fault)
	require.Equal(t, 1, len(learner.installed))
	assert.True(t, bytes.Equal(data, learner.installed[0].Data))
	assert.Equal(t, 1, len(learner.snapshots))
	assert.Equal(t, uint64(10), learner.Log().Base())
	assert.Equal(t, uint64(10), learner.Committed())
}

func TestChunksOfAnotherSessionOrAnOlderSnapshotAreIgnored(t *testing.T) {
	learner := newLearner(t, 2)
	newer := chunksFor(learner.session, 12, filledBytes('b', 2*chunkBytes))
	older := chunksFor(learner.session, 10, filledBytes('a', 2*chunkBytes))
	otherSession := chunksFor(learner.session+1, 12, filledBytes('b', 2*chunkBytes))
	learner.receiveFrom(headMember, &Body{Chunk: otherSession[0]})
	learner.receiveFrom(headMember, &Body{Chunk: newer[0]})
	learner.takeSent()
	learner.receiveFrom(headMember, &Body{Chunk: older[0]})
	learner.receiveFrom(headMember, &Body{Chunk: older[1]})
	learner.receiveFrom(headMember, &Body{Chunk: otherSession[1]})
	assert.Zero(t, len(learner.takeSent()), "ignored chunks are not acknowledged")
	learner.receiveFrom(headMember, &Body{Chunk: newer[1]})
	require.Equal(t, 1, len(learner.installed))
	assert.Equal(t, uint64(12), learner.installed[0].Index)
}

func TestADamagedSnapshotIsNotInstalled(t *testing.T) {
	learner := newLearner(t, 2)
	chunks := chunksFor(learner.session, 10, filledBytes('a', chunkBytes+1))
	damaged := *chunks[1]
	damaged.Data = []byte{'b'}
	learner.receiveFrom(headMember, &Body{Chunk: chunks[0]})
	learner.takeSent()
	learner.receiveFrom(headMember, &Body{Chunk: &damaged})
	require.Zero(t, len(learner.installed))
	require.Zero(t, len(learner.snapshots))
	hellos := hellosOf(learner.takeSent())
	require.Equal(t, 1, len(hellos), "the learner asks for a new session")
	for _, chunk := range chunksFor(hellos[0].Session, 10, filledBytes('a', chunkBytes+1)) {
		learner.receiveFrom(headMember, &Body{Chunk: chunk})
	}
	assert.Equal(t, 1, len(learner.installed))
}

// A head of an older version sends no checksum.
func TestSnapshotWithoutChecksumIsInstalled(t *testing.T) {
	learner := newLearner(t, 2)
	for _, chunk := range chunksFor(learner.session, 10, filledBytes('a', chunkBytes+1)) {
		chunk.Sum = 0
		learner.receiveFrom(headMember, &Body{Chunk: chunk})
	}
	assert.Equal(t, 1, len(learner.installed))
}

func TestSnapshotBelowCommittedIndexIsRefused(t *testing.T) {
	learner := newTestReplica(t, learnerMember, 7, entriesWithEpochs(1, 1, 1)...)
	learner.EnterView(learner.now, Role{Epoch: 2, Upstream: headMember})
	learner.receiveFrom(headMember, &Body{Append: &Append{Session: learner.session, Start: true, Target: 3, Prev: 3, PrevEpoch: 1, Commit: 3}})
	require.Equal(t, uint64(3), learner.Committed())
	learner.EnterView(learner.now, Role{Epoch: 3, Upstream: headMember})
	learner.receiveFrom(headMember, &Body{Chunk: chunksFor(learner.session, 2, filledBytes('a', 1))[0]})
	assert.ErrorIs(t, learner.fault, ErrDiverged)
	assert.Zero(t, len(learner.installed)+len(learner.snapshots))
	assert.Equal(t, uint64(3), learner.Log().Last())
}

// What was on disk of the log that a snapshot replaces must not count for the snapshot.
func TestSnapshotIsAcknowledgedOnlyOnceOnDisk(t *testing.T) {
	learner := newTestReplica(t, learnerMember, 7, entriesWithEpochs(1, 1, 1)...)
	learner.EnterView(learner.now, Role{Epoch: 2, Upstream: headMember})
	learner.receiveFrom(headMember, &Body{Chunk: chunksFor(learner.session, 10, filledBytes('a', 1))[0]})
	assert.Zero(t, learner.Synced())
	assert.Zero(t, hellosOf(learner.takeSent())[1].Acked)
	learner.AssignSyncToken(5)
	learner.SyncedTo(learner.now, 4)
	assert.Zero(t, learner.Synced())
	learner.SyncedTo(learner.now, 5)
	assert.Equal(t, uint64(10), learner.Synced())
}

// The head writes more entries during a transfer than it usually keeps. It must keep the entries after the snapshot until the learner has
// them.
func TestLearnerNeedsOneSnapshotWhileTheLogIsTrimmed(t *testing.T) {
	head, learner := newTrimmedHead(t, 10), newLearner(t, 2)
	head.cfg.KeepEntries, head.cfg.KeepBytes = 10, 1<<20
	forwardMessages(learner, head, nil)
	token, offers := uint64(1), 0
	for range 40 {
		if head.NeedsSnapshot() {
			offers++
			head.OfferSnapshot(head.now, head.Committed(), filledBytes('a', 8*chunkBytes))
		}
		forwardMessages(head, learner, nil)
		token++
		learner.syncAll(token)
		forwardMessages(learner, head, nil)
		if offers > 0 && head.Log().Last() < 60 {
			head.write("x", "x", "x", "x", "x")
			head.syncAll(token)
			head.Commit(head.now)
		}
	}
	require.NoError(t, learner.fault)
	assert.Equal(t, 1, offers)
	assert.Equal(t, 1, len(learner.installed))
	assert.Equal(t, head.Log().Last(), learner.Log().Last())
	assert.Equal(t, uint64(60), learner.Log().Last())
}

// A slow or failed learner must not make the head keep its log without bound.
func TestEntriesKeptForALearnerAreBounded(t *testing.T) {
	head, learner := newTrimmedHead(t, 10), newLearner(t, 2)
	head.cfg.KeepEntries, head.cfg.KeepBytes = 10, 1<<20
	forwardMessages(learner, head, nil)
	head.OfferSnapshot(head.now, 10, filledBytes('a', 8*chunkBytes))
	for token := range uint64(400) {
		head.write("x")
		head.syncAll(token + 2)
		head.Commit(head.now)
		held := head.Committed() - head.Log().Base()
		require.LessOrEqual(t, held, uint64(transferRetentionFactor*10))
		require.GreaterOrEqual(t, held, min(head.Committed()-10, uint64(transferRetentionFactor*10)))
	}
	head.advance(learnerTimeout + time.Millisecond)
	head.write("x")
	head.syncAll(1000)
	head.Commit(head.now)
	assert.Equal(t, uint64(10), head.Committed()-head.Log().Base(), "no learner needs older entries any more")
}

// A late or duplicated Hello, after the head has removed the learner, makes the head send a snapshot in a session in which the learner
// already receives entries. The learner must start a new session and catch up.
func TestChunkInAnOpenSessionStartsANewSession(t *testing.T) {
	head, learner := newTrimmedHead(t, 10), newLearner(t, 2)
	old := learner.takeSent()
	for _, p := range old {
		head.receiveFrom(learnerMember, p.body)
	}
	head.OfferSnapshot(head.now, 10, filledBytes('a', 10))
	exchangeUntilIdle(head, learner)
	require.Equal(t, 1, len(learner.installed))
	var late []*Body
	learner.startSession(learner.now)
	for _, p := range learner.takeSent() {
		late = append(late, p.body)
		head.receiveFrom(learnerMember, p.body)
	}
	exchangeUntilIdle(head, learner)

	head.advance(learnerTimeout + time.Millisecond) // the head removes the learner and appends
	head.write("x", "x")
	head.syncAll(2)
	head.Commit(head.now)
	head.log.Drop(12)
	head.takeSent()
	for _, body := range late {
		head.receiveFrom(learnerMember, body)
	}
	require.True(t, head.NeedsSnapshot())
	head.OfferSnapshot(head.now, 12, filledBytes('b', 10))
	learner.advance(sessionRestartInterval)
	for range 4 {
		forwardMessages(head, learner, nil)
		forwardMessages(learner, head, nil)
		head.OfferSnapshot(head.now, 12, filledBytes('b', 10))
	}
	require.NoError(t, learner.fault)
	require.Equal(t, 2, len(learner.installed))
	assert.Equal(t, uint64(12), learner.installed[1].Index)
}

func TestLateChunkDoesNotReplaceALogInUse(t *testing.T) {
	r := newFollower(t, false, entriesWithEpochs(1)...)
	r.receiveStart(1, 1, 1, 0)
	r.receiveFrom(headMember, &Body{Chunk: chunksFor(r.session, 10, filledBytes('a', 1))[0]})
	assert.Zero(t, len(r.installed))
	assert.Equal(t, uint64(1), r.Log().Last())
}

// The head changes during a transfer. Late chunks of the old head must be ignored, and the snapshot of the new head must be installed
// completely.
func TestHeadChangeDuringATransferRestartsIt(t *testing.T) {
	learner := newLearner(t, 2)
	before := chunksFor(learner.session, 12, filledBytes('a', 2*chunkBytes))
	learner.receiveFrom(headMember, &Body{Chunk: before[0]})
	learner.EnterView(learner.now, Role{Epoch: 3, Upstream: middleMember})
	learner.takeSent()
	after := chunksFor(learner.session, 11, filledBytes('b', 2*chunkBytes))
	learner.receiveFrom(headMember, &Body{Chunk: before[1]})
	learner.receiveFrom(middleMember, &Body{Chunk: before[1]})
	assert.Zero(t, len(learner.takeSent()))
	for _, chunk := range after {
		learner.receiveFrom(middleMember, &Body{Chunk: chunk})
	}
	require.Equal(t, 1, len(learner.installed))
	assert.Equal(t, uint64(11), learner.installed[0].Index)
	assert.Zero(t, bytes.Count(learner.installed[0].Data, []byte("a")))
}

// The head appends during a transfer. The learner must then receive exactly the entries after the snapshot, each once.
func TestWritesDuringATransferFollowTheSnapshot(t *testing.T) {
	head, learner := newTrimmedHead(t, 10), newLearner(t, 2)
	head.cfg.KeepEntries, head.cfg.KeepBytes = 100, 1<<20
	forwardMessages(learner, head, nil)
	head.OfferSnapshot(head.now, 10, filledBytes('a', 3*chunkBytes))
	head.write("b", "c")
	head.syncAll(2)
	head.Commit(head.now)
	exchangeUntilIdle(head, learner)
	learner.syncAll(1)
	exchangeUntilIdle(head, learner)
	require.NoError(t, learner.fault)
	require.Equal(t, 1, len(learner.installed))
	assert.Equal(t, uint64(12), learner.Synced())
	acked, _, ok := head.Learner(learnerMember.ID)
	assert.True(t, ok)
	assert.Equal(t, uint64(12), acked)
	head.advance(commitNoticeDelay)
	exchangeUntilIdle(head, learner)
	var data []string
	for _, e := range learner.delivered {
		data = append(data, string(e.Data))
	}
	assert.Equal(t, []string{"b", "c"}, data)
}
