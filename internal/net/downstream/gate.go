package downstream

import (
	"errors"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// phase is the state of a connection. Connections are evicted for new ones by phase, see evictionCandidate.
type phase int

const (
	awaitingHead phase = iota // no complete head has been received yet: silent or slow
	closing                   // answered with a local reply that closes the connection
	idle                      // between requests: a close costs the client only a new connection
	busy                      // a request is being read or awaits its answer: never evicted
	phaseCount
)

// gate is the listener of the downstream side. It accepts every connection, so that no client waits in the listen
// queue behind many silent ones, and enforces its limit by closing the connections that can be spared.
type gate struct {
	net.Listener
	maxConns     int
	stopped      atomic.Bool // accept only what is already in the queue
	queueChecked bool        // used by Accept only: the queue has been checked

	mu    sync.Mutex
	conns [phaseCount]map[*client]struct{}
}

func newGate(ln net.Listener, limit int) *gate {
	g := &gate{Listener: ln, maxConns: limit}
	for p := range g.conns {
		g.conns[p] = map[*client]struct{}{}
	}
	return g
}

// Accept returns the next connection. At the limit it evicts the connection that can best be spared. If every
// connection awaits an answer, it closes the new one.
func (g *gate) Accept() (net.Conn, error) {
	for {
		nc, err := g.Listener.Accept()
		if err != nil && g.stopped.Load() {
			if g.queueChecked || !g.setAcceptDeadline() {
				return nil, errStopped // net/http would continue after a time-out error
			}
			g.queueChecked = true // retry once: the deadline may have passed before the queue was checked
			continue
		}
		if err != nil {
			return nil, err
		}
		if c := g.admit(nc); c != nil {
			return c, nil
		}
		nc.Close()
	}
}

// errStopped makes net/http stop accepting.
var errStopped = errors.New("downstream: no more connections are taken")

// acceptQueueWait is how long connections in the accept queue of a socket that is about to close are still accepted.
const acceptQueueWait = 20 * time.Millisecond

// stop ends accepting. On a socket of our own the connections in the accept queue are accepted first: for their
// clients they are established, and closing the socket would reset them. On a shared socket the queue belongs to the
// successor.
func (g *gate) stop(shared bool) {
	g.stopped.Store(true)
	if shared || !g.setAcceptDeadline() {
		g.Listener.Close()
	}
}

// setAcceptDeadline limits the wait for one more connection; net/http's server closes the listener later. It returns
// false if the listener has no deadline.
func (g *gate) setAcceptDeadline() bool {
	l, ok := g.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && l.SetDeadline(time.Now().Add(acceptQueueWait)) == nil
}

func (g *gate) admit(nc net.Conn) *client {
	g.mu.Lock()
	open := 0
	for _, set := range g.conns {
		open += len(set)
	}
	var victim *client
	if open >= g.maxConns {
		if victim = g.evictionCandidate(); victim == nil {
			g.mu.Unlock()
			slog.Debug("new connection closed: all others await answers", "held", open)
			return nil
		}
		slog.Debug("connection evicted for a new one", "phase", victim.phase, "for", time.Since(victim.since))
		g.remove(victim)
	}
	now := time.Now()
	c := &client{Conn: nc, gate: g, accepted: now, since: now}
	g.conns[awaitingHead][c] = struct{}{}
	g.mu.Unlock()
	if victim != nil {
		victim.Conn.Close()
	}
	return c
}

// newConnGrace is how long a connection without a complete head counts as a new client, since a client writes its
// head within milliseconds. Until then it is evicted last, after idle connections, whose close costs the client only
// a new connection. Later it is evicted first, as likely one of many silent connections.
const newConnGrace = time.Second

// evictionCandidate returns the connection that can best be spared: first silent ones, then those in phase closing,
// then idle ones and last new ones; in each group the one longest in its phase. Connections with unread data are
// skipped: under a flood of connections evicting them would drop the clients that do send requests.
func (g *gate) evictionCandidate() *client {
	now := time.Now()
	for _, tier := range []struct {
		p     phase
		since time.Duration // minimum time in the phase
	}{{awaitingHead, newConnGrace}, {closing, 0}, {idle, 0}, {awaitingHead, 0}} {
		list := slices.SortedFunc(maps.Keys(g.conns[tier.p]), func(a, b *client) int { return a.since.Compare(b.since) })
		for _, c := range list {
			if now.Sub(c.since) < tier.since {
				break // the rest are younger
			}
			if !hasUnreadData(c.Conn) {
				return c
			}
		}
	}
	return nil
}

// hasUnreadData reports whether a connection has received bytes that have not been read yet.
func hasUnreadData(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// closeIdle closes the connections that are between requests, or have sent nothing for unreadFor, and that have no
// unread data: the close costs their clients only a new connection. It returns the number of connections left.
func (g *gate) closeIdle(unreadFor time.Duration) (left int) {
	g.mu.Lock()
	var victims []*client
	for p, least := range map[phase]time.Duration{idle: 0, awaitingHead: unreadFor} {
		for c := range g.conns[p] {
			if time.Since(c.since) >= least && !c.head.started() && !hasUnreadData(c.Conn) {
				g.remove(c)
				victims = append(victims, c)
			}
		}
	}
	for _, set := range g.conns {
		left += len(set)
	}
	g.mu.Unlock()
	for _, c := range victims {
		c.Conn.Close()
	}
	return left
}

func (g *gate) remove(c *client) {
	delete(g.conns[c.phase], c)
	c.closed = true
}

// setPhase records the new phase of a connection.
func (g *gate) setPhase(c *client, p phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.closed {
		g.setPhaseLocked(c, p)
	}
}

// setPhaseLocked is setPhase for callers that hold the lock.
func (g *gate) setPhaseLocked(c *client, p phase) {
	delete(g.conns[c.phase], c)
	c.phase, c.since = p, time.Now()
	g.conns[p][c] = struct{}{}
}

// onConnState follows net/http's connection states. net/http reports a connection active once a complete head has
// been read.
func (g *gate) onConnState(nc net.Conn, s http.ConnState) {
	if c, ok := nc.(*client); ok {
		switch s {
		case http.StateActive:
			g.setPhase(c, busy)
		case http.StateIdle:
			c.resetHead()
			g.setPhase(c, idle)
		}
	}
}
