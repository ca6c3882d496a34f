package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// testLease is how long a head holds its lease, counted from the sending of a heartbeat.
const testLease = DefaultGrant * 9 / 10

// newLeader returns replica a with the lease, at the head of the chain a, b, c.
func newLeader(t *testing.T) *harness {
	s := newSettled(t, testConfig("a"), chain.Log{}, "a", "b", "c")
	s.ack("b")
	require.True(t, s.isHead())
	return s
}

func TestLeaseNeedsAMajority(t *testing.T) {
	s := newSettled(t, testConfig("a"), chain.Log{}, "a", "b", "c")
	require.False(t, s.isHead(), "its own grant is no majority")
	sent := s.now
	s.ack("b")
	require.True(t, s.isHead())
	s.now = sent + testLease - time.Nanosecond
	require.True(t, s.isHead())
	s.now++
	assert.False(t, s.isHead())
}

func TestLeaseStartsAtSendTime(t *testing.T) {
	s := newSettled(t, testConfig("a"), chain.Log{}, "a", "b", "c")
	sent := s.now
	sequence := s.lastHeartbeat("b").Sequence
	s.now += 500 * time.Millisecond // without any step: the process stood still
	s.ackSequence("b", sequence)
	require.True(t, s.isHead())
	s.now = sent + testLease
	assert.False(t, s.isHead())
}

func TestRefusedGrantDoesNotCount(t *testing.T) {
	s := newSettled(t, testConfig("a"), chain.Log{}, "a", "b", "c")
	ack := &view.HeartbeatAck{Sequence: s.lastHeartbeat("b").Sequence}
	s.receive("b", &Message{HeartbeatAck: ack})
	assert.False(t, s.isHead())
}

func TestGrantsOfAnotherIncarnationDoNotCount(t *testing.T) {
	s := newSettled(t, testConfig("a"), chain.Log{}, "a", "b", "c")
	sequence := s.lastHeartbeat("b").Sequence
	for _, other := range []uint64{0, 1, sequence - 1, sequence + 1, sequence + 1<<sequenceBits, sequence - 1<<sequenceBits} {
		s.ackSequence("b", other)
		require.False(t, s.isHead(), "grant of heartbeat %x, %x was sent", other, sequence)
	}
}

func TestOnlyVotersGrant(t *testing.T) {
	s := newSettled(t, testConfig("a"), chain.Log{}, "a", "b", "c")
	s.ackSequence("d", s.lastHeartbeat("b").Sequence)
	assert.False(t, s.isHead())
}

func TestHeadWaitsForItsViewOnDisk(t *testing.T) {
	s := newRestarted(t, testConfig("a"), Persisted{View: testView(testEpoch-1, "x", "y", "z")})
	s.now += pastAllGrants
	s.receiveView(testView(testEpoch, "a", "b", "c"))
	s.ack("b")
	require.False(t, s.isHead())
	require.ErrorIs(t, s.core.CanPropose(s.now), ErrNotHead)
	s.sync()
	assert.True(t, s.isHead())
}

// A restarted head doesn't know what its earlier incarnation sent in this epoch. It starts an election, in a ballot that the earlier
// incarnation can't have used.
func TestRestartedHeadDoesNotLead(t *testing.T) {
	s := newRestarted(t, testConfig("a"), Persisted{View: testView(testEpoch, "a", "b", "c")})
	s.step(Tick{})
	sent := s.takeSent()
	assert.Empty(t, collectMessages(sent, func(m *Message) *view.Heartbeat { return m.Heartbeat }))
	prepares := collectMessages(sent, func(m *Message) *view.Prepare { return m.Prepare })
	require.NotEmpty(t, prepares)
	assert.Positive(t, prepares[0].Ballot.Round)
	s.ackSequence("b", s.core.heartbeatBase+1)
	s.ackSequence("c", s.core.heartbeatBase+1)
	assert.False(t, s.isHead())
}

func TestProposingHeadStepsDown(t *testing.T) {
	s := newLeader(t)
	s.receive("c", &Message{Leave: &view.LeaveNotice{Sequence: 1}})
	s.advance(DefaultGrant / 2) // until c can't answer reads any more
	require.NotEmpty(t, s.accepts(), "the view without c")
	require.Less(t, s.now, testStart+2*pastAllGrants+testLease)
	assert.False(t, s.isHead())
	assert.Error(t, s.core.CanPropose(s.now))
	s.advance(DefaultHeartbeatEvery)
	assert.Empty(t, s.heartbeats(), "it must not extend its lease")
	_, ok := s.core.ReadIndex(s.now)
	assert.False(t, ok)
}

func TestHeadWithoutMajorityStepsDown(t *testing.T) {
	s := newLeader(t)
	for range DefaultGrant / DefaultHeartbeatEvery {
		s.advance(DefaultHeartbeatEvery)
	}
	s.advance(time.Millisecond)
	s.takeSent()
	for range 10 {
		s.advance(DefaultGrant / 10)
	}
	sent := s.takeSent()
	assert.Empty(t, collectMessages(sent, func(m *Message) *view.Heartbeat { return m.Heartbeat }))
	assert.NotEmpty(t, collectMessages(sent, func(m *Message) *view.Prepare { return m.Prepare }))
}

func TestHeadKeepsItsOwnGrant(t *testing.T) {
	s := newLeader(t)
	s.now += DefaultGrant - time.Millisecond
	s.takeSent()
	s.prepare("c", 1)
	assert.False(t, s.promises()[0].OK)
}

// At the last moment at which the head may go on without a majority, it promises another candidate, and must not grant itself any more.
func TestHeadThatPromisedDoesNotGrantItself(t *testing.T) {
	s := newLeader(t)
	s.now += DefaultGrant
	s.prepare("c", 1)
	s.sync()
	require.True(t, s.promises()[0].OK)
	s.receive("c", &Message{HeartbeatAck: &view.HeartbeatAck{Sequence: s.core.head.lease.Sent(s.now), Granted: true}})
	assert.False(t, s.isHead(), "c alone is no majority")
}

func TestLeaseEndsWithLossOfHeadPlace(t *testing.T) {
	s := newLeader(t)
	s.receiveView(testView(testEpoch+1, "b", "a", "c"))
	s.sync()
	require.False(t, s.isHead())
	s.receiveView(testView(testEpoch+2, "a", "b", "c"))
	s.sync()
	assert.False(t, s.isHead(), "the lease of its earlier time as the head is over")
}

func TestNothingIsCommittedWithoutTheLease(t *testing.T) {
	s := newLeader(t)
	lease := s.now + testLease
	_, out, err := s.core.Propose(s.now, [][]byte{[]byte("x")})
	require.NoError(t, err)
	s.handleOutput(out)
	s.sync()
	s.now = lease
	s.chainAck(1)
	assert.Empty(t, s.applied)
	assert.Error(t, s.core.CanPropose(s.now))
	s.advance(DefaultHeartbeatEvery / 2)
	s.ack("b")
	assert.Len(t, s.applied, 1, "it has the lease again and commits")
}

// chainAck lets the successor open its session and acknowledge an index.
func (s *harness) chainAck(index uint64) {
	var empty chain.Log
	s.receive("b", &Message{Chain: &chain.Body{Hello: &chain.Hello{Session: 1, Runs: empty.Runs()}}})
	s.receive("b", &Message{Chain: &chain.Body{Ack: &chain.Ack{Session: 1, Index: index, Stored: index}}})
}

func TestNothingIsCommittedOnTooFewDisks(t *testing.T) {
	cfg := testConfig("a")
	s := newSettled(t, cfg, testLog(testEpoch-1, 3), "a")
	require.True(t, s.isHead(), "it is the only voter and needs no other grant")
	s.step(Tick{})
	assert.Empty(t, s.applied, "one disk of two")
	assert.ErrorIs(t, s.core.CanPropose(s.now), ErrChainTooShort)
}

func TestHeadIsAnnouncedAfterInheritedEntriesCommit(t *testing.T) {
	s := newSettled(t, testConfig("a"), testLog(testEpoch-1, 3), "a", "b", "c")
	s.ack("b")
	require.True(t, s.isHead())
	require.NotContains(t, s.events, Event(BecameHead{Epoch: testEpoch}))
	index, ok := s.core.ReadIndex(s.now)
	require.True(t, ok)
	require.Equal(t, uint64(3), index, "its predecessor may have acknowledged all three entries")
	s.chainAck(3)
	require.Contains(t, s.events, Event(BecameHead{Epoch: testEpoch}))
	s.now += testLease
	s.step(Tick{})
	assert.Contains(t, s.events, Event(LostHead{Epoch: testEpoch, Cause: Cause{Kind: CauseLease, Silence: testLease}}))
}

func TestHeadReadsWhatItHasCommitted(t *testing.T) {
	s := newLeader(t)
	_, out, err := s.core.Propose(s.now, [][]byte{[]byte("x"), []byte("y")})
	require.NoError(t, err)
	s.handleOutput(out)
	s.sync()
	s.chainAck(1)
	index, ok := s.core.ReadIndex(s.now)
	require.True(t, ok)
	assert.Equal(t, uint64(1), index)
}

func TestReadPermissionEndsWithLease(t *testing.T) {
	s := newLeader(t)
	lease := s.now + testLease
	s.ack("c")
	s.advance(DefaultHeartbeatEvery)
	require.Equal(t, DefaultGrant/readGrantDivisor, s.lastHeartbeat("c").ReadFor, "the permission is bounded even if the lease lasts longer")
	s.advance(DefaultHeartbeatEvery)
	s.advance(DefaultHeartbeatEvery)
	heartbeat := s.lastHeartbeat("c")
	require.NotZero(t, heartbeat.Echo)
	require.Equal(t, lease-s.now, heartbeat.ReadFor)
	require.Less(t, heartbeat.ReadFor, DefaultGrant/readGrantDivisor)
	s.now = lease
	s.step(Tick{})
	s.advance(DefaultHeartbeatEvery)
	heartbeat = s.lastHeartbeat("c")
	assert.Zero(t, heartbeat.Echo)
	assert.Zero(t, heartbeat.ReadFor)
}

func TestNoReadPermissionWithoutEcho(t *testing.T) {
	s := newLeader(t)
	s.advance(DefaultHeartbeatEvery)
	assert.Zero(t, s.lastHeartbeat("c").ReadFor, "c hasn't been heard")
}

func TestNoReadPermissionForLeaver(t *testing.T) {
	s := newLeader(t)
	s.ack("c")
	s.core.peer("c", s.now).leaving = true
	s.advance(DefaultHeartbeatEvery)
	assert.Zero(t, s.lastHeartbeat("c").ReadFor)
}

func TestNoReadPermissionWhileWritesAreStuck(t *testing.T) {
	s := newLeaderWithEntry(t)
	for range 3 {
		s.advance(DefaultHeartbeatEvery)
		s.ack("b")
		s.ack("c")
	}
	s.advance(DefaultHeartbeatEvery)
	assert.Zero(t, s.lastHeartbeat("c").ReadFor)
}

// earlyDropConfig returns a config with which a head drops a silent member before its read permission ends, unless something else
// prevents it.
func earlyDropConfig(id view.ReplicaID) Config {
	cfg := testConfig(id)
	cfg.DropAfter = 100 * time.Millisecond
	return cfg
}

func TestTailIsDroppedAfterItsReadPermission(t *testing.T) {
	s := newSettled(t, earlyDropConfig("a"), chain.Log{}, "a", "b", "c")
	for range 4 {
		s.ack("b")
		s.ack("c")
		s.advance(DefaultHeartbeatEvery)
	}
	heard := s.now
	s.ack("b")
	s.ack("c")
	s.advance(DefaultHeartbeatEvery)
	until := heard + s.lastHeartbeat("c").ReadFor
	require.Equal(t, heard+DefaultGrant/readGrantDivisor, until)
	for s.now < until-DefaultHeartbeatEvery/5 {
		s.ack("b")
		s.advance(DefaultHeartbeatEvery / 5)
		require.Empty(t, collectMessages(s.sent, func(m *Message) *view.Accept { return m.Accept }), "c may answer reads for another %v", until-s.now)
	}
	s.now = until
	s.ack("b")
	s.advance(reconcileInterval)
	accepts := s.accepts()
	require.NotEmpty(t, accepts, "its silence must not extend its permission")
	assert.False(t, accepts[0].Value.InChain("c"))
}

// The tail of the epoch before may hold a read permission, whichever head gave it, and may not know that another member is the tail now.
func TestEarlierTailIsDroppedAfterItsReadPermission(t *testing.T) {
	s := newSettled(t, earlyDropConfig("a"), chain.Log{}, "a", "b", "c")
	learned := s.now
	for s.now < learned+DefaultGrant/readGrantDivisor-reconcileInterval {
		s.ack("c")
		s.advance(reconcileInterval)
		require.Empty(t, collectMessages(s.sent, func(m *Message) *view.Accept { return m.Accept }), "b may have been the tail")
	}
	s.now = learned + DefaultGrant/readGrantDivisor
	s.ack("c")
	s.advance(reconcileInterval)
	assert.NotEmpty(t, s.accepts())
}

// Neither a leave notice of the tail nor a new disk at its address proves that it has stopped: both may concern an earlier incarnation.
func TestLeaveOrNewDiskDoesNotShortenReadPermission(t *testing.T) {
	events := map[string]func(s *harness){
		"leave": func(s *harness) { s.receive("c", &Message{Leave: &view.LeaveNotice{Sequence: 1}}) },
		"disk": func(s *harness) {
			from := view.Member{ID: "new", Address: testMember("c").Address}
			s.step(Receive{&Message{From: from, Viewless: true, Join: &view.Join{Sequence: 1}}})
		},
	}
	for name, act := range events {
		s := newLeader(t)
		for range 4 {
			s.advance(DefaultHeartbeatEvery)
			s.ack("b")
			s.ack("c")
		}
		s.advance(DefaultHeartbeatEvery)
		require.NotZero(t, s.lastHeartbeat("c").ReadFor)
		act(s)
		s.advance(reconcileInterval)
		require.Empty(t, s.accepts(), name)
		for range 4 {
			s.advance(DefaultHeartbeatEvery)
			s.ack("b")
		}
		assert.NotEmpty(t, s.accepts(), name)
	}
}

// While member c is about to be dropped, the new disk at its address isn't admitted: it would take the vote of a member.
func TestNoAdmissionBeforeReplacedMemberIsDropped(t *testing.T) {
	s := newLeader(t)
	newcomer := view.Member{ID: "new", Address: testMember("c").Address}
	say := func(m *Message) {
		m.From, m.Epoch = newcomer, testEpoch
		s.step(Receive{m})
	}
	say(&Message{Join: &view.Join{Sequence: 1}})
	var empty chain.Log
	say(&Message{Chain: &chain.Body{Hello: &chain.Hello{Session: 9, Runs: empty.Runs()}}})
	s.step(Tick{})
	for range 10 {
		s.advance(reconcileInterval)
		s.ack("b")
		say(&Message{Join: &view.Join{Sequence: 2}})
	}
	accepts := s.accepts()
	require.NotEmpty(t, accepts)
	for _, member := range accepts[0].Value.Chain {
		assert.True(t, accepts[0].Value.IsVoter(member.ID), "%s is a member without a vote", member.ID)
	}
}

func TestOnlyTheFirstInChainLeads(t *testing.T) {
	for _, id := range []view.ReplicaID{"b", "c", "d"} {
		s := newSettled(t, testConfig(id), chain.Log{}, "a", "b", "c")
		s.step(Tick{})
		assert.Empty(t, s.heartbeats(), "%s isn't the head", id)
	}
}

// Although the lease of the epoch before still runs, the head permits no reads in an epoch whose view isn't on its disk.
func TestNoReadPermissionBeforeViewIsOnDisk(t *testing.T) {
	s := newLeader(t)
	s.receiveView(testView(testEpoch+1, "a", "b", "c"))
	s.ack("c")
	s.advance(DefaultHeartbeatEvery)
	require.Zero(t, s.lastHeartbeat("c").Echo)
	s.sync()
	require.True(t, s.isHead())
	s.advance(DefaultHeartbeatEvery)
	assert.NotZero(t, s.lastHeartbeat("c").Echo)
}

// A head that hears only one of four others, but may be heard by all of them, must not reduce the chain to itself and that one.
func TestHeadThatHearsNoMajorityProposesNothing(t *testing.T) {
	s := newSettled(t, testConfig("a"), chain.Log{}, "a", "b", "c", "d", "e")
	for _, id := range []view.ReplicaID{"b", "c", "d", "e"} {
		s.ack(id)
	}
	heard := s.now
	for s.now < heard+DefaultDropAfter {
		s.advance(10 * time.Millisecond)
		s.ackSequence("b", s.lastHeartbeat("b").Sequence)
	}
	s.core.head.reconcileAt = s.now // reconcile while it still has the lease
	s.advance(10 * time.Millisecond)
	require.True(t, s.isHead())
	assert.Empty(t, s.accepts())
}

// A head whose disk hangs before it has stored the view can't propose another one. It must not keep the others from electing a new head.
func TestHeadWhoseDiskHangsStepsDown(t *testing.T) {
	s := newLeader(t)
	s.receiveView(testView(testEpoch+1, "a", "b", "c"))
	for range 5 {
		s.ack("b")
		s.ack("c")
		s.advance(DefaultHeartbeatEvery)
	}
	require.Less(t, s.core.viewLearnedAt+DefaultDropAfter, s.now)
	s.takeSent()
	for range 20 {
		s.advance(DefaultHeartbeatEvery)
	}
	assert.Empty(t, s.takeSent(), "it sends neither heartbeats nor ballots")
}

// The middle member dies with an entry that it has synced and the tail never received. The middle member is dropped, and the tail, which
// lacks the entry, stays.
func TestTailIsNotDroppedForDeadMiddle(t *testing.T) {
	s := newLeaderWithEntry(t)
	synced := &view.HeartbeatAck{Sequence: s.lastHeartbeat("b").Sequence, Granted: true, Received: 1, Synced: 1}
	s.receive("b", &Message{HeartbeatAck: synced})
	for s.now = s.now + time.Millisecond; len(collectMessages(s.sent, func(m *Message) *view.Accept { return m.Accept })) == 0; {
		s.ackSequence("c", s.lastHeartbeat("c").Sequence)
		s.advance(DefaultHeartbeatEvery)
		require.Less(t, s.now, testStart+2*pastAllGrants+DefaultGrant, "nobody is dropped")
	}
	next := s.accepts()[0].Value
	assert.False(t, next.InChain("b"))
	assert.True(t, next.InChain("c"))
}

// newLeaderWithEntry returns a leader with an entry that is on its own disk and on no other yet.
func newLeaderWithEntry(t *testing.T) *harness {
	t.Helper()
	s := newLeader(t)
	_, out, err := s.core.Propose(s.now, [][]byte{[]byte("x")})
	require.NoError(t, err)
	s.handleOutput(out)
	s.sync()
	return s
}

// If other members' answers get lost now and then, a stalled disk is detected all the same: a member that has received the entry waits
// for nobody.
func TestSilenceOfOthersDoesNotExcuseStalledDisk(t *testing.T) {
	s := newLeaderWithEntry(t)
	began := s.now
	for heartbeat := 0; len(collectMessages(s.sent, func(m *Message) *view.Accept { return m.Accept })) == 0; heartbeat++ {
		require.Less(t, s.now, began+2*DefaultDropAfter, "nobody is dropped")
		stalled := &view.HeartbeatAck{Sequence: s.lastHeartbeat("b").Sequence, Granted: true, Received: 1}
		s.receive("b", &Message{HeartbeatAck: stalled})
		if heartbeat%(quietHeartbeats+2) == 0 {
			s.ackSequence("c", s.lastHeartbeat("c").Sequence)
		}
		s.advance(DefaultHeartbeatEvery)
	}
	next := s.accepts()[0].Value
	assert.False(t, next.InChain("b"))
	assert.True(t, next.InChain("c"))
}

// Lost answers of its own don't excuse a stalled disk forever: each silence counts only for as long as it lasted.
func TestOwnSilenceExcusesStalledDiskOnlyForItsLength(t *testing.T) {
	s := newLeaderWithEntry(t)
	began := s.now
	const quietCount = quietHeartbeats + 2
	for heartbeat := 0; len(collectMessages(s.sent, func(m *Message) *view.Accept { return m.Accept })) == 0; heartbeat++ {
		require.Less(t, s.now, began+quietCount*DefaultDropAfter, "nobody is dropped")
		if heartbeat%quietCount < 2 {
			stalled := &view.HeartbeatAck{Sequence: s.lastHeartbeat("b").Sequence, Granted: true, Received: 1}
			s.receive("b", &Message{HeartbeatAck: stalled})
		}
		s.ackSequence("c", s.lastHeartbeat("c").Sequence)
		s.advance(DefaultHeartbeatEvery)
	}
	next := s.accepts()[0].Value
	assert.False(t, next.InChain("b"))
	assert.True(t, next.InChain("c"))
	assert.Greater(t, s.now, began+DefaultDropAfter+quietCount*DefaultHeartbeatEvery/2, "its silence must be taken into account")
}
