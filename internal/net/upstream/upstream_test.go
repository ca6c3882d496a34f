package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/freeport/freeporttest"
	"gaugeslip/internal/net/nettest"
	"gaugeslip/policy"
)

// recorder is a Watcher that records its events.
type recorder struct {
	started  chan struct{}
	progress []float64
	ended    []Outcome
}

func newRecorder() *recorder              { return &recorder{started: make(chan struct{}, 9)} }
func (h *recorder) Started()              { h.started <- struct{}{} }
func (h *recorder) Progress(s float64)    { h.progress = append(h.progress, s) }
func (h *recorder) Ended(o Outcome)       { h.ended = append(h.ended, o) }
func (h *recorder) result() policy.Result { return h.ended[0].Result }

func pool(idle time.Duration) *Pool {
	return NewPool(Config{ConnectTimeout: nettest.Timeout, ConnIdle: idle, ProbeTimeout: nettest.Timeout, MaxConns: 4})
}

func request(addr string) *Request {
	return &Request{Addr: addr, Method: "POST", URI: "/plot-load/x?y=%20z", Host: "origin.svc", TraceID: "t1",
		Body: []byte("body")}
}

func do(ctx context.Context, p *Pool, q *Request) *recorder {
	h := newRecorder()
	p.Do(ctx, q, h)
	return h
}

// status returns an answer without a body.
func status(line, headers string) string {
	return "HTTP/1.1 " + line + "\r\n" + headers + "Content-Length: 0\r\n\r\n"
}

const done = `{"id":"t1","from":"h","state":"done","result":"r\u00e9s"}`

// Checks the result for each kind of answer in the protocol.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		say  string
		then string // what the host does after the answer: close, or nothing
		want policy.Result
	}{
		"done":               {nettest.Chunked(done), "", policy.OK},
		"done, then reset":   {nettest.Chunks(done), "close", policy.OK},
		"failed":             {nettest.Chunked(`{"id":"t1","state":"failed"}`), "", policy.AppError},
		"500":                {status("500 No", ""), "", policy.AppError},
		"404":                {status("404 No", "X-Never-Ran: 1\r\n"), "", policy.Rejected},
		"returned":           {nettest.Chunked(`{"id":"t1","state":"returned"}`), "", policy.Full},
		"503 never ran":      {status("503 No", "X-Never-Ran: 1\r\n"), "", policy.Full},
		"504 never ran":      {status("504 No", "X-Never-Ran: 1\r\n"), "", policy.Full},
		"503 without proof":  {status("503 No", ""), "", policy.AppError},
		"503 never ran: 0":   {status("503 No", "X-Never-Ran: 0\r\n"), "", policy.AppError},
		"lost":               {nettest.Chunked(`{"id":"t1","state":"lost"}`), "", policy.ConnectionLost},
		"closed unanswered":  {"", "close", policy.ConnectionLost},
		"closed in the line": {nettest.Chunks(`{"id":"t1","state":"started"}`) + "5\r\n{\"i", "close", policy.ConnectionLost},
		"ended too early":    {nettest.Chunked(`{"id":"t1","state":"started"}`), "", policy.ConnectionLost},
		"another's answer":   {nettest.Chunked(`{"id":"t2","state":"done","result":"r"}`), "", policy.ConnectionLost},
		"not JSON":           {nettest.Chunked(`done`), "", policy.ConnectionLost},
		"not HTTP":           {"HELLO\r\n\r\n", "", policy.ConnectionLost},
		"endless line":       {nettest.Chunks(strings.Repeat("x", 5*maxLine)), "close", policy.ConnectionLost},
	} {
		t.Run(name, func(t *testing.T) {
			host := nettest.Listen(t, func(call *nettest.Call) {
				if call.WriteText(c.say); c.then == "close" {
					call.Conn.Close()
				}
			})
			h := do(t.Context(), pool(time.Minute), request(host.Addr))
			require.Len(t, h.ended, 1)
			assert.Equal(t, c.want, h.result())
			if c.want == policy.OK {
				assert.Equal(t, "rés", string(h.ended[0].Body))
			}
			assert.Len(t, host.Calls, 1, "nothing is sent twice")
		})
	}
}

// Method, path, query, body and id are forwarded unchanged, with the remaining time.
func TestForwards(t *testing.T) {
	host := nettest.Listen(t, func(c *nettest.Call) {
		c.WriteText(nettest.Chunked(`{"id":"t1","state":"started"}`, `{"id":"t1","state":"running","share":0.5}`,
			`{"id":"t1","state":"done","result":{"a":1},"load":{"queue":2,"odd":"x"}}`))
	})
	ctx, cancel := context.WithTimeout(t.Context(), nettest.Timeout)
	defer cancel()
	h := do(ctx, pool(time.Minute), request(host.Addr))
	c := nettest.Wait(t, host.Calls)
	assert.Equal(t, "POST /plot-load/x?y=%20z", c.Method+" "+c.RequestURI)
	assert.Equal(t, "t1", c.Header.Get("X-Trace-Id"))
	assert.Regexp(t, `^(20000|1\d{4}|\d{1,4})$`, c.Header.Get("X-Expires-In-Ms"))
	assert.Equal(t, "body", c.Text)
	nettest.Wait(t, h.started)
	assert.Equal(t, []float64{0.5}, h.progress)
	assert.Equal(t, `{"a":1}`, string(h.ended[0].Body))
	assert.Equal(t, Report{"queue": 2}, h.ended[0].Load)
}

// A refused connection proves that the job never ran.
func TestRefusedConnection(t *testing.T) {
	h := do(t.Context(), pool(time.Minute), request(freeporttest.Address(t)))
	assert.Equal(t, policy.ConnectFailed, h.result())
}

// A connection breaks while the request is being sent. If the job must not run twice, its last byte was held back, so
// that it provably never ran. The break of a reused connection is no evidence against its host.
func TestConnectionBreaksDuringRequest(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	answers := make(chan int, 9) // number of requests a connection answers before it breaks at the next one's first byte
	go func() {
		for n := range answers {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(c)
			for range n {
				if req, err := http.ReadRequest(r); err == nil {
					io.Copy(io.Discard, req.Body)
					io.WriteString(c, nettest.Chunked(done))
				}
			}
			r.ReadByte()
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	defer close(answers)
	for _, c := range []struct {
		once bool
		kept int
		want policy.Result
	}{{false, 0, policy.ConnectionLost}, {true, 0, policy.ConnectFailed}, {true, 1, policy.NeverSent}} {
		p := pool(time.Minute)
		p.cfg.LastByteDelay = nettest.Timeout
		q := request(ln.Addr().String())
		answers <- c.kept
		for range c.kept {
			require.Equal(t, policy.OK, do(t.Context(), p, request(q.Addr)).result())
		}
		q.NonRepeatable = c.once
		assert.Equal(t, c.want, do(t.Context(), p, q).result())
		assert.Zero(t, p.connCount)
	}
}

// The held-back byte is sent if nothing breaks, and not if the deadline has passed meanwhile.
func TestLastByteFollows(t *testing.T) {
	host := nettest.Listen(t, answer)
	p, q := pool(time.Minute), request(host.Addr)
	q.NonRepeatable, p.cfg.LastByteDelay = true, time.Millisecond
	assert.Equal(t, policy.OK, do(t.Context(), p, q).result())
	assert.Equal(t, "body", nettest.Wait(t, host.Calls).Text)
	q, p.cfg.LastByteDelay = request(host.Addr), nettest.Timeout
	q.NonRepeatable = true
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	assert.Equal(t, policy.NeverSent, do(ctx, p, q).result())
	assert.Empty(t, host.Calls)
}

// A request to a silent host is aborted at its deadline by closing the connection; it may have run.
func TestSilentHost(t *testing.T) {
	for name, want := range map[string]policy.Result{"deadline": policy.TimedOut, "cancel": policy.Cancelled} {
		read := make(chan struct{}, 1)
		host := nettest.Listen(t, func(*nettest.Call) { read <- struct{}{} })
		ctx, cancel := context.WithCancel(t.Context())
		if name == "deadline" {
			ctx, cancel = context.WithTimeout(t.Context(), time.Second)
		}
		go func() {
			if <-read; name == "cancel" {
				cancel()
			}
		}()
		p := pool(time.Minute)
		assert.Equal(t, want, do(ctx, p, request(host.Addr)).result(), name)
		assert.Zero(t, p.connCount, name)
		cancel()
	}
}

// A request whose deadline passed before it was written has never been sent.
func TestExpiredBeforeSent(t *testing.T) {
	host := nettest.Listen(t, func(*nettest.Call) {})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Equal(t, policy.NeverSent, do(ctx, pool(time.Minute), request(host.Addr)).result())
	assert.Empty(t, host.Calls)
}

func answer(c *nettest.Call) { c.WriteText(nettest.Chunked(done)) }

// Connections are kept and reused, one request at a time.
func TestReuse(t *testing.T) {
	host := nettest.Listen(t, answer)
	p := pool(time.Minute)
	for nth := range 3 {
		assert.Equal(t, policy.OK, do(t.Context(), p, request(host.Addr)).result())
		assert.Equal(t, nth, nettest.Wait(t, host.Calls).Index)
	}
	assert.Equal(t, 1, p.connCount)
}

// A connection that its host closed while it was idle must not carry a request: that would end as a reset, which is
// fatal for a job that must not run twice.
func TestClosedIdleIsNotUsed(t *testing.T) {
	host := nettest.Listen(t, answer)
	p := pool(time.Minute)
	do(t.Context(), p, request(host.Addr))
	host.Hangup()
	require.Eventually(t, func() bool { return !alive(p.idle[host.Addr][0]) }, nettest.Timeout, time.Millisecond)
	assert.Equal(t, policy.OK, do(t.Context(), p, request(host.Addr)).result())
	assert.Equal(t, 1, p.connCount)
}

// Idle connections are closed well before the host would close them, and at the end all of them are.
func TestIdleConnectionsAreClosed(t *testing.T) {
	host := nettest.Listen(t, answer)
	p := pool(60 * time.Millisecond)
	do(t.Context(), p, request(host.Addr))
	ctx, cancel := context.WithCancel(t.Context())
	swept := make(chan struct{})
	go func() { defer close(swept); p.Sweep(ctx) }()
	held := func() int { p.mu.Lock(); defer p.mu.Unlock(); return p.connCount }
	require.Eventually(t, func() bool { return held() == 0 }, nettest.Timeout, time.Millisecond)
	p.cfg.ConnIdle = time.Minute
	do(t.Context(), p, request(host.Addr))
	cancel()
	nettest.Wait(t, swept)
	assert.Zero(t, held())
}

// The number of connections is limited: an idle one makes room, one in use does not.
func TestMaxConns(t *testing.T) {
	a, b := nettest.Listen(t, answer), nettest.Listen(t, answer)
	p := pool(time.Minute)
	p.cfg.MaxConns = 1
	assert.Equal(t, policy.OK, do(t.Context(), p, request(a.Addr)).result())
	assert.Equal(t, policy.OK, do(t.Context(), p, request(b.Addr)).result())
	c, err := p.get(t.Context(), b.Addr)
	require.NoError(t, err)
	assert.Equal(t, policy.NeverSent, do(t.Context(), p, request(a.Addr)).result())
	p.discard(c)
	assert.Zero(t, p.connCount)
}

func TestProbe(t *testing.T) {
	for name, c := range map[string]struct {
		say  string
		want policy.Result
		load Report
	}{
		"load":    {"HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nTEXT inflight=7", policy.OK, Report{"inflight": 7}},
		"header":  {status("200 OK", "Endpoint-Load-Metrics: TEXT queue=2\r\n"), policy.OK, Report{"queue": 2}},
		"none":    {status("200 OK", ""), policy.OK, nil},
		"unwell":  {status("503 No", ""), policy.Full, nil},
		"unknown": {status("404 No", ""), policy.AppError, nil},
		"silent":  {"", policy.TimedOut, nil},
		"garbled": {"HELLO\r\n\r\n", policy.ConnectionLost, nil},
	} {
		host := nettest.Listen(t, func(call *nettest.Call) { call.WriteText(c.say) })
		p := pool(time.Minute)
		if c.say == "" {
			p.cfg.ProbeTimeout = time.Second
		}
		o := p.Probe(t.Context(), host.Addr)
		assert.Equal(t, c.want, o.Result, name)
		assert.Equal(t, c.load, o.Load, name)
		assert.Equal(t, "GET /metrics/load", func() string {
			call := nettest.Wait(t, host.Calls)
			return call.Method + " " + call.RequestURI
		}())
	}
}

func TestParseLoad(t *testing.T) {
	for text, want := range map[string]Report{
		"TEXT inflight=7, queue=2, util=0.61":   {"inflight": 7, "queue": 2, "util": 0.61},
		"inflight=7,x0=-1":                      {"inflight": 7, "x0": -1},
		`{"queue":2,"x0":1.5,"name":"a"}`:       {"queue": 2, "x0": 1.5},
		`JSON {"queue":2}`:                      {"queue": 2},
		"TEXT queue=many, x0=NaN, util=+Inf, 7": nil,
		"":                                      nil,
		"{":                                     nil,
	} {
		assert.Equal(t, want, ParseLoad(text), text)
	}
}
