package downstream

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/net/loop"
	"gaugeslip/internal/net/nettest"
	"gaugeslip/internal/net/upstream"
	"gaugeslip/internal/waiting"
)

// silentCluster is a source of the host list that never sends anything.
type silentCluster struct{}

func (silentCluster) Watch(ctx context.Context, _ uint64, _ func(dispatch.HostList)) error {
	<-ctx.Done()
	return ctx.Err()
}

const maxConns = 30

// startDispatcher starts a complete downstream side over one upstream host, which is listed twice. stop begins its
// shutdown; ended is closed when the shutdown is complete.
func startDispatcher(t *testing.T, acceptFor time.Duration, script func(*nettest.Call)) (
	addr string, host *nettest.Peer, stop func(), ended chan struct{}) {
	return startDispatcherWith(t, acceptFor, script, nil)
}

// lastLoop is the loop of the dispatcher that the test started last.
var lastLoop *loop.Loop

// startDispatcherWith also has a waiting queue if lim is set. The tunes may change the server before it serves.
func startDispatcherWith(t *testing.T, acceptFor time.Duration, script func(*nettest.Call), lim *waiting.Limits, tunes ...func(*Server)) (
	addr string, host *nettest.Peer, stop func(), ended chan struct{}) {
	host = nettest.Listen(t, script)
	set := nettest.Settings(t)
	core, err := dispatch.New(set.Policy, 1)
	require.NoError(t, err)
	pool := upstream.NewPool(upstream.Config{ConnectTimeout: nettest.Timeout, ConnIdle: time.Minute, MaxConns: 9})
	var room *dispatch.WaitingGate
	if lim != nil {
		room = dispatch.NewWaitingGate(*lim, set.Policy)
	}
	l := loop.New(dispatch.NewChain(core, dispatch.Gates{Waiting: room}), set, pool, silentCluster{}, loop.NewClock())
	l.Post(dispatch.HostList{Whole: true, Stale: true,
		Hosts: []dispatch.Host{{Name: "s-0000000a", Addr: host.Addr, Scale: 1},
			{Name: "s-0000000b", Addr: host.Addr, Scale: 1}}})
	s := New(Config{Listen: "127.0.0.1:0", MaxConns: maxConns, MaxBodies: maxBodyBytes, AcceptFor: acceptFor,
		KilledAfter: KilledAfter(set), Waiting: room != nil}, set, l)
	lastLoop = l
	ln, err := s.Listen()
	require.NoError(t, err)
	for _, tune := range tunes {
		tune(s)
	}
	inner, halt := context.WithCancel(context.Background())
	outer, stop := context.WithCancel(context.Background())
	looped, ended := make(chan struct{}), make(chan struct{})
	go func() { defer close(looped); l.Run(inner) }()
	go func() { defer close(ended); assert.NoError(t, s.Serve(outer, ln)) }()
	t.Cleanup(func() {
		stop()
		host.Close() // ends pending upstream requests
		nettest.Wait(t, ended)
		halt()
		nettest.Wait(t, looped)
	})
	return ln.Addr().String(), host, stop, ended
}

// A chunked body that arrives in pieces is forwarded complete, with its length, and its answer comes back. Earlier
// requests on the connection do not affect the check of the next request's head.
func TestServesChunks(t *testing.T) {
	addr, host, _, _ := startDispatcher(t, 0, nettest.Serve)
	c := nettest.Dial(t, addr)
	for i, pieces := range [][]string{{"3\r\nabc\r\n", "2\r\nde\r\n0\r\n\r\n"}, {"1\r\nf\r\n0\r\n\r\n"}} {
		head := "POST /plot-load/x HTTP/1.1\r\nHost: h\r\nX-Trace-Id: c" + strconv.Itoa(i) +
			"\r\nX-Expires-In-Ms: 15000\r\nTransfer-Encoding: chunked\r\n\r\n"
		c.Send(head)
		for _, p := range pieces {
			time.Sleep(20 * time.Millisecond)
			c.Send(p)
		}
		resp, got := c.Answer()
		assert.Equal(t, 200, resp.StatusCode)
		assert.Equal(t, []string{"abcde", "f"}[i], got)
		call := nettest.Wait(t, host.Calls)
		assert.Equal(t, int64(len(got)), call.ContentLength, "passed on with its length")
		assert.Empty(t, call.TransferEncoding)
		// The next request on the connection has a length: the previous head does not make it look framed twice.
		c.Post("/plot-load/x", "l"+strconv.Itoa(i), "X-Expires-In-Ms: 15000\r\n", "g")
		resp, got = c.Answer()
		assert.Equal(t, "200 g", strconv.Itoa(resp.StatusCode)+" "+got)
		nettest.Wait(t, host.Calls)
	}
}

func TestServes(t *testing.T) {
	addr, _, _, _ := startDispatcher(t, 0, nettest.Serve)
	c := nettest.Dial(t, addr)
	for _, body := range []string{"a", "", "b"} { // several requests on one connection
		c.Post("/plot-load/x", "t"+body, "X-Expires-In-Ms: 15000\r\nX-Size-Hint: 1000\r\nX-Qos: plot-load\r\n", body)
		resp, got := c.Answer()
		assert.Equal(t, 200, resp.StatusCode)
		assert.Equal(t, body, got)
	}
}

// Each kind of bad input gets its own status, never one that could be taken for the outcome of a job.
func TestBadInput(t *testing.T) {
	addr, host, _, _ := startDispatcher(t, 0, nettest.Serve)
	post := func(path, headers string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + headers + "Content-Length: 0\r\n\r\n"
	}
	for name, c := range map[string]struct {
		text string
		want int
	}{
		"no such path":        {post("/render", "X-Trace-Id: a\r\n"), 404},
		"root":                {post("/", "X-Trace-Id: a\r\n"), 404},
		"wrong method":        {"GET /plot-load HTTP/1.1\r\nHost: h\r\n\r\n", 405},
		"POST to /up":         {post("/up", ""), 405},
		"no id":               {post("/plot-load", ""), 400},
		"another class":       {post("/plot-load", "X-Trace-Id: a\r\nX-Qos: harvest-sale\r\n"), 400},
		"no number":           {post("/plot-load", "X-Trace-Id: a\r\nX-Expires-In-Ms: soon\r\n"), 400},
		"not a number":        {post("/plot-load", "X-Trace-Id: a\r\nX-Expires-In-Ms: NaN\r\n"), 400},
		"negative":            {post("/plot-load", "X-Trace-Id: a\r\nX-Expires-In-Ms: -5\r\n"), 400},
		"too far":             {post("/plot-load", "X-Trace-Id: a\r\nX-Expires-In-Ms: 1e18\r\n"), 400},
		"bad hint":            {post("/plot-load", "X-Trace-Id: a\r\nX-Size-Hint: big\r\n"), 400},
		"bad slots":           {post("/plot-load", "X-Trace-Id: a\r\nX-Props: memory=1,slots=x\r\n"), 400},
		"not HTTP":            {"HELLO\r\n\r\n", 400},
		"too long":            {"POST /plot-load HTTP/1.1\r\nHost: h\r\nX-Trace-Id: a\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537), 413},
		"hex figures":         {post("/plot-load", "X-Trace-Id: a\r\nX-Expires-In-Ms: 0x1F4\r\n"), 400},
		"a sign":              {post("/plot-load", "X-Trace-Id: a\r\nX-Expires-In-Ms: +500\r\n"), 400},
		"no figures":          {post("/plot-load", "X-Trace-Id: a\r\nX-Expires-In-Ms:\r\n"), 400},
		"two ids":             {post("/plot-load", "X-Trace-Id: a\r\nX-Trace-Id: b\r\n"), 400},
		"malformed id":        {post("/plot-load", "X-Trace-Id: a b\r\n"), 400},
		"long id":             {post("/plot-load", "X-Trace-Id: "+strings.Repeat("a", 65)+"\r\n"), 400},
		"not ASCII":           {post("/plot-load/\xff", "X-Trace-Id: a\r\n"), 400},
		"huge, not sent":      {"POST /plot-load HTTP/1.1\r\nHost: h\r\nX-Trace-Id: a\r\nContent-Length: 60000000\r\n\r\n", 413},
		"class, not sent":     {"POST /render HTTP/1.1\r\nHost: h\r\nX-Trace-Id: a\r\nContent-Length: 9000\r\n\r\n", 404},
		"cut short":           {"POST /plot-load HTTP/1.1\r\nHost: h\r\nX-Trace-Id: a\r\nContent-Length: 9\r\n\r\nabc", 400},
		"chunks and a length": {"POST /plot-load HTTP/1.1\r\nHost: h\r\nX-Trace-Id: a\r\ncontent-length : 6\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", 400},
		"chunks, too long":    {"POST /plot-load HTTP/1.1\r\nHost: h\r\nX-Trace-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + strings.Repeat("x", 0x10001) + "\r\n0\r\n\r\n", 413},
	} {
		cl := nettest.Dial(t, addr)
		cl.Send(c.text)
		resp, _ := cl.Answer()
		assert.Equal(t, c.want, resp.StatusCode, name)
	}
	assert.Empty(t, host.Calls)
}

// A request with both Content-Length and Transfer-Encoding may hide another. Neither is forwarded, whichever path it
// names.
func TestRequestSmuggling(t *testing.T) {
	addr, host, _, _ := startDispatcher(t, 0, nettest.Serve)
	hidden := "0\r\n\r\nPOST /plot-load HTTP/1.1\r\nHost: h\r\nX-Trace-Id: b\r\nContent-Length: 0\r\n\r\n"
	for _, line := range []string{"POST /plot-load", "GET /up"} {
		c := nettest.Dial(t, addr)
		c.Send(line + " HTTP/1.1\r\nHost: h\r\nX-Trace-Id: a\r\nContent-Length: " + strconv.Itoa(len(hidden)) +
			"\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden)
		resp, _ := c.Answer()
		assert.Equal(t, 400, resp.StatusCode)
		c.Closed()
	}
	assert.Empty(t, host.Calls)
}

// A request with the id of an open one gets an error, and the open one gets its own answer.
func TestDuplicateID(t *testing.T) {
	hold := make(chan struct{})
	addr, host, _, _ := startDispatcher(t, 0, func(c *nettest.Call) { <-hold; nettest.Serve(c) })
	first, second := nettest.Dial(t, addr), nettest.Dial(t, addr)
	first.Post("/harvest-sale", "t1", "", "one")
	nettest.Wait(t, host.Calls)
	second.Post("/harvest-sale", "t1", "", "two")
	resp, _ := second.Answer()
	assert.Equal(t, 409, resp.StatusCode)
	close(hold)
	_, got := first.Answer()
	assert.Equal(t, "one", got)
	assert.Empty(t, host.Calls)
}

// Many silent connections make room for clients that send requests, and are closed in time. An idle connection is
// evicted before a new one, whose client may be about to send its request; the idle one's client only has to
// reconnect.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	var g *gate
	addr, _, _, _ := startDispatcherWith(t, 0, nettest.Serve, nil, func(s *Server) { g = s.gate })
	usual, begun := nettest.Dial(t, addr), time.Now()
	ask := func(c *nettest.Client, id string) {
		c.Post("/plot-load", id, "", id)
		_, got := c.Answer()
		assert.Equal(t, id, got)
	}
	ask(usual, "t1") // idle from here on
	var crowd []*nettest.Client
	for range 3 * maxConns {
		crowd = append(crowd, nettest.Dial(t, addr))
	}
	markJustConnected(g)
	ask(nettest.Dial(t, addr), "t2")
	usual.Closed()
	ask(nettest.Dial(t, addr), "t3")
	for _, c := range crowd {
		c.Closed()
	}
	assert.Less(t, time.Since(begun), 8*time.Second) // the limit is 3 s; allow more on a slow machine
}

// markJustConnected makes all silent connections look new, however long the machine took to accept them.
func markJustConnected(g *gate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns[awaitingHead] {
		c.since = time.Now()
	}
}

// At the limit, a client that has just connected keeps its connection: an idle connection is evicted for the next
// client, not one that is about to send its request.
func TestNewClientIsNotEvicted(t *testing.T) {
	addr, _, _, _ := startDispatcher(t, 0, nettest.Serve)
	idle := make([]*nettest.Client, maxConns)
	for i := range idle {
		idle[i] = nettest.Dial(t, addr)
		idle[i].Post("/plot-load", fmt.Sprint("i", i), "", "x")
		idle[i].Answer()
	}
	closed := make(chan int, maxConns)
	for i, c := range idle {
		go func() {
			c.Conn.SetReadDeadline(time.Now().Add(nettest.Timeout))
			if _, err := c.Conn.Read(make([]byte, 1)); err != nil {
				closed <- i
			}
		}()
	}
	slow := nettest.Dial(t, addr) // evicts the oldest idle one
	nettest.Wait(t, closed)
	newcomer := nettest.Dial(t, addr) // evicts the next idle one, not slow
	nettest.Wait(t, closed)
	slow.Post("/plot-load", "slow", "", "slow")
	resp, got := slow.Answer()
	assert.Equal(t, "200 slow", fmt.Sprint(resp.StatusCode, " ", got))
	newcomer.Post("/plot-load", "new", "", "new")
	resp, got = newcomer.Answer()
	assert.Equal(t, "200 new", fmt.Sprint(resp.StatusCode, " ", got))
}

// A long body beyond the limit for all bodies together is refused at once; short ones still pass.
func TestBodiesAreBounded(t *testing.T) {
	hold := make(chan struct{})
	addr, host, _, _ := startDispatcher(t, 0, func(c *nettest.Call) { <-hold; nettest.Serve(c) })
	first, second := nettest.Dial(t, addr), nettest.Dial(t, addr)
	first.Post("/harvest-sale", "t1", "", strings.Repeat("x", maxBodyBytes))
	nettest.Wait(t, host.Calls)
	second.Post("/harvest-sale", "t2", "", strings.Repeat("x", maxBodyBytes))
	resp, _ := second.Answer()
	assert.Equal(t, "503 1.5", strconv.Itoa(resp.StatusCode)+" "+resp.Header.Get("Retry-After"))
	third := nettest.Dial(t, addr)
	third.Post("/harvest-sale", "t3", "", "short")
	nettest.Wait(t, host.Calls)
	close(hold)
	_, got := third.Answer()
	assert.Equal(t, "short", got)
}

func TestLongestBody(t *testing.T) {
	addr, host, _, _ := startDispatcher(t, 0, nettest.Serve)
	body := strings.Repeat("x", maxBodyBytes)
	c := nettest.Dial(t, addr)
	c.Post("/harvest-sale", "t1", "", body)
	_, got := c.Answer()
	assert.Equal(t, body, got)
	assert.Equal(t, body, nettest.Wait(t, host.Calls).Text)
}

// Checks the numbers in the headers: a job's slots among its other properties, its time in whole milliseconds.
func TestDecodeNumbers(t *testing.T) {
	r, err := http.NewRequest("POST", "http://h/harvest-sale/9?q=1", strings.NewReader("b"))
	require.NoError(t, err)
	r.RequestURI = r.URL.String() // the absolute form
	for k, v := range map[string]string{"X-Trace-Id": "t", "X-Expires-In-Ms": "480", "X-Size-Hint": "2500",
		"X-Props": "memory=0.5, slots=2", "X-Second-Try": "1", "X-Customer": "nobody", "X-Object": "o"} {
		r.Header.Set(k, v)
	}
	k, err := decode(r, nettest.Settings(t), time.Now())
	require.NoError(t, err)
	assert.Equal(t, dispatch.JobArrived{Class: 1, Tenant: -1, Budget: 480 * time.Millisecond, Retry: true,
		Size: 2500 * time.Microsecond, Slots: 2, Key: k.Job.Key, Keyed: true}, k.Job)
	r.Header.Set("X-Trace-Id", "another")
	again, err := decode(r, nettest.Settings(t), time.Now())
	require.NoError(t, err)
	assert.Equal(t, k.Job.Key, again.Job.Key, "a client's next try concerns the same")
	r.Header.Set("X-Object", strings.Repeat("o", maxIDLength+1))
	other, err := decode(r, nettest.Settings(t), time.Now())
	require.NoError(t, err)
	assert.False(t, other.Job.Keyed)
	assert.NotEqual(t, k.Job.Key, other.Job.Key)
	assert.Equal(t, "/harvest-sale/9?q=1", k.Forward.URI)
}

// A request with no time left is not sent. One without a time has its class's default.
func TestExpiry(t *testing.T) {
	for headers, want := range map[string]time.Duration{"0": 0, "-": 20 * time.Second, "480": 480 * time.Millisecond} {
		r, err := http.NewRequest("POST", "/plot-load", strings.NewReader(""))
		require.NoError(t, err)
		r.Header.Set("X-Trace-Id", "t")
		if r.Header.Set("X-Expires-In-Ms", headers); headers == "-" {
			r.Header.Del("X-Expires-In-Ms")
		}
		k, err := decode(r, nettest.Settings(t), time.Now())
		require.NoError(t, err)
		assert.Equal(t, want, k.Job.Budget)
	}
}

// Beyond the hard limit a request is refused, with a Retry-After.
func TestMaxOpenRequests(t *testing.T) {
	set := nettest.Settings(t)
	set.MostHeld = 1
	l := loop.New(nil, set, nil, nil, loop.NewClock())
	require.NoError(t, l.Submit(&loop.Ticket{}))
	w := httptest.NewRecorder()
	New(Config{}, set, l).serveJob(w, httptest.NewRequest("POST", "/plot-load", nil), &loop.Ticket{}, preference{})
	assert.Equal(t, "429 1.5", strconv.Itoa(w.Code)+" "+w.Header().Get("Retry-After"))
}

// A refusal promises that a retry is harmless, so a job that may have run is never refused, and it is sent to no
// other host.
func TestAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		class, expires string
		script         func(*nettest.Call)
		want           int
	}{
		"safe, reset":    {"plot-load", "15000", (*nettest.Call).Reset, 429},
		"safe, silent":   {"plot-load", "1000", func(*nettest.Call) {}, 429},
		"unsafe, reset":  {"harvest-sale", "15000", (*nettest.Call).Reset, 500},
		"unsafe, silent": {"harvest-sale", "1000", func(*nettest.Call) {}, 500},
	} {
		addr, host, _, _ := startDispatcher(t, 0, c.script)
		cl := nettest.Dial(t, addr)
		cl.Post("/"+c.class, "t1", "X-Expires-In-Ms: "+c.expires+"\r\n", "")
		resp, _ := cl.Answer()
		assert.Equal(t, c.want, resp.StatusCode, name)
		if c.want == 429 {
			assert.Equal(t, "1.5", resp.Header.Get("Retry-After"), name)
			continue
		}
		assert.Empty(t, resp.Header.Get("Retry-After"), name)
		assert.Len(t, host.Calls, 1, name)
	}
}

// A handler that panics still answers, and not with a refusal.
func TestPanic(t *testing.T) {
	s := New(Config{Listen: "127.0.0.1:0", MaxConns: 9}, nil, nil) // without settings decode panics
	ln, err := s.Listen()
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx, ln) }()
	c := nettest.Dial(t, ln.Addr().String())
	c.Post("/plot-load", "t1", "", "")
	resp, _ := c.Answer()
	assert.Equal(t, 500, resp.StatusCode)
	stop()
	assert.NoError(t, nettest.Wait(t, ended))
}

// During a shutdown a job that the platform's kill would cut off is refused at once; a short one is still served.
func TestLongJobDuringShutdown(t *testing.T) {
	for hint, want := range map[string]int{"50000": 200, "9000000": 429} {
		addr, _, stop, _ := startDispatcher(t, 3*time.Second, nettest.Serve)
		stop()
		for status := 200; status != 503; {
			up := nettest.Dial(t, addr)
			up.Send("GET /up HTTP/1.1\r\nHost: h\r\n\r\n")
			resp, _ := up.Answer()
			status = resp.StatusCode
		}
		c := nettest.Dial(t, addr)
		c.Post("/harvest-sale", "t1", "X-Expires-In-Ms: 20000\r\nX-Size-Hint: "+hint+"\r\n", "")
		resp, _ := c.Answer()
		assert.Equal(t, want, resp.StatusCode, hint)
	}
}

// During a shutdown /up reports 503, new requests are still served, each answer asks to close the connection, and
// requests accepted before are waited for.
func TestShutdown(t *testing.T) {
	hold := make(chan struct{})
	addr, host, stop, ended := startDispatcherWith(t, 3*time.Second, func(c *nettest.Call) { // allows for a slow machine
		if c.Text == "slow" {
			<-hold
		}
		nettest.Serve(c)
	}, nil, func(s *Server) { s.cfg.KilledAfter = nettest.Timeout }) // otherwise the slow job may have failed by then
	release := sync.OnceFunc(func() { close(hold) })
	t.Cleanup(release) // runs before the host is closed, which waits for its script
	slow, idle := nettest.Dial(t, addr), nettest.Dial(t, addr)
	up := func(c *nettest.Client) int {
		c.Send("GET /up HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, _ := c.Answer()
		return resp.StatusCode
	}
	require.Equal(t, 200, up(idle))
	slow.Post("/harvest-sale", "t1", "X-Expires-In-Ms: 15000\r\n", "slow")
	nettest.Wait(t, host.Calls)
	stop()
	for up(nettest.Dial(t, addr)) != 503 {
		time.Sleep(time.Millisecond)
	}
	late := nettest.Dial(t, addr)
	late.Post("/plot-load", "t2", "X-Expires-In-Ms: 15000\r\n", "late")
	resp, _ := late.Answer()
	assert.Equal(t, 200, resp.StatusCode)
	assert.True(t, resp.Close)
	late.Closed()
	idle.Closed() // nothing more is accepted after this
	select {
	case <-ended:
		t.Error("shutdown ended with an unanswered request")
	default:
	}
	release()
	resp, body := slow.Answer()
	assert.Equal(t, "200 slow", resp.Status[:3]+" "+body)
	slow.Closed()
	nettest.Wait(t, ended)
}
