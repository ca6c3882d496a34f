package chain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestACutBelowWhatIsCommittedIsRefused(t *testing.T) {
	r := follower(t, false, entriesOf(1, 1, 1)...)
	r.starts(3, 1, 3, 2)
	require.Equal(t, uint64(2), r.Committed())
	r.EnterView(r.now, Role{Epoch: 6, Upstream: headMember})
	r.starts(1, 1, 1, 1)
	assert.ErrorIs(t, r.fault, ErrDiverged)
	assert.Empty(t, r.truncated)
	assert.Equal(t, uint64(3), r.Log().Last())
}

// An index that was on disk and was cut off isn't on disk when another entry takes its place.
func TestWhatIsCutOffIsNotOnDiskAnyMore(t *testing.T) {
	r := follower(t, false, entriesOf(1, 1, 2)...)
	require.Equal(t, uint64(3), r.Synced())
	r.starts(1, 1, 3, 0, entry(2, 5), entry(3, 5))
	assert.Equal(t, []uint64{1}, r.truncated)
	assert.Equal(t, uint64(3), r.Log().Last())
	assert.Equal(t, uint64(1), r.Synced())
	for _, ack := range acksOf(r.take()) {
		assert.LessOrEqual(t, ack.Index, uint64(1))
	}
}

// The same for what was on its way to disk when it was cut off.
func TestWhatIsCutOffOnItsWayToDiskDoesNotCountLater(t *testing.T) {
	r := follower(t, false, entriesOf(1)...)
	r.starts(1, 1, 3, 0, entry(2, 5), entry(3, 5))
	r.AssignSyncToken(1)
	r.EnterView(r.now, Role{Epoch: 6, Upstream: headMember})
	r.starts(1, 1, 3, 0, entry(2, 6), entry(3, 6))
	r.AssignSyncToken(2)
	r.SyncedTo(r.now, 1)
	assert.Equal(t, uint64(1), r.Synced())
	r.SyncedTo(r.now, 2)
	assert.Equal(t, uint64(3), r.Synced())
}

// A successor drops what is cut off here, so that its word on it is void.
func TestASuccessorsWordOnWhatIsCutOffIsVoid(t *testing.T) {
	r := follower(t, true, entriesOf(1, 1, 2, 2)...)
	r.starts(4, 2, 4, 0)
	r.opensBehind(9, 4, Run{Epoch: 0}, Run{Epoch: 1, First: 1, Last: 2}, Run{Epoch: 2, First: 3, Last: 4})
	r.ackedBehind(9, 4)
	require.Equal(t, uint64(4), r.Acked())
	r.hello(r.now) // messages were lost: the predecessor, which had been cut itself, begins anew
	r.take()
	r.starts(2, 1, 4, 0, entry(3, 5), entry(4, 5))
	r.sync(1)
	assert.Equal(t, uint64(4), r.Synced())
	assert.Equal(t, uint64(2), r.Acked())
	r.ackedBehind(9, 4)
	assert.Equal(t, uint64(2), r.Acked(), "that session is over")
	assert.NotEmpty(t, probesOf(r.take()), "the successor is told to begin anew")
}

func TestAcknowledgedIsWhatIsOnTheDiskHereAndBehind(t *testing.T) {
	r := follower(t, true, entriesOf(1)...)
	r.starts(1, 1, 1, 0)
	r.opensBehind(9, 1, Run{Epoch: 0}, Run{Epoch: 1, First: 1, Last: 1})
	r.take()
	r.continues(1, 1, 0, entry(2, 5), entry(3, 5))
	r.ackedBehind(9, 3)
	assert.Equal(t, uint64(1), r.Acked(), "it isn't on the disk here")
	for _, ack := range acksOf(r.take()) {
		assert.LessOrEqual(t, ack.Index, uint64(1))
	}
	r.sync(1)
	assert.Equal(t, uint64(3), r.Acked())

	r.continues(3, 5, 0, entry(4, 5))
	r.sync(2)
	assert.Equal(t, uint64(3), r.Acked(), "it isn't on the disk behind")
	for _, ack := range acksOf(r.take()) {
		assert.LessOrEqual(t, ack.Index, uint64(3))
	}
}

// Without a link to its successor a member knows of nothing that the successor has.
func TestAMemberThatHasLeftAcknowledgesNothing(t *testing.T) {
	r := follower(t, true, entriesOf(1, 1)...)
	r.starts(2, 1, 2, 0)
	r.LeaveView()
	assert.Zero(t, r.Acked())
	assert.False(t, r.InStep())
	r.take()
	r.starts(2, 1, 2, 2)
	r.opensBehind(9, 2, Run{Epoch: 0}, Run{Epoch: 1, First: 1, Last: 2})
	assert.Empty(t, r.take())
	assert.Zero(t, r.Committed())
}

func TestOnlyWhatIsHeldIsCommitted(t *testing.T) {
	r := follower(t, false, entriesOf(1, 1)...)
	r.starts(2, 1, 9, 7)
	assert.Equal(t, uint64(2), r.Committed())
	assert.Len(t, r.delivered, 2)
	r.continues(2, 1, 7, entry(3, 5))
	assert.Equal(t, uint64(3), r.Committed())
	assert.Len(t, r.delivered, 3)
}

func TestOnlyWhatIsCommittedIsDelivered(t *testing.T) {
	r := follower(t, false, entriesOf(1, 1, 1)...)
	r.starts(3, 1, 3, 2)
	assert.Equal(t, entriesOf(1, 1), r.delivered)
	assert.Equal(t, uint64(2), r.Committed())
}

func TestOnlyTheHeadCommitsByItself(t *testing.T) {
	r := follower(t, false, entriesOf(1, 1)...)
	r.starts(2, 1, 2, 0)
	r.Commit(r.now)
	assert.Zero(t, r.Committed())
}

func TestADiskIsBelievedUpToItsToken(t *testing.T) {
	head := newRig(t, headMember, 1)
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
	assert.Equal(t, uint64(2), head.Committed(), "the last isn't even on its way")
}

// A member lets its successor in once it has all that its predecessor had: a successor holds what is committed, and would be made to
// drop it.
func TestASuccessorWaitsUntilItsPredecessorIsInStep(t *testing.T) {
	r := follower(t, true, entriesOf(1)...)
	r.opensBehind(9, 3, Run{Epoch: 0}, Run{Epoch: 1, First: 1, Last: 3})
	require.Empty(t, appendsOf(r.take()))
	r.starts(1, 1, 3, 0, entry(2, 1))
	assert.False(t, r.InStep())
	require.Empty(t, appendsOf(r.take()))
	r.continues(2, 1, 0, entry(3, 1))
	assert.True(t, r.InStep())
	sent := appendsOf(r.take())
	require.NotEmpty(t, sent)
	assert.True(t, sent[0].Start)
	assert.Equal(t, uint64(3), sent[0].Prev)
	assert.Equal(t, uint64(3), sent[0].Target)
}

// The target is all that the predecessor holds, also what its first message has no room for.
func TestTheTargetIsAllThatThePredecessorHas(t *testing.T) {
	head := newRig(t, headMember, 1)
	head.EnterView(head.now, Role{Epoch: 1, Head: true, Downstream: &learnerMember})
	head.write(string(state('a', batchBytes)), string(state('b', batchBytes)))
	head.take()
	head.opensBehind(9, 0, Run{Epoch: 0})
	sent := appendsOf(head.take())
	require.Len(t, sent, 2)
	assert.Len(t, sent[0].Entries, 1)
	assert.Equal(t, uint64(2), sent[0].Target)
}

func TestMessagesOfAnotherSessionChangeNothing(t *testing.T) {
	r := follower(t, false, entriesOf(1, 1)...)
	old := r.session
	r.now += time.Second
	r.hello(r.now)
	r.gets(headMember, &Body{Append: &Append{Session: old, Start: true, Target: 1, Prev: 1, PrevEpoch: 1, Commit: 1}})
	assert.Equal(t, uint64(2), r.Log().Last())
	assert.Zero(t, r.Committed())
	assert.False(t, r.InStep())
	r.continues(2, 1, 2, entry(3, 5))
	assert.Equal(t, uint64(2), r.Log().Last(), "the session isn't opened yet")
	assert.Zero(t, r.Committed())
	r.starts(2, 1, 2, 2)
	assert.True(t, r.InStep())
	r.starts(1, 1, 2, 2)
	assert.Equal(t, uint64(2), r.Log().Last(), "a session is opened once")
	assert.NoError(t, r.fault)
}

func TestOnlyThePredecessorIsFollowed(t *testing.T) {
	r := follower(t, false, entriesOf(1, 1)...)
	foreign := learnerMember
	r.gets(foreign, &Body{Append: &Append{Session: r.session, Start: true, Target: 1, Prev: 1, PrevEpoch: 1, Commit: 1}})
	r.gets(foreign, &Body{Chunk: chunksFor(r.session, 9, state('a', 1))[0]})
	assert.Equal(t, uint64(2), r.Log().Last())
	assert.Zero(t, r.Committed())
	assert.Empty(t, r.installed)
	r.starts(2, 1, 2, 0)
	r.take()
	r.gets(foreign, &Body{Probe: &Probe{Session: r.session, Last: 2}})
	assert.Empty(t, r.take())
}

func TestNoGapComesIntoTheLog(t *testing.T) {
	r := follower(t, false, entriesOf(1)...)
	r.starts(1, 1, 3, 0)
	r.now += time.Second
	r.take()
	r.continues(2, 5, 3, entry(3, 5))
	assert.Equal(t, uint64(1), r.Log().Last())
	assert.Empty(t, r.stored)
	assert.Equal(t, 1, len(hellosOf(r.take())), "it asks anew")
}

func TestAnEntryOfAnotherEpochAtAnIndexIsAContradiction(t *testing.T) {
	r := follower(t, false, entriesOf(1, 1)...)
	r.starts(2, 1, 2, 0)
	r.continues(1, 1, 2, entry(2, 5), entry(3, 5))
	assert.ErrorIs(t, r.fault, ErrDiverged)
	assert.Zero(t, r.Committed())
	assert.Empty(t, r.stored)
}

func TestAnEntryThatComesTwiceIsStoredOnce(t *testing.T) {
	r := follower(t, false, entriesOf(1)...)
	r.starts(1, 1, 3, 0, entry(2, 5))
	r.continues(1, 1, 0, entry(2, 5), entry(3, 5))
	r.continues(1, 1, 0, entry(2, 5))
	assert.NoError(t, r.fault)
	assert.Equal(t, []Entry{entry(2, 5), entry(3, 5)}, r.stored)
}

// Before the predecessor has said where the logs part, what is on disk here says nothing to it.
func TestNothingIsAcknowledgedBeforeTheSessionIsOpened(t *testing.T) {
	r := follower(t, false, entriesOf(1, 1)...)
	r.take()
	r.sync(1)
	r.gets(headMember, &Body{Probe: &Probe{Session: r.session, Last: 2}})
	assert.Empty(t, acksOf(r.take()))
	r.starts(2, 1, 2, 0)
	assert.NotEmpty(t, acksOf(r.take()))
}

func TestAProbeForWhatIsMissingOpensANewSession(t *testing.T) {
	r := follower(t, false, entriesOf(1)...)
	r.starts(1, 1, 1, 0)
	r.now += time.Second
	r.take()
	r.gets(headMember, &Body{Probe: &Probe{Session: r.session, Last: 2}})
	sent := r.take()
	assert.Empty(t, acksOf(sent))
	assert.Equal(t, 1, len(hellosOf(sent)))
	r.starts(1, 1, 1, 0)
	r.now += time.Second
	r.take()
	r.gets(headMember, &Body{Probe: &Probe{Last: 1}})
	assert.Equal(t, 1, len(hellosOf(r.take())), "the predecessor has no session")
}
