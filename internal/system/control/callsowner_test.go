package control

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/coord/replica"
	"gaugeslip/coord/view"
	"gaugeslip/internal/simnet"
	"gaugeslip/internal/system/nodesettings"
	"gaugeslip/internal/system/scheduler"
	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

const (
	headHost          = "10.0.0.1"
	testWorkerAddress = "10.0.0.2:80"
	answerDelay       = time.Second
	testCallTimeout   = 10 * time.Second
)

// newSchedulerWithCall returns a scheduler with one worker and its first call, which has the same ID in each such scheduler.
func newSchedulerWithCall(t *testing.T, token uint64) (*scheduler.Scheduler, scheduler.Call) {
	s := scheduler.New(scheduler.Options{Token: token, Machine: state.New(), Bounds: nodesettings.DefaultBounds()}, 0)
	s.Listed(0, []workerapi.Instance{{ID: "i-1", Address: testWorkerAddress, State: workerapi.StateReady}})
	calls := s.Drain().Calls
	require.NotEmpty(t, calls)
	call := calls[0]
	call.Timeout = testCallTimeout
	return s, call
}

// A replica loses the headship and gains it again. The result of a call of its first scheduler must not be taken for the call with the same
// ID of the second one.
func TestCallResultGoesOnlyToTheSchedulerThatMadeIt(t *testing.T) {
	for _, taken := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			network := simnet.New(1)
			listener, err := network.Listen(testWorkerAddress)
			require.NoError(t, err)
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(answerDelay)
				w.WriteHeader(http.StatusConflict)
				_, _ = w.Write([]byte(`{"clockMs":1,"reason":"fence"}`))
			})}
			go func() { _ = server.Serve(listener) }()
			ctx, cancel := context.WithCancel(context.Background())
			made := &workerCalls{client: workerapi.NewClient(workerapi.Options{Dial: network.Dialer(headHost)}),
				slots: make(chan struct{}, maxWorkerCalls), ctx: ctx, cancel: cancel}
			n := &Node{loop: newLoop(), workerCalls: made, clock: time.Now, started: time.Now()}
			first, call := newSchedulerWithCall(t, 1)
			n.scheduler = first
			n.callWorker(call)
			acting := first
			if taken {
				second, next := newSchedulerWithCall(t, 2)
				require.Equal(t, call.ID, next.ID)
				acting, n.scheduler = second, second
			}
			time.Sleep(2 * answerDelay)
			synctest.Wait()
			for _, work := range n.loop.takeQueue(nil) {
				work()
			}
			require.Equal(t, !taken, acting.Drain().Superseded)
			made.close()
			require.NoError(t, server.Close())
			time.Sleep(time.Second)
		})
	}
}

// Decisions for a large fleet may take longer than the lease under which they began. Then nothing is sent, and the scheduler learns that
// the calls were not sent.
func TestCallsAreNotSentOnceTheLeaseIsOver(t *testing.T) {
	core := replica.New(replica.Config{Self: view.Member{ID: "a", Address: headHost}, Seed: 1}, replica.Persisted{}, 0)
	n := &Node{loop: newLoop(), clock: time.Now, started: time.Now(), engine: &engine{replica: core, options: engineOptions{
		now: func() time.Duration { return 0 }}}}
	require.False(t, n.engine.isHead())
	acting, call := newSchedulerWithCall(t, 1)
	n.scheduler = acting
	n.sendCalls([]scheduler.Call{call}) // there is no client: sending would fail
	for _, work := range n.loop.takeQueue(nil) {
		work()
	}
	acting.Tick(3 * time.Second)
	again := acting.Drain().Calls
	require.NotEmpty(t, again, "the scheduler calls the worker again")
	require.NotEqual(t, call.ID, again[0].ID)
}
