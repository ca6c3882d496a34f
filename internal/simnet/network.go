package simnet

import (
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// DefaultLatency is the longest that bytes are under way unless SetLatency says otherwise; the shortest is a tenth of it.
	DefaultLatency = time.Millisecond
	shortestPart   = 10
	// Window is how many bytes one direction of a connection holds that its reader has not read; a writer waits for room.
	Window         = 256 << 10
	firstPort      = 40000
	randomSequence = 0x6e65746d
)

// way is one direction between two hosts.
type way struct{ from, to string }

// wayState is what happens to what goes one way.
type wayState uint8

const (
	wayOpen wayState = iota
	// wayCut holds everything.
	wayCut
	// wayRefused refuses dials.
	wayRefused
)

// latency is the range that delays are drawn from.
type latency struct{ least, most time.Duration }

// hostState is what a host does.
type hostState struct {
	frozen   bool
	stopped  bool
	lastPort int
}

// Network is a set of hosts, named by their IP addresses, and the connections between them. Its methods are safe for concurrent use.
type Network struct {
	mu sync.Mutex
	// changed is told of everything that dials and stopped processes wait for.
	changed   *sync.Cond
	random    *rand.Rand
	usual     latency
	latencies map[way]latency
	ways      map[way]wayState
	hosts     map[string]*hostState
	listeners map[string]*Listener
	// conns are the open connections' calling ends, in the order of their dials.
	conns []*Conn
	plan  Plan
	dials map[way]int
}

// New returns a network without listeners whose latencies come from the seed.
func New(seed uint64) *Network {
	n := &Network{
		random:    rand.New(rand.NewPCG(seed, randomSequence)),
		usual:     latency{DefaultLatency / shortestPart, DefaultLatency},
		latencies: map[way]latency{},
		ways:      map[way]wayState{},
		hosts:     map[string]*hostState{},
		listeners: map[string]*Listener{},
		dials:     map[way]int{},
	}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// SetUsualLatency sets the range of the latency between hosts that SetLatency has not named.
func (n *Network) SetUsualLatency(least, most time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.usual = latency{least, max(least, most)}
}

// SetLatency sets the range of the latency from one host to another. Bytes under way keep theirs, and order stays.
func (n *Network) SetLatency(from, to string, least, most time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latencies[way{from, to}] = latency{least, max(least, most)}
}

// Cut holds what goes from one host to the other, until Heal. The other way stays as it is.
func (n *Network) Cut(from, to string) { n.setWay(from, to, wayCut) }

// CutBoth cuts both ways between two hosts.
func (n *Network) CutBoth(one, other string) {
	n.Cut(one, other)
	n.Cut(other, one)
}

// Refuse resets the connections between the two hosts and refuses dials from the first to the second, until Heal.
func (n *Network) Refuse(from, to string) {
	n.setWay(from, to, wayRefused)
	n.Reset(from, to)
}

// Heal ends cuts and refusals of both ways between two hosts. What was held and is due comes at once.
func (n *Network) Heal(one, other string) {
	n.setWay(one, other, wayOpen)
	n.setWay(other, one, wayOpen)
}

// HealAll ends all cuts and refusals.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.ways)
	n.stir()
}

func (n *Network) setWay(from, to string, state wayState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ways[way{from, to}] = state
	n.stir()
}

// Freeze silences a host: nothing leaves it or reaches it until Thaw. Its connections survive.
func (n *Network) Freeze(host string) { n.setHost(host, func(h *hostState) { h.frozen = true }) }

// Thaw ends Freeze. What was held and is due comes at once.
func (n *Network) Thaw(host string) { n.setHost(host, func(h *hostState) { h.frozen = false }) }

// Stop makes every call of the host's own ends, dials and listeners wait until Resume, also past its deadline, as those of a stopped
// process do. The host itself goes on: dials to it succeed and bytes reach its buffers.
func (n *Network) Stop(host string) { n.setHost(host, func(h *hostState) { h.stopped = true }) }

// Resume ends Stop.
func (n *Network) Resume(host string) { n.setHost(host, func(h *hostState) { h.stopped = false }) }

func (n *Network) setHost(host string, change func(*hostState)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n.host(host))
	n.stir()
}

// Kill ends a host's process: its listeners close and its connections are reset. A frozen host's peers learn of it after Thaw.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, address := range slices.Sorted(maps.Keys(n.listeners)) {
		if l := n.listeners[address]; l.address.IP.String() == host {
			l.close()
		}
	}
	for _, c := range n.openConns() {
		for _, end := range []*Conn{c, c.peer} {
			if end.host() == host {
				end.abort()
			}
		}
	}
}

// Reset breaks every connection between two hosts. Both ends see it at once; bytes that were under way are lost.
func (n *Network) Reset(one, other string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.openConns() {
		near, far := c.host(), c.peer.host()
		if near == one && far == other || near == other && far == one {
			c.breakBoth()
		}
	}
}

// Conns returns the calling ends of the connections that are still open at either end, in the order of their dials.
func (n *Network) Conns() []*Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.openConns()
}

func (n *Network) openConns() []*Conn {
	n.conns = slices.DeleteFunc(n.conns, func(c *Conn) bool { return c.over() && c.peer.over() })
	return slices.Clone(n.conns)
}

func (n *Network) host(name string) *hostState {
	known, found := n.hosts[name]
	if !found {
		known = &hostState{lastPort: firstPort}
		n.hosts[name] = known
	}
	return known
}

// awaitResume waits while the host's process is stopped.
func (n *Network) awaitResume(host string) {
	for n.host(host).stopped {
		n.changed.Wait()
	}
}

// passable tells whether what goes that way arrives now.
func (n *Network) passable(from, to string) bool {
	return n.ways[way{from, to}] != wayCut && !n.host(from).frozen && !n.host(to).frozen
}

// delay draws the time that the next bytes are under way.
func (n *Network) delay(from, to string) time.Duration {
	span, named := n.latencies[way{from, to}]
	if !named {
		span = n.usual
	}
	return span.least + time.Duration(n.random.Int64N(int64(span.most-span.least)+1))
}

// stir has everything that waits look again.
func (n *Network) stir() {
	n.changed.Broadcast()
	for _, c := range n.openConns() {
		c.out.deliver()
		c.in.deliver()
		c.cond.Broadcast()
		c.peer.cond.Broadcast()
	}
	for _, l := range n.listeners {
		l.cond.Broadcast()
	}
}

// nextAddress returns a fresh address of the host.
func (n *Network) nextAddress(host string) *net.TCPAddr {
	state := n.host(host)
	state.lastPort++
	return &net.TCPAddr{IP: net.ParseIP(host), Port: state.lastPort}
}
