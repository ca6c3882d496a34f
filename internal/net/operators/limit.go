package operators

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// limit is the door's listener: it holds so many connections at once, and at the limit closes the one that has
// waited longest without a whole call, so that callers who say nothing take no place from those who do.
type limit struct {
	net.Listener
	max   int
	mu    sync.Mutex
	conns map[*caller]struct{}
}

type caller struct {
	net.Conn
	l        *limit
	accepted time.Time
	spoken   bool // a whole head has come
	gone     bool
}

func newLimit(ln net.Listener, most int) *limit {
	return &limit{Listener: ln, max: max(most, 2), conns: map[*caller]struct{}{}}
}

// Accept takes the next connection and makes room for it.
func (l *limit) Accept() (net.Conn, error) {
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
func (l *limit) admit(nc net.Conn) *caller {
	c := &caller{Conn: nc, l: l, accepted: time.Now()}
	var victim *caller
	l.mu.Lock()
	if len(l.conns) >= l.max {
		for o := range l.conns {
			if !o.spoken && (victim == nil || o.accepted.Before(victim.accepted)) {
				victim = o
			}
		}
		if victim != nil {
			delete(l.conns, victim)
			victim.gone = true
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

func (l *limit) state(nc net.Conn, s http.ConnState) {
	if c, ok := nc.(*caller); ok && s == http.StateActive {
		l.mu.Lock()
		c.spoken = true
		l.mu.Unlock()
	}
}

// Close frees the connection's place.
func (c *caller) Close() error {
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}
