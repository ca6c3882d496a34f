package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// newTail returns replica c of the chain a, b, c.
func newTail(t *testing.T) *harness {
	return newSettled(t, testConfig("c"), chain.Log{}, "a", "b", "c")
}

// permitReads lets the head's heartbeats permit reads and returns when the echoed heartbeat was acknowledged.
func (s *harness) permitReads(readFor time.Duration) time.Duration {
	s.heartbeat("a", view.Heartbeat{Sequence: 1})
	acknowledged := s.now
	s.now += DefaultHeartbeatEvery
	s.heartbeat("a", view.Heartbeat{Sequence: 2, Echo: 1, ReadFor: readFor})
	return acknowledged
}

func TestTailReadsForItsPermission(t *testing.T) {
	const readFor = 300 * time.Millisecond
	s := newTail(t)
	require.False(t, s.isTail())
	until := s.permitReads(readFor) + readFor*9/10
	require.True(t, s.isTail())
	s.now = until - time.Nanosecond
	require.True(t, s.isTail())
	s.now = until
	assert.False(t, s.isTail())
}

func TestReadPermissionNeedsItsEcho(t *testing.T) {
	s := newTail(t)
	s.heartbeat("a", view.Heartbeat{Sequence: 3, Echo: 2, ReadFor: time.Minute})
	require.False(t, s.isTail(), "it hasn't acknowledged heartbeat 2 in this incarnation")
	s.heartbeat("a", view.Heartbeat{Sequence: 4, ReadFor: time.Minute})
	assert.False(t, s.isTail(), "nothing is echoed")
}

func TestLateHeartbeatDoesNotExtendPermission(t *testing.T) {
	s := newTail(t)
	until := s.permitReads(time.Second) + time.Second*9/10
	s.now = until - time.Millisecond
	s.heartbeat("a", view.Heartbeat{Sequence: 1})
	s.heartbeat("a", view.Heartbeat{Sequence: 2, Echo: 1, ReadFor: time.Second})
	s.now = until
	assert.False(t, s.isTail())
}

func TestLeaverStopsReading(t *testing.T) {
	s := newTail(t)
	s.permitReads(time.Second)
	require.True(t, s.isTail())
	s.step(Leave{})
	require.False(t, s.isTail())
	s.heartbeat("a", view.Heartbeat{Sequence: 3, Echo: 2, ReadFor: time.Second})
	assert.False(t, s.isTail())
}

func TestReadPermissionEndsWithTheView(t *testing.T) {
	s := newTail(t)
	s.permitReads(time.Second)
	s.receiveView(testView(testEpoch+1, "a", "c"))
	require.False(t, s.isTail())
	s.sync()
	assert.False(t, s.isTail())
}

func TestTailWaitsForItsViewOnDisk(t *testing.T) {
	s := newRestarted(t, testConfig("c"), Persisted{View: testView(testEpoch-1, "x", "y", "z")})
	s.now += pastAllGrants
	s.receiveView(testView(testEpoch, "a", "b", "c"))
	s.permitReads(time.Second)
	require.False(t, s.isTail())
	s.sync()
	assert.True(t, s.isTail())
}

func TestOnlyTheTailReads(t *testing.T) {
	s := newSettled(t, testConfig("b"), chain.Log{}, "a", "b", "c")
	s.permitReads(time.Second)
	assert.False(t, s.isTail())
}

func TestTailOfOneNeedsTheLease(t *testing.T) {
	s := newSettled(t, testConfig("a"), chain.Log{}, "a", "b", "c")
	v := testView(testEpoch+1, "a", "b", "c")
	v.Chain = v.Chain[:1]
	s.receiveView(v)
	s.sync()
	s.core.tail.readUntil = s.now + time.Hour
	require.False(t, s.isTail(), "no lease")
	s.ack("b")
	require.True(t, s.isTail())
	s.now += testLease
	assert.False(t, s.isTail())
}

// A tail that has just started knows only what its disk holds, until its predecessor has told it how the log goes on.
func TestRestartedTailWaitsForItsPredecessor(t *testing.T) {
	s := newRestarted(t, testConfig("c"), Persisted{View: testView(testEpoch, "a", "b", "c"), Log: testLog(testEpoch, 3)})
	s.permitReads(time.Second)
	require.True(t, s.isTail())
	_, ok := s.core.ReadIndex(s.now)
	require.False(t, ok, "b hasn't said how its log goes on")
	entries, _ := s.core.chain.Log().Slice(3, 1<<20)
	s.receive("b", &Message{Chain: &chain.Body{Append: &chain.Append{Session: s.lastSession(), Start: true, Prev: 2, PrevEpoch: testEpoch,
		Target: 3, Entries: entries}}})
	index, ok := s.core.ReadIndex(s.now)
	require.True(t, ok)
	require.Equal(t, uint64(3), index, "all that it holds may have been acknowledged")
	assert.Empty(t, s.applied, "but isn't known to be committed")
}

// lastSession returns the session that was last opened with the predecessor.
func (s *harness) lastSession() uint64 {
	session := uint64(0)
	for _, m := range s.sent {
		if m.Chain != nil && m.Chain.Hello != nil {
			session = m.Chain.Hello.Session
		}
	}
	return session
}

// A machine whose address differs from that of its place in the chain isn't that member.
func TestMovedMachineHasNoPlace(t *testing.T) {
	cfg := testConfig("a")
	cfg.Self.Address = "elsewhere:1"
	s := newSettled(t, cfg, chain.Log{}, "a", "b", "c")
	s.step(Tick{})
	assert.Empty(t, collectMessages(s.sent, func(m *Message) *view.Heartbeat { return m.Heartbeat }))
	assert.False(t, s.isHead())
}
