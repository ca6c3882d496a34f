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
	"gaugeslip/internal/net/cluster"
	"gaugeslip/internal/net/nettest"
	"gaugeslip/internal/net/upstream"
	"gaugeslip/policy"
)

// A host drains while a request for it is still connecting: the request is cancelled and goes to another host as one
// that never ran. Its client stays connected and does not notice.
func TestDrainWhileConnecting(t *testing.T) {
	l, s := startTestLoop(t)
	k := submit(t, l, 1, 15*time.Second)
	x := nettest.Wait(t, s.sends) // blocked in its connect
	require.NoError(t, x.Client.Err())
	drains, other := host, dispatch.Host{Name: "s-0000000b", Addr: "127.0.0.1:2", Scale: 1}
	drains.State = policy.Draining
	l.Post(dispatch.HostList{Version: 6, Hosts: []dispatch.Host{drains, other}})
	nettest.Wait(t, x.Client.Done())
	require.NoError(t, x.ctx.Err(), "one that has been written goes on")
	x.end <- upstream.Outcome{Result: policy.Full} // this fake panics on NeverSent
	next := nettest.Wait(t, s.sends)
	assert.Equal(t, other.Addr, next.Addr)
	require.NoError(t, next.Client.Err())
	next.end <- upstream.Outcome{Result: policy.OK, Body: []byte("r")}
	assert.True(t, nettest.Wait(t, k.Answer()).Served)
}

// Discovery fails and returns with a drain at once: nothing is sent to that host, whether the list arrives while the
// core waits before it asks again or on the new watch.
func TestDrainWhenDiscoveryReturns(t *testing.T) {
	l, s := startTestLoop(t)
	assert.Equal(t, uint64(5), nettest.Wait(t, s.watches))
	s.breaks <- errors.New("down")
	assert.Equal(t, uint64(5), nettest.Wait(t, s.watches), "it asks again")
	drains := host
	drains.State = policy.Draining
	l.Post(dispatch.HostList{Version: 6, Hosts: []dispatch.Host{drains}})
	assert.True(t, nettest.Wait(t, submit(t, l, 1, 15*time.Second).Answer()).Refused)
	assert.Empty(t, s.sends)
}

// A client disconnects while a full queue blocks its handler, which cannot report it: the loop decides to send its
// job, but nothing is sent. The loop is not started until the client has disconnected; the job behind it is served.
func TestDisconnectBeforeQueue(t *testing.T) {
	peer := nettest.Listen(t, nettest.Serve)
	set := nettest.Settings(t)
	core, err := dispatch.New(set.Policy, 1)
	require.NoError(t, err)
	s := &fakeUpstream{make(chan *pendingSend, 9), make(chan uint64, 9), make(chan error)}
	pool := upstream.NewPool(upstream.Config{ConnectTimeout: time.Second, ConnIdle: time.Minute, LastByteDelay: time.Millisecond, MaxConns: 9})
	l := New(dispatch.NewChain(core, dispatch.Gates{}), set, pool, s, NewClock())
	at := host
	at.Addr = peer.Addr
	l.Post(dispatch.HostList{Version: 5, Whole: true, Stale: true, Hosts: []dispatch.Host{at}})
	for len(l.queue) < queueLen {
		l.Post(dispatch.QueryCancelled{})
	}
	client, leave := context.WithCancel(t.Context())
	left, stays := &Ticket{}, &Ticket{}
	in := make(chan error, 2)
	for i, k := range []*Ticket{left, stays} {
		k.Arrived, k.Job = time.Now(), dispatch.JobArrived{Class: 1, Tenant: -1, Budget: 15 * time.Second, Size: 100 * time.Millisecond, Slots: 1}
		k.Forward = upstream.Request{Method: "POST", URI: "/harvest-sale/x", Host: "h", TraceID: fmt.Sprint("t", i), NonRepeatable: true}
		if k == left {
			k.Forward.Client = client
		}
		go func() { in <- l.Submit(k) }()
		require.Eventually(t, func() bool { return l.Held() == int64(i+1) }, nettest.Timeout, time.Millisecond)
	}
	leave()
	end := startLoop(t, l)
	require.NoError(t, nettest.Wait(t, in))
	require.NoError(t, nettest.Wait(t, in))
	assert.True(t, nettest.Wait(t, stays.Answer()).Served)
	assert.False(t, nettest.Wait(t, left.Answer()).Served, "its handler has not reported the disconnect yet")
	l.Release(left, true)
	end()
	require.Len(t, peer.Calls, 1)
	assert.Equal(t, "t1", (<-peer.Calls).Header.Get("X-Trace-Id"))
}

// Discovery returns with its versions restarted and no longer names one host: nothing more is sent to that host, and
// the next watch continues from the new version, not from the old, higher one.
func TestDiscoveryRestartsVersions(t *testing.T) {
	entry := func(id string) string {
		return fmt.Sprintf(`{"host":"s-%s","dial":"127.0.0.1:1%s","health":"in_service","share":1}`, id, id[6:])
	}
	next := make(chan string) // the list that a watch sends; empty: the watch ends
	discovery := nettest.Listen(t, func(c *nettest.Call) {
		c.WriteText(nettest.Chunks())
		for text := range next {
			if text == "" {
				c.Conn.Close()
				return
			}
			c.WriteText(nettest.Chunk(text))
		}
	})
	t.Cleanup(func() { close(next) })
	set := nettest.Settings(t)
	core, err := dispatch.New(set.Policy, 1)
	require.NoError(t, err)
	s := &fakeUpstream{make(chan *pendingSend, 9), nil, nil}
	l := New(dispatch.NewChain(core, dispatch.Gates{}), set, s, &cluster.Discovery{Addr: discovery.Addr, StallTimeout: time.Minute, Settings: set}, NewClock())
	l.Post(dispatch.HostList{Version: 41, Whole: true, Stale: true, Hosts: []dispatch.Host{{Name: "s-0000000a", Addr: "127.0.0.1:10a", Scale: 1}}})
	defer startLoop(t, l)()
	assert.Equal(t, "41", nettest.Wait(t, discovery.Calls).URL.Query().Get("index"))
	next <- ""
	assert.Equal(t, "41", nettest.Wait(t, discovery.Calls).URL.Query().Get("index"))
	next <- `{"seq":3,"whole":true,"hosts":[` + entry("0000000b") + `]}`
	next <- ""
	assert.Equal(t, "3", nettest.Wait(t, discovery.Calls).URL.Query().Get("index"))
	next <- `{"seq":4,"whole":false,"hosts":[` + entry("0000000c") + `]}`
	next <- ""
	assert.Equal(t, "4", nettest.Wait(t, discovery.Calls).URL.Query().Get("index"))
	for range 2 { // a host has one lane
		k := submit(t, l, 0, 15*time.Second)
		x := nettest.Wait(t, s.sends)
		assert.Contains(t, []string{"127.0.0.1:10b", "127.0.0.1:10c"}, x.Addr)
		defer func() {
			x.end <- upstream.Outcome{Result: policy.OK}
			assert.True(t, nettest.Wait(t, k.Answer()).Served)
		}()
	}
	k := submit(t, l, 0, 10*time.Millisecond)
	assert.True(t, nettest.Wait(t, k.Answer()).Refused, "the one that is left has gone")
}

// If lists are pushed, the loop watches without a request of the core, starting after the newest list that it knows,
// and again when a panic has ended the watch together with the core.
func TestPushedIsWatched(t *testing.T) {
	s := &fakeUpstream{make(chan *pendingSend, 9), make(chan uint64, 9), make(chan error)}
	set := nettest.Settings(t)
	set.Policy.Ask = false
	core, err := dispatch.New(set.Policy, 1)
	require.NoError(t, err)
	l := New(dispatch.NewChain(core, dispatch.Gates{}), set, s, s, NewClock())
	l.Post(dispatch.HostList{Version: 5, Whole: true, Stale: true, Hosts: []dispatch.Host{host}})
	end := startLoop(t, l)
	assert.Equal(t, uint64(5), nettest.Wait(t, s.watches))
	assert.Equal(t, Answer{}, nettest.Wait(t, submit(t, l, 99, 15*time.Second).Answer()), "no such class: it panics")
	assert.Equal(t, uint64(5), nettest.Wait(t, s.watches))
	end()
	assert.Empty(t, s.watches)
}
