package chain

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/coord/view"
)

// testReplica is a Chain whose environment only records calls. A test inspects the messages it sends or forwards them explicitly.
type testReplica struct {
	*Chain
	t         *testing.T
	self      view.Member
	now       time.Duration
	sent      []sentMessage
	stored    []Entry
	truncated []uint64
	snapshots []Snapshot
	installed []Snapshot
	delivered []Entry
	fault     error
}

type sentMessage struct {
	to   view.ReplicaID
	body *Body
}

var (
	headMember    = view.Member{ID: "head", Address: "head:1"}
	middleMember  = view.Member{ID: "middle", Address: "middle:1"}
	learnerMember = view.Member{ID: "learner", Address: "learner:1"}
)

func (r *testReplica) Send(to view.Member, body *Body) {
	r.sent = append(r.sent, sentMessage{to.ID, body})
}
func (r *testReplica) Store(entries []Entry)                    { r.stored = append(r.stored, entries...) }
func (r *testReplica) StoreTruncate(index uint64)               { r.truncated = append(r.truncated, index) }
func (r *testReplica) StoreSnapshot(snapshot Snapshot)          { r.snapshots = append(r.snapshots, snapshot) }
func (r *testReplica) Deliver(entries []Entry)                  { r.delivered = append(r.delivered, entries...) }
func (r *testReplica) Install(snapshot Snapshot)                { r.installed = append(r.installed, snapshot) }
func (r *testReplica) Fail(err error)                           { r.fault = errors.Join(r.fault, err) }
func (r *testReplica) takeSent() (sent []sentMessage)           { sent, r.sent = r.sent, nil; return sent }
func (r *testReplica) advance(d time.Duration)                  { r.now += d; r.Tick(r.now) }
func (r *testReplica) receiveFrom(from view.Member, body *Body) { r.Receive(r.now, from, body) }
func (r *testReplica) syncAll(token uint64)                     { r.AssignSyncToken(token); r.SyncedTo(r.now, token) }
func (r *testReplica) write(data ...string) (last uint64) {
	for _, d := range data {
		last = r.Append(r.now, [][]byte{[]byte(d)})
	}
	return last
}

// newTestReplica returns a replica with the given entries on disk. It keeps everything in memory unless a test changes its cfg.
func newTestReplica(t *testing.T, self view.Member, incarnation uint64, entries ...Entry) *testReplica {
	r := &testReplica{t: t, self: self, now: time.Second}
	var log Log
	for _, e := range entries {
		log.Append(e)
	}
	r.Chain = New(Config{Life: incarnation, KeepEntries: 1 << 20, KeepBytes: 1 << 30}, r, log)
	return r
}

func entry(index, epoch uint64) Entry {
	return Entry{Index: index, Epoch: epoch, Data: []byte{byte(index), byte(epoch)}}
}

// entriesWithEpochs returns entries with the given epochs and indexes from 1 on.
func entriesWithEpochs(epochs ...uint64) []Entry {
	var entries []Entry
	for i, epoch := range epochs {
		entries = append(entries, entry(uint64(i+1), epoch))
	}
	return entries
}

// newTrimmedHead returns a head of epoch 2 that has committed count entries and keeps none of them.
func newTrimmedHead(t *testing.T, count int) *testReplica {
	head := newTestReplica(t, headMember, 1)
	head.cfg.KeepEntries, head.cfg.KeepBytes = 0, 0
	head.EnterView(head.now, Role{Epoch: 2, Head: true})
	for range count {
		head.write("x")
	}
	head.syncAll(1)
	head.Commit(head.now)
	require.Equal(t, uint64(count), head.Log().Base())
	return head
}

// newLearner returns a learner with an empty disk that has entered an epoch and sent its first Hello to the head.
func newLearner(t *testing.T, epoch uint64) *testReplica {
	learner := newTestReplica(t, learnerMember, 7)
	learner.EnterView(learner.now, Role{Epoch: epoch, Upstream: headMember})
	return learner
}

// forwardMessages delivers the messages that from has sent to the other replica and returns their number. If keep is not nil, messages
// for which it returns false are lost.
func forwardMessages(from, to *testReplica, keep func(*Body) bool) int {
	carried := 0
	for _, m := range from.takeSent() {
		if m.to == to.self.ID && (keep == nil || keep(m.body)) {
			to.receiveFrom(from.self, m.body)
			carried++
		}
	}
	return carried
}

// exchangeUntilIdle forwards messages both ways until neither replica sends any more.
func exchangeUntilIdle(a, b *testReplica) {
	for range 10_000 {
		if forwardMessages(a, b, nil)+forwardMessages(b, a, nil) == 0 {
			return
		}
	}
	a.t.Fatal("the replicas keep sending messages after 10,000 rounds")
}

func bodies[T any](sent []sentMessage, pick func(*Body) *T) []*T {
	var found []*T
	for _, m := range sent {
		if part := pick(m.body); part != nil {
			found = append(found, part)
		}
	}
	return found
}

func hellosOf(sent []sentMessage) []*Hello {
	return bodies(sent, func(b *Body) *Hello { return b.Hello })
}

func filledBytes(fill byte, size int) []byte { return slices.Repeat([]byte{fill}, size) }

func acksOf(sent []sentMessage) []*Ack { return bodies(sent, func(b *Body) *Ack { return b.Ack }) }

func appendsOf(sent []sentMessage) []*Append {
	return bodies(sent, func(b *Body) *Append { return b.Append })
}

func chunksOf(sent []sentMessage) []*Chunk {
	return bodies(sent, func(b *Body) *Chunk { return b.Chunk })
}

func probesOf(sent []sentMessage) []*Probe {
	return bodies(sent, func(b *Body) *Probe { return b.Probe })
}

// newFollower returns a replica with the given entries on disk that has entered epoch 5 with the head as its predecessor, with or without a
// successor.
func newFollower(t *testing.T, successor bool, entries ...Entry) *testReplica {
	r := newTestReplica(t, middleMember, 3, entries...)
	role := Role{Epoch: 5, Upstream: headMember}
	if successor {
		role.Downstream = &learnerMember
	}
	r.EnterView(r.now, role)
	return r
}

// receiveStart passes in the Append with which the predecessor opens the session.
func (r *testReplica) receiveStart(prev, prevEpoch, target, commit uint64, entries ...Entry) {
	r.receiveFrom(headMember, &Body{Append: &Append{Session: r.session, Start: true, Target: target, Prev: prev, PrevEpoch: prevEpoch,
		Commit: commit, Entries: entries}})
}

// receiveAppend passes in a later Append of the session.
func (r *testReplica) receiveAppend(prev, prevEpoch, commit uint64, entries ...Entry) {
	r.receiveFrom(headMember, &Body{Append: &Append{Session: r.session, Prev: prev, PrevEpoch: prevEpoch, Commit: commit, Entries: entries}})
}

// receiveSuccessorHello passes in the Hello of a successor whose log has the given runs.
func (r *testReplica) receiveSuccessorHello(session, acked uint64, runs ...Run) {
	r.receiveFrom(learnerMember, &Body{Hello: &Hello{Session: session, Runs: runs, Acked: acked}})
}

// receiveSuccessorAck passes in a successor's Ack for the entries up to index.
func (r *testReplica) receiveSuccessorAck(session, index uint64) {
	r.receiveFrom(learnerMember, &Body{Ack: &Ack{Session: session, Index: index, Stored: index}})
}
