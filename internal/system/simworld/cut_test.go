package simworld

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// moving is an operator that puts one configuration after the other in force, at whoever it is told to, until it is stopped.
type moving struct {
	world    *world
	operator *operator
	at       func() int
	pause    time.Duration
	first    int // its marks begin here
	taken    int // orders that were acknowledged
	stopped  chan struct{}
	ended    sync.WaitGroup
}

// move has an operator replace the configuration again and again: each time it reads, and builds on what it has read.
func (w *world) move(number, firstMark int, pause time.Duration, at func() int) *moving {
	m := &moving{world: w, operator: w.newOperator(number), at: at, pause: pause, first: firstMark, stopped: make(chan struct{})}
	m.ended.Go(m.run)
	return m
}

func (m *moving) run() {
	for mark := m.first; ; mark++ {
		if read := m.operator.read(m.at()); read.status == http.StatusOK || read.status == http.StatusNotFound {
			asked := order{base: read.version, version: read.version + 1, mark: mark}
			if m.operator.replace(m.at(), asked).status == http.StatusOK {
				m.taken++
			}
		}
		select {
		case <-m.stopped:
			return
		case <-time.After(m.pause):
		}
	}
}

func (m *moving) stop() {
	close(m.stopped)
	m.ended.Wait()
}

// role is a place in the chain.
type role string

const (
	roleHead   role = "head"
	roleMiddle role = "middle"
	roleTail   role = "tail"
)

// holder is the number of the replica that has the role in a whole chain.
func (w *world) holder(wanted role) int {
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

// otherThan is any replica but that one, in turn.
func (w *world) otherThan(number int) func() int {
	turn := number
	return func() int {
		turn = (turn + 1) % len(w.replicas)
		if turn == number {
			turn = (turn + 1) % len(w.replicas)
		}
		return turn
	}
}

func at(number int) func() int { return func() int { return number } }

// one way, and both.
const (
	bothWays = "both ways"
	outward  = "what it sends"
	inward   = "what it is sent"
)

func (w *world) cut(number int, way string) {
	w.note("cut off: %d, %s", number, way)
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

// A replica is cut off while orders are taken on the majority's side, and operators read and replace at it the whole time: what it
// answers has to fit into the one history. Afterwards it answers again.
func TestACutOffReplicaKeepsToTheOneHistory(t *testing.T) {
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
			play(t, uint64(i)+1, options{replicas: 3, tolerance: 1}, func(w *world) {
				lost := w.holder(cut.role)
				majority := w.move(0, 2000, 200*time.Millisecond, w.otherThan(lost))
				time.Sleep(2 * time.Second)
				stale := w.move(1, 100_000, 100*time.Millisecond, at(lost))
				w.cut(lost, cut.way)
				if cut.restart {
					time.Sleep(cut.length / 2)
					w.replicas[lost].kill()
					w.replicas[lost].start(false)
					time.Sleep(cut.length / 2)
				} else {
					time.Sleep(cut.length)
				}
				before := majority.taken
				w.note("healed")
				w.net.HealAll()
				time.Sleep(3 * time.Second)
				majority.stop()
				stale.stop()
				require.Greater(t, before, int(cut.length/time.Second), "the majority stood still")
				require.Equal(t, http.StatusOK, w.newOperator(2).read(lost).status, "it answers again")
				w.requireRegister()
			})
		})
	}
}
