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
	maxInformational    = 4 // informational (1xx) answers before the final one
	maxProbe            = 4 << 10
	defaultDrainTimeout = time.Second // see Pool.end
)

// Request is one upstream request. The context it is sent with holds its deadline.
type Request struct {
	Addr                       string
	Method, URI, Host, TraceID string
	IdempotencyKey             string // identifies retries of a keyed class to hosts; empty: none
	Body                       []byte
	NonRepeatable              bool            // the job must not run twice
	Client                     context.Context // ends when the client disconnects or the host drains: nothing is sent after that; nil: never ends
}

// Report is a load report: values by name.
type Report map[string]float64

// Outcome is the result of an upstream request or a probe.
type Outcome struct {
	Result policy.Result
	Body   []byte // if Result is OK
	Load   Report // nil: no report received
	Took   time.Duration
}

// Watcher receives the events of an upstream request. Ended is called once, last, before the connection returns to
// the pool.
type Watcher interface {
	Started()
	Progress(share float64)
	Ended(Outcome)
}

// Do sends a request and reports its events to w. It returns after w.Ended.
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
	q.Body = nil // frees the memory while the job runs
	if !whole {
		p.discard(c) // the last byte was not written, which proves that the job never ran
		result := unsentResult(sending, err)
		if !c.idleSince.IsZero() { // a failed reused connection is no evidence against its host
			result = policy.NeverSent
		}
		end(Outcome{Result: result})
		return
	}
	if p.cfg.OnWritten != nil {
		p.cfg.OnWritten()
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

// write calls Request.write and interrupts it when ctx ends. If ctx ends as the last byte is written, the request has
// been sent and the connection stays usable.
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
	whole, err = q.write(ctx, c, p.cfg.LastByteDelay)
	mu.Lock()
	done = true
	mu.Unlock()
	if !stop() && whole {
		err = c.SetDeadline(time.Time{})
	}
	return whole, err
}

// write sends the request and reports whether its last byte was written. If the job must not run twice, the last byte
// is held back until the host has been silent for the settle time after the rest was written. A connection that the
// host closes on receiving the request, or had already closed, then breaks while the job has provably not run, and
// the job may go to another host. A connection on which the host sends data before it has the complete request is
// unusable as well: that data is not for this request.
func (q *Request) write(ctx context.Context, c *conn, settle time.Duration) (whole bool, err error) {
	msg := q.encode(ctx)
	if err := q.sendCancelled(ctx); err != nil {
		return false, err
	}
	if q.NonRepeatable {
		n, err := c.Write(msg[:len(msg)-1])
		if err == nil {
			c.SetReadDeadline(time.Now().Add(settle))
			_, err = c.r.Peek(1)
			c.SetReadDeadline(time.Time{})
		}
		if p := q.sendCancelled(ctx); p != nil { // SetReadDeadline above may have undone the interruption
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

// sendCancelled returns an error if the request must not be sent any more. It also checks the client's context, since
// the interruption by a disconnect may not have been delivered yet.
func (q *Request) sendCancelled(ctx context.Context) error {
	if q.Client != nil && q.Client.Err() != nil {
		return context.Canceled
	}
	return ctx.Err()
}

// errEarlyResponse reports that a host sent data before it had the request.
var errEarlyResponse = errors.New("upstream: host sent data before it had the request")

// interrupt ends reads and writes of c when ctx ends; the returned function cancels that.
func (p *Pool) interrupt(ctx context.Context, c *conn) func() bool {
	return context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
}

// recycle returns a connection whose answer has been read to its end to the pool, and closes any other. It cancels
// the interruption first, which could otherwise hit the connection's next request. With job set the answer was one to
// a job, and a second one may follow.
func (p *Pool) recycle(ctx context.Context, c *conn, resp *http.Response, stop func() bool, job bool) {
	if resp == nil || resp.Close {
		p.discard(c)
		return
	}
	c.SetReadDeadline(time.Now().Add(p.drainTimeout))
	if ctx.Err() != nil { // SetReadDeadline above may have undone the interruption
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

// abortedResult is the result of a request that was written and then aborted.
func abortedResult(ctx context.Context) policy.Result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return policy.TimedOut
	}
	return policy.Cancelled
}

// unsentResult is the result of a request that got no connection. The host is at fault unless the time ran out, the
// request was cancelled or no descriptor was free.
func unsentResult(ctx context.Context, err error) policy.Result {
	if ctx.Err() != nil || errors.Is(err, errNoDescriptor) || errors.Is(err, context.Canceled) {
		return policy.NeverSent
	}
	return policy.ConnectFailed
}

// encode returns the request as one message.
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
