package control

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/internalapi"
)

// readSim is a shareSim in which one configuration after the other is put in force. It records the newest acknowledged version.
type readSim struct {
	*shareSim
	acknowledged uint64
}

func startReadSim(t *testing.T, seed uint64) *readSim {
	w := &readSim{shareSim: newShareSim(t, seed, nil)}
	time.Sleep(2 * time.Second) // of the bubble's time, as all pauses here
	require.NotNil(t, w.head())
	w.replace()
	return w
}

// replace puts the next configuration in force at any replica that accepts it, and records it once it is acknowledged.
func (w *readSim) replace() { w.replaceAt(w.replicas) }

func (w *readSim) replaceAt(replicas []*shareReplica) {
	next := w.acknowledged + 1
	args := internalapi.ReplaceArgs{Base: w.acknowledged, Body: fmt.Appendf(nil, `{"version":%d}`, next)}
	for attempt := 0; ; attempt++ {
		reply := replicas[attempt%len(replicas)].replaceLocally(args, operatorTimeout)
		if reply.Verdict == internalapi.Done {
			w.acknowledged = next
			return
		}
		require.Less(w.t, attempt, 100, "%v", reply)
		time.Sleep(20 * time.Millisecond)
	}
}

// tail returns the replica at the end of the chain, as the head knows it.
func (w *readSim) tail() *shareReplica {
	head := w.head()
	address := onReplica(head, func() string { return head.engine.view().Tail().Address })
	for _, r := range w.replicas {
		if r.self().Address == address {
			return r
		}
	}
	return nil
}

// A read after an acknowledgement returns at least what was acknowledged, also at the tail, which is the last to learn of the commit.
func TestReadsShowWhatIsAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startReadSim(t, 1)
		defer w.stop()
		for range 20 {
			w.replace()
			w.checkReads()
			reply := w.tail().readLocally()
			assert.Equal(t, internalapi.Done, reply.Verdict, "the tail answers")
			assert.Equal(t, w.acknowledged, reply.Version)
		}
	})
}

// checkReads reads from every replica in every way. No read may return less than what is acknowledged.
func (w *readSim) checkReads() {
	for i, r := range w.replicas {
		if reply := r.readLocally(); reply.Verdict == internalapi.Done {
			assert.Equal(w.t, w.acknowledged, reply.Version, "Read at %d", i)
		}
		var digest internalapi.DigestReply
		service := &Service{node: r.Node}
		require.NoError(w.t, service.Digest(internalapi.DigestArgs{}, &digest))
		if digest.Serving {
			assert.Equal(w.t, w.acknowledged, digest.ConfigVersion, "Digest at %d", i)
		}
	}
}

// After a moment a replica that is cut off refuses calls at once, whatever its position in the chain. The others go on, and no answer of
// the replica contradicts them, neither then nor after it is reconnected.
func TestCutOffReplicaDoesNotAnswer(t *testing.T) {
	for place := range shareReplicas {
		t.Run(fmt.Sprint(place), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := startReadSim(t, uint64(10+place))
				defer w.stop()
				head := w.head()
				chain := onReplica(head, func() []string { return addresses(head.engine.view().Chain) })
				for _, r := range w.replicas {
					if r.self().Address == chain[place] {
						w.cutOff(r, 20*time.Second)
					}
				}
			})
		})
	}
}

// cutOff cuts a replica off for a while, sends it reads and requests, and continues with the others.
func (w *readSim) cutOff(r *shareReplica, length time.Duration) {
	w.setCut(r.number, true)
	began := time.Now()
	stale := internalapi.ReplaceArgs{Base: w.acknowledged, Body: fmt.Appendf(nil, `{"version":%d}`, 1000)}
	for time.Since(began) < length {
		time.Sleep(500 * time.Millisecond)
		asked := time.Now()
		assert.Equal(w.t, internalapi.NotHead, r.readLocally().Verdict)
		assert.Equal(w.t, internalapi.NotHead, r.replaceLocally(stale, operatorTimeout).Verdict)
		var job internalapi.JobReply
		require.NoError(w.t, (&Service{node: r.Node}).Cancel(internalapi.CancelArgs{ID: 1}, &job))
		assert.Equal(w.t, internalapi.NotHead, job.Verdict)
		assert.Less(w.t, time.Since(asked), 10*time.Millisecond, "the replica answers at once")
		w.replace()
		w.checkReads()
	}
	w.setCut(r.number, false)
	for range 100 {
		assert.NotEqual(w.t, internalapi.Done, r.replaceLocally(stale, operatorTimeout).Verdict)
		w.checkReads()
		time.Sleep(10 * time.Millisecond)
	}
	w.replace()
	w.checkReads()
}

// A read that waits for an index ends with the view, because the index may never be committed.
func TestWaitingReadEndsWithTheView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startReadSim(t, 2)
		defer w.stop()
		tail, head := w.tail(), w.head()
		answers := make(chan bool, 1)
		tail.loop.post(func() {
			tail.engine.pendingReads = append(tail.engine.pendingReads, pendingRead{index: 1 << 40, answer: func(current bool) { answers <- current }})
		})
		w.replace()
		assert.Empty(t, answers, "the read waits for its index")
		w.setCut(head.number, true)
		time.Sleep(3 * time.Second)
		require.Len(t, answers, 1)
		assert.False(t, <-answers)
		w.setCut(head.number, false)
	})
}

// The number of waiting reads is bounded, and a closed engine answers all of them.
func TestWaitingReadsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startReadSim(t, 3)
		defer w.stop()
		tail := w.tail()
		refused := onReplica(tail, func() int {
			refused := 0
			count := func(current bool) {
				if !current {
					refused++
				}
			}
			for range maxPendingReads {
				tail.engine.pendingReads = append(tail.engine.pendingReads, pendingRead{index: 1 << 40, answer: count})
			}
			tail.engine.read(count)
			assert.Equal(t, 1, refused)
			tail.engine.close()
			tail.engine.read(count)
			return refused
		})
		assert.Equal(t, maxPendingReads+2, refused)
	})
}

// A head was paused while another one took over. It must not accept, reject or answer calls that arrived meanwhile: by its outdated state
// it would reject a request based on the newest version.
func TestFrozenHeadDecidesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startReadSim(t, 4)
		defer w.stop()
		frozen := w.head()
		const length = 20 * time.Second
		reads, orders := make(chan internalapi.ReadReply, 1), make(chan internalapi.ReplaceReply, 1)
		args := make(chan internalapi.ReplaceArgs, 1)
		frozen.loop.post(func() { time.Sleep(length) })
		frozen.loop.post(func() {
			sent := <-args
			frozen.replace(&sent, func(reply internalapi.ReplaceReply) { orders <- reply })
		})
		frozen.loop.post(func() { frozen.engine.read(func(current bool) { reads <- frozen.readReply(current) }) })
		time.Sleep(3 * time.Second)
		others := slices.DeleteFunc(slices.Clone(w.replicas), func(r *shareReplica) bool { return r == frozen })
		for range 5 {
			w.replaceAt(others)
		}
		args <- internalapi.ReplaceArgs{Base: w.acknowledged, Body: fmt.Appendf(nil, `{"version":%d}`, w.acknowledged+1)}
		time.Sleep(length)
		assert.Equal(t, internalapi.NotHead, (<-orders).Verdict)
		assert.Equal(t, internalapi.NotHead, (<-reads).Verdict)
		time.Sleep(time.Second)
		w.checkReads()
	})
}

// A replica that is cut off refuses operators at once, not only after the timeout.
func TestCutOffReplicaSendsOperatorsAway(t *testing.T) {
	for place := range shareReplicas {
		synctest.Test(t, func(t *testing.T) {
			w := startReadSim(t, uint64(20+place))
			defer w.stop()
			r := w.replicas[place]
			time.Sleep(2 * headContactTimeout)
			w.checkInTouch(r, true)
			w.setCut(r.number, true)
			time.Sleep(headContactTimeout + time.Second)
			w.checkInTouch(r, false)
			asked := time.Now()
			order := r.replaceOrForward(internalapi.ReplaceArgs{Base: w.acknowledged, Body: []byte(`{"version":1000}`)}, operatorTimeout)
			assert.Equal(t, http.StatusServiceUnavailable, order.Status)
			assert.Equal(t, internalapi.NotHead, r.readOrForward(operatorTimeout).Verdict)
			assert.Less(t, time.Since(asked), 10*time.Millisecond)
			w.setCut(r.number, false)
			time.Sleep(time.Second)
			w.checkInTouch(r, true)
		})
	}
}

func (w *readSim) checkInTouch(r *shareReplica, want bool) {
	assert.Equal(w.t, want, !r.isCutOff(), "replica %d", r.number)
}
