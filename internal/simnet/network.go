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
	// DefaultLatency is the maximum latency unless SetLatency or SetUsualLatency sets another; the minimum is a tenth of it.
	DefaultLatency    = time.Millisecond
	minLatencyDivisor = 10
	// Window is the maximum number of unread bytes in one direction of a connection; a writer waits while it is full.
	Window       = 256 << 10
	firstPort    = 40000
	randomStream = 0x6e65746d
)

// route is an ordered pair of hosts: one direction between them.
type route struct{ from, to string }

// routeState is the state of a route.
type routeState uint8

const (
	routeOpen routeState = iota
	// routeCut holds all data and dials.
	routeCut
	// routeRefused refuses dials.
	routeRefused
)

// latencyRange is the range from which latencies are drawn.
type latencyRange struct{ min, max time.Duration }

// hostState is the state of a host. Its lastPort is the port assigned last.
type hostState struct {
	frozen   bool
	stopped  bool
	lastPort int
}

// Network is a set of hosts, named by their IP addresses, and the connections between them. Its methods are safe for concurrent use.
type Network struct {
	mu sync.Mutex
	// changed is signalled at every change that dials and calls of stopped processes wait for.
	changed        *sync.Cond
	random         *rand.Rand
	defaultLatency latencyRange
	latencies      map[route]latencyRange
	routes         map[route]routeState
	hosts          map[string]*hostState
	listeners      map[string]*Listener
	// conns are the dialing ends of the open connections, in the order of their dials.
	conns []*Conn
	plan  Plan
	dials map[route]int
}

// New returns a network without listeners whose latencies are drawn from a generator with this seed.
func New(seed uint64) *Network {
	n := &Network{
		random:         rand.New(rand.NewPCG(seed, randomStream)),
		defaultLatency: latencyRange{DefaultLatency / minLatencyDivisor, DefaultLatency},
		latencies:      map[route]latencyRange{},
		routes:         map[route]routeState{},
		hosts:          map[string]*hostState{},
		listeners:      map[string]*Listener{},
		dials:          map[route]int{},
	}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// SetUsualLatency sets the range of the latency between hosts for which SetLatency was not called.
func (n *Network) SetUsualLatency(least, most time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.defaultLatency = latencyRange{least, max(least, most)}
}

// SetLatency sets the range of the latency from one host to another. Bytes in flight keep
// theirs, and the order of bytes is kept.
func (n *Network) SetLatency(from, to string, least, most time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latencies[route{from, to}] = latencyRange{least, max(least, most)}
}

// Cut holds all data from one host to the other until Heal. The other direction stays as it is.
func (n *Network) Cut(from, to string) { n.setRoute(from, to, routeCut) }

// CutBoth cuts both directions between two hosts.
func (n *Network) CutBoth(one, other string) {
	n.Cut(one, other)
	n.Cut(other, one)
}

// Refuse resets the connections between the two hosts and refuses dials from the first to the second, until Heal.
func (n *Network) Refuse(from, to string) {
	n.setRoute(from, to, routeRefused)
	n.Reset(from, to)
}

// Heal ends cuts and refusals in both directions between two hosts. Held data that is due arrives at once.
func (n *Network) Heal(one, other string) {
	n.setRoute(one, other, routeOpen)
	n.setRoute(other, one, routeOpen)
}

// HealAll ends all cuts and refusals.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.routes)
	n.wakeAll()
}

func (n *Network) setRoute(from, to string, state routeState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.routes[route{from, to}] = state
	n.wakeAll()
}

// Freeze isolates a host: no data leaves it or reaches it until Thaw. Its connections survive.
func (n *Network) Freeze(host string) { n.setHost(host, func(h *hostState) { h.frozen = true }) }

// Thaw ends Freeze. Held data that is due arrives at once.
func (n *Network) Thaw(host string) { n.setHost(host, func(h *hostState) { h.frozen = false }) }

// Stop makes every call on the host's own connections, dials and listeners wait until Resume, also past its deadline, as calls of a
// stopped process do. The host itself keeps running: dials to it succeed and bytes reach its buffers.
func (n *Network) Stop(host string) { n.setHost(host, func(h *hostState) { h.stopped = true }) }

// Resume ends Stop.
func (n *Network) Resume(host string) { n.setHost(host, func(h *hostState) { h.stopped = false }) }

func (n *Network) setHost(host string, change func(*hostState)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n.host(host))
	n.wakeAll()
}

// Kill ends a host's process: its listeners close and its connections are reset. The peers of a frozen host get
// the resets after Thaw.
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

// Reset resets every connection between two hosts. Both ends see it at once; bytes in flight are lost.
func (n *Network) Reset(one, other string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.openConns() {
		near, far := c.host(), c.peer.host()
		if near == one && far == other || near == other && far == one {
			c.resetBoth()
		}
	}
}

// Conns returns the dialing ends of the connections that are still open at either end, in the order of their dials.
func (n *Network) Conns() []*Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.openConns()
}

func (n *Network) openConns() []*Conn {
	n.conns = slices.DeleteFunc(n.conns, func(c *Conn) bool { return c.unusable() && c.peer.unusable() })
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

// passable reports whether data from one host to the other can arrive now.
func (n *Network) passable(from, to string) bool {
	return n.routes[route{from, to}] != routeCut && !n.host(from).frozen && !n.host(to).frozen
}

// delay draws the latency of the next bytes from one host to the other.
func (n *Network) delay(from, to string) time.Duration {
	span, named := n.latencies[route{from, to}]
	if !named {
		span = n.defaultLatency
	}
	return span.min + time.Duration(n.random.Int64N(int64(span.max-span.min)+1))
}

// wakeAll delivers the data that is due and wakes all waiting calls, so that they check the new state.
func (n *Network) wakeAll() {
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

// nextAddress returns an address of the host with a port that was not used before.
func (n *Network) nextAddress(host string) *net.TCPAddr {
	state := n.host(host)
	state.lastPort++
	return &net.TCPAddr{IP: net.ParseIP(host), Port: state.lastPort}
}
