package dataplane

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/coord/transport"
	"gaugeslip/internal/seeds"
	"gaugeslip/internal/simnet"
	"gaugeslip/internal/system/internalapi"
)

const (
	replicaHost    = "10.0.0.3"
	replicaAddress = replicaHost + ":9000"
)

// Control is a replica that accepts jobs from dispatchers.
type Control struct {
	mutex       sync.Mutex
	submissions map[uint64]int
	replyDelay  time.Duration
}

// Submit accepts a job.
func (c *Control) Submit(args internalapi.SubmitArgs, reply *internalapi.JobReply) error {
	c.mutex.Lock()
	c.submissions[args.ID]++
	late := c.replyDelay
	c.mutex.Unlock()
	time.Sleep(late)
	reply.Verdict = internalapi.Done
	return nil
}

func (c *Control) has(number uint64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.submissions[number] > 0
}

// networkCore is a dispatcher that calls a replica over a simulated network.
type networkCore struct {
	network    *simnet.Network
	control    *Control
	dispatcher *Dispatcher
	directory  *Directory
}

func withNetworkCore(t *testing.T, seed uint64, body func(t *testing.T, w *networkCore)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &networkCore{network: simnet.New(seed), control: &Control{submissions: map[uint64]int{}}, directory: testDirectory(t, replicaAddress)}
		listener, err := w.network.Listen(replicaAddress)
		require.NoError(t, err)
		server := transport.NewServer(listener)
		require.NoError(t, server.Register(internalapi.Service, w.control))
		go func() { _ = server.Serve() }()
		client := transport.NewClient(transport.Options{Dial: w.network.Dialer(dispatcherHost)})
		w.dispatcher = NewDispatcher(client, w.directory, w.directory.RecordContact, Options{})
		t.Cleanup(func() { // also runs if the body fails
			w.healNetwork()
			time.Sleep(time.Hour)
			w.dispatcher.Wait()
			require.NoError(t, client.Close())
			require.NoError(t, server.Close())
			time.Sleep(time.Hour)
		})
		body(t, w)
	})
}

func (w *networkCore) healNetwork() {
	w.network.HealAll()
	w.network.Thaw(replicaHost)
	w.network.Resume(replicaHost)
}

// requireTruthful checks a response against the replica's state after all calls have ended.
func (w *networkCore) requireTruthful(t *testing.T, number uint64, status int) {
	switch status {
	case http.StatusOK:
		require.True(t, w.control.has(number), "job %d was answered 200 but the replica hasn't accepted it", number)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		require.False(t, w.control.has(number), "job %d was answered %d but the replica accepted it", number, status)
	case http.StatusGatewayTimeout:
	default:
		t.Fatalf("job %d: unexpected status %d", number, status)
	}
}

// The connection to the replica is cut after any number of bytes of a submission or of its reply, and the replica is unreachable
// afterwards. The dispatcher must still report only what it knows.
func TestRefusalIsTrueWhereverCallIsCut(t *testing.T) {
	const wait = 2 * time.Second
	statuses := map[int]int{}
	for _, ending := range []simnet.Ending{simnet.Reset, simnet.Finish, simnet.Silence} {
		for at := range int64(400) {
			for _, back := range []bool{false, true} {
				withNetworkCore(t, 1, func(t *testing.T, w *networkCore) {
					limit := simnet.Limit{Bytes: at, Then: ending}
					w.network.SetPlan(func(_, _ string, nth int) simnet.Fate {
						switch {
						case nth > 0:
							return simnet.Fate{Out: simnet.Limit{Then: simnet.Reset}}
						case back:
							return simnet.Fate{Back: limit}
						}
						return simnet.Fate{Out: limit}
					})
					status := submitJob(w.dispatcher, 1, wait)
					time.Sleep(time.Hour)
					synctest.Wait()
					w.requireTruthful(t, 1, status)
					statuses[status]++
				})
			}
		}
	}
	t.Log(statuses)
	for _, status := range []int{http.StatusOK, http.StatusGatewayTimeout} {
		require.NotZero(t, statuses[status])
	}
}

const (
	wireSeeds    = 60
	wireRequests = 30
	// wireSeedVariable selects a single seed of TestAnswersAreCertainOverTheWire.
	wireSeedVariable = "DATAPLANE_SEED"
)

// Whatever faults occur on the network to the replica: a job answered with 200 has been accepted, a job answered with 503 never
// is.
func TestAnswersAreCertainOverTheWire(t *testing.T) {
	played := seeds.List(t, wireSeedVariable, "", 1, wireSeeds)
	statuses := map[int]int{}
	for _, seed := range played {
		withNetworkCore(t, seed, func(t *testing.T, w *networkCore) {
			defer func() {
				if t.Failed() {
					t.Logf("replay: %s=%d go test ./internal/system/dataplane -run OverTheWire", wireSeedVariable, seed)
				}
			}()
			w.randomRun(t, rand.New(rand.NewPCG(seed, 7)), statuses)
		})
	}
	t.Log(statuses)
	if len(played) > 1 {
		for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusGatewayTimeout} {
			require.Greater(t, statuses[status], wireSeeds, "too few faults")
		}
	}
}

func (w *networkCore) randomRun(t *testing.T, random *rand.Rand, statuses map[int]int) {
	faults := []func(){
		func() { w.network.Cut(dispatcherHost, replicaHost) },
		func() { w.network.Cut(replicaHost, dispatcherHost) },
		func() { w.network.Reset(dispatcherHost, replicaHost) },
		func() { w.network.Refuse(dispatcherHost, replicaHost) },
		func() { w.network.Freeze(replicaHost) },
		func() { w.network.Stop(replicaHost) },
	}
	results := make([]int, wireRequests+1)
	var clients sync.WaitGroup
	for number := 1; number <= wireRequests; number++ {
		wait := time.Duration(100+random.IntN(2500)) * time.Millisecond
		clients.Go(func() { results[number] = submitJob(w.dispatcher, uint64(number), wait) })
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		switch random.IntN(6) {
		case 0:
			faults[random.IntN(len(faults))]()
		case 1:
			w.healNetwork()
		case 2:
			w.control.mutex.Lock()
			w.control.replyDelay = time.Duration(random.IntN(400)) * time.Millisecond
			w.control.mutex.Unlock()
		}
	}
	clients.Wait()
	w.healNetwork()
	time.Sleep(time.Hour)
	synctest.Wait()
	for number, status := range results[1:] {
		w.requireTruthful(t, uint64(number+1), status)
		statuses[status]++
	}
}
