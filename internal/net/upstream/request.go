package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"gaugeslip/policy"
)

const (
	maxLine             = 128 << 10 // a line of an answer: a body of 64 KiB, escaped
	maxHead             = 32 << 10
	maxInformational    = 4 // answers of 1xx before the one that counts
	maxProbe            = 4 << 10
	defaultDrainTimeout = time.Second // see Pool.end
)

// Request is one upstream request. Its deadline is that of the context it is sent with.
type Request struct {
	Addr                       string
	Method, URI, Host, TraceID string
	IdempotencyKey             string // by which hosts know a repeat of a keyed class; empty: none
	Body                       []byte
	Once                       bool            // it must not run twice
	Client                     context.Context // ends when its client has left or its host drains: nothing is sent then; nil: never
}

// Report is a load report: values by name.
type Report map[string]float64

// Outcome is how an upstream request or a probe ended.
type Outcome struct {
	Result policy.Result
	Body   []byte // of OK
	Load   Report // nil: none came along
	Took   time.Duration
}

// Watcher hears of an upstream request while it is out. Ended comes once, last, before the connection is
// given back.
type Watcher interface {
	Started()
	Progress(share float64)
	Ended(Outcome)
}

// Do sends a request and tells w what comes of it. It returns after w.Ended.
func (p *Pool) Do(ctx context.Context, q *Request, w Watcher) {
	start := time.Now()
	end := func(o Outcome) {
		o.Took = time.Since(start)
		w.Ended(o)
	}
	sending, halt := context.WithCancel(ctx)
	defer halt()
	if q.Client != nil {
		defer context.AfterFunc(q.Client, halt)()
	}
	c, err := p.get(sending, q.Addr)
	if err != nil {
		end(Outcome{Result: unsentResult(sending, err)})
		return
	}
	whole, err := p.write(sending, c, q)
	q.Body = nil // not held for as long as the job runs
	if !whole {
		p.discard(c) // the last byte was not written: the protocol's proof that the job never ran
		result := unsentResult(sending, err)
		if !c.idleSince.IsZero() { // a kept connection that breaks tells nothing of its host
			result = policy.NeverSent
		}
		end(Outcome{Result: result})
		return
	}
	if p.cfg.Written != nil {
		p.cfg.Written()
	}
	stop := p.interrupt(ctx, c)
	defer stop()
	o, resp := q.read(c, w)
	if o.Result == policy.ConnectionLost && ctx.Err() != nil {
		o = Outcome{Result: abortedResult(ctx)}
	}
	end(o)
	p.recycle(ctx, c, resp, stop, true)
}

// write is Request.write, to be given up when ctx ends. Where that comes as the last byte goes out, the request has been
// sent, and the connection is as good as before.
func (p *Pool) write(ctx context.Context, c *conn, q *Request) (whole bool, err error) {
	var mu sync.Mutex
	done := false
	stop := context.AfterFunc(ctx, func() {
		mu.Lock()
		defer mu.Unlock()
		if !done {
			c.SetDeadline(time.Unix(1, 0))
		}
	})
	whole, err = q.write(ctx, c, p.cfg.Settle)
	mu.Lock()
	done = true
	mu.Unlock()
	if !stop() && whole {
		err = c.SetDeadline(time.Time{})
	}
	return whole, err
}

// write sends the request and tells whether its last byte was written. Where it must not run twice that byte waits
// until the connection has taken the rest in silence: one that the host closes as the request comes, or has closed
// unheard, then breaks while the job has provably not run and may go elsewhere. One on which the host speaks before it
// has the whole request is as unfit: what it says is not for this request.
func (q *Request) write(ctx context.Context, c *conn, settle time.Duration) (whole bool, err error) {
	msg := q.encode(ctx)
	if err := q.sendCancelled(ctx); err != nil {
		return false, err
	}
	if q.Once {
		n, err := c.Write(msg[:len(msg)-1])
		if err == nil {
			c.SetReadDeadline(time.Now().Add(settle))
			_, err = c.r.Peek(1)
			c.SetReadDeadline(time.Time{})
		}
		if p := q.sendCancelled(ctx); p != nil { // its interruption may have been undone just now
			return false, p
		}
		if err == nil {
			return false, errEarlyResponse
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false, err
		}
		msg = msg[n:]
	}
	n, err := c.Write(msg)
	return n == len(msg), err
}

// sendCancelled tells whether a request is to be sent no more. An interruption by its client's leave may not have come through yet.
func (q *Request) sendCancelled(ctx context.Context) error {
	if q.Client != nil && q.Client.Err() != nil {
		return context.Canceled
	}
	return ctx.Err()
}

// errEarlyResponse says that a host spoke before it had a request.
var errEarlyResponse = errors.New("upstream: the host speaks before it has the request")

// interrupt ends reads and writes of c when ctx does; the function it returns calls that off.
func (p *Pool) interrupt(ctx context.Context, c *conn) func() bool {
	return context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
}

// recycle gives back a connection whose answer has been read to its very end, and closes any other. The
// interruption is called off first: one that came later would hit the connection's next request. job: the answer was
// one to a job, and a second one may come.
func (p *Pool) recycle(ctx context.Context, c *conn, resp *http.Response, stop func() bool, job bool) {
	if resp == nil || resp.Close {
		p.discard(c)
		return
	}
	c.SetReadDeadline(time.Now().Add(p.drainTimeout))
	if ctx.Err() != nil { // its interruption may have been undone just now
		p.discard(c)
		return
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxLine))
	if err != nil || n == maxLine || !stop() {
		p.discard(c)
		return
	}
	c.reuseDelayed = job
	p.put(c)
}

// abortedResult is the outcome of a request that was written and then given up.
func abortedResult(ctx context.Context) policy.Result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return policy.TimedOut
	}
	return policy.Cancelled
}

// unsentResult is the outcome of a request that found no connection: the host is to blame unless the time ran
// out, the request was called off or no descriptor was left.
func unsentResult(ctx context.Context, err error) policy.Result {
	if ctx.Err() != nil || errors.Is(err, errNoDescriptor) || errors.Is(err, context.Canceled) {
		return policy.NeverSent
	}
	return policy.ConnectFailed
}

// encode writes the request once, as one message.
func (q *Request) encode(ctx context.Context) []byte {
	b := bytes.NewBuffer(make([]byte, 0, 256+len(q.URI)+len(q.Body)))
	for _, s := range []string{q.Method, " ", q.URI, " HTTP/1.1\r\nHost: ", q.Host, "\r\nX-Trace-Id: ", q.TraceID} {
		b.WriteString(s)
	}
	if at, ok := ctx.Deadline(); ok {
		b.WriteString("\r\nX-Expires-In-Ms: ")
		b.WriteString(strconv.FormatInt(max(0, time.Until(at).Milliseconds()), 10))
	}
	if q.IdempotencyKey != "" {
		b.WriteString("\r\nIdempotency-Key: ")
		b.WriteString(q.IdempotencyKey)
	}
	b.WriteString("\r\nContent-Length: ")
	b.WriteString(strconv.Itoa(len(q.Body)))
	b.WriteString("\r\n\r\n")
	b.Write(q.Body)
	return b.Bytes()
}
