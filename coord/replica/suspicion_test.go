package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/view"
)

func TestShortPausesAreTakenOffUpToAGrantAndLongOnesWhole(t *testing.T) {
	w := quick(t, 1)
	r, now := w.head().process, w.head().clock()
	since := r.timestamp(now)
	r.pauses.short += 300 * time.Millisecond
	assert.Equal(t, 200*time.Millisecond, r.elapsedSince(now+500*time.Millisecond, since))
	r.pauses.short += time.Hour
	assert.Equal(t, time.Second-quickGrant, r.elapsedSince(now+time.Second, since))
	r.pauses.long += 20 * time.Second
	assert.Equal(t, time.Second-quickGrant, r.elapsedSince(now+21*time.Second, since))
}

func TestAnElectionWaitsForOwnShortPausesUpToAGrant(t *testing.T) {
	w := quick(t, 1)
	r := w.member(1).process
	before := r.electionAt
	r.notePause(r.pauses.due + 100*time.Millisecond)
	assert.Equal(t, before+100*time.Millisecond, r.electionAt)
	for range 20 {
		now := r.lastStep
		r.pauses.due = now
		r.notePause(now + 100*time.Millisecond)
	}
	assert.Equal(t, before+quickGrant, r.electionAt)
}

func TestAnElectionWaitsALittleAfterALongPause(t *testing.T) {
	w := quick(t, 1)
	r := w.member(1).process
	now := r.lastStep + time.Minute
	r.notePause(now)
	assert.Equal(t, now+electionDelayAfterPause, r.electionAt)
	assert.Equal(t, time.Minute, r.pauses.long)
}

func TestTheOwnDiskIsNotBlamedForAPauseOfTheProcess(t *testing.T) {
	w := quick(t, 1)
	r := w.head().process
	at := r.lastStep
	r.pendingWrites = []write{{token: 1 << 40, at: at}}
	r.pauses.due = at
	r.notePause(at + 340*time.Millisecond)
	assert.False(t, r.ownDiskStalled(at+340*time.Millisecond+quickStall))
	assert.True(t, r.ownDiskStalled(at+341*time.Millisecond+quickStall))
}

// A step that isn't a Tick may have others' messages behind it that had arrived before.
func TestNobodyIsJudgedBeforeWhatHasArrivedIsHandedIn(t *testing.T) {
	w := quick(t, 1)
	member := w.member(1)
	r := member.process
	r.electionAt = 0
	r.Step(member.clock(), Contacts{})
	assert.False(t, r.proposer.Active(), "stands for election")
	r.Step(member.clock(), Tick{})
	assert.True(t, r.proposer.Active(), "doesn't stand for election")

	w = quick(t, 2)
	head := w.head()
	r = head.process
	r.peers[w.member(1).process.Self().ID].heard.at -= time.Hour
	r.Step(head.clock(), Contacts{})
	assert.False(t, r.proposer.Active(), "drops a member")
	r.Step(head.clock(), Tick{})
	assert.True(t, r.proposer.Active(), "doesn't drop a member")

	w = quick(t, 3)
	head = w.head()
	r = head.process
	r.cfg.Grant = time.Nanosecond
	r.Step(head.clock(), Contacts{})
	assert.False(t, r.head.steppedDown, "gives its place up")
}

func TestAHeadThatWasHeldUpDoesNotGiveItsPlaceUpForIt(t *testing.T) {
	w := quick(t, 1)
	head := w.head()
	r, now := head.process, head.clock()
	require.False(t, r.lostMajority(now))
	r.pauses.short += 200 * time.Millisecond
	since, ok := r.head.lease.MajoritySince(r.view)
	require.True(t, ok)
	assert.False(t, r.lostMajority(since+quickGrant+200*time.Millisecond))
	assert.True(t, r.lostMajority(since+quickGrant+201*time.Millisecond))
	assert.Equal(t, 200*time.Millisecond, r.proposalCause.Paused)
}

func TestWhatTheOwnDiskTookIsGrantedToAMember(t *testing.T) {
	w := quick(t, 1)
	head := w.head()
	r, now := head.process, head.clock()
	r.slowestSync = slowestSync{}
	assert.Equal(t, quickStall, r.entryTimeout(now, "x"))
	r.slowestSync.record(now, 100*time.Millisecond)
	r.slowestSync.record(now, 40*time.Millisecond)
	assert.Equal(t, quickStall+100*time.Millisecond, r.entryTimeout(now, "x"))
	assert.Equal(t, quickStall, r.entryTimeout(now+slowSyncMemory+1, "x"))
	r.slowestSync.record(now, time.Hour)
	assert.Equal(t, 2*quickStall, r.entryTimeout(now, "x"))
}

// While an entry isn't on the head's own disk, no other is blamed for it.
func TestNoMemberIsBlamedWhileTheOwnDiskIsSlow(t *testing.T) {
	w := quick(t, 1)
	head := w.head()
	r := head.process
	for _, m := range w.machines {
		m.stalled = w.now + time.Hour
	}
	w.run(w.now + time.Second)
	require.True(t, r.IsHead(head.clock()))
	assert.Less(t, r.chain.Synced(), r.head.watchedIndex)
	assert.Empty(t, r.stalledMember(head.clock()))
	assert.False(t, r.shouldYieldForDisk(head.clock()), "another head would fare no better")
	assert.NoError(t, w.failure)
}

// With another head in between the scheduler has to begin anew.
func TestAHeadThatComesBackAfterAnotherBeginsAnew(t *testing.T) {
	w := quick(t, 1)
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
	assert.Zero(t, r.head.headThrough, "the place in between was another's")
}

func TestAHeadThatMissedAViewBeginsAnew(t *testing.T) {
	w := quick(t, 1)
	r := w.head().process
	next := r.view.Next()
	next.Epoch++ // the one before may have had another head
	r.head.announced = false
	r.adoptView(w.head().clock(), next, "x")
	assert.Zero(t, r.head.headThrough)
}

func TestAHeadKeepsItsPlaceOverAViewOfItsOwn(t *testing.T) {
	w := quick(t, 1)
	r := w.head().process
	r.head.announced = false
	r.adoptView(w.head().clock(), r.view.Next(), "x")
	assert.Equal(t, r.view.Epoch+1, r.head.headThrough)
}

// Its heartbeats still reach the others, who would grant them for ever.
func TestAHeadThatHearsNobodyLetsOthersTakeOver(t *testing.T) {
	w := newWorld(1, 3, 0, 1) // idle: nobody is dropped for an entry that is stuck
	w.settings = Config{Grant: quickGrant, HeartbeatEvery: quickHeartbeat, DropAfter: quickDrop, StallAfter: quickStall}
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
