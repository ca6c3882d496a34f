package chain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestTruncateBelowCommittedIndexIsRefused(t *testing.T) {
	r := newFollower(t, false, entriesWithEpochs(1, 1, 1)...)
	r.receiveStart(3, 1, 3, 2)
	require.Equal(t, uint64(2), r.Committed())
	r.EnterView(r.now, Role{Epoch: 6, Upstream: headMember})
	r.receiveStart(1, 1, 1, 1)
	assert.ErrorIs(t, r.fault, ErrDiverged)
	assert.Empty(t, r.truncated)
	assert.Equal(t, uint64(3), r.Log().Last())
}

// A truncated entry that was on disk must not make its index count as synced when another entry takes it.
func TestTruncatedEntriesNoLongerCountAsSynced(t *testing.T) {
	r := newFollower(t, false, entriesWithEpochs(1, 1, 2)...)
	require.Equal(t, uint64(3), r.Synced())
	r.receiveStart(1, 1, 3, 0, entry(2, 5), entry(3, 5))
	assert.Equal(t, []uint64{1}, r.truncated)
	assert.Equal(t, uint64(3), r.Log().Last())
	assert.Equal(t, uint64(1), r.Synced())
	for _, ack := range acksOf(r.takeSent()) {
		assert.LessOrEqual(t, ack.Index, uint64(1))
	}
}

// The same holds for entries whose sync was still pending when they were truncated.
func TestTruncatedEntriesWithPendingSyncDoNotCountLater(t *testing.T) {
	r := newFollower(t, false, entriesWithEpochs(1)...)
	r.receiveStart(1, 1, 3, 0, entry(2, 5), entry(3, 5))
	r.AssignSyncToken(1)
	r.EnterView(r.now, Role{Epoch: 6, Upstream: headMember})
	r.receiveStart(1, 1, 3, 0, entry(2, 6), entry(3, 6))
	r.AssignSyncToken(2)
	r.SyncedTo(r.now, 1)
	assert.Equal(t, uint64(1), r.Synced())
	r.SyncedTo(r.now, 2)
	assert.Equal(t, uint64(3), r.Synced())
}

// A successor drops the entries that are truncated here, so its acknowledgement of them no longer counts.
func TestTruncateInvalidatesTheSuccessorsAck(t *testing.T) {
	r := newFollower(t, true, entriesWithEpochs(1, 1, 2, 2)...)
	r.receiveStart(4, 2, 4, 0)
	r.receiveSuccessorHello(9, 4, Run{Epoch: 0}, Run{Epoch: 1, First: 1, Last: 2}, Run{Epoch: 2, First: 3, Last: 4})
	r.receiveSuccessorAck(9, 4)
	require.Equal(t, uint64(4), r.Acked())
	r.startSession(r.now) // messages were lost; the predecessor, whose own log was truncated, opens a new session
	r.takeSent()
	r.receiveStart(2, 1, 4, 0, entry(3, 5), entry(4, 5))
	r.syncAll(1)
	assert.Equal(t, uint64(4), r.Synced())
	assert.Equal(t, uint64(2), r.Acked())
	r.receiveSuccessorAck(9, 4)
	assert.Equal(t, uint64(2), r.Acked(), "the session of this Ack has ended")
	assert.NotEmpty(t, probesOf(r.takeSent()), "the successor is probed for a new session")
}

func TestAckedIndexNeedsOwnDiskAndSuccessor(t *testing.T) {
	r := newFollower(t, true, entriesWithEpochs(1)...)
	r.receiveStart(1, 1, 1, 0)
	r.receiveSuccessorHello(9, 1, Run{Epoch: 0}, Run{Epoch: 1, First: 1, Last: 1})
	r.takeSent()
	r.receiveAppend(1, 1, 0, entry(2, 5), entry(3, 5))
	r.receiveSuccessorAck(9, 3)
	assert.Equal(t, uint64(1), r.Acked(), "the entries are not on this replica's disk")
	for _, ack := range acksOf(r.takeSent()) {
		assert.LessOrEqual(t, ack.Index, uint64(1))
	}
	r.syncAll(1)
	assert.Equal(t, uint64(3), r.Acked())

	r.receiveAppend(3, 5, 0, entry(4, 5))
	r.syncAll(2)
	assert.Equal(t, uint64(3), r.Acked(), "the entry is not on the successor's disk")
	for _, ack := range acksOf(r.takeSent()) {
		assert.LessOrEqual(t, ack.Index, uint64(3))
	}
}

// Without a link to its successor a member does not know what the successor holds, and must acknowledge nothing.
func TestMemberThatLeftTheViewAcknowledgesNothing(t *testing.T) {
	r := newFollower(t, true, entriesWithEpochs(1, 1)...)
	r.receiveStart(2, 1, 2, 0)
	r.LeaveView()
	assert.Zero(t, r.Acked())
	assert.False(t, r.InStep())
	r.takeSent()
	r.receiveStart(2, 1, 2, 2)
	r.receiveSuccessorHello(9, 2, Run{Epoch: 0}, Run{Epoch: 1, First: 1, Last: 2})
	assert.Empty(t, r.takeSent())
	assert.Zero(t, r.Committed())
}

func TestCommitIsCappedAtTheLastEntryHeld(t *testing.T) {
	r := newFollower(t, false, entriesWithEpochs(1, 1)...)
	r.receiveStart(2, 1, 9, 7)
	assert.Equal(t, uint64(2), r.Committed())
	assert.Len(t, r.delivered, 2)
	r.receiveAppend(2, 1, 7, entry(3, 5))
	assert.Equal(t, uint64(3), r.Committed())
	assert.Len(t, r.delivered, 3)
}

func TestOnlyCommittedEntriesAreDelivered(t *testing.T) {
	r := newFollower(t, false, entriesWithEpochs(1, 1, 1)...)
	r.receiveStart(3, 1, 3, 2)
	assert.Equal(t, entriesWithEpochs(1, 1), r.delivered)
	assert.Equal(t, uint64(2), r.Committed())
}

func TestOnlyTheHeadAdvancesTheCommitIndexItself(t *testing.T) {
	r := newFollower(t, false, entriesWithEpochs(1, 1)...)
	r.receiveStart(2, 1, 2, 0)
	r.Commit(r.now)
	assert.Zero(t, r.Committed())
}

func TestSyncTokenCoversOnlyEarlierEntries(t *testing.T) {
	head := newTestReplica(t, headMember, 1)
	head.EnterView(head.now, Role{Epoch: 1, Head: true})
	head.write("a")
	head.AssignSyncToken(1)
	head.write("b")
	head.AssignSyncToken(2)
	head.SyncedTo(head.now, 1)
	head.Commit(head.now)
	assert.Equal(t, uint64(1), head.Committed())
	head.write("c")
	head.SyncedTo(head.now, 2)
	head.Commit(head.now)
	assert.Equal(t, uint64(2), head.Committed(), "the last entry was stored after the token was assigned")
}

// A member must answer its successor's Hello only once it holds all that its predecessor held. Otherwise it would make the successor drop
// committed entries.
func TestASuccessorWaitsUntilItsPredecessorIsInStep(t *testing.T) {
	r := newFollower(t, true, entriesWithEpochs(1)...)
	r.receiveSuccessorHello(9, 3, Run{Epoch: 0}, Run{Epoch: 1, First: 1, Last: 3})
	require.Empty(t, appendsOf(r.takeSent()))
	r.receiveStart(1, 1, 3, 0, entry(2, 1))
	assert.False(t, r.InStep())
	require.Empty(t, appendsOf(r.takeSent()))
	r.receiveAppend(2, 1, 0, entry(3, 1))
	assert.True(t, r.InStep())
	sent := appendsOf(r.takeSent())
	require.NotEmpty(t, sent)
	assert.True(t, sent[0].Start)
	assert.Equal(t, uint64(3), sent[0].Prev)
	assert.Equal(t, uint64(3), sent[0].Target)
}

// The target is the last index that the predecessor holds, even if its first Append does not carry all entries.
func TestTargetIsThePredecessorsLastIndex(t *testing.T) {
	head := newTestReplica(t, headMember, 1)
	head.EnterView(head.now, Role{Epoch: 1, Head: true, Downstream: &learnerMember})
	head.write(string(filledBytes('a', batchBytes)), string(filledBytes('b', batchBytes)))
	head.takeSent()
	head.receiveSuccessorHello(9, 0, Run{Epoch: 0})
	sent := appendsOf(head.takeSent())
	require.Len(t, sent, 2)
	assert.Len(t, sent[0].Entries, 1)
	assert.Equal(t, uint64(2), sent[0].Target)
}

func TestAppendsOfAnotherSessionAreIgnored(t *testing.T) {
	r := newFollower(t, false, entriesWithEpochs(1, 1)...)
	old := r.session
	r.now += time.Second
	r.startSession(r.now)
	r.receiveFrom(headMember, &Body{Append: &Append{Session: old, Start: true, Target: 1, Prev: 1, PrevEpoch: 1, Commit: 1}})
	assert.Equal(t, uint64(2), r.Log().Last())
	assert.Zero(t, r.Committed())
	assert.False(t, r.InStep())
	r.receiveAppend(2, 1, 2, entry(3, 5))
	assert.Equal(t, uint64(2), r.Log().Last(), "the session is not open yet")
	assert.Zero(t, r.Committed())
	r.receiveStart(2, 1, 2, 2)
	assert.True(t, r.InStep())
	r.receiveStart(1, 1, 2, 2)
	assert.Equal(t, uint64(2), r.Log().Last(), "a second Append with Start must not open the session again")
	assert.NoError(t, r.fault)
}

func TestMessagesFromNonPredecessorAreIgnored(t *testing.T) {
	r := newFollower(t, false, entriesWithEpochs(1, 1)...)
	nonPredecessor := learnerMember
	r.receiveFrom(nonPredecessor, &Body{Append: &Append{Session: r.session, Start: true, Target: 1, Prev: 1, PrevEpoch: 1, Commit: 1}})
	r.receiveFrom(nonPredecessor, &Body{Chunk: chunksFor(r.session, 9, filledBytes('a', 1))[0]})
	assert.Equal(t, uint64(2), r.Log().Last())
	assert.Zero(t, r.Committed())
	assert.Empty(t, r.installed)
	r.receiveStart(2, 1, 2, 0)
	r.takeSent()
	r.receiveFrom(nonPredecessor, &Body{Probe: &Probe{Session: r.session, Last: 2}})
	assert.Empty(t, r.takeSent())
}

func TestAppendAfterAGapIsRefused(t *testing.T) {
	r := newFollower(t, false, entriesWithEpochs(1)...)
	r.receiveStart(1, 1, 3, 0)
	r.now += time.Second
	r.takeSent()
	r.receiveAppend(2, 5, 3, entry(3, 5))
	assert.Equal(t, uint64(1), r.Log().Last())
	assert.Empty(t, r.stored)
	assert.Equal(t, 1, len(hellosOf(r.takeSent())), "the replica asks for a new session")
}

func TestEntryOfAnotherEpochAtAnIndexIsRefused(t *testing.T) {
	r := newFollower(t, false, entriesWithEpochs(1, 1)...)
	r.receiveStart(2, 1, 2, 0)
	r.receiveAppend(1, 1, 2, entry(2, 5), entry(3, 5))
	assert.ErrorIs(t, r.fault, ErrDiverged)
	assert.Zero(t, r.Committed())
	assert.Empty(t, r.stored)
}

func TestDuplicateEntryIsStoredOnce(t *testing.T) {
	r := newFollower(t, false, entriesWithEpochs(1)...)
	r.receiveStart(1, 1, 3, 0, entry(2, 5))
	r.receiveAppend(1, 1, 0, entry(2, 5), entry(3, 5))
	r.receiveAppend(1, 1, 0, entry(2, 5))
	assert.NoError(t, r.fault)
	assert.Equal(t, []Entry{entry(2, 5), entry(3, 5)}, r.stored)
}

// Until the predecessor has opened the session, this replica does not know where the logs diverge, so it must not acknowledge anything.
func TestNoAckBeforeTheSessionIsOpen(t *testing.T) {
	r := newFollower(t, false, entriesWithEpochs(1, 1)...)
	r.takeSent()
	r.syncAll(1)
	r.receiveFrom(headMember, &Body{Probe: &Probe{Session: r.session, Last: 2}})
	assert.Empty(t, acksOf(r.takeSent()))
	r.receiveStart(2, 1, 2, 0)
	assert.NotEmpty(t, acksOf(r.takeSent()))
}

func TestProbeForMissingEntriesStartsANewSession(t *testing.T) {
	r := newFollower(t, false, entriesWithEpochs(1)...)
	r.receiveStart(1, 1, 1, 0)
	r.now += time.Second
	r.takeSent()
	r.receiveFrom(headMember, &Body{Probe: &Probe{Session: r.session, Last: 2}})
	sent := r.takeSent()
	assert.Empty(t, acksOf(sent))
	assert.Equal(t, 1, len(hellosOf(sent)))
	r.receiveStart(1, 1, 1, 0)
	r.now += time.Second
	r.takeSent()
	r.receiveFrom(headMember, &Body{Probe: &Probe{Last: 1}})
	assert.Equal(t, 1, len(hellosOf(r.takeSent())), "a probe without a session makes the replica ask for a new one")
}
