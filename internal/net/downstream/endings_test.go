package downstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/net/loop"
	"gaugeslip/internal/net/nettest"
	"gaugeslip/internal/net/upstream"
	"gaugeslip/policy"
)

// Races in which a client, its connection or the dispatcher ends while an answer is pending. Each test blocks one side at
// that instant.

// neverAnswers is a host's script that leaves jobs unanswered until their connections close.
func neverAnswers(c *nettest.Call) { io.Copy(io.Discard, c.Conn) }

// A client that has sent more than its request disconnects: the disconnect is noticed whatever data precedes it,
// although net/http itself looks only one byte ahead. This host never answers, so that only a disconnect can bring
// the number of open requests (Held) to 0.
func TestDisconnectBehindPipelinedData(t *testing.T) {
	for name, more := range map[string]string{"a line": "\r\n", "a second request": "POST /plot-load/x HTTP/1.1\r\nHost: h\r\n" +
		"X-Trace-Id: t2\r\nContent-Length: 0\r\n\r\n", "much": strings.Repeat("x", maxPipelined-1),
		"more than is buffered": strings.Repeat("x", 2*maxPipelined)} {
		t.Run(name, func(t *testing.T) {
			var leave func()
			addr, host, _, _ := startDispatcherWith(t, 0, neverAnswers, nil, func(s *Server) {
				s.testHook = func(point string, r *http.Request) {
					if point == "reading" { // before the job is submitted to the loop
						leave()
					}
				}
			})
			c := nettest.Dial(t, addr)
			left := make(chan struct{})
			leave = func() { // the request has been read: send more data, then close
				c.Send(more)
				c.Conn.Close()
				close(left)
			}
			c.Send("POST /harvest-sale/x HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t1\r\nX-Not-Yet: 1\r\nContent-Length: 0\r\n\r\n")
			nettest.Wait(t, left)
			require.Eventually(t, func() bool { return lastLoop.Held() == 0 }, nettest.Timeout, time.Millisecond)
			for len(host.Calls) > 0 { // t1 may have been sent before the disconnect was noticed, the data behind it never
				assert.Equal(t, "t1", (<-host.Calls).Header.Get("X-Trace-Id"))
			}
		})
	}
	for name, more := range map[string]string{"while it is at a host": "", "more than is buffered, while it is at a host": strings.Repeat("x", 2*maxPipelined)} {
		t.Run(name, func(t *testing.T) {
			addr, host, _, _ := startDispatcher(t, 0, neverAnswers)
			c := nettest.Dial(t, addr)
			c.Post("/harvest-sale/x", "t1", "", "")
			nettest.Wait(t, host.Calls)
			c.Post("/harvest-sale/x", "t2", "", more)
			c.Conn.Close()
			require.Eventually(t, func() bool { return lastLoop.Held() == 0 }, nettest.Timeout, time.Millisecond)
			assert.Empty(t, host.Calls, "a pipelined request is not forwarded once its client has disconnected")
		})
	}
}

// A client that has sent much more than its request, unread so far, and stays connected is not taken for
// disconnected: it gets its answer, and the further requests are served.
func TestPipelinedDataIsNoDisconnect(t *testing.T) {
	c, release := clientWithOpenJob(t)
	c.Post("/harvest-sale/x", "t2", "", strings.Repeat("b", 2*maxPipelined)) // fills the buffer
	require.Never(t, func() bool { return lastLoop.Held() == 0 }, 200*time.Millisecond, 10*time.Millisecond)
	c.Post("/harvest-sale/x", "t3", "", "c") // wakes the wait, and the connection has still not ended
	require.Never(t, func() bool { return lastLoop.Held() == 0 }, 200*time.Millisecond, 10*time.Millisecond)
	release()
	expectServed(t, c, "a", strings.Repeat("b", 2*maxPipelined), "c")
}

// clientWithOpenJob returns a client whose job "a" is at a host that blocks it until release.
func clientWithOpenJob(t *testing.T) (c *nettest.Client, release func()) {
	released := make(chan struct{})
	addr, host, _, _ := startDispatcher(t, 0, func(c *nettest.Call) {
		if c.Text == "a" {
			<-released
		}
		nettest.Serve(c)
	})
	c = nettest.Dial(t, addr)
	c.Post("/harvest-sale/x", "t1", "", "a")
	nettest.Wait(t, host.Calls)
	return c, func() { close(released) }
}

// expectServed checks that a client's next answers are those of served jobs.
func expectServed(t *testing.T, c *nettest.Client, wants ...string) {
	for _, want := range wants {
		resp, got := c.Answer()
		assert.Equal(t, 200, resp.StatusCode)
		assert.Equal(t, want, got)
	}
}

// Data that a client sends too early is its next request if it stays connected.
func TestPipelinedRequestIsServed(t *testing.T) {
	c, release := clientWithOpenJob(t)
	c.Post("/plot-load/x", "t2", "", strings.Repeat("b", maxPipelined/2))
	c.Post("/plot-load/x", "t3", "", strings.Repeat("c", maxPipelined)) // exceeds the buffer
	release()
	expectServed(t, c, "a", strings.Repeat("b", maxPipelined/2), strings.Repeat("c", maxPipelined))
}

// The read deadline of a body must not look like a disconnect: a request without a body is held until that deadline
// would have passed.
func TestBodyDeadlineIsNoDisconnect(t *testing.T) {
	t.Parallel()
	addr, _, _, _ := startDispatcherWith(t, 0, nettest.Serve, nil, func(s *Server) {
		s.testHook = func(point string, r *http.Request) {
			if point == "reading" {
				select {
				case <-r.Context().Done(): // the fault that this test guards against
				case <-time.After(time.Until(bodyDeadline(clientOf(r), time.Now())) + 100*time.Millisecond):
				}
			}
		}
	})
	c := nettest.Dial(t, addr)
	c.Post("/plot-load/x", "t1", "", "")
	resp, _ := c.Answer()
	assert.Equal(t, 200, resp.StatusCode)
	assert.NotEmpty(t, resp.Header.Get("Content-Type"), "an answer of ours, not net/http's for a handler that wrote none")
}

// A client that closes its sending side counts as disconnected. If it still reads, it is not told that its job was
// served.
func TestHalfClosed(t *testing.T) {
	addr, host, _, _ := startDispatcher(t, 0, neverAnswers)
	c := nettest.Dial(t, addr)
	c.Post("/harvest-sale/x", "t1", "", "x")
	nettest.Wait(t, host.Calls)
	c.Conn.(*net.TCPConn).CloseWrite()
	resp, _ := c.Answer()
	assert.Equal(t, 500, resp.StatusCode)
	c.Closed()
}

// blockingConn is a connection on which each read blocks once it has its bytes.
type blockingConn struct {
	net.Conn
	after *func(n int)
}

func (h blockingConn) Read(b []byte) (int, error) {
	n, err := h.Conn.Read(b)
	(*h.after)(n)
	return n, err
}

// blockingListener returns blockingConns.
type blockingListener struct {
	net.Listener
	after *func(n int)
}

func (l *blockingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return blockingConn{nc, l.after}, nil
}

func (l *blockingListener) SetDeadline(at time.Time) error {
	return l.Listener.(*net.TCPListener).SetDeadline(at)
}

// A connection is closed, for a shutdown or an eviction, at the instant at which its next request has been read but
// is not yet recorded. Its client sees a close that crosses its request and sends it again: it must not run here too.
func TestCloseCrossesRequest(t *testing.T) {
	for name, end := range map[string]func(*Server){
		"for the end": func(s *Server) { s.gate.closeIdle(silentConnWait) },
		"for room": func(s *Server) {
			s.gate.mu.Lock()
			s.gate.maxConns = 1
			s.gate.mu.Unlock()
			a, _ := net.Pipe()
			require.NotNil(t, s.gate.admit(a))
		},
	} {
		t.Run(name, func(t *testing.T) {
			var server *Server
			after, calls := func(int) {}, atomic.Int64{}
			addr, _, _, _ := startDispatcherWith(t, 0, func(c *nettest.Call) { calls.Add(1); nettest.Serve(c) }, nil, func(s *Server) {
				server, s.gate.Listener = s, &blockingListener{s.gate.Listener, &after}
			})
			c := nettest.Dial(t, addr)
			c.Post("/plot-load/x", "t1", "", "x")
			c.Answer()
			require.Eventually(t, func() bool {
				server.gate.mu.Lock()
				defer server.gate.mu.Unlock()
				return len(server.gate.conns[idle]) == 1
			}, nettest.Timeout, time.Millisecond)
			var crossing atomic.Bool
			once := sync.OnceFunc(func() { crossing.Store(true); end(server) }) // its client may see the close at once
			crossed := func(n int) {
				if n > 0 {
					once()
				}
			}
			server.gate.mu.Lock() // orders the write for the reader
			after = crossed
			server.gate.mu.Unlock()
			c.Post("/harvest-sale/x", "t2", "", "x") // the read that is already waiting has the old hook's address
			c.SetReadDeadline(time.Now().Add(nettest.Timeout))
			_, err := c.Conn.Read(make([]byte, 1))
			require.Error(t, err, "closed with no answer")
			require.False(t, errors.Is(err, os.ErrDeadlineExceeded))
			assert.True(t, crossing.Load())
			fresh := nettest.Dial(t, addr) // one round trip later nothing has been forwarded
			fresh.Send("GET /up HTTP/1.1\r\nHost: h\r\n\r\n")
			fresh.Answer()
			assert.Equal(t, int64(1), calls.Load())
		})
	}
}

// A connection counts as busy once a request's head has been read, before net/http reports it active: it is not
// evicted.
func TestReadRequestIsNotEvicted(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	for _, begin := range []phase{awaitingHead, idle} {
		g := newGate(ln, 1)
		c := nettest.Dial(t, ln.Addr().String())
		nc, err := g.Accept()
		require.NoError(t, err)
		g.setPhase(nc.(*client), begin)
		c.Post("/plot-load/x", "t1", "", "")
		_, err = io.ReadAtLeast(nc, make([]byte, 4096), len("POST /plot-load/x HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: t1\r\nContent-Length: 0\r\n\r\n"))
		require.NoError(t, err)
		g.mu.Lock()
		assert.Nil(t, g.evictionCandidate())
		g.mu.Unlock()
		assert.Equal(t, 1, g.closeIdle(0))
		assert.False(t, nc.(*client).isClosed())
		nc.Close()
		nc.Close()
		assert.Zero(t, g.closeIdle(0), "its place is released once")
	}
}

// A partly read request is not closed in a shutdown before it had its time to arrive, but a silent connection is.
func TestPartialRequestAtShutdown(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	g := newGate(ln, 9)
	half, silent := nettest.Dial(t, ln.Addr().String()), nettest.Dial(t, ln.Addr().String())
	for range 2 {
		nc, err := g.Accept()
		require.NoError(t, err)
		if nc.RemoteAddr().String() == half.LocalAddr().String() {
			half.Send("POST /plot-load")
			_, err := nc.Read(make([]byte, 64))
			require.NoError(t, err)
		}
	}
	assert.Equal(t, 2, g.closeIdle(time.Hour))
	assert.Equal(t, 1, g.closeIdle(0))
	silent.Closed()
}

// slowListener blocks before it accepts a connection and signals when its accepting is ended.
type slowListener struct {
	*net.TCPListener
	go_, ended chan struct{}
	once       sync.Once
}

func (l *slowListener) Accept() (net.Conn, error) {
	<-l.go_
	return l.TCPListener.Accept()
}

func (l *slowListener) SetDeadline(at time.Time) error {
	defer l.once.Do(func() { close(l.ended) })
	return l.TCPListener.SetDeadline(at)
}

func (l *slowListener) Close() error {
	defer l.once.Do(func() { close(l.ended) })
	return l.TCPListener.Close()
}

// A connection in the accept queue when the listener closes is established for its client: it is served and not
// reset.
func TestAcceptQueueAtShutdown(t *testing.T) {
	l := &slowListener{go_: make(chan struct{}), ended: make(chan struct{})}
	addr, _, stop, ended := startDispatcherWith(t, 0, nettest.Serve, nil, func(s *Server) {
		l.TCPListener, s.gate.Listener = s.gate.Listener.(*net.TCPListener), l
	})
	c := nettest.Dial(t, addr)
	c.Post("/plot-load/x", "t1", "", "x")
	stop()
	nettest.Wait(t, l.ended)
	time.Sleep(2 * acceptQueueWait) // longer than any deadline set at shutdown: only the blocked accept itself is waited for
	close(l.go_)
	resp, _ := c.Answer()
	assert.Equal(t, 200, resp.StatusCode)
	nettest.Wait(t, ended)
}

// A request that was accepted before SIGTERM and would be open at the platform's kill is answered before it: with a
// failure if the job may have run, with a refusal if it never ran or a retry is harmless. Idle and partly read
// connections delay nothing.
func TestAnsweredBeforeTheKill(t *testing.T) {
	addr, host, stop, ended := startDispatcherWith(t, 0, neverAnswers, nil, func(s *Server) { s.cfg.KilledAfter = 2 * time.Second })
	unsafe, safe, half := nettest.Dial(t, addr), nettest.Dial(t, addr), nettest.Dial(t, addr)
	unsafe.Post("/harvest-sale/x", "t1", "", "x")
	safe.Post("/plot-load/x", "t2", "", "x")
	nettest.Wait(t, host.Calls)
	nettest.Wait(t, host.Calls)
	half.Send("POST /harvest-sale/x HTTP/1.1\r\nHost: h\r\n")
	stop()
	begun := time.Now()
	resp, _ := unsafe.Answer()
	assert.Equal(t, 500, resp.StatusCode)
	assert.Empty(t, resp.Header.Get("Retry-After"))
	resp, _ = safe.Answer()
	assert.Equal(t, 429, resp.StatusCode)
	nettest.Wait(t, ended)
	assert.Less(t, time.Since(begun), 10*time.Second, "not the 20 s that they had")
	assert.Empty(t, host.Calls)
}

// An answer that was decided as the loop ended, or as its client disconnected, is the one sent, even if the end is
// noticed at the same time.
func TestAnswerAtLoopStop(t *testing.T) {
	for _, ends := range []string{"the loop", "the client"} {
		for range 40 { // a random choice between the two would pass with probability 2^-40
			set := nettest.Settings(t)
			core, err := dispatch.New(set.Policy, 1)
			require.NoError(t, err)
			answered := make(chan struct{})
			up := &stoppingUpstream{}
			l := loop.New(dispatch.NewChain(core, dispatch.Gates{}), set, up, silentCluster{}, loop.NewClock())
			l.Post(dispatch.HostList{Whole: true, Stale: true, Hosts: []dispatch.Host{{Name: "s-0000000a", Addr: "127.0.0.1:1", Scale: 1}}})
			ctx, halt := context.WithCancel(t.Context())
			client, leave := context.WithCancel(t.Context())
			up.halt = func() {
				if ends == "the loop" {
					halt()
				}
				leave()
				close(answered)
			}
			ended := make(chan error, 1)
			go func() { ended <- l.Run(ctx) }()
			s := New(Config{}, set, l)
			r := httptest.NewRequest("POST", "/plot-load", nil)
			s.testHook = func(string, *http.Request) { // both are ready before the handler's select
				nettest.Wait(t, answered)
				if ends == "the loop" {
					require.NoError(t, nettest.Wait(t, ended))
				}
			}
			if ends == "the client" {
				r = r.WithContext(client)
			}
			w := httptest.NewRecorder()
			k := &loop.Ticket{Arrived: time.Now(), Forward: upstream.Request{TraceID: "t1"},
				Job: dispatch.JobArrived{Tenant: -1, Budget: 15 * time.Second, Size: 100 * time.Millisecond, Slots: 1}}
			s.serveJob(w, r, k, preference{})
			assert.Equal(t, "200 r", strings.TrimSpace(w.Result().Status[:3]+" "+w.Body.String()), ends)
			assert.Zero(t, l.Held())
			if halt(); ends == "the client" {
				require.NoError(t, nettest.Wait(t, ended))
			}
		}
	}
}

// stoppingUpstream is an upstream side whose answer ends the loop.
type stoppingUpstream struct{ halt func() }

func (e *stoppingUpstream) Do(_ context.Context, _ *upstream.Request, w upstream.Watcher) {
	w.Ended(upstream.Outcome{Result: policy.OK, Body: []byte("r")})
	e.halt()
}

func (e *stoppingUpstream) Probe(context.Context, string) upstream.Outcome { return upstream.Outcome{} }

// A class may have any name in the settings, also that of the dispatcher's own path /up.
func TestClassNamedUp(t *testing.T) {
	addr, _, _, _ := startDispatcherWith(t, 0, nettest.Serve, nil, func(s *Server) { s.set.Classes["up"] = 0 })
	c := nettest.Dial(t, addr)
	c.Post("/up", "t1", "X-Qos: up\r\n", "x")
	resp, got := c.Answer()
	assert.Equal(t, 200, resp.StatusCode)
	assert.Equal(t, "x", got)
	c.Send("GET /up HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, _ = c.Answer()
	assert.Equal(t, 200, resp.StatusCode)
}

// Hosts identify retries of a keyed class by the client's Idempotency-Key: it is forwarded unchanged, and an
// ambiguous one is rejected.
func TestIdempotencyKey(t *testing.T) {
	addr, host, _, _ := startDispatcher(t, 0, nettest.Serve)
	c := nettest.Dial(t, addr)
	c.Post("/plot-load/x", "t1", "idempotency-key: \"4021~ 06\"\r\n", "x")
	c.Answer()
	assert.Equal(t, `"4021~ 06"`, nettest.Wait(t, host.Calls).Header.Get("Idempotency-Key"))
	c.Post("/plot-load/x", "t2", "", "x")
	c.Answer()
	assert.NotContains(t, nettest.Wait(t, host.Calls).Header, "Idempotency-Key")
	for _, bad := range []string{strings.Repeat("k", maxKeyLength+1), "a\r\nIdempotency-Key: b"} {
		c := nettest.Dial(t, addr)
		c.Post("/plot-load/x", "t3", "Idempotency-Key: "+bad+"\r\n", "x")
		resp, _ := c.Answer()
		assert.Equal(t, 400, resp.StatusCode)
	}
	assert.Empty(t, host.Calls)
}

// A successor serves on the inherited socket just as one request has been read, another is partly read and a
// connection is idle: the first two are answered here, the third is closed, and new clients wait in the queue for the
// successor.
func TestHandoverCrossesRequests(t *testing.T) {
	l := &slowListener{go_: make(chan struct{}), ended: make(chan struct{})}
	close(l.go_)
	read, release := make(chan struct{}, 9), make(chan struct{})
	var server *Server
	var successor net.Listener
	addr, host, stop, ended := startDispatcherWith(t, 0, nettest.Serve, nil, func(s *Server) {
		server, s.cfg.Inherited = s, 1
		l.TCPListener, s.gate.Listener = s.gate.Listener.(*net.TCPListener), l
		f, err := l.File()
		require.NoError(t, err)
		defer f.Close()
		successor, err = net.FileListener(f)
		require.NoError(t, err)
		s.testHook = func(point string, r *http.Request) {
			if point == "reading" && r.Method == http.MethodPost {
				read <- struct{}{}
				<-release
			}
		}
	})
	defer successor.Close()
	rests := nettest.Dial(t, addr)
	rests.Send("GET /up HTTP/1.1\r\nHost: h\r\n\r\n")
	rests.Answer()
	half := nettest.Dial(t, addr)
	half.Send("POST /harvest-sale/x HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t2\r\n")
	require.Eventually(t, func() bool { // the partial request has been read
		server.gate.mu.Lock()
		defer server.gate.mu.Unlock()
		for c := range server.gate.conns[awaitingHead] {
			if c.head.started() {
				return len(server.gate.conns[idle]) == 1
			}
		}
		return false
	}, nettest.Timeout, time.Millisecond)
	taken := nettest.Dial(t, addr)
	taken.Post("/harvest-sale/x", "t1", "", "x")
	nettest.Wait(t, read)
	server.Handover()
	rests.Closed()
	nettest.Wait(t, l.ended)
	fresh := nettest.Dial(t, addr)
	fresh.Post("/harvest-sale/x", "t3", "", "x")
	successor.(*net.TCPListener).SetDeadline(time.Now().Add(nettest.Timeout))
	nc, err := successor.Accept()
	require.NoError(t, err)
	defer nc.Close()
	assert.Equal(t, fresh.LocalAddr().String(), nc.RemoteAddr().String())
	half.Send("Content-Length: 1\r\n\r\nx")
	nettest.Wait(t, read)
	close(release)
	for _, c := range []*nettest.Client{taken, half} {
		resp, _ := c.Answer()
		assert.Equal(t, 200, resp.StatusCode)
		assert.True(t, resp.Close, "the next goes to the successor")
	}
	assert.Len(t, host.Calls, 2)
	stop()
	nettest.Wait(t, ended)
}
