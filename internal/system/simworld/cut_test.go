package simworld

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sequentialWriter is an operator that replaces the configuration again and again until it is stopped.
type sequentialWriter struct {
	world        *world
	operator     *operator
	target       func() int
	pause        time.Duration
	firstMark    int // mark of its first order
	acknowledged int // number of acknowledged orders
	stopped      chan struct{}
	ended        sync.WaitGroup
}

// startReplacing starts a sequentialWriter. For each order it reads the configuration and sends one that is based on it, to the replicas
// that target returns.
func (w *world) startReplacing(number, firstMark int, pause time.Duration, target func() int) *sequentialWriter {
	m := &sequentialWriter{world: w, operator: w.newOperator(number), target: target, pause: pause, firstMark: firstMark, stopped: make(chan struct{})}
	m.ended.Go(m.run)
	return m
}

func (m *sequentialWriter) run() {
	for mark := m.firstMark; ; mark++ {
		if read := m.operator.read(m.target()); read.status == http.StatusOK || read.status == http.StatusNotFound {
			newOrder := order{base: read.version, version: read.version + 1, mark: mark}
			if m.operator.replace(m.target(), newOrder).status == http.StatusOK {
				m.acknowledged++
			}
		}
		select {
		case <-m.stopped:
			return
		case <-time.After(m.pause):
		}
	}
}

func (m *sequentialWriter) stop() {
	close(m.stopped)
	m.ended.Wait()
}

// role is a position in the chain.
type role string

const (
	roleHead   role = "head"
	roleMiddle role = "middle"
	roleTail   role = "tail"
)

// replicaWithRole waits for the full chain and returns the number of the replica with the role.
func (w *world) replicaWithRole(wanted role) int {
	reply, ok := w.overview(w.awaitHead(len(w.replicas)))
	require.True(w.t, ok)
	chain := reply.View.Chain
	switch wanted {
	case roleHead:
		return w.numberOf(chain[0].Address)
	case roleTail:
		return w.numberOf(chain[len(chain)-1].Address)
	}
	return w.numberOf(chain[1].Address)
}

// allExcept returns a function that returns the other replicas' numbers in turn.
func (w *world) allExcept(number int) func() int {
	turn := number
	return func() int {
		turn = (turn + 1) % len(w.replicas)
		if turn == number {
			turn = (turn + 1) % len(w.replicas)
		}
		return turn
	}
}

func only(number int) func() int { return func() int { return number } }

// Directions in which a replica can be isolated.
const (
	bothWays = "both ways"
	outward  = "what it sends"
	inward   = "what it is sent"
)

func (w *world) isolate(number int, way string) {
	w.logf("cut off: %d, %s", number, way)
	for other := range w.replicas {
		if other == number {
			continue
		}
		if way != inward {
			w.net.Cut(replicaHost(number), replicaHost(other))
		}
		if way != outward {
			w.net.Cut(replicaHost(other), replicaHost(number))
		}
	}
}

// A replica is isolated while operators write on the majority's side and others read and write at the isolated replica. All answers have
// to form one linearizable history. Once healed, the replica answers again.
func TestIsolatedReplicaStaysLinearizable(t *testing.T) {
	for i, cut := range []struct {
		role    role
		way     string
		length  time.Duration
		restart bool
	}{
		{roleHead, bothWays, 5 * time.Second, false},
		{roleHead, bothWays, 20 * time.Second, true},
		{roleHead, outward, 8 * time.Second, false},
		{roleHead, inward, 8 * time.Second, false},
		{roleMiddle, bothWays, 20 * time.Second, false},
		{roleMiddle, outward, 8 * time.Second, true},
		{roleTail, bothWays, 60 * time.Second, false},
		{roleTail, bothWays, 20 * time.Second, true},
		{roleTail, outward, 8 * time.Second, false},
		{roleTail, inward, 8 * time.Second, false},
	} {
		t.Run(fmt.Sprintf("%s/%s/%v", cut.role, cut.way, cut.length), func(t *testing.T) {
			runInWorld(t, uint64(i)+1, options{replicas: 3, tolerance: 1}, func(w *world) {
				isolated := w.replicaWithRole(cut.role)
				majority := w.startReplacing(0, 2000, 200*time.Millisecond, w.allExcept(isolated))
				time.Sleep(2 * time.Second)
				stale := w.startReplacing(1, 100_000, 100*time.Millisecond, only(isolated))
				w.isolate(isolated, cut.way)
				if cut.restart {
					time.Sleep(cut.length / 2)
					w.replicas[isolated].kill()
					w.replicas[isolated].start(false)
					time.Sleep(cut.length / 2)
				} else {
					time.Sleep(cut.length)
				}
				before := majority.acknowledged
				w.logf("healed")
				w.net.HealAll()
				time.Sleep(3 * time.Second)
				majority.stop()
				stale.stop()
				require.Greater(t, before, int(cut.length/time.Second), "the majority made too little progress")
				require.Equal(t, http.StatusOK, w.newOperator(2).read(isolated).status, "the healed replica answers again")
				w.requireRegister()
			})
		})
	}
}
