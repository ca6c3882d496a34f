package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// harness runs one core step by step, so that a test decides exactly which input it gets and when.
type harness struct {
	t       *testing.T
	core    *Replica
	now     time.Duration
	wake    time.Duration // when the core wants its next Tick
	token   uint64        // last token handed out
	records []Record
	sent    []*Message
	events  []Event
	applied []chain.Entry
	fault   error
}

const (
	testEpoch     = 5
	testStart     = 10 * time.Second
	pastAllGrants = 2 * time.Second // longer than all grants
)

func testMember(id view.ReplicaID) view.Member {
	return view.Member{ID: id, Address: string(id) + ":1"}
}

func testMembers(ids ...view.ReplicaID) []view.Member {
	var list []view.Member
	for _, id := range ids {
		list = append(list, testMember(id))
	}
	return list
}

// testView returns a view in which all voters are in the chain.
func testView(epoch uint64, ids ...view.ReplicaID) view.View {
	return view.View{Epoch: epoch, Voters: testMembers(ids...), Chain: testMembers(ids...)}
}

func testConfig(id view.ReplicaID) Config {
	return Config{Self: testMember(id), Tolerance: 1, Seed: 77}
}

// newRestarted returns a core that has just started from a disk.
func newRestarted(t *testing.T, cfg Config, disk Persisted) *harness {
	s := &harness{t: t, now: testStart}
	if cfg.Genesis == nil {
		disk.Identity = cfg.Self.ID
	}
	s.core = New(cfg, disk, s.now)
	return s
}

// newSettled returns a core that started long ago in the epoch before, and has just learned the view of testEpoch, which is on its disk.
func newSettled(t *testing.T, cfg Config, log chain.Log, ids ...view.ReplicaID) *harness {
	s := newRestarted(t, cfg, Persisted{View: testView(testEpoch-1, "x", "y", "z"), Log: log})
	s.now += pastAllGrants
	s.receiveView(testView(testEpoch, ids...))
	s.sync()
	return s
}

func (s *harness) step(in Input) {
	s.t.Helper()
	s.handleOutput(s.core.Step(s.now, in))
}

func (s *harness) handleOutput(out Output) {
	for _, envelope := range out.Send {
		s.sent = append(s.sent, envelope.Message)
	}
	s.records = append(s.records, out.Persist...)
	s.token = max(s.token, out.Token)
	s.wake = out.Wake
	s.events = append(s.events, out.Events...)
	s.applied = append(s.applied, out.Committed...)
	if s.fault == nil {
		s.fault = out.Fault
	}
}

// advance lets time pass and sends each Tick when it is due: a later one would be a pause of the replica itself.
func (s *harness) advance(length time.Duration) {
	for end := s.now + length; ; {
		s.now = min(max(s.wake, s.now), end)
		s.step(Tick{})
		if s.now == end {
			return
		}
	}
}

// sync reports that everything is on disk.
func (s *harness) sync() {
	for s.core.syncedToken < s.token {
		s.step(Synced{Token: s.token})
	}
}

// receiveView hands in a view.
func (s *harness) receiveView(v view.View) {
	s.step(Receive{&Message{From: testMember("other"), Epoch: v.Epoch, View: &v}})
}

// receive hands in a message of the core's epoch.
func (s *harness) receive(from view.ReplicaID, m *Message) {
	m.Epoch = s.core.View().Epoch
	s.receiveUnchanged(from, m)
}

func (s *harness) receiveUnchanged(from view.ReplicaID, m *Message) {
	m.From, m.To = testMember(from), s.core.Self().ID
	s.step(Receive{m})
}

func (s *harness) heartbeat(from view.ReplicaID, heartbeat view.Heartbeat) {
	s.receive(from, &Message{Heartbeat: &heartbeat})
}

func (s *harness) prepare(from view.ReplicaID, round uint64) view.Ballot {
	ballot := view.Ballot{Round: round, Owner: from, Life: 1}
	s.receive(from, &Message{Prepare: &view.Prepare{Ballot: ballot}})
	return ballot
}

func (s *harness) accept(from view.ReplicaID, round uint64, value view.View) view.Ballot {
	ballot := view.Ballot{Round: round, Owner: from, Life: 1}
	s.receive(from, &Message{Accept: &view.Accept{Ballot: ballot, Value: value}})
	return ballot
}

// ack acknowledges the last heartbeat that was sent to a member.
func (s *harness) ack(from view.ReplicaID) uint64 {
	s.t.Helper()
	sequence := s.lastHeartbeat(from).Sequence
	s.ackSequence(from, sequence)
	return sequence
}

func (s *harness) ackSequence(from view.ReplicaID, sequence uint64) {
	s.receive(from, &Message{HeartbeatAck: &view.HeartbeatAck{Sequence: sequence, Granted: true}})
}

// lastHeartbeat returns the last heartbeat that was sent to a member.
func (s *harness) lastHeartbeat(to view.ReplicaID) *view.Heartbeat {
	s.t.Helper()
	var last *view.Heartbeat
	for _, m := range s.sent {
		if m.To == to && m.Heartbeat != nil {
			last = m.Heartbeat
		}
	}
	require.NotNil(s.t, last, "no heartbeat to %s", to)
	return last
}

// takeSent returns the messages sent since the last call, and forgets them.
func (s *harness) takeSent() []*Message {
	sent := s.sent
	s.sent = nil
	return sent
}

func (s *harness) promises() []*view.Promise {
	return collectMessages(s.takeSent(), func(m *Message) *view.Promise { return m.Promise })
}

func (s *harness) acceptedReplies() []*view.Accepted {
	return collectMessages(s.takeSent(), func(m *Message) *view.Accepted { return m.Accepted })
}

func (s *harness) acks() []*view.HeartbeatAck {
	return collectMessages(s.takeSent(), func(m *Message) *view.HeartbeatAck { return m.HeartbeatAck })
}

func (s *harness) heartbeats() []*view.Heartbeat {
	return collectMessages(s.takeSent(), func(m *Message) *view.Heartbeat { return m.Heartbeat })
}

func (s *harness) prepares() []*view.Prepare {
	return collectMessages(s.takeSent(), func(m *Message) *view.Prepare { return m.Prepare })
}

func (s *harness) accepts() []*view.Accept {
	return collectMessages(s.takeSent(), func(m *Message) *view.Accept { return m.Accept })
}

func collectMessages[T any](messages []*Message, part func(*Message) *T) []*T {
	var found []*T
	for _, m := range messages {
		if p := part(m); p != nil {
			found = append(found, p)
		}
	}
	return found
}

func (s *harness) isHead() bool { return s.core.IsHead(s.now) }
func (s *harness) isTail() bool { return s.core.IsTail(s.now) }

// testLog returns a log with the given number of entries, all of one epoch.
func testLog(epoch, count uint64) chain.Log {
	var log chain.Log
	for index := range count {
		log.Append(chain.Entry{Index: index + 1, Epoch: epoch, Data: []byte("entry")})
	}
	return log
}
