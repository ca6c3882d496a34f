// Package upstream makes upstream requests and probes: HTTP/1.1 written on net.Conn, one request at a time on
// a connection, over a pool of idle connections for each upstream host. It never sends a request twice.
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

// errNoDescriptor says that all descriptors meant for upstream hosts are in use.
var errNoDescriptor = errors.New("upstream: no descriptor left")

// Config is what a Pool must keep to.
type Config struct {
	ConnectTimeout time.Duration
	ConnIdle       time.Duration // an upstream host closes a connection that has stood idle this long
	ProbeTimeout   time.Duration
	Settle         time.Duration // how long the last byte of a request that must not run twice waits, see write
	Rest           time.Duration // how long a connection is left alone after a job's answer: a second one may come late
	MaxConns       int           // connections at once, idle ones included
	Written        func()        // called for each upstream request whose last byte has been written; nil: none
}

// conn is a connection with its reader; both live as long as the connection.
type conn struct {
	net.Conn
	in           *limitedConn
	r            *bufio.Reader
	addr         string
	idleSince    time.Time // idle since; zero: it has carried nothing yet
	reuseDelayed bool      // what it carried last was a job's answer, see Config.Rest
}

// limitedConn is what a connection's reader reads from, no more than left bytes.
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

// errHeadTooLong says that the head of an answer does not end.
var errHeadTooLong = errors.New("upstream: the head of an answer is too long")

// Pool holds the connections to all upstream hosts.
type Pool struct {
	cfg          Config
	dial         func(ctx context.Context, network, addr string) (net.Conn, error) // tests hold it
	drainTimeout time.Duration                                                     // how long the end of an answer may take after its last line
	mu           sync.Mutex
	idle         map[string][]*conn // by address, the longest idle first
	connCount    int                // connections open or being opened
}

// NewPool makes an empty pool.
func NewPool(cfg Config) *Pool {
	d := net.Dialer{Timeout: cfg.ConnectTimeout, KeepAlive: -1}
	return &Pool{cfg: cfg, dial: d.DialContext, drainTimeout: defaultDrainTimeout, idle: map[string][]*conn{}}
}

// maxIdleTime is how long a connection may stand idle here: well under the host's limit, since a request written
// as the host closes ends as a reset, which a job that must not run twice can't recover from.
func (p *Pool) maxIdleTime() time.Duration { return p.cfg.ConnIdle * 2 / 3 }

// get takes an idle connection that is known to be alive, or opens one.
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

// takeIdle takes the connection that was used last of those that need no rest.

func (p *Pool) takeIdle(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i, c := range slices.Backward(list) {
		if c.reuseDelayed && time.Since(c.idleSince) < p.cfg.Rest {
			continue
		}
		if p.idle[addr] = slices.Delete(list, i, i+1); len(list) == 1 {
			delete(p.idle, addr)
		}
		return c
	}
	return nil
}

// reserve books a descriptor for a new connection; where all are in use, an idle connection to any host
// makes room.
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

// discard closes a connection for good.
func (p *Pool) discard(c *conn) {
	c.Close()
	p.release()
}

// put gives back a connection on which nothing more is to come.
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

// Sweep closes connections that have stood idle for long, until ctx ends; then it closes all idle ones.
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

// alive tells whether an idle connection is still open and silent: its host may have died or closed it, and
// a request written to it then could not be told from one that ran.
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
