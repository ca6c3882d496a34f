package loop

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/net/nettest"
	"gaugeslip/internal/net/upstream"
	"gaugeslip/policy"
)

// A host drains while a request for it still waits for its connection: the request is told so, and goes to another host as
// one that never ran. Its client stays, and hears of none of this.
func TestDrainWhileConnecting(t *testing.T) {
	l, s := run(t)
	k := submit(t, l, 1, 15*time.Second)
	x := nettest.Wait(t, s.sends) // held in its connect
	require.NoError(t, x.Client.Err())
	drains, other := host, dispatch.Host{Name: "s-0000000b", Addr: "127.0.0.1:2", Scale: 1}
	drains.State = policy.Draining
	l.Post(dispatch.Listed{Version: 6, Hosts: []dispatch.Host{drains, other}})
	nettest.Wait(t, x.Client.Done())
	require.NoError(t, x.ctx.Err(), "one that has been written goes on")
	x.end <- upstream.Outcome{Result: policy.Full} // NeverSent stands for a panic at this side
	next := nettest.Wait(t, s.sends)
	assert.Equal(t, other.Addr, next.Addr)
	require.NoError(t, next.Client.Err())
	next.end <- upstream.Outcome{Result: policy.OK, Body: []byte("r")}
	assert.True(t, nettest.Wait(t, k.Answer()).Served)
}

// Discovery goes down and comes back with a drain at once: nothing is sent to that host, whether its news come while the
// module still waits to ask or on the new watch.
func TestDrainAtDiscoverysReturn(t *testing.T) {
	l, s := run(t)
	assert.Equal(t, uint64(5), nettest.Wait(t, s.watches))
	s.breaks <- errors.New("down")
	assert.Equal(t, uint64(5), nettest.Wait(t, s.watches), "it asks again")
	drains := host
	drains.State = policy.Draining
	l.Post(dispatch.Listed{Version: 6, Hosts: []dispatch.Host{drains}})
	assert.True(t, nettest.Wait(t, submit(t, l, 1, 15*time.Second).Answer()).Refused)
	assert.Empty(t, s.sends)
}

// A client leaves while a full queue still keeps its handler, which can't tell the loop: the loop decides to send its job,
// and yet nothing goes out. The loop is held back until the client has left; what came behind the job is served.
func TestLeavesBeforeTheQueue(t *testing.T) {
	peer := nettest.Listen(t, func(c *nettest.Call) {
		c.Say(nettest.Chunked(`{"id":"` + c.Header.Get("X-Trace-Id") + `","state":"done","result":"r"}`))
	})
	set := nettest.Settings(t)
	core, err := dispatch.New(set.Policy, 1)
	require.NoError(t, err)
	s := &side{make(chan *sent, 9), make(chan uint64, 9), make(chan error)}
	pool := upstream.NewPool(upstream.Config{ConnectTimeout: time.Second, ConnIdle: time.Minute, Settle: time.Millisecond, MaxConns: 9})
	l := New(dispatch.NewChain(core, dispatch.Gates{}), set, pool, s, NewClock())
	at := host
	at.Addr = peer.Addr
	l.Post(dispatch.Listed{Version: 5, Whole: true, Stale: true, Hosts: []dispatch.Host{at}})
	for len(l.queue) < queueLen {
		l.Post(dispatch.Unasked{})
	}
	client, leave := context.WithCancel(t.Context())
	left, stays := &Ticket{}, &Ticket{}
	in := make(chan error, 2)
	for i, k := range []*Ticket{left, stays} {
		k.Arrived, k.Job = time.Now(), dispatch.Arrived{Class: 1, Tenant: -1, Budget: 15 * time.Second, Size: 100 * time.Millisecond, Slots: 1}
		k.Forward = upstream.Request{Method: "POST", URI: "/harvest-sale/x", Host: "h", TraceID: fmt.Sprint("t", i), Once: true}
		if k == left {
			k.Forward.Client = client
		}
		go func() { in <- l.Submit(k) }()
		require.Eventually(t, func() bool { return l.Held() == int64(i+1) }, nettest.Patience, time.Millisecond)
	}
	leave()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	require.NoError(t, nettest.Wait(t, in))
	require.NoError(t, nettest.Wait(t, in))
	assert.True(t, nettest.Wait(t, stays.Answer()).Served)
	assert.False(t, nettest.Wait(t, left.Answer()).Served, "its handler has not said yet that it left")
	l.Release(left, true)
	cancel()
	assert.NoError(t, nettest.Wait(t, ended))
	require.Len(t, peer.Calls, 1)
	assert.Equal(t, "t1", (<-peer.Calls).Header.Get("X-Trace-Id"))
}
