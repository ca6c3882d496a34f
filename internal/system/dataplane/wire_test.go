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

// Control is a replica that takes jobs in, as dispatchers call it.
type Control struct {
	mutex sync.Mutex
	taken map[uint64]int
	late  time.Duration
}

// Submit takes a job in.
func (c *Control) Submit(args internalapi.SubmitArgs, reply *internalapi.JobReply) error {
	c.mutex.Lock()
	c.taken[args.ID]++
	late := c.late
	c.mutex.Unlock()
	time.Sleep(late)
	reply.Verdict = internalapi.Done
	return nil
}

func (c *Control) has(number uint64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.taken[number] > 0
}

// wireCore is a dispatcher that calls a replica over a simulated network.
type wireCore struct {
	network    *simnet.Network
	control    *Control
	dispatcher *Dispatcher
	directory  *Directory
}

func inCoreWire(t *testing.T, seed uint64, body func(t *testing.T, w *wireCore)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &wireCore{network: simnet.New(seed), control: &Control{taken: map[uint64]int{}}, directory: knowing(t, replicaAddress)}
		listener, err := w.network.Listen(replicaAddress)
		require.NoError(t, err)
		server := transport.NewServer(listener)
		require.NoError(t, server.Register(internalapi.Service, w.control))
		go func() { _ = server.Serve() }()
		client := transport.NewClient(transport.Options{Dial: w.network.Dialer(dispatcherHost)})
		w.dispatcher = NewDispatcher(client, w.directory, w.directory.Contact, Options{})
		t.Cleanup(func() { // also where the body fails
			w.mend()
			time.Sleep(time.Hour)
			w.dispatcher.Wait()
			require.NoError(t, client.Close())
			require.NoError(t, server.Close())
			time.Sleep(time.Hour)
		})
		body(t, w)
	})
}

func (w *wireCore) mend() {
	w.network.HealAll()
	w.network.Thaw(replicaHost)
	w.network.Resume(replicaHost)
}

// requireTrue requires that a client's answer is true, now that nothing is under way any more.
func (w *wireCore) requireTrue(t *testing.T, number uint64, status int) {
	switch status {
	case http.StatusOK:
		require.True(t, w.control.has(number), "job %d was accepted and isn't there", number)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		require.False(t, w.control.has(number), "job %d was refused by %d and is there", number, status)
	case http.StatusGatewayTimeout:
	default:
		t.Fatalf("job %d: %d", number, status)
	}
}

// The connection to the replica ends at any byte of a handing in or of its answer; then the replica is out of reach, so that the
// dispatcher has to say what it knows.
func TestARefusalIsTrueWhereverTheCallWasCut(t *testing.T) {
	const wait = 2 * time.Second
	statuses := map[int]int{}
	for _, ending := range []simnet.Ending{simnet.Reset, simnet.Finish, simnet.Silence} {
		for at := range int64(400) {
			for _, back := range []bool{false, true} {
				inCoreWire(t, 1, func(t *testing.T, w *wireCore) {
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
					status := handIn(w.dispatcher, 1, wait)
					time.Sleep(time.Hour)
					synctest.Wait()
					w.requireTrue(t, 1, status)
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
	// wireSeedVariable names one seed of TestAnswersAreCertainOverTheWire to be played alone.
	wireSeedVariable = "DATAPLANE_SEED"
)

// Whatever goes wrong on the way to the replica: a job that was answered 200 is there, one that was answered 503 never is.
func TestAnswersAreCertainOverTheWire(t *testing.T) {
	played := seeds.List(t, wireSeedVariable, "", 1, wireSeeds)
	statuses := map[int]int{}
	for _, seed := range played {
		inCoreWire(t, seed, func(t *testing.T, w *wireCore) {
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
			require.Greater(t, statuses[status], wireSeeds, "the faults are too few")
		}
	}
}

func (w *wireCore) randomRun(t *testing.T, random *rand.Rand, statuses map[int]int) {
	faults := []func(){
		func() { w.network.Cut(dispatcherHost, replicaHost) },
		func() { w.network.Cut(replicaHost, dispatcherHost) },
		func() { w.network.Reset(dispatcherHost, replicaHost) },
		func() { w.network.Refuse(dispatcherHost, replicaHost) },
		func() { w.network.Freeze(replicaHost) },
		func() { w.network.Stop(replicaHost) },
	}
	answers := make([]int, wireRequests+1)
	var clients sync.WaitGroup
	for number := 1; number <= wireRequests; number++ {
		wait := time.Duration(100+random.IntN(2500)) * time.Millisecond
		clients.Go(func() { answers[number] = handIn(w.dispatcher, uint64(number), wait) })
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		switch random.IntN(6) {
		case 0:
			faults[random.IntN(len(faults))]()
		case 1:
			w.mend()
		case 2:
			w.control.mutex.Lock()
			w.control.late = time.Duration(random.IntN(400)) * time.Millisecond
			w.control.mutex.Unlock()
		}
	}
	clients.Wait()
	w.mend()
	time.Sleep(time.Hour)
	synctest.Wait()
	for number, status := range answers[1:] {
		w.requireTrue(t, uint64(number+1), status)
		statuses[status]++
	}
}
