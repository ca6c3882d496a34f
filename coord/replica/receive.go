package replica

import (
	"time"

	"gaugeslip/coord/view"
)

// tailState is what a member keeps of the head's heartbeats.
type tailState struct {
	life      uint64
	sequence  [8]uint64
	answered  [8]time.Duration // when that heartbeat was acknowledged
	readUntil time.Duration
}

// The part of ReadFor that a tail uses, so that clocks may drift apart by a tenth.
const (
	readMargin  = 90
	readMargins = 100
)

func (r *Replica) receive(now time.Duration, m *Message) {
	if m.To != "" && m.To != r.self.ID {
		return
	}
	if m.View != nil {
		r.learn(now, *m.View, m.From.ID)
	}
	if m.From.ID != r.self.ID {
		r.hear(now, m)
	}
	if m.Join != nil {
		r.onJoin(now, m)
		return
	}
	if !r.current(now, m) {
		return
	}
	r.dispatch(now, m)
}

// hear notes what view a replica knows.
func (r *Replica) hear(now time.Duration, m *Message) {
	p := r.peer(m.From.ID, now)
	if !m.Viewless && (!p.knows || m.Epoch > p.epoch) {
		p.epoch, p.knows = m.Epoch, true
	}
}

// current tells whether a message is of the present epoch; where it isn't, whoever is behind is helped.
func (r *Replica) current(now time.Duration, m *Message) bool {
	switch {
	case !r.view.Known():
		if !m.Viewless {
			r.send(m.From, &Message{Request: &view.Request{Sequence: 1}})
		}
		return false
	case m.Request != nil:
		return true
	case m.Viewless || m.Epoch < r.view.Epoch:
		r.news(now, m.From)
		return false
	case m.Epoch > r.view.Epoch:
		r.send(m.From, &Message{Request: &view.Request{Sequence: 1}})
		return false
	}
	return true
}

// news tells the newest view, not too often.
func (r *Replica) news(now time.Duration, to view.Member) {
	if at, ok := r.newsSent[to.Address]; ok && now-at < newsAtMostEvery {
		return
	}
	r.newsSent[to.Address] = now
	r.send(to, &Message{View: r.viewCopy()})
}

func (r *Replica) dispatch(now time.Duration, m *Message) {
	switch {
	case m.Chain != nil:
		r.onChain(now, m)
	case m.Heartbeat != nil:
		r.onHeartbeat(now, m)
	case m.HeartbeatAck != nil:
		r.onHeartbeatAck(now, m.From, m.HeartbeatAck)
	case m.Prepare != nil:
		r.onPrepare(now, m.From, m.Prepare)
	case m.Promise != nil:
		r.onPromise(now, m.From, m.Promise)
	case m.Accept != nil:
		r.onAccept(now, m.From, m.Accept)
	case m.Accepted != nil:
		r.onAccepted(now, m.From, m.Accepted)
	case m.Leave != nil:
		r.onLeave(now, m.From.ID, m.Leave)
	case m.Request != nil:
		r.news(now, m.From)
	case m.Differs != nil:
		r.onDiffers(m.From, *m.Differs)
	}
}

// onChain hands a message to the chain, or keeps it until the view is on disk.
func (r *Replica) onChain(now time.Duration, m *Message) {
	if r.entered {
		r.chain.Receive(now, m.From, m.Chain)
		return
	}
	if len(r.early) < earlyKept {
		r.early = append(r.early, m)
	}
}

func (r *Replica) onHeartbeat(now time.Duration, m *Message) {
	if m.From.ID != r.view.Head().ID || m.From.ID == r.self.ID {
		return
	}
	r.expectHead(now)
	if r.proposer.Phase == view.Preparing {
		r.proposer.Phase = view.Idle
	}
	ack := &view.HeartbeatAck{Sequence: m.Heartbeat.Sequence, Broken: r.broken, Digests: r.audit.own}
	if r.position() < 0 || r.chain.InStep() { // else the log may hold what an earlier epoch never committed
		ack.Received, ack.Synced, ack.Acked = r.LastIndex(), r.chain.Synced(), r.chain.Acked()
	}
	if r.view.IsVoter(r.self.ID) && !r.acceptor.PromisedToOther(m.From.ID) {
		r.grant = max(r.grant, now+r.cfg.Grant)
		ack.Granted = true
	}
	r.permitted(now, m.Heartbeat)
	r.send(m.From, &Message{HeartbeatAck: ack})
}

// permitted takes the permission to answer reads, counted from when the echoed heartbeat was acknowledged: that was
// before the head gave it.
func (r *Replica) permitted(now time.Duration, m *view.Heartbeat) {
	t := &r.tail
	slots := uint64(len(t.sequence))
	if life := m.Sequence >> sequenceBits; life != t.life {
		*t = tailState{life: life}
	}
	if m.Echo != 0 && t.sequence[m.Echo%slots] == m.Echo && !r.leaving {
		t.readUntil = max(t.readUntil, t.answered[m.Echo%slots]+m.ReadFor*readMargin/readMargins)
	}
	if slot := m.Sequence % slots; t.sequence[slot] < m.Sequence {
		t.sequence[slot], t.answered[slot] = m.Sequence, now
	}
}

// IsTail tells whether this replica is the tail and may answer reads now.
func (r *Replica) IsTail(now time.Duration) bool {
	if !r.entered || r.view.Tail().ID != r.self.ID {
		return false
	}
	if r.position() == 0 {
		return r.IsHead(now)
	}
	return now < r.tail.readUntil
}

// ReadIndex gives the index that has to be applied before a read that came now is answered, so that it shows all
// that had been acknowledged. The tail has it with its permission, the head with its lease.
func (r *Replica) ReadIndex(now time.Duration) (uint64, bool) {
	if r.IsHead(now) {
		return max(r.Committed(), r.head.inherited), true
	}
	if !r.IsTail(now) || !r.chain.InStep() {
		return 0, false
	}
	return r.LastIndex(), true
}
