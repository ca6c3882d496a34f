package simworld

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/transport"
	"gaugeslip/internal/seeds"
	"gaugeslip/internal/simnet"
	"gaugeslip/internal/system/control"
	"gaugeslip/internal/system/internalapi"
)

const (
	// seedVariable has the random runs play that one seed only, roundsVariable as many seeds as it says.
	seedVariable   = "SIMWORLD_SEED"
	roundsVariable = "SIMWORLD_ROUNDS"
	// logVariable names a file to which the processes of a failed world write what they have logged.
	logVariable = "SIMWORLD_LOG"

	consoleHost = "10.0.6.1"
)

// options say how large a world is.
type options struct {
	replicas, tolerance  int
	dispatchers, workers int
}

// world is all the machines of one run.
type world struct {
	t       *testing.T
	seed    uint64
	options options
	random  *rand.Rand
	net     *simnet.Network
	folder  string
	began   time.Time

	replicas    []*replica
	dispatchers []*dispatcher
	farm        *farm
	console     *transport.Client // an operator's command line
	history     history
	clients     []*client
	// endings are the ends of processes that were killed, and the servers of the farm.
	endings sync.WaitGroup

	mutex sync.Mutex
	logs  bytes.Buffer
	stop  chan struct{}
}

// play runs a body in a world of its own, inside a bubble. The world is whole and has its head when the body begins.
func play(t *testing.T, seed uint64, options options, body func(w *world)) {
	t.Helper()
	folder := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, seed, options, folder)
		defer w.close()
		w.awaitHead(0)
		body(w)
	})
}

func newWorld(t *testing.T, seed uint64, options options, folder string) *world {
	w := &world{t: t, seed: seed, options: options, random: rand.New(rand.NewPCG(seed, 11)), net: simnet.New(seed), folder: folder,
		began: time.Now(), stop: make(chan struct{})}
	w.console = transport.NewClient(transport.Options{Dial: w.net.Dialer(consoleHost)})
	w.farm = w.newFarm(options.workers)
	for number := range options.replicas {
		w.replicas = append(w.replicas, w.newReplica(number))
	}
	for _, r := range w.replicas {
		r.start(true)
	}
	for number := range options.dispatchers {
		d := w.newDispatcher(number)
		d.start(w.seeds())
		w.dispatchers = append(w.dispatchers, d)
	}
	return w
}

// close ends everything, so that no goroutine is left in the bubble.
func (w *world) close() {
	close(w.stop)
	w.net.HealAll()
	w.net.SetPlan(nil)
	for _, d := range w.dispatchers {
		d.kill()
	}
	for _, r := range w.replicas {
		r.kill()
	}
	for _, c := range w.clients {
		c.http.CloseIdleConnections()
	}
	w.farm.close()
	_ = w.console.Close()
	time.Sleep(callPatience) // until handlers that nobody waits for have ended
	w.endings.Wait()
	if path := os.Getenv(logVariable); path != "" && w.t.Failed() {
		require.NoError(w.t, os.WriteFile(path, w.logs.Bytes(), 0o600))
	}
}

func (w *world) seeds() []string {
	var seeds []string
	for number := range w.options.replicas {
		seeds = append(seeds, controlAddress(number))
	}
	return seeds
}

// logger notes what a process logs, with the time since the world's beginning.
func (w *world) logger(name string) *log.Logger {
	return log.NewWithOptions(&worldLog{world: w, name: name}, log.Options{})
}

// worldLog is one process's part of the world's log.
type worldLog struct {
	world *world
	name  string
}

// Write implements io.Writer.
func (l *worldLog) Write(line []byte) (int, error) {
	l.world.mutex.Lock()
	defer l.world.mutex.Unlock()
	fmt.Fprintf(&l.world.logs, "%10.3f %s ", time.Since(l.world.began).Seconds(), l.name)
	return l.world.logs.Write(line)
}

// note writes what the test does into the log.
func (w *world) note(format string, arguments ...any) {
	fmt.Fprintf(&worldLog{world: w, name: "TEST"}, format+"\n", arguments...)
}

// watch fails the test when a replica finds an invariant broken.
func (w *world) watch(r *replica, node *control.Node) {
	w.endings.Go(func() {
		select {
		case err := <-node.Failed():
			w.t.Errorf("seed %d: replica %d has found an invariant broken: %v", w.seed, r.number, err)
		case <-w.stop:
		}
	})
}

// overview asks a replica what it knows, as an operator's command does.
func (w *world) overview(number int) (internalapi.OverviewReply, bool) {
	var reply internalapi.OverviewReply
	err := w.console.Call(internalAddress(number), internalapi.MethodOverview, internalapi.OverviewArgs{}, &reply, time.Second)
	return reply, err == nil
}

// headPatience bounds every wait for a head, in the bubble's time.
const headPatience = 30 * time.Second

// awaitHead waits for a replica that acts as the head of a chain of at least that length, and gives its number.
func (w *world) awaitHead(chain int) int {
	w.t.Helper()
	for limit := time.Now().Add(headPatience); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		for number, r := range w.replicas {
			if !r.up() {
				continue
			}
			if reply, ok := w.overview(number); ok && reply.Scheduling && len(reply.View.Chain) >= chain {
				return number
			}
		}
	}
	require.FailNow(w.t, "no head", "seed %d", w.seed)
	return -1
}

// tail is the number of the tail, as the head knows it.
func (w *world) tail() int {
	reply, ok := w.overview(w.awaitHead(0))
	require.True(w.t, ok)
	return w.numberOf(reply.View.Tail().Address)
}

func (w *world) numberOf(address string) int {
	for number := range w.replicas {
		if internalAddress(number) == address {
			return number
		}
	}
	return -1
}

// seedsToPlay are the seeds of a random run: one from the environment, or as many as are asked for.
func seedsToPlay(t *testing.T, rounds int) []uint64 {
	return seeds.List(t, seedVariable, roundsVariable, 1, rounds)
}
