package replica

import (
	"time"

	"gaugeslip/coord/view"
)

// tailState is what a member remembers of the head's heartbeats.
type tailState struct {
	life      uint64 // the head's incarnation, from the heartbeat's sequence
	sequence  [8]uint64
	answered  [8]time.Duration // when that heartbeat was acknowledged
	readUntil time.Duration
}

// The tail uses 90 % of ReadFor, so that the clocks of head and tail may drift apart by a tenth.
const (
	readForPercent = 90
	hundredPercent = 100
)

func (r *Replica) receive(now time.Duration, m *Message) {
	if m.To != "" && m.To != r.self.ID {
		return
	}
	if m.View != nil {
		r.adoptView(now, *m.View, m.From.ID)
	}
	if m.From.ID != r.self.ID {
		r.noteKnownEpoch(now, m)
	}
	if m.Join != nil {
		r.onJoin(now, m)
		return
	}
	if !r.checkEpoch(now, m) {
		return
	}
	r.dispatch(now, m)
}

// noteKnownEpoch records the newest epoch that another replica has shown to know.
func (r *Replica) noteKnownEpoch(now time.Duration, m *Message) {
	p := r.peer(m.From.ID, now)
	if !m.Viewless && (!p.epochKnown || m.Epoch > p.epoch) {
		p.epoch, p.epochKnown = m.Epoch, true
	}
}

// checkEpoch reports whether a message is of the present epoch. If it isn't, the replica that is behind gets the view: the sender is sent
// the view, or is asked for its own.
func (r *Replica) checkEpoch(now time.Duration, m *Message) bool {
	switch {
	case !r.view.Known():
		if !m.Viewless {
			r.send(m.From, &Message{Request: &view.Request{Sequence: 1}})
		}
		return false
	case m.Request != nil:
		return true
	case m.Viewless || m.Epoch < r.view.Epoch:
		r.sendView(now, m.From)
		return false
	case m.Epoch > r.view.Epoch:
		r.send(m.From, &Message{Request: &view.Request{Sequence: 1}})
		return false
	}
	return true
}

// sendView sends the newest view, at most once per viewSendInterval to one address.
func (r *Replica) sendView(now time.Duration, to view.Member) {
	if at, ok := r.viewSentAt[to.Address]; ok && now-at < viewSendInterval {
		return
	}
	r.viewSentAt[to.Address] = now
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
		r.sendView(now, m.From)
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
	if len(r.earlyMessages) < maxEarlyMessages {
		r.earlyMessages = append(r.earlyMessages, m)
	}
}

func (r *Replica) onHeartbeat(now time.Duration, m *Message) {
	if m.From.ID != r.view.Head().ID || m.From.ID == r.self.ID {
		return
	}
	r.resetElectionTimer(now)
	if r.proposer.Phase == view.Preparing {
		r.proposer.Phase = view.Idle
	}
	ack := &view.HeartbeatAck{Sequence: m.Heartbeat.Sequence, Broken: r.diskFailed, Digests: r.audit.own}
	if r.position() < 0 || r.chain.InStep() { // otherwise the log may hold entries that an earlier epoch never committed
		ack.Received, ack.Synced, ack.Acked = r.LastIndex(), r.chain.Synced(), r.chain.Acked()
	}
	if r.view.IsVoter(r.self.ID) && !r.acceptor.PromisedToOther(m.From.ID) {
		r.grantUntil = max(r.grantUntil, now+r.cfg.Grant)
		ack.Granted = true
	}
	r.acceptReadPermission(now, m.Heartbeat)
	r.send(m.From, &Message{HeartbeatAck: ack})
}

// acceptReadPermission takes the permission to answer reads. It counts from when this replica acknowledged the echoed heartbeat, which
// was before the head gave the permission.
func (r *Replica) acceptReadPermission(now time.Duration, m *view.Heartbeat) {
	t := &r.tail
	slots := uint64(len(t.sequence))
	if life := m.Sequence >> sequenceBits; life != t.life {
		*t = tailState{life: life}
	}
	if m.Echo != 0 && t.sequence[m.Echo%slots] == m.Echo && !r.leaving {
		t.readUntil = max(t.readUntil, t.answered[m.Echo%slots]+m.ReadFor*readForPercent/hundredPercent)
	}
	if slot := m.Sequence % slots; t.sequence[slot] < m.Sequence {
		t.sequence[slot], t.answered[slot] = m.Sequence, now
	}
}

// IsTail reports whether this replica is the tail and may answer reads now.
func (r *Replica) IsTail(now time.Duration) bool {
	if !r.entered || r.view.Tail().ID != r.self.ID {
		return false
	}
	if r.position() == 0 {
		return r.IsHead(now)
	}
	return now < r.tail.readUntil
}

// ReadIndex returns the index that must be applied before a read that arrived now is answered, so that the read sees everything that was
// acknowledged before. The tail has it by its read permission, the head by its lease.
func (r *Replica) ReadIndex(now time.Duration) (uint64, bool) {
	if r.IsHead(now) {
		return max(r.Committed(), r.head.inheritedIndex), true
	}
	if !r.IsTail(now) || !r.chain.InStep() {
		return 0, false
	}
	return r.LastIndex(), true
}
