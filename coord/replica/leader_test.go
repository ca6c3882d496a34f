package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// standLease is how long a head holds its lease, counted from a heartbeat.
const standLease = DefaultGrant * 9 / 10

// leader is a, at the head of a, b, c, with the lease; what it was sent before isn't kept.
func leader(t *testing.T) *stand {
	s := settled(t, standConfig("a"), chain.Log{}, "a", "b", "c")
	s.ack("b")
	require.True(t, s.isHead())
	return s
}

func TestLeaseNeedsAMajority(t *testing.T) {
	s := settled(t, standConfig("a"), chain.Log{}, "a", "b", "c")
	require.False(t, s.isHead(), "its own grant is no majority")
	sent := s.now
	s.ack("b")
	require.True(t, s.isHead())
	s.now = sent + standLease - time.Nanosecond
	require.True(t, s.isHead())
	s.now++
	assert.False(t, s.isHead())
}

func TestLeaseIsCountedFromTheSending(t *testing.T) {
	s := settled(t, standConfig("a"), chain.Log{}, "a", "b", "c")
	sent := s.now
	sequence := s.lastBeat("b").Sequence
	s.now += 500 * time.Millisecond // all steps in between are missing: it stood still
	s.ackOf("b", sequence)
	require.True(t, s.isHead())
	s.now = sent + standLease
	assert.False(t, s.isHead())
}

func TestRefusedGrantIsNone(t *testing.T) {
	s := settled(t, standConfig("a"), chain.Log{}, "a", "b", "c")
	ack := &view.HeartbeatAck{Sequence: s.lastBeat("b").Sequence}
	s.receive("b", &Message{HeartbeatAck: ack})
	assert.False(t, s.isHead())
}

func TestGrantsOfAnotherLifeDontCount(t *testing.T) {
	s := settled(t, standConfig("a"), chain.Log{}, "a", "b", "c")
	sequence := s.lastBeat("b").Sequence
	for _, other := range []uint64{0, 1, sequence - 1, sequence + 1, sequence + 1<<sequenceBits, sequence - 1<<sequenceBits} {
		s.ackOf("b", other)
		require.False(t, s.isHead(), "grant of heartbeat %x, %x was sent", other, sequence)
	}
}

func TestOnlyVotersGrant(t *testing.T) {
	s := settled(t, standConfig("a"), chain.Log{}, "a", "b", "c")
	s.ackOf("d", s.lastBeat("b").Sequence)
	assert.False(t, s.isHead())
}

func TestHeadWaitsForItsViewOnDisk(t *testing.T) {
	s := resumed(t, standConfig("a"), Persisted{View: standView(standEpoch-1, "x", "y", "z")})
	s.now += standLength
	s.learn(standView(standEpoch, "a", "b", "c"))
	s.ack("b")
	require.False(t, s.isHead())
	require.ErrorIs(t, s.core.CanPropose(s.now), ErrNotHead)
	s.sync()
	assert.True(t, s.isHead())
}

// What its earlier life has sent in this epoch isn't known any more: it stands anew, in a ballot that its earlier life can't have used.
func TestRestartedHeadDoesNotLead(t *testing.T) {
	s := resumed(t, standConfig("a"), Persisted{View: standView(standEpoch, "a", "b", "c")})
	s.step(Tick{})
	sent := s.drain()
	assert.Empty(t, collect(sent, func(m *Message) *view.Heartbeat { return m.Heartbeat }))
	prepares := collect(sent, func(m *Message) *view.Prepare { return m.Prepare })
	require.NotEmpty(t, prepares)
	assert.Positive(t, prepares[0].Ballot.Round)
	s.ackOf("b", s.core.heartbeatBase+1)
	s.ackOf("c", s.core.heartbeatBase+1)
	assert.False(t, s.isHead())
}

func TestHeadThatProposesHasAbdicated(t *testing.T) {
	s := leader(t)
	s.receive("c", &Message{Leave: &view.LeaveNotice{Sequence: 1}})
	s.after(DefaultGrant / 2) // till no one can read at c
	require.NotEmpty(t, s.accepts(), "the view without c")
	require.Less(t, s.now, standStart+2*standLength+standLease)
	assert.False(t, s.isHead())
	assert.Error(t, s.core.CanPropose(s.now))
	s.after(DefaultHeartbeatEvery)
	assert.Empty(t, s.beats(), "it prolongs nothing")
	_, ok := s.core.ReadIndex(s.now)
	assert.False(t, ok)
}

func TestHeadWithoutMajorityStepsDown(t *testing.T) {
	s := leader(t)
	for range DefaultGrant / DefaultHeartbeatEvery {
		s.after(DefaultHeartbeatEvery)
	}
	s.after(time.Millisecond)
	s.drain()
	for range 10 {
		s.after(DefaultGrant / 10)
	}
	sent := s.drain()
	assert.Empty(t, collect(sent, func(m *Message) *view.Heartbeat { return m.Heartbeat }))
	assert.NotEmpty(t, collect(sent, func(m *Message) *view.Prepare { return m.Prepare }))
}

func TestHeadKeepsItsOwnGrant(t *testing.T) {
	s := leader(t)
	s.now += DefaultGrant - time.Millisecond
	s.drain()
	s.prepare("c", 1)
	assert.False(t, s.promises()[0].OK)
}

// At the last moment at which it may go on without a majority it promises another, and must not grant itself any more.
func TestHeadThatPromisedDoesNotGrantItself(t *testing.T) {
	s := leader(t)
	s.now += DefaultGrant
	s.prepare("c", 1)
	s.sync()
	require.True(t, s.promises()[0].OK)
	s.receive("c", &Message{HeartbeatAck: &view.HeartbeatAck{Sequence: s.core.head.lease.Sent(s.now), Granted: true}})
	assert.False(t, s.isHead(), "c alone is no majority")
}

func TestLeaseEndsWithThePlace(t *testing.T) {
	s := leader(t)
	s.learn(standView(standEpoch+1, "b", "a", "c"))
	s.sync()
	require.False(t, s.isHead())
	s.learn(standView(standEpoch+2, "a", "b", "c"))
	s.sync()
	assert.False(t, s.isHead(), "the lease of an earlier time as head is over")
}

func TestNothingIsCommittedWithoutTheLease(t *testing.T) {
	s := leader(t)
	lease := s.now + standLease
	_, out, err := s.core.Propose(s.now, [][]byte{[]byte("x")})
	require.NoError(t, err)
	s.take(out)
	s.sync()
	s.now = lease
	s.chainAck(1)
	assert.Empty(t, s.applied)
	assert.Error(t, s.core.CanPropose(s.now))
	s.after(DefaultHeartbeatEvery / 2)
	s.ack("b")
	assert.Len(t, s.applied, 1, "it has the lease again")
}

// chainAck lets the successor open its session and acknowledge an index.
func (s *stand) chainAck(index uint64) {
	var empty chain.Log
	s.receive("b", &Message{Chain: &chain.Body{Hello: &chain.Hello{Session: 1, Runs: empty.Runs()}}})
	s.receive("b", &Message{Chain: &chain.Body{Ack: &chain.Ack{Session: 1, Index: index, Stored: index}}})
}

func TestNothingIsCommittedOnTooFewDisks(t *testing.T) {
	cfg := standConfig("a")
	s := settled(t, cfg, logOf(standEpoch-1, 3), "a")
	require.True(t, s.isHead(), "it is the only voter")
	s.step(Tick{})
	assert.Empty(t, s.applied, "one disk of two")
	assert.ErrorIs(t, s.core.CanPropose(s.now), ErrChainTooShort)
}

func TestHeadIsAnnouncedWithAllThatItInherited(t *testing.T) {
	s := settled(t, standConfig("a"), logOf(standEpoch-1, 3), "a", "b", "c")
	s.ack("b")
	require.True(t, s.isHead())
	require.NotContains(t, s.events, Event(BecameHead{Epoch: standEpoch}))
	index, ok := s.core.ReadIndex(s.now)
	require.True(t, ok)
	require.Equal(t, uint64(3), index, "its predecessor may have acknowledged all of it")
	s.chainAck(3)
	require.Contains(t, s.events, Event(BecameHead{Epoch: standEpoch}))
	s.now += standLease
	s.step(Tick{})
	assert.Contains(t, s.events, Event(LostHead{Epoch: standEpoch, Cause: Cause{Kind: CauseLease, Silence: standLease}}))
}

func TestHeadReadsWhatItHasCommitted(t *testing.T) {
	s := leader(t)
	_, out, err := s.core.Propose(s.now, [][]byte{[]byte("x"), []byte("y")})
	require.NoError(t, err)
	s.take(out)
	s.sync()
	s.chainAck(1)
	index, ok := s.core.ReadIndex(s.now)
	require.True(t, ok)
	assert.Equal(t, uint64(1), index)
}

func TestPermissionEndsWithTheLease(t *testing.T) {
	s := leader(t)
	lease := s.now + standLease
	s.ack("c")
	s.after(DefaultHeartbeatEvery)
	require.Equal(t, DefaultGrant/readGrantDivisor, s.lastBeat("c").ReadFor, "no longer than this even so")
	s.after(DefaultHeartbeatEvery)
	s.after(DefaultHeartbeatEvery)
	beat := s.lastBeat("c")
	require.NotZero(t, beat.Echo)
	require.Equal(t, lease-s.now, beat.ReadFor)
	require.Less(t, beat.ReadFor, DefaultGrant/readGrantDivisor)
	s.now = lease
	s.step(Tick{})
	s.after(DefaultHeartbeatEvery)
	beat = s.lastBeat("c")
	assert.Zero(t, beat.Echo)
	assert.Zero(t, beat.ReadFor)
}

func TestNoPermissionWithoutAnEcho(t *testing.T) {
	s := leader(t)
	s.after(DefaultHeartbeatEvery)
	assert.Zero(t, s.lastBeat("c").ReadFor, "c hasn't been heard")
}

func TestNoPermissionForALeaver(t *testing.T) {
	s := leader(t)
	s.ack("c")
	s.core.peer("c", s.now).leaving = true
	s.after(DefaultHeartbeatEvery)
	assert.Zero(t, s.lastBeat("c").ReadFor)
}

func TestNoPermissionWhileWritesAreStuck(t *testing.T) {
	s := leaderWithEntry(t)
	for range 3 {
		s.after(DefaultHeartbeatEvery)
		s.ack("b")
		s.ack("c")
	}
	s.after(DefaultHeartbeatEvery)
	assert.Zero(t, s.lastBeat("c").ReadFor)
}

// patient is a config whose head drops a silent member before its permission is over, if nothing else keeps it.
func impatient(id view.ReplicaID) Config {
	cfg := standConfig(id)
	cfg.DropAfter = 100 * time.Millisecond
	return cfg
}

func TestTailIsDroppedAfterItsPermission(t *testing.T) {
	s := settled(t, impatient("a"), chain.Log{}, "a", "b", "c")
	for range 4 {
		s.ack("b")
		s.ack("c")
		s.after(DefaultHeartbeatEvery)
	}
	heard := s.now
	s.ack("b")
	s.ack("c")
	s.after(DefaultHeartbeatEvery)
	until := heard + s.lastBeat("c").ReadFor
	require.Equal(t, heard+DefaultGrant/readGrantDivisor, until)
	for s.now < until-DefaultHeartbeatEvery/5 {
		s.ack("b")
		s.after(DefaultHeartbeatEvery / 5)
		require.Empty(t, collect(s.sent, func(m *Message) *view.Accept { return m.Accept }), "c may answer till %v", until-s.now)
	}
	s.now = until
	s.ack("b")
	s.after(reconcileInterval)
	accepts := s.accepts()
	require.NotEmpty(t, accepts, "its silence doesn't prolong it")
	assert.False(t, accepts[0].Value.InChain("c"))
}

// The tail of the epoch before may have had its permission, whoever gave it, and not have heard that another is the tail.
func TestEarlierTailIsDroppedAfterItsPermission(t *testing.T) {
	s := settled(t, impatient("a"), chain.Log{}, "a", "b", "c")
	learnt := s.now
	for s.now < learnt+DefaultGrant/readGrantDivisor-reconcileInterval {
		s.ack("c")
		s.after(reconcileInterval)
		require.Empty(t, collect(s.sent, func(m *Message) *view.Accept { return m.Accept }), "b may have been the tail")
	}
	s.now = learnt + DefaultGrant/readGrantDivisor
	s.ack("c")
	s.after(reconcileInterval)
	assert.NotEmpty(t, s.accepts())
}

// Neither its word nor a new disk at its address says that the tail has stopped: both may be about an earlier life.
func TestTailIsDroppedAfterItsPermissionWhateverIsSaid(t *testing.T) {
	news := map[string]func(s *stand){
		"leave": func(s *stand) { s.receive("c", &Message{Leave: &view.LeaveNotice{Sequence: 1}}) },
		"disk": func(s *stand) {
			from := view.Member{ID: "new", Address: standMember("c").Address}
			s.step(Receive{&Message{From: from, Viewless: true, Join: &view.Join{Sequence: 1}}})
		},
	}
	for name, tell := range news {
		s := leader(t)
		for range 4 {
			s.after(DefaultHeartbeatEvery)
			s.ack("b")
			s.ack("c")
		}
		s.after(DefaultHeartbeatEvery)
		require.NotZero(t, s.lastBeat("c").ReadFor)
		tell(s)
		s.after(reconcileInterval)
		require.Empty(t, s.accepts(), name)
		for range 4 {
			s.after(DefaultHeartbeatEvery)
			s.ack("b")
		}
		assert.NotEmpty(t, s.accepts(), name)
	}
}

// While c is to go, its new disk doesn't come in: it would take the vote of a member.
func TestNobodyComesInBeforeAMemberHasGone(t *testing.T) {
	s := leader(t)
	newcomer := view.Member{ID: "new", Address: standMember("c").Address}
	say := func(m *Message) {
		m.From, m.Epoch = newcomer, standEpoch
		s.step(Receive{m})
	}
	say(&Message{Join: &view.Join{Sequence: 1}})
	var empty chain.Log
	say(&Message{Chain: &chain.Body{Hello: &chain.Hello{Session: 9, Runs: empty.Runs()}}})
	s.step(Tick{})
	for range 10 {
		s.after(reconcileInterval)
		s.ack("b")
		say(&Message{Join: &view.Join{Sequence: 2}})
	}
	accepts := s.accepts()
	require.NotEmpty(t, accepts)
	for _, member := range accepts[0].Value.Chain {
		assert.True(t, accepts[0].Value.IsVoter(member.ID), "%s is a member without a vote", member.ID)
	}
}

func TestOnlyTheFirstLeads(t *testing.T) {
	for _, id := range []view.ReplicaID{"b", "c", "d"} {
		s := settled(t, standConfig(id), chain.Log{}, "a", "b", "c")
		s.step(Tick{})
		assert.Empty(t, s.beats(), "%s isn't the head", id)
	}
}

// The lease of the epoch before lasts, but nothing is permitted in an epoch that the disk doesn't know.
func TestNoPermissionBeforeTheViewIsOnDisk(t *testing.T) {
	s := leader(t)
	s.learn(standView(standEpoch+1, "a", "b", "c"))
	s.ack("c")
	s.after(DefaultHeartbeatEvery)
	require.Zero(t, s.lastBeat("c").Echo)
	s.sync()
	require.True(t, s.isHead())
	s.after(DefaultHeartbeatEvery)
	assert.NotZero(t, s.lastBeat("c").Echo)
}

// A head that hears one other of four, but may be heard by all, must not make itself and that one the only members.
func TestHeadThatHearsNoMajorityProposesNothing(t *testing.T) {
	s := settled(t, standConfig("a"), chain.Log{}, "a", "b", "c", "d", "e")
	for _, id := range []view.ReplicaID{"b", "c", "d", "e"} {
		s.ack(id)
	}
	heard := s.now
	for s.now < heard+DefaultDropAfter {
		s.after(10 * time.Millisecond)
		s.ackOf("b", s.lastBeat("b").Sequence)
	}
	s.core.head.reconcileAt = s.now // it looks while it still has the lease
	s.after(10 * time.Millisecond)
	require.True(t, s.isHead())
	assert.Empty(t, s.accepts())
}

// A head whose disk hangs before it has the view can't propose another one: it must not keep the others from it.
func TestHeadWhoseDiskHangsStepsDown(t *testing.T) {
	s := leader(t)
	s.learn(standView(standEpoch+1, "a", "b", "c"))
	for range 5 {
		s.ack("b")
		s.ack("c")
		s.after(DefaultHeartbeatEvery)
	}
	require.Less(t, s.core.viewLearnedAt+DefaultDropAfter, s.now)
	s.drain()
	for range 20 {
		s.after(DefaultHeartbeatEvery)
	}
	assert.Empty(t, s.drain(), "it neither beats nor stands")
}

// The middle one dies with an entry that it has synced and the tail never got: it is dropped, and the tail, which lacks the entry, stays.
func TestTailIsNotToBlameForADeadMiddle(t *testing.T) {
	s := leaderWithEntry(t)
	synced := &view.HeartbeatAck{Sequence: s.lastBeat("b").Sequence, Granted: true, Received: 1, Synced: 1}
	s.receive("b", &Message{HeartbeatAck: synced})
	for s.now = s.now + time.Millisecond; len(collect(s.sent, func(m *Message) *view.Accept { return m.Accept })) == 0; {
		s.ackOf("c", s.lastBeat("c").Sequence)
		s.after(DefaultHeartbeatEvery)
		require.Less(t, s.now, standStart+2*standLength+DefaultGrant, "nobody is dropped")
	}
	next := s.accepts()[0].Value
	assert.False(t, next.InChain("b"))
	assert.True(t, next.InChain("c"))
}

// leaderWithEntry is a leader that has an entry on its own disk and on no other yet.
func leaderWithEntry(t *testing.T) *stand {
	t.Helper()
	s := leader(t)
	_, out, err := s.core.Propose(s.now, [][]byte{[]byte("x")})
	require.NoError(t, err)
	s.take(out)
	s.sync()
	return s
}

// Where answers of others are lost now and then, a stalled disk is found out all the same: whoever has the entry has nobody to wait for.
func TestAStalledDiskIsNotExcusedByOthersSilence(t *testing.T) {
	s := leaderWithEntry(t)
	began := s.now
	for beat := 0; len(collect(s.sent, func(m *Message) *view.Accept { return m.Accept })) == 0; beat++ {
		require.Less(t, s.now, began+2*DefaultDropAfter, "nobody is dropped")
		stalled := &view.HeartbeatAck{Sequence: s.lastBeat("b").Sequence, Granted: true, Received: 1}
		s.receive("b", &Message{HeartbeatAck: stalled})
		if beat%(quietHeartbeats+2) == 0 {
			s.ackOf("c", s.lastBeat("c").Sequence)
		}
		s.after(DefaultHeartbeatEvery)
	}
	next := s.accepts()[0].Value
	assert.False(t, next.InChain("b"))
	assert.True(t, next.InChain("c"))
}

// Nor do lost answers of its own excuse it for ever: each counts for as long as the silence lasted.
func TestAStalledDiskIsExcusedByItsOwnSilenceForAsLongAsThatLasted(t *testing.T) {
	s := leaderWithEntry(t)
	began := s.now
	const quietBeats = quietHeartbeats + 2
	for beat := 0; len(collect(s.sent, func(m *Message) *view.Accept { return m.Accept })) == 0; beat++ {
		require.Less(t, s.now, began+quietBeats*DefaultDropAfter, "nobody is dropped")
		if beat%quietBeats < 2 {
			stalled := &view.HeartbeatAck{Sequence: s.lastBeat("b").Sequence, Granted: true, Received: 1}
			s.receive("b", &Message{HeartbeatAck: stalled})
		}
		s.ackOf("c", s.lastBeat("c").Sequence)
		s.after(DefaultHeartbeatEvery)
	}
	next := s.accepts()[0].Value
	assert.False(t, next.InChain("b"))
	assert.True(t, next.InChain("c"))
	assert.Greater(t, s.now, began+DefaultDropAfter+quietBeats*DefaultHeartbeatEvery/2, "its silence counts")
}
