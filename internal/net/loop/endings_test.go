package loop

import (
	"errors"
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
