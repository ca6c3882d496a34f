package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/net/nettest"
	"gaugeslip/policy"
)

// Races in which an upstream request or its connection ends while an outcome is pending. Each test blocks one side at that
// instant.

// listenRaw starts a host that hands each connection to the test, which plays the host's side.
func listenRaw(t *testing.T) (addr string, conns <-chan net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := make(chan net.Conn, 9)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			c <- nc
		}
	}()
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String(), c
}

// The connect to a host may succeed after the client has disconnected: nothing is sent on the connection, and its
// place in the pool is released.
func TestClientLeavesDuringConnect(t *testing.T) {
	addr, conns := listenRaw(t)
	for _, once := range []bool{false, true} {
		p := pool(time.Minute)
		p.cfg.LastByteDelay = time.Millisecond
		client, leave := context.WithCancel(t.Context())
		p.dial = func(_ context.Context, network, addr string) (net.Conn, error) {
			leave() // the connect still succeeds
			return net.Dial(network, addr)
		}
		q := request(addr)
		q.Client, q.NonRepeatable = client, once
		assert.Equal(t, policy.NeverSent, do(t.Context(), p, q).result(), "it never ran, and not by the host's fault")
		got, _ := io.ReadAll(nettest.Wait(t, conns))
		assert.Empty(t, got)
		assert.Zero(t, p.connCount)
	}
}

// The connect itself ends when the client disconnects.
func TestConnectEndsWithItsClient(t *testing.T) {
	p := pool(time.Minute)
	client, leave := context.WithCancel(t.Context())
	p.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
		leave()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	q := request("127.0.0.1:1")
	q.Client = client
	ended := make(chan *recorder, 1)
	go func() { ended <- do(t.Context(), p, q) }()
	assert.Equal(t, policy.NeverSent, nettest.Wait(t, ended).result())
	assert.Zero(t, p.connCount)
}

// During the settle time the host has all but the last byte of a request that must not run twice. Then its client
// disconnects, or the host sends data as if it had the complete request, which can only be for another one. The last
// byte is never sent.
func TestSettleTimeInterrupted(t *testing.T) {
	for name, c := range map[string]struct {
		kept bool
		say  string
		want policy.Result
	}{
		"the client leaves":                {false, "", policy.NeverSent},
		"the client leaves, kept":          {true, "", policy.NeverSent},
		"the host speaks":                  {false, nettest.Chunked(done), policy.ConnectFailed},
		"a late second answer, kept":       {true, nettest.Chunked(done), policy.NeverSent},
		"a late refusal for another, kept": {true, status("503 No", "X-Never-Ran: 1\r\n"), policy.NeverSent},
	} {
		t.Run(name, func(t *testing.T) {
			addr, conns := listenRaw(t)
			p := pool(time.Minute)
			var host net.Conn
			if c.kept {
				go do(t.Context(), p, request(addr))
				host = nettest.Wait(t, conns)
				readBody(t, host, 4)
				io.WriteString(host, nettest.Chunked(done))
				require.Eventually(t, func() bool { p.mu.Lock(); defer p.mu.Unlock(); return len(p.idle[addr]) == 1 }, nettest.Timeout, time.Millisecond)
			}
			p.cfg.LastByteDelay = 2 * time.Second // used up only if the fault is present
			client, leave := context.WithCancel(t.Context())
			defer leave()
			q := request(addr)
			q.NonRepeatable, q.Client = true, client
			ended := make(chan *recorder, 1)
			go func() { ended <- do(t.Context(), p, q) }()
			if host == nil {
				host = nettest.Wait(t, conns)
			}
			readBody(t, host, 3)
			if io.WriteString(host, c.say); c.say == "" {
				leave()
			}
			assert.Equal(t, c.want, nettest.Wait(t, ended).result())
			rest, _ := io.ReadAll(host)
			assert.Empty(t, rest, "the last byte")
			assert.Zero(t, p.connCount)
		})
	}
}

// readBody reads a request on the host's side up to the first n bytes of its body.
func readBody(t *testing.T, host net.Conn, n int) {
	t.Helper()
	host.SetReadDeadline(time.Now().Add(nettest.Timeout))
	var text []byte
	for b := make([]byte, 1); !strings.Contains(string(text), "\r\n\r\n"+"body"[:n]); text = append(text, b...) {
		_, err := io.ReadFull(host, b)
		require.NoError(t, err)
	}
}

// A client that disconnects after the last byte changes nothing for the request: it continues, and its outcome is
// reported.
func TestClientLeavesAfterLastByte(t *testing.T) {
	addr, conns := listenRaw(t)
	p := pool(time.Minute)
	client, leave := context.WithCancel(t.Context())
	p.cfg.OnWritten = leave
	q := request(addr)
	q.Client = client
	ended := make(chan *recorder, 1)
	go func() { ended <- do(t.Context(), p, q) }()
	host := nettest.Wait(t, conns)
	readBody(t, host, 4)
	io.WriteString(host, nettest.Chunked(done))
	assert.Equal(t, policy.OK, nettest.Wait(t, ended).result())
	assert.Len(t, p.idle[addr], 1, "the connection is as good as before")
}

// A second answer to a job may arrive after its connection has been reused. It must not be taken for an answer to the
// next job, least of all as proof that this one never ran. So a connection is not reused for a while after a job's
// answer, and another one is opened meanwhile. After a probe, which has only one answer, it is reused at once.
func TestLateSecondAnswer(t *testing.T) {
	host := nettest.Listen(t, func(c *nettest.Call) {
		if c.Index > 0 && c.Method == http.MethodPost { // held back until the connection is reused
			c.WriteText(status("503 No", "X-Never-Ran: 1\r\n"))
		}
		if c.Method == http.MethodGet {
			c.WriteText(status("200 OK", ""))
			return
		}
		answer(c)
	})
	for _, once := range []bool{false, true} {
		p := pool(time.Minute)
		p.cfg.ReuseDelay, p.cfg.LastByteDelay = time.Hour, time.Millisecond
		for range 2 {
			q := request(host.Addr)
			q.NonRepeatable = once
			assert.Equal(t, policy.OK, do(t.Context(), p, q).result())
			assert.Zero(t, nettest.Wait(t, host.Calls).Index)
		}
		assert.Equal(t, 2, p.connCount)
		p.cfg.ReuseDelay = 0
		c, err := p.get(t.Context(), host.Addr)
		require.NoError(t, err)
		p.put(c)
		assert.Equal(t, 2, p.connCount, "lent again once it has rested")
	}
	p := pool(time.Minute)
	p.cfg.ReuseDelay = time.Hour
	assert.Equal(t, policy.OK, p.Probe(t.Context(), host.Addr).Result)
	assert.Equal(t, policy.OK, p.Probe(t.Context(), host.Addr).Result)
	assert.Equal(t, 1, p.connCount)
}

// Informational (1xx) answers precede the final one. If one were taken as final, the connection's next request would
// get the real answer.
func TestInformationalAnswers(t *testing.T) {
	for text, want := range map[string]policy.Result{
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + nettest.Chunked(done): policy.OK,
		strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 50):                                              policy.ConnectionLost,
		"HTTP/1.1 101 Switching Protocols\r\n\r\n" + nettest.Chunked(done):                                 policy.ConnectionLost,
	} {
		host := nettest.Listen(t, func(c *nettest.Call) { c.WriteText(text) })
		p := pool(time.Minute)
		assert.Equal(t, want, do(t.Context(), p, request(host.Addr)).result())
		assert.Equal(t, want == policy.OK, p.connCount == 1, "only a sound connection is kept")
	}
}

// A head without end is aborted when it is too long, not when the memory or the client's time is used up.
func TestEndlessHead(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", 4<<10),
		"HTTP/1.1 200 " + strings.Repeat("x", 4<<10)} {
		host := nettest.Listen(t, func(c *nettest.Call) {
			for c.WriteText(text); ; {
				if _, err := io.WriteString(c.Conn, strings.Repeat("X: y\r\n", 100)); err != nil {
					return
				}
			}
		})
		p := pool(time.Minute)
		ended := make(chan *recorder, 1)
		go func() { ended <- do(t.Context(), p, request(host.Addr)) }()
		assert.Equal(t, policy.ConnectionLost, nettest.Wait(t, ended).result())
		assert.Zero(t, p.connCount)
	}
}

// cancelOnProgress ends a context at the line before the last one of an answer, when the last line has already been
// read.
type cancelOnProgress struct {
	*recorder
	end func()
}

func (l *cancelOnProgress) Progress(float64) { l.end() }

// The deadline passes as the last line arrives: the answer counts, and the connection is closed.
func TestTimeOutAtLastLine(t *testing.T) {
	host := nettest.Listen(t, func(c *nettest.Call) {
		c.WriteText(nettest.Chunked(`{"id":"t1","state":"running","share":0.9}`, done))
	})
	p := pool(time.Minute)
	ctx, cancel := context.WithCancel(t.Context())
	h := &cancelOnProgress{newRecorder(), cancel}
	p.Do(ctx, request(host.Addr), h)
	assert.Equal(t, policy.OK, h.result())
	assert.Len(t, h.ended, 1)
	assert.Zero(t, p.connCount)
}

// An answer that does not end after its last line delays nothing for longer than its request's deadline.
func TestAnswerWithoutEnd(t *testing.T) {
	host := nettest.Listen(t, func(c *nettest.Call) { c.WriteText(nettest.Chunks(done)) })
	p := pool(time.Minute)
	p.drainTimeout = time.Hour
	ctx, cancel := context.WithCancel(t.Context())
	h := newRecorder()
	p.dial = func(_ context.Context, network, addr string) (net.Conn, error) {
		nc, err := net.Dial(network, addr)
		return &readHookConn{nc, func() {
			if len(h.ended) > 0 { // the read for the end of the answer begins
				cancel()
			}
		}}, err
	}
	ended := make(chan struct{})
	go func() { defer close(ended); p.Do(ctx, request(host.Addr), h) }()
	nettest.Wait(t, ended)
	require.Error(t, ctx.Err(), "the crossing")
	assert.Equal(t, policy.OK, h.result())
	assert.Zero(t, p.connCount)
}

// readHookConn is a connection that calls a hook before each read.
type readHookConn struct {
	net.Conn
	before func()
}

func (r *readHookConn) Read(b []byte) (int, error) { r.before(); return r.Conn.Read(b) }

// An idle connection that is taken from the pool while others are closed as idle or evicted is either taken or
// closed, and its place is released once.
func TestTakenConnectionIsNotClosed(t *testing.T) {
	host := nettest.Listen(t, answer)
	p := pool(time.Minute)
	do(t.Context(), p, request(host.Addr))
	c := p.takeIdle(host.Addr)
	require.NotNil(t, c)
	p.closeIdle(0)
	p.cfg.MaxConns = 1
	assert.False(t, p.reserve(), "one in use makes no room")
	assert.True(t, alive(c))
	assert.Equal(t, 1, p.connCount)
	p.put(c)
	assert.True(t, p.reserve(), "an idle one does")
	assert.Equal(t, 1, p.connCount)
	assert.Nil(t, p.takeIdle(host.Addr))
}
