package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/view"
)

func TestShortPausesAreSubtractedUpToOneGrant(t *testing.T) {
	w := newProductionWorld(t, 1)
	r, now := w.head().process, w.head().clock()
	since := r.timestamp(now)
	r.pauses.short += 300 * time.Millisecond
	assert.Equal(t, 200*time.Millisecond, r.elapsedSince(now+500*time.Millisecond, since))
	r.pauses.short += time.Hour
	assert.Equal(t, time.Second-productionGrant, r.elapsedSince(now+time.Second, since))
	r.pauses.long += 20 * time.Second
	assert.Equal(t, time.Second-productionGrant, r.elapsedSince(now+21*time.Second, since))
}

func TestElectionIsDelayedByShortPausesUpToOneGrant(t *testing.T) {
	w := newProductionWorld(t, 1)
	r := w.machineAt(1).process
	before := r.electionAt
	r.notePause(r.pauses.due + 100*time.Millisecond)
	assert.Equal(t, before+100*time.Millisecond, r.electionAt)
	for range 20 {
		now := r.lastStep
		r.pauses.due = now
		r.notePause(now + 100*time.Millisecond)
	}
	assert.Equal(t, before+productionGrant, r.electionAt)
}

func TestElectionIsDelayedAfterLongPause(t *testing.T) {
	w := newProductionWorld(t, 1)
	r := w.machineAt(1).process
	now := r.lastStep + time.Minute
	r.notePause(now)
	assert.Equal(t, now+electionDelayAfterPause, r.electionAt)
	assert.Equal(t, time.Minute, r.pauses.long)
}

func TestProcessPauseIsNotCountedAgainstOwnDisk(t *testing.T) {
	w := newProductionWorld(t, 1)
	r := w.head().process
	at := r.lastStep
	r.pendingWrites = []write{{token: 1 << 40, at: at}}
	r.pauses.due = at
	r.notePause(at + 340*time.Millisecond)
	assert.False(t, r.ownDiskStalled(at+340*time.Millisecond+productionStall))
	assert.True(t, r.ownDiskStalled(at+341*time.Millisecond+productionStall))
}

// After a step that isn't a Tick, messages of other replicas may be waiting that had arrived before it.
func TestTimeoutsAreCheckedOnlyAtTicks(t *testing.T) {
	w := newProductionWorld(t, 1)
	member := w.machineAt(1)
	r := member.process
	r.electionAt = 0
	r.Step(member.clock(), Contacts{})
	assert.False(t, r.proposer.Active(), "stands for election")
	r.Step(member.clock(), Tick{})
	assert.True(t, r.proposer.Active(), "doesn't stand for election")

	w = newProductionWorld(t, 2)
	head := w.head()
	r = head.process
	r.peers[w.machineAt(1).process.Self().ID].heard.at -= time.Hour
	r.Step(head.clock(), Contacts{})
	assert.False(t, r.proposer.Active(), "drops a member")
	r.Step(head.clock(), Tick{})
	assert.True(t, r.proposer.Active(), "doesn't drop a member")

	w = newProductionWorld(t, 3)
	head = w.head()
	r = head.process
	r.cfg.Grant = time.Nanosecond
	r.Step(head.clock(), Contacts{})
	assert.False(t, r.head.steppedDown, "steps down")
}

func TestPausedHeadDoesNotStepDownForItsPause(t *testing.T) {
	w := newProductionWorld(t, 1)
	head := w.head()
	r, now := head.process, head.clock()
	require.False(t, r.lostMajority(now))
	r.pauses.short += 200 * time.Millisecond
	since, ok := r.head.lease.MajoritySince(r.view)
	require.True(t, ok)
	assert.False(t, r.lostMajority(since+productionGrant+200*time.Millisecond))
	assert.True(t, r.lostMajority(since+productionGrant+201*time.Millisecond))
	assert.Equal(t, 200*time.Millisecond, r.proposalCause.Paused)
}

func TestSlowOwnSyncExtendsMemberTimeout(t *testing.T) {
	w := newProductionWorld(t, 1)
	head := w.head()
	r, now := head.process, head.clock()
	r.slowestSync = slowestSync{}
	assert.Equal(t, productionStall, r.entryTimeout(now, "x"))
	r.slowestSync.record(now, 100*time.Millisecond)
	r.slowestSync.record(now, 40*time.Millisecond)
	assert.Equal(t, productionStall+100*time.Millisecond, r.entryTimeout(now, "x"))
	assert.Equal(t, productionStall, r.entryTimeout(now+slowSyncMemory+1, "x"))
	r.slowestSync.record(now, time.Hour)
	assert.Equal(t, 2*productionStall, r.entryTimeout(now, "x"))
}

// While an entry isn't on the head's own disk, no other member is held responsible for its delay.
func TestNoMemberIsBlamedWhileTheOwnDiskIsSlow(t *testing.T) {
	w := newProductionWorld(t, 1)
	head := w.head()
	r := head.process
	for _, m := range w.machines {
		m.stalledUntil = w.now + time.Hour
	}
	w.run(w.now + time.Second)
	require.True(t, r.IsHead(head.clock()))
	assert.Less(t, r.chain.Synced(), r.head.watchedIndex)
	assert.Empty(t, r.stalledMember(head.clock()))
	assert.False(t, r.shouldYieldForDisk(head.clock()), "another head would fare no better")
	assert.NoError(t, w.failure)
}

// If another replica was the head in between, the scheduler has to start anew.
func TestHeadAfterAnotherHeadIsNotContinued(t *testing.T) {
	w := newProductionWorld(t, 1)
	r := w.head().process
	now := w.head().clock()
	next := r.view.Next()
	other := next
	other.Chain = append(append([]view.Member(nil), next.Chain[1:]...), next.Chain[0])
	r.head.announced = false // the lease has run out
	require.Equal(t, r.view.Epoch+1, r.head.headThrough)
	r.adoptView(now, other, "x")
	assert.Zero(t, r.head.headThrough)
	back := next
	back.Epoch = other.Epoch + 1
	r.adoptView(now, back, "x")
	assert.Zero(t, r.head.headThrough, "another replica was the head in between")
}

func TestHeadThatMissedAViewIsNotContinued(t *testing.T) {
	w := newProductionWorld(t, 1)
	r := w.head().process
	next := r.view.Next()
	next.Epoch++ // the one before may have had another head
	r.head.announced = false
	r.adoptView(w.head().clock(), next, "x")
	assert.Zero(t, r.head.headThrough)
}

func TestHeadContinuesOverItsOwnNextView(t *testing.T) {
	w := newProductionWorld(t, 1)
	r := w.head().process
	r.head.announced = false
	r.adoptView(w.head().clock(), r.view.Next(), "x")
	assert.Equal(t, r.view.Epoch+1, r.head.headThrough)
}

// The heartbeats of a head that hears nobody still reach the others, which would grant them forever.
func TestHeadThatHearsNobodyStepsDown(t *testing.T) {
	w := newWorld(1, 3, 0, 1) // no writes, so that no member is dropped for a stuck entry
	w.config = Config{Grant: productionGrant, HeartbeatEvery: productionHeartbeat, DropAfter: productionDrop, StallAfter: productionStall}
	w.run(warmUp)
	head := w.head()
	require.NotNil(t, head)
	for _, m := range w.machines {
		w.cuts[[2]string{m.address, head.address}] = w.now + time.Minute
	}
	w.run(w.now + 3*time.Second)
	require.NoError(t, w.failure)
	newest := w.head()
	require.NotNil(t, newest)
	assert.NotEqual(t, head.address, newest.address)
}
