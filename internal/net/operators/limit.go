package operators

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connLimiter is the door's listener: it holds so many connections at once, and at the limit closes the one that has
// waited longest without a whole call, so that callers who say nothing take no place from those who do.
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
	requestRead bool // a whole head has come
	evicted     bool
}

func newConnLimiter(ln net.Listener, most int) *connLimiter {
	return &connLimiter{Listener: ln, max: max(most, 2), conns: map[*limitedConn]struct{}{}}
}

// Accept takes the next connection and makes room for it.
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

// admit finds a place for a connection; nil: every place is owed an answer, and it is closed.
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
	if full { // this caller may ask again
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

// Close frees the connection's place.
func (c *limitedConn) Close() error {
	c.limiter.mu.Lock()
	delete(c.limiter.conns, c)
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}
