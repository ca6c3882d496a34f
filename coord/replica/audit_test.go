package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// untilStopped simulates until the given number of processes have stopped because of their state.
func (w *world) untilStopped(count int, most time.Duration) {
	for end := w.now + most; w.now < end && w.failure == nil && len(w.stopped()) < count; {
		w.run(w.now + time.Millisecond)
	}
}

// stopped returns the machines that have stopped because of their state, once for each time.
func (w *world) stopped() []*machine {
	var stopped []*machine
	for _, m := range w.machines {
		for range m.stateErrors {
			stopped = append(stopped, m)
		}
	}
	return stopped
}

// A member whose state differs from that of the others stops, at any place in the chain, the head included. It returns on an empty disk
// as another replica, with the right state.
func TestDivergedReplicaStops(t *testing.T) {
	for place := range 3 {
		eachSeed(t, func(t *testing.T, w *world) {
			v := w.head().process.View()
			var victim *machine
			for _, m := range w.machines {
				if m.process.Self().ID == v.Chain[place].ID {
					victim = m
				}
			}
			before := victim.process.Self().ID
			victim.corruption = 1
			w.untilStopped(1, 5*time.Second)
			require.Equal(t, []*machine{victim}, w.stopped(), "place %d", place)
			assert.ErrorIs(t, victim.stateErrors[0], ErrStateDiverged)
			assert.NotEmpty(t, victim.durableState.Unfit, "its disk is marked")
			w.run(w.now + 1100*time.Millisecond)
			assert.Less(t, w.untilInChain(victim, 5*time.Second), 3*time.Second)
			w.run(w.now + 2*time.Second)
			require.NoError(t, w.failure)
			assert.Len(t, w.stopped(), 1)
			assert.NotEqual(t, before, victim.process.Self().ID)
			assert.Equal(t, victim.stateSum, w.oracle.sums[victim.applied-1])
		})
	}
}

// With two replicas in the chain nobody can decide which state is right, so the head's state counts.
func TestOfTwoDivergedReplicasTheHeadStays(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		head := w.head()
		var absent *machine
		for _, m := range w.machines {
			if m != head {
				absent = m
			}
		}
		absent.losePower()
		w.run(w.now + 3*time.Second)
		for _, m := range w.machines {
			m.corruption = 1
		}
		head.corruption = 2
		absent.corruption = 0
		w.run(w.now + 2*time.Second)
		require.Empty(t, w.stopped(), "nobody stops if no majority of the voters would be left")
		absent.start()
		w.untilStopped(1, 5*time.Second)
		stopped := w.stopped()
		require.Len(t, stopped, 1)
		assert.NotSame(t, head, stopped[0])
		assert.NotSame(t, absent, stopped[0])
	})
}

// All states differ: the replicas take over the head's state one after the other, and a majority runs all the time.
func TestDivergedMembersStopOneAtATime(t *testing.T) {
	for seed := range uint64(5) {
		w := newCalmWorld(t, seed, 3, 0, 1)
		for i, m := range w.machines {
			m.corruption = uint64(i + 1)
		}
		head := w.head()
		for end := w.now + 12*time.Second; w.now < end && w.failure == nil; w.run(w.now + 5*time.Millisecond) {
			running := 0
			for _, m := range w.machines {
				if m.process != nil && m.process.audit.divergence == nil {
					running++
				}
			}
			require.GreaterOrEqual(t, running, 2, "at %v", w.now)
			head.corruption = 1
		}
		require.NoError(t, w.failure, "seed %d", seed)
	}
}

// newAuditingHead returns the head, by itself, of a chain of three whose other members have just answered.
func newAuditingHead(t *testing.T) *Replica {
	var v view.View
	for _, id := range []view.ReplicaID{"a", "b", "c"} {
		v.Voters = append(v.Voters, view.Member{ID: id, Address: string(id)})
	}
	v.Chain = v.Voters
	r := New(Config{Self: v.Voters[0], Genesis: &v, Tolerance: 1, Seed: 1}, Persisted{}, 0)
	r.Step(0, Synced{Token: 1})
	r.head.divergenceReportedAt = -time.Hour
	for _, id := range []view.ReplicaID{"b", "c"} {
		r.peer(id, 0).ackedHeartbeat = 1
	}
	require.True(t, r.leading())
	return r
}

func digest(index, sum uint64) view.Digest { return view.Digest{Index: index, Format: 1, Sum: sum} }

// divergenceTargets returns the addresses to which a message says that their state differs.
func divergenceTargets(out Output) []string {
	var to []string
	for _, envelope := range out.Send {
		if envelope.Message.Differs != nil {
			to = append(to, envelope.To)
		}
	}
	return to
}

func TestDigestsAreComparedByIndexAndFormat(t *testing.T) {
	cases := map[string]struct {
		own, b, c view.Digest
		notified  []string
		stops     bool
	}{
		"all agree":                  {own: digest(64, 1), b: digest(64, 1), c: digest(64, 1)},
		"the last differs":           {own: digest(64, 1), b: digest(64, 1), c: digest(64, 2), notified: []string{"c"}},
		"the middle differs":         {own: digest(64, 1), b: digest(64, 2), c: digest(64, 1), notified: []string{"b"}},
		"the head differs":           {own: digest(64, 2), b: digest(64, 1), c: digest(64, 1), stops: true},
		"all differ":                 {own: digest(64, 1), b: digest(64, 2), c: digest(64, 3), notified: []string{"b"}},
		"one is behind":              {own: digest(64, 1), b: digest(64, 1), c: digest(32, 2)},
		"one differs, one is behind": {own: digest(64, 1), b: digest(64, 2), c: digest(32, 2)},
		"another format":             {own: digest(64, 1), b: digest(64, 1), c: view.Digest{Index: 64, Format: 2, Sum: 2}},
		"two with another format":    {own: digest(64, 1), b: view.Digest{Index: 64, Format: 2, Sum: 2}, c: view.Digest{Index: 64, Format: 2, Sum: 2}},
		"an unknown index":           {own: digest(64, 1), b: digest(128, 2), c: digest(128, 3)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newAuditingHead(t)
			r.peers["b"].digests, r.peers["c"].digests = []view.Digest{c.b}, []view.Digest{c.c}
			out := r.Step(0, StateDigest{c.own})
			assert.Equal(t, c.notified, divergenceTargets(out))
			assert.Equal(t, c.stops, r.audit.divergence != nil)
		})
	}
}

func TestSecondDivergedMemberIsNotifiedLater(t *testing.T) {
	r := newAuditingHead(t)
	r.peers["b"].digests, r.peers["c"].digests = []view.Digest{digest(64, 2)}, []view.Digest{digest(64, 3)}
	assert.Equal(t, []string{"b"}, divergenceTargets(r.Step(0, StateDigest{digest(64, 1)})))
	r.peers["b"].digests = nil // gone
	r.peers["c"].digests = []view.Digest{digest(64, 1), digest(128, 3)}
	r.peers["b"].digests = []view.Digest{digest(128, 1)}
	soon := divergencePauseFactor*r.cfg.DropAfter - time.Millisecond
	for _, p := range r.peers {
		p.ackedAt, p.heard.at = soon, soon
	}
	assert.Empty(t, divergenceTargets(r.Step(soon, StateDigest{digest(128, 1)})))
}

func TestDivergenceIsNotReportedWithoutRemainingMajority(t *testing.T) {
	r := newAuditingHead(t)
	r.peers["b"].digests, r.peers["c"].digests = []view.Digest{digest(64, 1)}, []view.Digest{digest(64, 3)}
	r.peers["b"].ackedAt = -r.cfg.DropAfter - time.Millisecond
	assert.Empty(t, divergenceTargets(r.Step(0, StateDigest{digest(64, 1)})))
	r.peers["b"].ackedAt = 0
	r.peers["b"].ackedHeartbeat = 0
	assert.Empty(t, divergenceTargets(r.Step(0, StateDigest{digest(128, 1)})))
}

// With f+1 members in the chain no divergence is reported: the next loss could take the only copy.
func TestDivergenceIsNotReportedWithTooFewCopies(t *testing.T) {
	r := newAuditingHead(t)
	r.view.Chain = r.view.Chain[:2]
	r.peers["b"].digests = []view.Digest{digest(64, 2)}
	assert.Empty(t, divergenceTargets(r.Step(0, StateDigest{digest(64, 1)})))
	r.cfg.Tolerance = 0
	assert.Equal(t, []string{"b"}, divergenceTargets(r.Step(0, StateDigest{digest(128, 1)})))
}

// newDivergedReplica returns a member of a chain of three that has found its state to differ, and the output of that step.
func newDivergedReplica(t *testing.T) (*Replica, Output) {
	r := newAuditingHead(t)
	r.peers["b"].digests, r.peers["c"].digests = []view.Digest{digest(64, 1)}, []view.Digest{digest(64, 1)}
	r.head.leaseUntil = time.Hour
	require.True(t, r.IsHead(0))
	return r, r.Step(0, StateDigest{digest(64, 2)})
}

// A tail with a read permission must not answer reads from a state that differs.
func TestDivergedTailAnswersNoReads(t *testing.T) {
	r := newAuditingHead(t)
	v := r.view.Next()
	v.Chain = []view.Member{v.Chain[1], v.Chain[2], v.Chain[0]}
	out := r.Step(0, Receive{&Message{From: v.Chain[0], To: "a", Epoch: v.Epoch, View: &v}})
	r.Step(0, Synced{Token: out.Token})
	r.tail.readUntil = time.Hour
	require.True(t, r.IsTail(0))
	r.Step(0, StateDigest{digest(64, 2)})
	agreed := digest(64, 1)
	r.Step(0, Receive{&Message{From: v.Chain[0], To: "a", Epoch: v.Epoch, Differs: &agreed}})
	require.NotNil(t, r.audit.divergence)
	assert.False(t, r.IsTail(0))
}

func TestDivergedReplicaOnlyMarksItsDisk(t *testing.T) {
	r, out := newDivergedReplica(t)
	require.Len(t, out.Persist, 1)
	assert.Equal(t, KindUnfit, out.Persist[0].Kind)
	assert.Empty(t, out.Send)
	assert.NoError(t, out.Fault, "the mark isn't on disk yet")
	assert.False(t, r.IsHead(0) || r.IsTail(0))

	request := &Message{From: r.view.Chain[1], Epoch: r.view.Epoch, Request: &view.Request{Sequence: 1}}
	newer := r.view.Next()
	viewMessage := &Message{From: r.view.Chain[1], Epoch: newer.Epoch, View: &newer}
	for _, in := range []Input{Tick{}, Receive{request}, Leave{}, Synced{Token: out.Token - 1}, Receive{viewMessage}} {
		next := r.Step(time.Second, in)
		assert.Empty(t, next.Send)
		assert.Empty(t, next.Persist)
		assert.NoError(t, next.Fault)
	}
	_, next, err := r.Propose(time.Second, [][]byte{{1}})
	assert.ErrorIs(t, err, ErrNotHead)
	assert.Empty(t, next.Persist)
	next = r.Step(time.Second, Synced{Token: out.Token})
	assert.ErrorIs(t, next.Fault, ErrStateDiverged)
	r.Step(time.Second, Synced{Token: out.Token + 5})
	assert.False(t, r.entered, "it must not enter a later view either")
}

func TestDivergedReplicaStopsOnFailedDisk(t *testing.T) {
	r, _ := newDivergedReplica(t)
	assert.ErrorIs(t, r.Step(0, DiskFailed{}).Fault, ErrStateDiverged)
}

func TestOnlyTheHeadReportsDivergence(t *testing.T) {
	r := newAuditingHead(t)
	r.Step(0, StateDigest{digest(64, 2)})
	agreed := digest(64, 1)
	r.Step(0, Receive{&Message{From: r.view.Chain[1], To: "a", Epoch: r.view.Epoch, Differs: &agreed}})
	assert.Nil(t, r.audit.divergence)
	same, unknown := digest(64, 2), digest(63, 1)
	head := r.view.Head()
	for _, reported := range []*view.Digest{&same, &unknown} {
		r.Step(0, Receive{&Message{From: head, To: "a", Epoch: r.view.Epoch, Differs: reported}})
		assert.Nil(t, r.audit.divergence)
	}
	r.Step(0, Receive{&Message{From: head, To: "a", Epoch: r.view.Epoch, Differs: &agreed}})
	assert.NotNil(t, r.audit.divergence)
}

func TestUnfitDiskIsNotReused(t *testing.T) {
	_, out := newDivergedReplica(t)
	entry := encodeEntry(chain.Entry{Index: 1, Epoch: 1})
	p, err := Restore([]Record{encodeIdentity("a"), entry, out.Persist[0]})
	require.NoError(t, err)
	assert.Contains(t, p.Unfit, "differs")
	p, err = Restore(BlankDisk("other"))
	require.NoError(t, err)
	assert.Empty(t, p.Unfit)
	assert.Equal(t, view.ReplicaID("other"), p.Identity)
	assert.False(t, p.View.Known())
}
