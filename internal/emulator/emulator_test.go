package emulator

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/fleet"
	"gaugeslip/internal/net/cluster"
	"gaugeslip/internal/net/nettest"
	"gaugeslip/internal/net/upstream"
	"gaugeslip/internal/settings"
	"gaugeslip/policy"
)

// runRecorder records the ids of the jobs that the hosts ran.
type runRecorder struct {
	mu   sync.Mutex
	list []string
}

func (r *runRecorder) see(s Sight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Kind == Ran {
		r.list = append(r.list, s.Job)
	}
}

func (r *runRecorder) ids() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string{}, r.list...)
}

// start starts a fleet of hosts with one lane each. After the test it checks that no goroutine is left.
func start(t *testing.T, hosts int, p fleet.Params) (*Fleet, *runRecorder) {
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
	specs := make([]Spec, hosts)
	for i := range specs {
		specs[i] = Spec{Kind: "k", Room: "z", Lanes: 1, Speed: 1}
	}
	r := &runRecorder{}
	f, err := Start(specs, p, 1, r.see)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f, r
}

// jobWatcher records the callbacks of upstream.Pool, the real client of game workers.
type jobWatcher struct {
	started, progressed int
	outcome             upstream.Outcome
}

func (e *jobWatcher) Started()                 { e.started++ }
func (e *jobWatcher) Progress(float64)         { e.progressed++ }
func (e *jobWatcher) Ended(o upstream.Outcome) { e.outcome = o }

func sendJob(t *testing.T, p *upstream.Pool, h *Host, id string, work, patience time.Duration) *jobWatcher {
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	e := &jobWatcher{}
	p.Do(ctx, &upstream.Request{Addr: h.Addr, Method: "POST", URI: "/plot-load/x", Host: "h", TraceID: id,
		Body: fmt.Appendf(nil, `{"work_us":%d}`, work.Microseconds())}, e)
	return e
}

// pool returns a connection pool that is closed at the end of the test.
func pool(t *testing.T) *upstream.Pool {
	p := upstream.NewPool(upstream.Config{ConnectTimeout: nettest.Timeout, ConnIdle: time.Minute, ProbeTimeout: time.Second,
		MaxConns: 100})
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		p.Sweep(ctx)
	})
	return p
}

// Each trouble of a game worker must lead to the outcome that the protocol defines for it.
func TestOutcomes(t *testing.T) {
	const short, long = 10 * time.Millisecond, 5 * time.Second
	for name, c := range map[string]struct {
		trouble func(h *Host)
		want    policy.Result
		runs    int
	}{
		"well":    {func(*Host) {}, policy.OK, 1},
		"full":    {func(h *Host) { h.Drain() }, policy.Full, 0},
		"failing": {func(h *Host) { h.Fail(1.1) }, policy.AppError, 1},
		"gone":    {func(h *Host) { h.Vanish() }, policy.TimedOut, 0},
		"dead":    {func(h *Host) { h.Kill() }, policy.ConnectFailed, 0},
		"silent":  {func(h *Host) { h.Fault(Faults{Silent: 1.1}) }, policy.TimedOut, 1},
		"reset":   {func(h *Host) { h.Fault(Faults{Reset: 1.1}) }, policy.ConnectionLost, 1},
		"cut":     {func(h *Host) { h.Fault(Faults{Cut: 1.1}) }, policy.ConnectionLost, 1},
		"slow":    {func(h *Host) { h.Fault(Faults{Slow: 1.1}) }, policy.OK, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f, r := start(t, 1, fleet.Params{Queue: 4})
			c.trouble(f.Hosts[0])
			patience := long
			if c.want == policy.TimedOut {
				patience = 300 * time.Millisecond
			}
			e := sendJob(t, pool(t), f.Hosts[0], "t1", short, patience)
			assert.Equal(t, c.want, e.outcome.Result)
			assert.Len(t, r.ids(), c.runs)
			if c.want == policy.OK {
				assert.Equal(t, 1, e.started)
				assert.Equal(t, "t1 done by "+f.Hosts[0].Name, string(e.outcome.Body))
			}
		})
	}
}

// A host that is killed loses its running job. After a restart at the same address it is cold, and the list shows the new start.
func TestKillAndRestart(t *testing.T) {
	f, r := start(t, 1, fleet.Params{Queue: 4, ColdFrom: 0.5, WarmUp: time.Hour})
	h, p := f.Hosts[0], pool(t)
	lost := make(chan *jobWatcher)
	go func() { lost <- sendJob(t, p, h, "t1", time.Hour, nettest.Timeout) }()
	require.Eventually(t, func() bool { return len(r.ids()) == 1 }, nettest.Timeout, time.Millisecond)
	h.Kill()
	assert.Equal(t, policy.ConnectionLost, nettest.Wait(t, lost).outcome.Result)
	require.NoError(t, h.Restart())
	begun := time.Now()
	assert.Equal(t, policy.OK, sendJob(t, p, h, "t2", 50*time.Millisecond, nettest.Timeout).outcome.Result)
	assert.GreaterOrEqual(t, time.Since(begun), 100*time.Millisecond, "a cold host must run at half its speed")
	set, err := settings.Parse([]byte(nettest.SettingsJSON))
	require.NoError(t, err)
	l, err := cluster.Decode(f.List(), set)
	require.NoError(t, err)
	assert.Positive(t, l.Hosts[0].StartedAt)
}

// Discovery sends the complete list, sends changes on a watch, and ends the watch when it goes down.
func TestDiscovery(t *testing.T) {
	f, _ := start(t, 2, fleet.Params{Queue: 4})
	set, err := settings.Parse([]byte(nettest.SettingsJSON))
	require.NoError(t, err)
	news, over := make(chan dispatch.HostList, 10), make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	source := &cluster.Discovery{Addr: f.Discovery, StallTimeout: nettest.Timeout, Settings: set}
	go func() { over <- source.Watch(ctx, 0, func(l dispatch.HostList) { news <- l }) }()
	first := nettest.Wait(t, news)
	assert.Len(t, first.Hosts, 2)
	f.Hosts[0].Drain()
	assert.Equal(t, policy.Draining, nettest.Wait(t, news).Hosts[0].State)
	f.Hosts[1].Kill()
	assert.Len(t, nettest.Wait(t, news).Hosts, 1, "a host missing from a complete list is gone")
	f.Down(true)
	assert.Error(t, nettest.Wait(t, over))
	resp, err := http.Get("http://" + f.Discovery + "/discovery/hosts")
	require.NoError(t, err)
	resp.Body.Close()
	assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	http.DefaultClient.CloseIdleConnections()
}

// A probe returns the load of the model.
func TestProbe(t *testing.T) {
	f, r := start(t, 1, fleet.Params{Queue: 4})
	p := pool(t)
	assert.Equal(t, upstream.Report{"queue": 0, "inflight": 0, "x0": 1}, p.Probe(t.Context(), f.Hosts[0].Addr).Load)
	done := make(chan *jobWatcher)
	go func() { done <- sendJob(t, p, f.Hosts[0], "t1", 300*time.Millisecond, nettest.Timeout) }()
	require.Eventually(t, func() bool { return len(r.ids()) == 1 }, nettest.Timeout, time.Millisecond)
	assert.Equal(t, upstream.Report{"queue": 0, "inflight": 1, "x0": 0}, p.Probe(t.Context(), f.Hosts[0].Addr).Load)
	nettest.Wait(t, done)
	f.Hosts[0].Vanish()
	assert.Equal(t, policy.TimedOut, p.Probe(t.Context(), f.Hosts[0].Addr).Result)
}

// The load is an open loop: a stalled host does not delay other jobs, and latency counts from the intended send time.
func TestLoadIsOpenLoop(t *testing.T) {
	stall := make(chan struct{})
	first := true
	var mu sync.Mutex
	peer := nettest.Listen(t, func(c *nettest.Call) {
		mu.Lock()
		wait := first
		first = false
		mu.Unlock()
		if wait {
			<-stall
		}
		c.WriteText("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	l := &Load{Addr: peer.Addr, Rate: 100, Length: time.Second, MaxOpen: 200, Seed: 1, Classes: []LoadClass{{Name: "a", Part: 1,
		Mean: time.Millisecond, OnTime: 100 * time.Millisecond, Patience: nettest.Timeout, Worth: 1}}}
	time.AfterFunc(500*time.Millisecond, func() { close(stall) })
	res := l.Run(t.Context())
	c := res.Classes["a"]
	assert.Equal(t, c.Sent, c.Served)
	assert.Greater(t, c.Served, 50)
	assert.Greater(t, c.Latency.Max(), int64(300_000), "the stalled job is missing from the latencies")
	assert.Zero(t, res.NotSent)
}
