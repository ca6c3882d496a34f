package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// untilEnded plays until so many processes have stopped for their state.
func (w *world) untilEnded(count int, most time.Duration) {
	for end := w.now + most; w.now < end && w.failure == nil && len(w.stopped()) < count; {
		w.run(w.now + time.Millisecond)
	}
}

// stopped are the machines that have stopped for their state, once for each time.
func (w *world) stopped() []*machine {
	var stopped []*machine
	for _, m := range w.machines {
		for range m.ended {
			stopped = append(stopped, m)
		}
	}
	return stopped
}

// A member whose state is another one than that of the rest stops, wherever it stands in the chain, the head too. It comes back on an empty
// disk, as another replica, and with the right state.
func TestAStateThatDiffersStopsItsReplica(t *testing.T) {
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
			victim.wrong = 1
			w.untilEnded(1, 5*time.Second)
			require.Equal(t, []*machine{victim}, w.stopped(), "place %d", place)
			assert.ErrorIs(t, victim.ended[0], ErrStateDiverged)
			assert.NotEmpty(t, victim.durable.Unfit, "its disk is marked")
			w.run(w.now + 1100*time.Millisecond)
			assert.Less(t, w.untilIn(victim, 5*time.Second), 3*time.Second)
			w.run(w.now + 2*time.Second)
			require.NoError(t, w.failure)
			assert.Len(t, w.stopped(), 1)
			assert.NotEqual(t, before, victim.process.Self().ID)
			assert.Equal(t, victim.sum, w.oracle.sums[victim.applied-1])
		})
	}
}

// With two in the chain nobody can tell who is right: the head's state stands.
func TestOfTwoThatDifferTheHeadStays(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		head := w.head()
		var away *machine
		for _, m := range w.machines {
			if m != head {
				away = m
			}
		}
		away.losePower()
		w.run(w.now + 3*time.Second)
		for _, m := range w.machines {
			m.wrong = 1
		}
		head.wrong = 2
		away.wrong = 0
		w.run(w.now + 2*time.Second)
		require.Empty(t, w.stopped(), "without a majority of the voters left nobody stops")
		away.start()
		w.untilEnded(1, 5*time.Second)
		stopped := w.stopped()
		require.Len(t, stopped, 1)
		assert.NotSame(t, head, stopped[0])
		assert.NotSame(t, away, stopped[0])
	})
}

// All differ: one after the other takes over the head's state, and there is a majority all along.
func TestMembersThatDifferStopOneAtATime(t *testing.T) {
	for seed := range uint64(5) {
		w := calm(t, seed, 3, 0, 1)
		for i, m := range w.machines {
			m.wrong = uint64(i + 1)
		}
		head := w.head()
		for end := w.now + 12*time.Second; w.now < end && w.failure == nil; w.run(w.now + 5*time.Millisecond) {
			running := 0
			for _, m := range w.machines {
				if m.process != nil && m.process.audit.fault == nil {
					running++
				}
			}
			require.GreaterOrEqual(t, running, 2, "at %v", w.now)
			head.wrong = 1
		}
		require.NoError(t, w.failure, "seed %d", seed)
	}
}

// auditing is a head, by itself, of a chain of three whose other members have just answered.
func auditing(t *testing.T) *Replica {
	var v view.View
	for _, id := range []view.ReplicaID{"a", "b", "c"} {
		v.Voters = append(v.Voters, view.Member{ID: id, Address: string(id)})
	}
	v.Chain = v.Voters
	r := New(Config{Self: v.Voters[0], Genesis: &v, Tolerance: 1, Seed: 1}, Persisted{}, 0)
	r.Step(0, Synced{Token: 1})
	r.head.condemnedAt = -time.Hour
	for _, id := range []view.ReplicaID{"b", "c"} {
		r.peer(id, 0).echo = 1
	}
	require.True(t, r.leading())
	return r
}

func digest(index, sum uint64) view.Digest { return view.Digest{Index: index, Format: 1, Sum: sum} }

// differing are those to whom a message says that their state differs.
func differing(out Output) []string {
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
		told      []string
		stops     bool
	}{
		"all agree":                {own: digest(64, 1), b: digest(64, 1), c: digest(64, 1)},
		"the last differs":         {own: digest(64, 1), b: digest(64, 1), c: digest(64, 2), told: []string{"c"}},
		"the middle differs":       {own: digest(64, 1), b: digest(64, 2), c: digest(64, 1), told: []string{"b"}},
		"the head differs":         {own: digest(64, 2), b: digest(64, 1), c: digest(64, 1), stops: true},
		"all differ":               {own: digest(64, 1), b: digest(64, 2), c: digest(64, 3), told: []string{"b"}},
		"one hasn't come so far":   {own: digest(64, 1), b: digest(64, 1), c: digest(32, 2)},
		"two that differ so far":   {own: digest(64, 1), b: digest(64, 2), c: digest(32, 2)},
		"another format":           {own: digest(64, 1), b: digest(64, 1), c: view.Digest{Index: 64, Format: 2, Sum: 2}},
		"two with another format":  {own: digest(64, 1), b: view.Digest{Index: 64, Format: 2, Sum: 2}, c: view.Digest{Index: 64, Format: 2, Sum: 2}},
		"an index that isn't here": {own: digest(64, 1), b: digest(128, 2), c: digest(128, 3)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := auditing(t)
			r.peers["b"].digests, r.peers["c"].digests = []view.Digest{c.b}, []view.Digest{c.c}
			out := r.Step(0, StateDigest{c.own})
			assert.Equal(t, c.told, differing(out))
			assert.Equal(t, c.stops, r.audit.fault != nil)
		})
	}
}

func TestASecondMemberIsToldLater(t *testing.T) {
	r := auditing(t)
	r.peers["b"].digests, r.peers["c"].digests = []view.Digest{digest(64, 2)}, []view.Digest{digest(64, 3)}
	assert.Equal(t, []string{"b"}, differing(r.Step(0, StateDigest{digest(64, 1)})))
	r.peers["b"].digests = nil // gone
	r.peers["c"].digests = []view.Digest{digest(64, 1), digest(128, 3)}
	r.peers["b"].digests = []view.Digest{digest(128, 1)}
	soon := condemnPause*r.cfg.DropAfter - time.Millisecond
	for _, p := range r.peers {
		p.ackedAt, p.heard.at = soon, soon
	}
	assert.Empty(t, differing(r.Step(soon, StateDigest{digest(128, 1)})))
}

func TestNobodyIsToldWhereNoMajorityWouldBeLeft(t *testing.T) {
	r := auditing(t)
	r.peers["b"].digests, r.peers["c"].digests = []view.Digest{digest(64, 1)}, []view.Digest{digest(64, 3)}
	r.peers["b"].ackedAt = -r.cfg.DropAfter - time.Millisecond
	assert.Empty(t, differing(r.Step(0, StateDigest{digest(64, 1)})))
	r.peers["b"].ackedAt = 0
	r.peers["b"].echo = 0
	assert.Empty(t, differing(r.Step(0, StateDigest{digest(128, 1)})))
}

// With f+1 members in the chain nobody is told: the next loss could take the only copy.
func TestNobodyIsToldWhereTooFewWouldHaveEverything(t *testing.T) {
	r := auditing(t)
	r.view.Chain = r.view.Chain[:2]
	r.peers["b"].digests = []view.Digest{digest(64, 2)}
	assert.Empty(t, differing(r.Step(0, StateDigest{digest(64, 1)})))
	r.cfg.Tolerance = 0
	assert.Equal(t, []string{"b"}, differing(r.Step(0, StateDigest{digest(128, 1)})))
}

// stopping is a member of a chain of three that has found its state to differ.
func stopping(t *testing.T) (*Replica, Output) {
	r := auditing(t)
	r.peers["b"].digests, r.peers["c"].digests = []view.Digest{digest(64, 1)}, []view.Digest{digest(64, 1)}
	r.head.leaseUntil = time.Hour
	require.True(t, r.IsHead(0))
	return r, r.Step(0, StateDigest{digest(64, 2)})
}

// A tail that was permitted to answer reads must not do so from a state that differs.
func TestATailThatDiffersAnswersNoReads(t *testing.T) {
	r := auditing(t)
	v := r.view.Next()
	v.Chain = []view.Member{v.Chain[1], v.Chain[2], v.Chain[0]}
	out := r.Step(0, Receive{&Message{From: v.Chain[0], To: "a", Epoch: v.Epoch, View: &v}})
	r.Step(0, Synced{Token: out.Token})
	r.tail.readUntil = time.Hour
	require.True(t, r.IsTail(0))
	r.Step(0, StateDigest{digest(64, 2)})
	agreed := digest(64, 1)
	r.Step(0, Receive{&Message{From: v.Chain[0], To: "a", Epoch: v.Epoch, Differs: &agreed}})
	require.NotNil(t, r.audit.fault)
	assert.False(t, r.IsTail(0))
}

func TestAReplicaThatDiffersDoesNothingButMarkItsDisk(t *testing.T) {
	r, out := stopping(t)
	require.Len(t, out.Persist, 1)
	assert.Equal(t, KindUnfit, out.Persist[0].Kind)
	assert.Empty(t, out.Send)
	assert.NoError(t, out.Fault, "the mark isn't on disk yet")
	assert.False(t, r.IsHead(0) || r.IsTail(0))

	heartbeat := &Message{From: r.view.Chain[1], Epoch: r.view.Epoch, Request: &view.Request{Sequence: 1}}
	newer := r.view.Next()
	news := &Message{From: r.view.Chain[1], Epoch: newer.Epoch, View: &newer}
	for _, in := range []Input{Tick{}, Receive{heartbeat}, Leave{}, Synced{Token: out.Token - 1}, Receive{news}} {
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
	assert.False(t, r.entered, "it takes no place in a later view either")
}

func TestAReplicaThatDiffersEndsAlsoWhereItsDiskRefuses(t *testing.T) {
	r, _ := stopping(t)
	assert.ErrorIs(t, r.Step(0, DiskFailed{}).Fault, ErrStateDiverged)
}

func TestOnlyTheHeadsWordOnTheStateCounts(t *testing.T) {
	r := auditing(t)
	r.Step(0, StateDigest{digest(64, 2)})
	agreed := digest(64, 1)
	r.Step(0, Receive{&Message{From: r.view.Chain[1], To: "a", Epoch: r.view.Epoch, Differs: &agreed}})
	assert.Nil(t, r.audit.fault)
	same, unknown := digest(64, 2), digest(63, 1)
	head := r.view.Head()
	for _, word := range []*view.Digest{&same, &unknown} {
		r.Step(0, Receive{&Message{From: head, To: "a", Epoch: r.view.Epoch, Differs: word}})
		assert.Nil(t, r.audit.fault)
	}
	r.Step(0, Receive{&Message{From: head, To: "a", Epoch: r.view.Epoch, Differs: &agreed}})
	assert.NotNil(t, r.audit.fault)
}

func TestAMarkedDiskIsNotUsedAgain(t *testing.T) {
	_, out := stopping(t)
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
