package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// tail is c of a chain a, b, c.
func tail(t *testing.T) *stand { return settled(t, standConfig("c"), chain.Log{}, "a", "b", "c") }

// permit lets the head's heartbeats permit reads and gives when the echoed one was acknowledged.
func (s *stand) permit(readFor time.Duration) time.Duration {
	s.beat("a", view.Heartbeat{Sequence: 1})
	acknowledged := s.now
	s.now += DefaultHeartbeatEvery
	s.beat("a", view.Heartbeat{Sequence: 2, Echo: 1, ReadFor: readFor})
	return acknowledged
}

func TestTailReadsAsLongAsItMay(t *testing.T) {
	const readFor = 300 * time.Millisecond
	s := tail(t)
	require.False(t, s.isTail())
	until := s.permit(readFor) + readFor*9/10
	require.True(t, s.isTail())
	s.now = until - time.Nanosecond
	require.True(t, s.isTail())
	s.now = until
	assert.False(t, s.isTail())
}

func TestPermissionNeedsItsEcho(t *testing.T) {
	s := tail(t)
	s.beat("a", view.Heartbeat{Sequence: 3, Echo: 2, ReadFor: time.Minute})
	require.False(t, s.isTail(), "it hasn't acknowledged 2 in this life")
	s.beat("a", view.Heartbeat{Sequence: 4, ReadFor: time.Minute})
	assert.False(t, s.isTail(), "nothing is echoed")
}

func TestLateHeartbeatProlongsNothing(t *testing.T) {
	s := tail(t)
	until := s.permit(time.Second) + time.Second*9/10
	s.now = until - time.Millisecond
	s.beat("a", view.Heartbeat{Sequence: 1})
	s.beat("a", view.Heartbeat{Sequence: 2, Echo: 1, ReadFor: time.Second})
	s.now = until
	assert.False(t, s.isTail())
}

func TestLeaverStopsToRead(t *testing.T) {
	s := tail(t)
	s.permit(time.Second)
	require.True(t, s.isTail())
	s.step(Leave{})
	require.False(t, s.isTail())
	s.beat("a", view.Heartbeat{Sequence: 3, Echo: 2, ReadFor: time.Second})
	assert.False(t, s.isTail())
}

func TestPermissionEndsWithTheView(t *testing.T) {
	s := tail(t)
	s.permit(time.Second)
	s.learn(standView(standEpoch+1, "a", "c"))
	require.False(t, s.isTail())
	s.sync()
	assert.False(t, s.isTail())
}

func TestTailWaitsForItsViewOnDisk(t *testing.T) {
	s := resumed(t, standConfig("c"), Persisted{View: standView(standEpoch-1, "x", "y", "z")})
	s.now += standLength
	s.learn(standView(standEpoch, "a", "b", "c"))
	s.permit(time.Second)
	require.False(t, s.isTail())
	s.sync()
	assert.True(t, s.isTail())
}

func TestOnlyTheTailReads(t *testing.T) {
	s := settled(t, standConfig("b"), chain.Log{}, "a", "b", "c")
	s.permit(time.Second)
	assert.False(t, s.isTail())
}

func TestTailOfOneNeedsTheLease(t *testing.T) {
	s := settled(t, standConfig("a"), chain.Log{}, "a", "b", "c")
	v := standView(standEpoch+1, "a", "b", "c")
	v.Chain = v.Chain[:1]
	s.learn(v)
	s.sync()
	s.core.tail.readUntil = s.now + time.Hour
	require.False(t, s.isTail(), "no lease")
	s.ack("b")
	require.True(t, s.isTail())
	s.now += standLease
	assert.False(t, s.isTail())
}

// A tail that has just started knows only what its disk says until its predecessor has told it more.
func TestRestartedTailWaitsForItsPredecessor(t *testing.T) {
	s := resumed(t, standConfig("c"), Persisted{View: standView(standEpoch, "a", "b", "c"), Log: logOf(standEpoch, 3)})
	s.permit(time.Second)
	require.True(t, s.isTail())
	_, ok := s.core.ReadIndex(s.now)
	require.False(t, ok, "b hasn't said how its log goes on")
	entries, _ := s.core.chain.Log().Slice(3, 1<<20)
	s.receive("b", &Message{Chain: &chain.Body{Append: &chain.Append{Session: s.session(), Start: true, Prev: 2, PrevEpoch: standEpoch,
		Target: 3, Entries: entries}}})
	index, ok := s.core.ReadIndex(s.now)
	require.True(t, ok)
	require.Equal(t, uint64(3), index, "all that it holds may have been acknowledged")
	assert.Empty(t, s.applied, "but isn't known to be committed")
}

// session is the one that was opened last with the predecessor.
func (s *stand) session() uint64 {
	session := uint64(0)
	for _, m := range s.sent {
		if m.Chain != nil && m.Chain.Hello != nil {
			session = m.Chain.Hello.Session
		}
	}
	return session
}

// A machine that has another address than its place in the chain isn't that member.
func TestMovedMachineHasNoPlace(t *testing.T) {
	cfg := standConfig("a")
	cfg.Self.Address = "elsewhere:1"
	s := settled(t, cfg, chain.Log{}, "a", "b", "c")
	s.step(Tick{})
	assert.Empty(t, collect(s.sent, func(m *Message) *view.Heartbeat { return m.Heartbeat }))
	assert.False(t, s.isHead())
}
