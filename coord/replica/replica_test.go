package replica

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

func TestMessagesSurviveGob(t *testing.T) {
	v := &view.View{Epoch: 2, Voters: []view.Member{{ID: "a", Address: "x"}}, Chain: []view.Member{{ID: "a", Address: "x"}}}
	from := view.Member{ID: "a", Address: "x", Control: "y"}
	messages := []*Message{
		{From: from, View: v, Prepare: &view.Prepare{Ballot: view.Ballot{Round: 1, Owner: "a", Life: 9}}},
		{From: from, Promise: &view.Promise{}},
		{From: from, Accept: &view.Accept{Value: *v}},
		{From: from, Accepted: &view.Accepted{}},
		{From: from, Heartbeat: &view.Heartbeat{}},
		{From: from, HeartbeatAck: &view.HeartbeatAck{Digests: []view.Digest{{Index: 64, Format: 1, Sum: 9}}}},
		{From: from, Differs: &view.Digest{Index: 64, Format: 1, Sum: 9}},
		{From: from, Join: &view.Join{}, Viewless: true},
		{From: from, Leave: &view.LeaveNotice{}},
		{From: from, Request: &view.Request{}},
		{From: from, Chain: &chain.Body{Append: &chain.Append{Entries: []chain.Entry{{Index: 1, Data: []byte("x")}}}}},
		{From: from, Chain: &chain.Body{Ack: &chain.Ack{}}},
		{From: from, Chain: &chain.Body{Probe: &chain.Probe{}}},
		{From: from, Chain: &chain.Body{Hello: &chain.Hello{}}},
		{From: from, Chain: &chain.Body{Chunk: &chain.Chunk{}}},
		{From: from, Chain: &chain.Body{ChunkAck: &chain.ChunkAck{}}},
	}
	for _, m := range messages {
		var buffer bytes.Buffer
		require.NoError(t, gob.NewEncoder(&buffer).Encode(m))
		var got Message
		require.NoError(t, gob.NewDecoder(&buffer).Decode(&got))
		assert.Equal(t, *m, got)
	}
}

func TestRestoreReadsWhatWasWritten(t *testing.T) {
	v := view.View{Epoch: 4, Voters: []view.Member{{ID: "a"}}, Chain: []view.Member{{ID: "a"}}}
	entry := func(index, epoch uint64) Record {
		return encodeEntry(chain.Entry{Index: index, Epoch: epoch, Data: []byte("d")})
	}
	p, err := Restore([]Record{encodeIdentity("a"), encodeView(v), entry(1, 1), entry(2, 1), entry(3, 1), encodeTruncate(2),
		entry(3, 2), entry(2, 3), encodeAcceptor(view.Acceptor{Instance: 5})})
	require.NoError(t, err)
	assert.Equal(t, view.ReplicaID("a"), p.Identity)
	assert.True(t, v.Equal(p.View))
	assert.Equal(t, uint64(5), p.Acceptor.Instance)
	assert.Equal(t, uint64(2), p.Log.Last())
	assert.Equal(t, uint64(3), p.Log.LastEpoch())
	_, err = Restore([]Record{entry(1, 1), entry(3, 1)})
	assert.ErrorIs(t, err, view.ErrCorrupt)
	_, err = Restore([]Record{{Kind: 99}})
	assert.ErrorIs(t, err, view.ErrCorrupt)
	_, err = Restore([]Record{encodeWholeSnapshot(chain.Snapshot{Index: 7, Epoch: 2, Data: []byte("s")}), entry(8, 2)})
	assert.NoError(t, err)
}

// newCalmWorld returns a started deployment with writes.
func newCalmWorld(t *testing.T, seed uint64, seeds, others, tolerance int) *world {
	w := newWorld(seed, seeds, others, tolerance)
	w.writeLoop(10 * time.Millisecond)
	w.run(warmUp)
	require.NoError(t, w.failure)
	require.NotNil(t, w.head())
	return w
}

// untilCommitted simulates until something new is committed, and returns how long that took.
func (w *world) untilCommitted(most time.Duration) time.Duration {
	began, before := w.now, len(w.oracle.entries)
	for w.now < began+most && len(w.oracle.entries) == before && w.failure == nil {
		w.run(w.now + time.Millisecond)
	}
	return w.now - began
}

// untilInChain simulates until a machine is in the chain, and returns how long that took.
func (w *world) untilInChain(m *machine, most time.Duration) time.Duration {
	began := w.now
	for w.now < began+most && w.failure == nil {
		w.run(w.now + time.Millisecond)
		if head := w.head(); head != nil && m.process != nil && head.process.View().InChain(m.process.Self().ID) {
			break
		}
	}
	return w.now - began
}

const deploymentSeeds = 20

func eachSeed(t *testing.T, check func(t *testing.T, w *world)) {
	for seed := range uint64(deploymentSeeds) {
		w := newCalmWorld(t, seed, 3, 0, 1)
		check(t, w)
		require.NoError(t, w.failure, "seed %d", seed)
	}
}

func TestTakeover(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		w.head().losePower()
		assert.Less(t, w.untilCommitted(5*time.Second), 1200*time.Millisecond)
	})
}

func TestPlannedLeaveOfTheHead(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		head := w.head()
		head.input(Leave{})
		began := w.now
		for !head.left && w.now < began+time.Second {
			w.run(w.now + time.Millisecond)
		}
		w.untilCommitted(5 * time.Second)
		assert.Less(t, w.now-began, 250*time.Millisecond)
		assert.True(t, head.left)
		assert.False(t, head == w.head(), "the head is still the same")
	})
}

func TestRestartedHeadContinues(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		head := w.head()
		head.kill()
		w.run(w.now + 100*time.Millisecond)
		head.start()
		assert.Less(t, w.untilCommitted(5*time.Second), 400*time.Millisecond)
	})
}

func TestCommitsResumeAfterAllLosePower(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		for _, m := range w.machines {
			m.losePower()
			w.after(w.randomDuration(100*time.Millisecond, 500*time.Millisecond), m.start)
		}
		assert.Less(t, w.untilCommitted(5*time.Second), 1200*time.Millisecond)
	})
}

func TestAllLosePowerOneItsDisk(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		wiped := w.random.IntN(len(w.machines))
		for i, m := range w.machines {
			if i == wiped {
				m.loseDisk()
			} else {
				m.losePower()
			}
			w.after(w.randomDuration(100*time.Millisecond, 500*time.Millisecond), m.start)
		}
		assert.Less(t, w.untilCommitted(5*time.Second), 2500*time.Millisecond)
		assert.Less(t, w.untilInChain(w.machines[wiped], 5*time.Second), 1500*time.Millisecond)
	})
}

func TestRestartedMachineRejoins(t *testing.T) {
	for _, wiped := range []bool{false, true} {
		eachSeed(t, func(t *testing.T, w *world) {
			m := w.machines[w.random.IntN(len(w.machines))]
			if wiped {
				m.loseDisk()
			} else {
				m.losePower()
			}
			w.run(w.now + 3*time.Second)
			m.start()
			assert.Less(t, w.untilInChain(m, 5*time.Second), time.Second)
			assert.Len(t, w.head().process.View().Voters, 3)
		})
	}
}

func TestOthersJoinSeeds(t *testing.T) {
	w := newCalmWorld(t, 1, 3, 2, 2)
	v := w.head().process.View()
	assert.Len(t, v.Voters, 5)
	assert.Len(t, v.Chain, 5)
}

func TestReplacedMachineTakesTheSeat(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		old := w.machines[w.random.IntN(len(w.machines))]
		old.losePower()
		old.removed = true
		w.run(w.now + 2500*time.Millisecond)
		other := w.newMachine()
		other.start()
		assert.Less(t, w.untilInChain(other, 5*time.Second), time.Second)
		w.run(w.now + voterTimeout + time.Second) // a new head doesn't know yet how long the old machine has been gone
		assert.Len(t, w.head().process.View().Voters, 3)
	})
}

func TestStalledDiskOfTheHead(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		head := w.head()
		head.stalledUntil = w.now + 10*time.Second
		w.run(w.now + 30*time.Millisecond) // for entries that were in progress
		assert.Less(t, w.untilCommitted(5*time.Second), 1300*time.Millisecond)
		assert.False(t, head == w.head(), "the head is still the same")
	})
}

// Voters that have just restarted don't know their grants: the head, which is cut off and doesn't notice, keeps its lease against them.
func TestRestartedVotersWait(t *testing.T) {
	eachSeed(t, func(t *testing.T, w *world) {
		head := w.head()
		for _, m := range w.machines {
			if m != head {
				w.cuts[[2]string{m.address, head.address}] = w.now + time.Second
				w.cuts[[2]string{head.address, m.address}] = w.now + time.Second
				m.kill()
				m.start()
				m.process.electionAt = 0
				m.input(Tick{})
			}
		}
		w.run(w.now + 300*time.Millisecond)
	})
}

func TestShortChainRefusesWrites(t *testing.T) {
	w := newCalmWorld(t, 3, 3, 0, 2)
	head := w.head()
	_, _, err := w.machines[2].process.Propose(w.machines[2].clock(), [][]byte{nil})
	require.ErrorIs(t, err, ErrNotHead)
	w.others()[0].losePower()
	w.run(w.now + time.Second)
	require.NoError(t, w.failure)
	assert.ErrorIs(t, head.process.CanPropose(head.clock()), ErrChainTooShort)
}
