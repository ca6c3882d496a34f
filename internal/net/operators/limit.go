package operators

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connLimiter is a listener with a limited number of connections. At the limit it closes the connection that has been
// open longest without a complete request head, so that silent clients cannot keep others out.
type connLimiter struct {
	net.Listener
	max   int
	mu    sync.Mutex
	conns map[*limitedConn]struct{}
}

type limitedConn struct {
	net.Conn
	limiter     *connLimiter
	accepted    time.Time
	requestRead bool // a complete request head was read
	evicted     bool
}

func newConnLimiter(ln net.Listener, most int) *connLimiter {
	return &connLimiter{Listener: ln, max: max(most, 2), conns: map[*limitedConn]struct{}{}}
}

// Accept returns the next connection, after making room for it.
func (l *connLimiter) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(nc); c != nil {
			return c, nil
		}
	}
}

// admit registers a connection. If every connection at the limit has an answer to come, it closes the new one and
// returns nil.
func (l *connLimiter) admit(nc net.Conn) *limitedConn {
	c := &limitedConn{Conn: nc, limiter: l, accepted: time.Now()}
	var victim *limitedConn
	l.mu.Lock()
	if len(l.conns) >= l.max {
		for o := range l.conns {
			if !o.requestRead && (victim == nil || o.accepted.Before(victim.accepted)) {
				victim = o
			}
		}
		if victim != nil {
			delete(l.conns, victim)
			victim.evicted = true
		}
	}
	full := len(l.conns) >= l.max
	if !full {
		l.conns[c] = struct{}{}
	}
	l.mu.Unlock()
	if victim != nil {
		victim.Conn.Close()
	}
	if full { // the client may try again
		nc.Close()
		return nil
	}
	return c
}

func (l *connLimiter) connState(nc net.Conn, s http.ConnState) {
	if c, ok := nc.(*limitedConn); ok && s == http.StateActive {
		l.mu.Lock()
		c.requestRead = true
		l.mu.Unlock()
	}
}

// Close closes the connection and frees its place.
func (c *limitedConn) Close() error {
	c.limiter.mu.Lock()
	delete(c.limiter.conns, c)
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}
