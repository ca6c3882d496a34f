package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// stand holds one core and steps it by hand, so that a test says exactly what it is told and when.
type stand struct {
	t       *testing.T
	core    *Replica
	now     time.Duration
	wake    time.Duration // when the core wants its next Tick
	token   uint64        // last given out
	records []Record
	sent    []*Message
	events  []Event
	applied []chain.Entry
	fault   error
}

const (
	standEpoch  = 5
	standStart  = 10 * time.Second
	standLength = 2 * time.Second // longer than all grants
)

func standMember(id view.ReplicaID) view.Member {
	return view.Member{ID: id, Address: string(id) + ":1"}
}

func standMembers(ids ...view.ReplicaID) []view.Member {
	var list []view.Member
	for _, id := range ids {
		list = append(list, standMember(id))
	}
	return list
}

// standView is a view in which all voters are in the chain.
func standView(epoch uint64, ids ...view.ReplicaID) view.View {
	return view.View{Epoch: epoch, Voters: standMembers(ids...), Chain: standMembers(ids...)}
}

func standConfig(id view.ReplicaID) Config {
	return Config{Self: standMember(id), Tolerance: 1, Seed: 77}
}

// resumed is a core that has just started from a disk.
func resumed(t *testing.T, cfg Config, disk Persisted) *stand {
	s := &stand{t: t, now: standStart}
	if cfg.Genesis == nil {
		disk.Identity = cfg.Self.ID
	}
	s.core = New(cfg, disk, s.now)
	return s
}

// settled is a core that started in the epoch before, long ago, and has just learnt the view of standEpoch, which is on its disk.
func settled(t *testing.T, cfg Config, log chain.Log, ids ...view.ReplicaID) *stand {
	s := resumed(t, cfg, Persisted{View: standView(standEpoch-1, "x", "y", "z"), Log: log})
	s.now += standLength
	s.learn(standView(standEpoch, ids...))
	s.sync()
	return s
}

func (s *stand) step(in Input) {
	s.t.Helper()
	s.take(s.core.Step(s.now, in))
}

func (s *stand) take(out Output) {
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

// after lets time pass, and what is due happen when it is due: a step that comes later would be a pause of the replica's own.
func (s *stand) after(length time.Duration) {
	for end := s.now + length; ; {
		s.now = min(max(s.wake, s.now), end)
		s.step(Tick{})
		if s.now == end {
			return
		}
	}
}

// sync says that all is on disk.
func (s *stand) sync() {
	for s.core.syncedToken < s.token {
		s.step(Synced{Token: s.token})
	}
}

// learn tells of a view.
func (s *stand) learn(v view.View) {
	s.step(Receive{&Message{From: standMember("other"), Epoch: v.Epoch, View: &v}})
}

// receive takes a message of the core's epoch.
func (s *stand) receive(from view.ReplicaID, m *Message) {
	m.Epoch = s.core.View().Epoch
	s.receiveAsItIs(from, m)
}

func (s *stand) receiveAsItIs(from view.ReplicaID, m *Message) {
	m.From, m.To = standMember(from), s.core.Self().ID
	s.step(Receive{m})
}

func (s *stand) beat(from view.ReplicaID, heartbeat view.Heartbeat) {
	s.receive(from, &Message{Heartbeat: &heartbeat})
}

func (s *stand) prepare(from view.ReplicaID, round uint64) view.Ballot {
	ballot := view.Ballot{Round: round, Owner: from, Life: 1}
	s.receive(from, &Message{Prepare: &view.Prepare{Ballot: ballot}})
	return ballot
}

func (s *stand) accept(from view.ReplicaID, round uint64, value view.View) view.Ballot {
	ballot := view.Ballot{Round: round, Owner: from, Life: 1}
	s.receive(from, &Message{Accept: &view.Accept{Ballot: ballot, Value: value}})
	return ballot
}

// ack acknowledges the last heartbeat that was sent to a member.
func (s *stand) ack(from view.ReplicaID) uint64 {
	s.t.Helper()
	sequence := s.lastBeat(from).Sequence
	s.ackOf(from, sequence)
	return sequence
}

func (s *stand) ackOf(from view.ReplicaID, sequence uint64) {
	s.receive(from, &Message{HeartbeatAck: &view.HeartbeatAck{Sequence: sequence, Granted: true}})
}

// lastBeat is the last heartbeat that was sent to a member.
func (s *stand) lastBeat(to view.ReplicaID) *view.Heartbeat {
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

// drain gives what was sent since, and forgets it.
func (s *stand) drain() []*Message {
	sent := s.sent
	s.sent = nil
	return sent
}

func (s *stand) promises() []*view.Promise {
	return collect(s.drain(), func(m *Message) *view.Promise { return m.Promise })
}

func (s *stand) accepteds() []*view.Accepted {
	return collect(s.drain(), func(m *Message) *view.Accepted { return m.Accepted })
}

func (s *stand) acks() []*view.HeartbeatAck {
	return collect(s.drain(), func(m *Message) *view.HeartbeatAck { return m.HeartbeatAck })
}

func (s *stand) beats() []*view.Heartbeat {
	return collect(s.drain(), func(m *Message) *view.Heartbeat { return m.Heartbeat })
}

func (s *stand) prepares() []*view.Prepare {
	return collect(s.drain(), func(m *Message) *view.Prepare { return m.Prepare })
}

func (s *stand) accepts() []*view.Accept {
	return collect(s.drain(), func(m *Message) *view.Accept { return m.Accept })
}

func collect[T any](messages []*Message, part func(*Message) *T) []*T {
	var found []*T
	for _, m := range messages {
		if p := part(m); p != nil {
			found = append(found, p)
		}
	}
	return found
}

func (s *stand) isHead() bool { return s.core.IsHead(s.now) }
func (s *stand) isTail() bool { return s.core.IsTail(s.now) }

// logOf is a log of so many entries of one epoch.
func logOf(epoch, count uint64) chain.Log {
	var log chain.Log
	for index := range count {
		log.Append(chain.Entry{Index: index + 1, Epoch: epoch, Data: []byte("entry")})
	}
	return log
}
