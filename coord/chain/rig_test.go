package chain

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/coord/view"
)

// rig is one chain whose environment only takes notes: what it sends waits to be looked at or carried by hand.
type rig struct {
	*Chain
	t         *testing.T
	self      view.Member
	now       time.Duration
	sent      []posted
	stored    []Entry
	truncated []uint64
	snapshots []Snapshot
	installed []Snapshot
	delivered []Entry
	fault     error
}

type posted struct {
	to   view.ReplicaID
	body *Body
}

var (
	headMember    = view.Member{ID: "head", Address: "head:1"}
	middleMember  = view.Member{ID: "middle", Address: "middle:1"}
	learnerMember = view.Member{ID: "learner", Address: "learner:1"}
)

func (r *rig) Send(to view.Member, body *Body)   { r.sent = append(r.sent, posted{to.ID, body}) }
func (r *rig) Store(entries []Entry)             { r.stored = append(r.stored, entries...) }
func (r *rig) StoreTruncate(index uint64)        { r.truncated = append(r.truncated, index) }
func (r *rig) StoreSnapshot(snapshot Snapshot)   { r.snapshots = append(r.snapshots, snapshot) }
func (r *rig) Deliver(entries []Entry)           { r.delivered = append(r.delivered, entries...) }
func (r *rig) Install(snapshot Snapshot)         { r.installed = append(r.installed, snapshot) }
func (r *rig) Fail(err error)                    { r.fault = errors.Join(r.fault, err) }
func (r *rig) take() (sent []posted)             { sent, r.sent = r.sent, nil; return sent }
func (r *rig) after(d time.Duration)             { r.now += d; r.Tick(r.now) }
func (r *rig) gets(from view.Member, body *Body) { r.Receive(r.now, from, body) }
func (r *rig) sync(token uint64)                 { r.AssignSyncToken(token); r.SyncedTo(r.now, token) }
func (r *rig) write(data ...string) (last uint64) {
	for _, d := range data {
		last = r.Append(r.now, [][]byte{[]byte(d)})
	}
	return last
}

// newRig is a replica with these entries on disk, which keeps everything in memory unless told otherwise.
func newRig(t *testing.T, self view.Member, life uint64, entries ...Entry) *rig {
	r := &rig{t: t, self: self, now: time.Second}
	var log Log
	for _, e := range entries {
		log.Append(e)
	}
	r.Chain = New(Config{Life: life, KeepEntries: 1 << 20, KeepBytes: 1 << 30}, r, log)
	return r
}

func entry(index, epoch uint64) Entry {
	return Entry{Index: index, Epoch: epoch, Data: []byte{byte(index), byte(epoch)}}
}

// entriesOf gives entries from 1 on with these epochs.
func entriesOf(epochs ...uint64) []Entry {
	var entries []Entry
	for i, epoch := range epochs {
		entries = append(entries, entry(uint64(i+1), epoch))
	}
	return entries
}

// trimmedHead is a head of epoch 2 that has committed so many entries and keeps none of them.
func trimmedHead(t *testing.T, count int) *rig {
	head := newRig(t, headMember, 1)
	head.cfg.KeepEntries, head.cfg.KeepBytes = 0, 0
	head.EnterView(head.now, Role{Epoch: 2, Head: true})
	for range count {
		head.write("x")
	}
	head.sync(1)
	head.Commit(head.now)
	require.Equal(t, uint64(count), head.Log().Base())
	return head
}

// newLearner is a replica with an empty disk that has been asked by the head of an epoch to begin.
func newLearner(t *testing.T, epoch uint64) *rig {
	learner := newRig(t, learnerMember, 7)
	learner.EnterView(learner.now, Role{Epoch: epoch, Upstream: headMember})
	return learner
}

// carry hands over what one has sent to the other and tells how many messages those were; keep says which get through.
func carry(from, to *rig, keep func(*Body) bool) int {
	carried := 0
	for _, m := range from.take() {
		if m.to == to.self.ID && (keep == nil || keep(m.body)) {
			to.gets(from.self, m.body)
			carried++
		}
	}
	return carried
}

// settleDown carries messages both ways until both are silent.
func settleDown(a, b *rig) {
	for range 10_000 {
		if carry(a, b, nil)+carry(b, a, nil) == 0 {
			return
		}
	}
	a.t.Fatal("they never fall silent")
}

func bodies[T any](sent []posted, pick func(*Body) *T) []*T {
	var found []*T
	for _, m := range sent {
		if part := pick(m.body); part != nil {
			found = append(found, part)
		}
	}
	return found
}

func hellosOf(sent []posted) []*Hello { return bodies(sent, func(b *Body) *Hello { return b.Hello }) }

func state(fill byte, size int) []byte { return slices.Repeat([]byte{fill}, size) }

func acksOf(sent []posted) []*Ack { return bodies(sent, func(b *Body) *Ack { return b.Ack }) }

func appendsOf(sent []posted) []*Append {
	return bodies(sent, func(b *Body) *Append { return b.Append })
}

func chunksOf(sent []posted) []*Chunk { return bodies(sent, func(b *Body) *Chunk { return b.Chunk }) }

func probesOf(sent []posted) []*Probe { return bodies(sent, func(b *Body) *Probe { return b.Probe }) }

// follower is a replica with these entries on disk that has entered epoch 5 behind the head, with a successor or without.
func follower(t *testing.T, successor bool, entries ...Entry) *rig {
	r := newRig(t, middleMember, 3, entries...)
	role := Role{Epoch: 5, Upstream: headMember}
	if successor {
		role.Downstream = &learnerMember
	}
	r.EnterView(r.now, role)
	return r
}

// starts opens the session of a follower, as its predecessor does.
func (r *rig) starts(prev, prevEpoch, target, commit uint64, entries ...Entry) {
	r.gets(headMember, &Body{Append: &Append{Session: r.session, Start: true, Target: target, Prev: prev, PrevEpoch: prevEpoch,
		Commit: commit, Entries: entries}})
}

// continues is a later message of the session.
func (r *rig) continues(prev, prevEpoch, commit uint64, entries ...Entry) {
	r.gets(headMember, &Body{Append: &Append{Session: r.session, Prev: prev, PrevEpoch: prevEpoch, Commit: commit, Entries: entries}})
}

// opensBehind opens the session of a successor with a log of these runs.
func (r *rig) opensBehind(session, acked uint64, runs ...Run) {
	r.gets(learnerMember, &Body{Hello: &Hello{Session: session, Runs: runs, Acked: acked}})
}

// ackedBehind is a successor's word on what it has on disk.
func (r *rig) ackedBehind(session, index uint64) {
	r.gets(learnerMember, &Body{Ack: &Ack{Session: session, Index: index, Stored: index}})
}
