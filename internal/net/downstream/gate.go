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

// phase says what a connection is doing, in the order in which connections have to make room for new ones.
type phase int

const (
	awaitingHead phase = iota // no whole head has come yet: silent, or dribbling
	closing                   // answered with a local reply that closes it
	idle                      // between requests: a close here costs a client no more than a new connection
	busy                      // a request is being read or is owed its answer: never closed for others
	phaseCount
)

// gate is the listener of the downstream side. It accepts whatever comes, so that nobody waits unseen in the
// listen queue behind a crowd that says nothing, and keeps to its limit by closing what can be spared.
type gate struct {
	net.Listener
	maxConns     int
	stopped      atomic.Bool // no more is to be accepted but what is there
	queueChecked bool        // Accept's own: it has looked for that

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

// Accept takes the next connection. At the limit the one that can best be spared is closed for it; where
// every other is owed an answer it is the new one.
func (g *gate) Accept() (net.Conn, error) {
	for {
		nc, err := g.Listener.Accept()
		if err != nil && g.stopped.Load() {
			if g.queueChecked || !g.setAcceptDeadline() {
				return nil, errStopped // net/http would take a time-out for a reason to go on
			}
			g.queueChecked = true // this once: the limit may have passed before the queue was looked at
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

// errStopped ends net/http's accepting.
var errStopped = errors.New("downstream: no more connections are taken")

// acceptQueueWait is how long what waits in the accept queue of a socket that is about to close is still taken.
const acceptQueueWait = 20 * time.Millisecond

// stop ends accepting. Of a socket of our own what is in the queue is taken first: to its client it is a connection that
// stands, and a close would reset it. On a socket that is shared the queue is the successor's.
func (g *gate) stop(shared bool) {
	g.stopped.Store(true)
	if shared || !g.setAcceptDeadline() {
		g.Listener.Close()
	}
}

// setAcceptDeadline limits the wait for one more connection; the listener is closed with net/http's server. False: it can't be.
func (g *gate) setAcceptDeadline() bool {
	l, ok := g.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && l.SetDeadline(time.Now().Add(acceptQueueWait)) == nil
}

func (g *gate) admit(nc net.Conn) *client {
	g.mu.Lock()
	held := 0
	for _, set := range g.conns {
		held += len(set)
	}
	var victim *client
	if held >= g.maxConns {
		if victim = g.evictionCandidate(); victim == nil {
			g.mu.Unlock()
			slog.Debug("a new connection closed: all are owed answers", "held", held)
			return nil
		}
		slog.Debug("a connection closed for a new one", "phase", victim.phase, "for", time.Since(victim.since))
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

// newConnGrace is how long a connection that has sent nothing whole yet counts as a client on its way: a client writes its
// head within milliseconds. Until then it is the last to make room, after idle ones, whose close costs a client no more
// than a new connection; later it is the first, for it is likely one of a crowd that says nothing.
const newConnGrace = time.Second

// evictionCandidate finds the connection that can best be spared: of the silent ones, of those parting, of the idle ones and last
// of the fresh ones, the one longest in its phase. One whose request has come and only waits to be read is none: in a
// crowd that would shed the clients that speak.
func (g *gate) evictionCandidate() *client {
	now := time.Now()
	for _, tier := range []struct {
		p     phase
		since time.Duration // in the phase at least
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

// hasUnreadData tells whether a connection has bytes that nobody has read yet.
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

// closeIdle closes the connections that have been between requests, or have said nothing yet, for a while, and on which
// nothing waits to be read: a close there costs their clients a new connection and nothing else. It returns how many
// connections are left.
func (g *gate) closeIdle(unreadFor time.Duration) (left int) {
	g.mu.Lock()
	var out []*client
	for p, least := range map[phase]time.Duration{idle: 0, awaitingHead: unreadFor} {
		for c := range g.conns[p] {
			if time.Since(c.since) >= least && !c.head.started() && !hasUnreadData(c.Conn) {
				g.remove(c)
				out = append(out, c)
			}
		}
	}
	for _, set := range g.conns {
		left += len(set)
	}
	g.mu.Unlock()
	for _, c := range out {
		c.Conn.Close()
	}
	return left
}

func (g *gate) remove(c *client) {
	delete(g.conns[c.phase], c)
	c.closed = true
}

// setPhase notes what a connection is doing now.
func (g *gate) setPhase(c *client, p phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.closed {
		g.setPhaseLocked(c, p)
	}
}

// setPhaseLocked is move under the lock.
func (g *gate) setPhaseLocked(c *client, p phase) {
	delete(g.conns[c.phase], c)
	c.phase, c.since = p, time.Now()
	g.conns[p][c] = struct{}{}
}

// onConnState follows net/http's own view; a connection is active for it once a whole head has come.
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
