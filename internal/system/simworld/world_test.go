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
	// seedVariable names the environment variable that limits the random runs to one seed. roundsVariable names the one that sets the
	// number of seeds.
	seedVariable   = "SIMWORLD_SEED"
	roundsVariable = "SIMWORLD_ROUNDS"
	// logVariable names the environment variable with the file that receives the log of a failed test.
	logVariable = "SIMWORLD_LOG"

	consoleHost = "10.0.6.1"
)

// options are the size of a world.
type options struct {
	replicas, tolerance  int
	dispatchers, workers int
}

// world is all machines of one test run.
type world struct {
	t         *testing.T
	seed      uint64
	options   options
	random    *rand.Rand
	net       *simnet.Network
	dir       string
	startedAt time.Time

	replicas    []*replica
	dispatchers []*dispatcher
	farm        *farm
	console     *transport.Client // the transport of an operator's command line
	history     history
	clients     []*client
	// background counts the goroutines that stop killed processes, serve the farm and watch replicas.
	background sync.WaitGroup

	mutex sync.Mutex
	logs  bytes.Buffer
	stop  chan struct{}
}

// runInWorld runs body in a new world inside a bubble. The world has a head when body starts.
func runInWorld(t *testing.T, seed uint64, options options, body func(w *world)) {
	t.Helper()
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, seed, options, dir)
		defer w.shutDown()
		w.awaitHead(0)
		body(w)
	})
}

func newWorld(t *testing.T, seed uint64, options options, dir string) *world {
	w := &world{t: t, seed: seed, options: options, random: rand.New(rand.NewPCG(seed, 11)), net: simnet.New(seed), dir: dir,
		startedAt: time.Now(), stop: make(chan struct{})}
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

// shutDown stops everything, so that no goroutine is left in the bubble.
func (w *world) shutDown() {
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
	time.Sleep(callTimeout) // until the handlers of abandoned calls have returned
	w.background.Wait()
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

// logger returns a logger that writes to the world's log, with the time since the start of the world.
func (w *world) logger(name string) *log.Logger {
	return log.NewWithOptions(&worldLog{world: w, name: name}, log.Options{})
}

// worldLog writes the lines of one process to the world's log.
type worldLog struct {
	world *world
	name  string
}

// Write implements io.Writer.
func (l *worldLog) Write(line []byte) (int, error) {
	l.world.mutex.Lock()
	defer l.world.mutex.Unlock()
	fmt.Fprintf(&l.world.logs, "%10.3f %s ", time.Since(l.world.startedAt).Seconds(), l.name)
	return l.world.logs.Write(line)
}

// logf writes an action of the test to the log.
func (w *world) logf(format string, arguments ...any) {
	fmt.Fprintf(&worldLog{world: w, name: "TEST"}, format+"\n", arguments...)
}

// watchInvariants fails the test when a replica reports a violated invariant.
func (w *world) watchInvariants(r *replica, node *control.Node) {
	w.background.Go(func() {
		select {
		case err := <-node.Failed():
			w.t.Errorf("seed %d: replica %d reports a violated invariant: %v", w.seed, r.number, err)
		case <-w.stop:
		}
	})
}

// overview returns a replica's overview, as an operator's command gets it.
func (w *world) overview(number int) (internalapi.OverviewReply, bool) {
	var reply internalapi.OverviewReply
	err := w.console.Call(internalAddress(number), internalapi.MethodOverview, internalapi.OverviewArgs{}, &reply, time.Second)
	return reply, err == nil
}

// headTimeout limits every wait for a head, in the bubble's time.
const headTimeout = 30 * time.Second

// awaitHead waits for a replica that acts as the head of a chain of at least the given length, and returns its number.
func (w *world) awaitHead(chain int) int {
	w.t.Helper()
	for limit := time.Now().Add(headTimeout); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
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

// tail returns the number of the tail in the head's view.
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

// testSeeds returns the seeds of a random run: the one in the environment, or the given number of seeds.
func testSeeds(t *testing.T, rounds int) []uint64 {
	return seeds.List(t, seedVariable, roundsVariable, 1, rounds)
}
