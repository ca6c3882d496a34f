package cluster

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/net/nettest"
	"gaugeslip/policy"
)

const line = `{"seq":43,"whole":false,"hosts":[{"host":"s-1","dial":"127.0.0.1:8443","site":"z","class":"k",` +
	`"block":3,"health":"terminating","share":1.5,"born_ms":1700000000123},` +
	`{"host":"s-2","dial":"127.0.0.1:8444","site":"far","class":"m9","health":"terminated"}]}`

var want = dispatch.HostList{Version: 43, Hosts: []dispatch.Host{
	{Name: "s-1", Addr: "127.0.0.1:8443", Cell: 3, State: policy.Draining, Scale: 1.5,
		StartedAt: 1700000000123 * time.Millisecond},
	{Name: "s-2", Addr: "127.0.0.1:8444", Zone: -1, Kind: -1, State: policy.Gone}}}

func TestDecode(t *testing.T) {
	l, err := Decode([]byte(line), nettest.Settings(t))
	require.NoError(t, err)
	assert.Equal(t, want, l)
	for _, bad := range []string{`{"seq":"x"}`, `[`, `{"hosts":[{"host":"a","health":"fine"}]}`,
		`{"hosts":[{"health":"in_service"}]}`} {
		_, err := Decode([]byte(bad), nettest.Settings(t))
		assert.Error(t, err, bad)
	}
}

// The configuration's copy of the list may be out of date or missing.
func TestKnown(t *testing.T) {
	for _, text := range []string{"", `{"seq":5,"whole":false}`} {
		l, err := DecodeKnown([]byte(text), nettest.Settings(t))
		require.NoError(t, err)
		assert.True(t, l.Whole && l.Stale)
	}
}

// watch follows a scripted discovery until the watch breaks.
func watch(t *testing.T, stall time.Duration, script func(*nettest.Call)) (*nettest.Peer, []dispatch.HostList, error) {
	p := nettest.Listen(t, script)
	d := &Discovery{Addr: p.Addr, StallTimeout: stall, Settings: nettest.Settings(t)}
	var got []dispatch.HostList
	err := d.Watch(t.Context(), 41, func(l dispatch.HostList) { got = append(got, l) })
	return p, got, err
}

// A watch passes on every list, also a whole one, skips empty lines and returns an error when it breaks.
func TestWatch(t *testing.T) {
	p, got, err := watch(t, nettest.Timeout, func(c *nettest.Call) {
		c.WriteText(nettest.Chunks(line, "", `{"seq":44,"whole":true}`))
		c.Conn.Close()
	})
	require.Error(t, err)
	assert.Equal(t, []dispatch.HostList{want, {Version: 44, Whole: true, Hosts: []dispatch.Host{}}}, got)
	assert.Equal(t, "/discovery/hosts?stream=1&index=41", nettest.Wait(t, p.Calls).RequestURI)
}

// Each way in which a call can fail, silence included, ends the watch with an error.
func TestWatchFails(t *testing.T) {
	for name, say := range map[string]string{
		"503":       "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
		"ended":     nettest.Chunked(line),
		"garbled":   nettest.Chunks("{]"),
		"no object": nettest.Chunks("hosts"),
		"unended":   nettest.Chunks("{"),
		"no answer": "",
		"stalled":   nettest.Chunks(line),
		"half line": nettest.Chunks(line) + "40\r\n{\"seq\":44,",
	} {
		stall := nettest.Timeout
		if name == "no answer" || name == "stalled" || name == "unended" || name == "half line" {
			stall = 50 * time.Millisecond
		}
		_, got, err := watch(t, stall, func(c *nettest.Call) { c.WriteText(say) })
		assert.Error(t, err, name)
		if name == "half line" {
			assert.Equal(t, []dispatch.HostList{want}, got, "complete lists are passed on")
		}
	}
}

// Lines that keep arriving keep a watch open beyond its limit for silence.
func TestWatchStaysUp(t *testing.T) {
	const stall = time.Second
	_, got, err := watch(t, stall, func(c *nettest.Call) {
		c.WriteText(nettest.Chunks())
		for begun := time.Now(); time.Since(begun) < 3*stall/2; time.Sleep(stall / 50) {
			c.WriteText(nettest.Chunk(""))
		}
		c.WriteText(nettest.Chunk(line))
		c.Conn.Close()
	})
	require.Error(t, err)
	assert.Len(t, got, 1)
}

// A watch ends with its context.
func TestWatchCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	p := nettest.Listen(t, func(c *nettest.Call) { c.WriteText(nettest.Chunks(line)) })
	d := &Discovery{Addr: p.Addr, StallTimeout: nettest.Timeout, Settings: nettest.Settings(t)}
	assert.Error(t, d.Watch(ctx, 0, func(dispatch.HostList) { cancel() }))
}
