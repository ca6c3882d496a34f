// Package upstream sends upstream requests and probes: HTTP/1.1 written on net.Conn, one request at a time on a
// connection, with a pool of idle connections for each upstream host. It never sends a request twice.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"math"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// errNoDescriptor reports that all descriptors for upstream hosts are in use.
var errNoDescriptor = errors.New("upstream: no descriptor left")

// Config holds the options and limits of a Pool.
type Config struct {
	ConnectTimeout time.Duration
	ConnIdle       time.Duration // an upstream host closes a connection that has been idle this long
	ProbeTimeout   time.Duration
	LastByteDelay  time.Duration // how long the last byte of a request that must not run twice is held back, see write
	ReuseDelay     time.Duration // how long a connection is not reused after a job's answer: a second answer may come late
	MaxConns       int           // connections at once, idle ones included
	OnWritten      func()        // called for each upstream request whose last byte has been written; nil: none
}

// conn is a connection with its reader, which is kept for as long as the connection.
type conn struct {
	net.Conn
	in           *limitedConn
	r            *bufio.Reader
	addr         string
	idleSince    time.Time // zero: it has carried no request yet
	reuseDelayed bool      // its last request was a job, see Config.ReuseDelay
}

// limitedConn limits how many bytes a connection's reader may read.
type limitedConn struct {
	net.Conn
	remaining int
}

func (b *limitedConn) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := b.Conn.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}

// errHeadTooLong reports that the head of an answer exceeds its limit.
var errHeadTooLong = errors.New("upstream: the head of an answer is too long")

// Pool holds the connections to all upstream hosts.
type Pool struct {
	cfg          Config
	dial         func(ctx context.Context, network, addr string) (net.Conn, error) // replaced by tests
	drainTimeout time.Duration                                                     // how long the end of an answer may take after its last line
	mu           sync.Mutex
	idle         map[string][]*conn // by address, the longest idle first
	connCount    int                // connections open or being opened
}

// NewPool returns an empty pool.
func NewPool(cfg Config) *Pool {
	d := net.Dialer{Timeout: cfg.ConnectTimeout, KeepAlive: -1}
	return &Pool{cfg: cfg, dial: d.DialContext, drainTimeout: defaultDrainTimeout, idle: map[string][]*conn{}}
}

// maxIdleTime is how long a connection may stay idle in the pool. It is well below the host's own limit: a request
// written as the host closes the connection ends as a reset, from which a job that must not run twice cannot recover.
func (p *Pool) maxIdleTime() time.Duration { return p.cfg.ConnIdle * 2 / 3 }

// get returns an idle connection that is still open, or opens a new one.
func (p *Pool) get(ctx context.Context, addr string) (*conn, error) {
	for {
		c := p.takeIdle(addr)
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < p.maxIdleTime() && alive(c) {
			return c, nil
		}
		p.discard(c)
	}
	if !p.reserve() {
		return nil, errNoDescriptor
	}
	nc, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		p.release()
		return nil, err
	}
	in := &limitedConn{nc, math.MaxInt}
	return &conn{Conn: nc, in: in, r: bufio.NewReaderSize(in, 4096), addr: addr}, nil
}

// takeIdle takes the most recently used connection whose reuse delay (Config.ReuseDelay) is over.
func (p *Pool) takeIdle(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i, c := range slices.Backward(list) {
		if c.reuseDelayed && time.Since(c.idleSince) < p.cfg.ReuseDelay {
			continue
		}
		if p.idle[addr] = slices.Delete(list, i, i+1); len(list) == 1 {
			delete(p.idle, addr)
		}
		return c
	}
	return nil
}

// reserve reserves a descriptor for a new connection. If all are in use, it closes an idle connection to any host.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connCount >= p.cfg.MaxConns {
		for addr, list := range p.idle {
			list[0].Close()
			p.connCount--
			if p.idle[addr] = list[1:]; len(list) == 1 {
				delete(p.idle, addr)
			}
			break
		}
	}
	if p.connCount >= p.cfg.MaxConns {
		return false
	}
	p.connCount++
	return true
}

func (p *Pool) release() {
	p.mu.Lock()
	p.connCount--
	p.mu.Unlock()
}

// discard closes a connection and releases its descriptor.
func (p *Pool) discard(c *conn) {
	c.Close()
	p.release()
}

// put returns a connection to the pool. Nothing more may be expected on it.
func (p *Pool) put(c *conn) {
	if c.r.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		p.discard(c)
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	p.idle[c.addr] = append(p.idle[c.addr], c)
	p.mu.Unlock()
}

// Sweep closes connections that have been idle for too long, until ctx ends; then it closes all idle ones.
func (p *Pool) Sweep(ctx context.Context) {
	t := time.NewTicker(max(p.maxIdleTime()/4, 10*time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			p.closeIdle(0)
			return
		case <-t.C:
			p.closeIdle(p.maxIdleTime())
		}
	}
}

func (p *Pool) closeIdle(after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		n := 0
		for n < len(list) && time.Since(list[n].idleSince) >= after {
			list[n].Close()
			n++
		}
		p.connCount -= n
		if p.idle[addr] = list[n:]; n == len(list) {
			delete(p.idle, addr)
		}
	}
}

// alive reports whether an idle connection is still open and has no data to read. If the host has died or closed it,
// a request written to it could not be told from one that ran.
func alive(c *conn) bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
