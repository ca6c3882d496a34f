package relay

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	chunkBytes       = 32 << 10
	dialTimeout      = time.Second
	handshakeTimeout = 5 * time.Second
	queueLength      = 64 // chunks that are queued per direction
)

// Relay connects hosts. Its methods are safe for concurrent use.
type Relay struct {
	listener net.Listener
	group    sync.WaitGroup

	mutex       sync.Mutex
	rules       map[int]Rule
	nextRule    int
	changed     chan struct{} // closed and replaced at each change of rules
	connections map[*connection]struct{}
	random      *rand.Rand
	closed      bool
}

// Start starts a relay on the loopback interface. The seed determines which answers are lost.
func Start(seed uint64) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{listener: listener, rules: make(map[int]Rule), changed: make(chan struct{}), connections: make(map[*connection]struct{}),
		random: rand.New(rand.NewPCG(seed, seed))}
	r.group.Go(r.accept)
	return r, nil
}

// Address returns the address that hosts dial.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Add puts a rule in force until remove is called.
func (r *Relay) Add(rule Rule) (remove func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	number := r.nextRule
	r.nextRule++
	r.rules[number] = rule
	r.notifyChange()
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		delete(r.rules, number)
		r.notifyChange()
	}
}

func (r *Relay) notifyChange() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Reset closes a random share of the connections of which at least one direction matches.
func (r *Relay) Reset(matches func(Link) bool, share float64) {
	r.mutex.Lock()
	var selected []*connection
	for c := range r.connections {
		if (matches(c.requests) || matches(c.answers)) && r.random.Float64() < share {
			selected = append(selected, c)
		}
	}
	r.mutex.Unlock()
	for _, c := range selected {
		c.close()
	}
}

// Close closes the relay and all its connections.
func (r *Relay) Close() {
	r.mutex.Lock()
	r.closed = true
	open := make([]*connection, 0, len(r.connections))
	for c := range r.connections {
		open = append(open, c)
	}
	r.mutex.Unlock()
	_ = r.listener.Close()
	for _, c := range open {
		c.close()
	}
	r.group.Wait()
}

// effect returns the current effect on a link, and a channel that is closed when the effect may have changed.
func (r *Relay) effect(link Link) (Effect, <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var sum Effect
	for _, rule := range r.rules {
		if rule.Matches(link) {
			sum = sum.combine(rule.Effect)
		}
	}
	return sum, r.changed
}

func (r *Relay) chance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.random.Float64() < probability
}

func (r *Relay) accept() {
	for {
		accepted, err := r.listener.Accept()
		if err != nil {
			return
		}
		c := &connection{relay: r, client: accepted, closed: make(chan struct{})}
		if !r.register(c) {
			_ = accepted.Close()
			return
		}
		r.group.Go(func() {
			defer r.unregister(c)
			c.serve()
		})
	}
}

func (r *Relay) register(c *connection) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		return false
	}
	r.connections[c] = struct{}{}
	return true
}

func (r *Relay) unregister(c *connection) {
	c.close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.connections, c)
}

// readHandshake reads the names of the dialling host and of its target. It consumes no data after the handshake, because the client
// waits for the relay's answer before it sends more.
func readHandshake(from net.Conn) (host, target string, ok bool) {
	_ = from.SetReadDeadline(time.Now().Add(handshakeTimeout))
	line, err := bufio.NewReaderSize(from, 256).ReadString('\n')
	if err != nil {
		return "", "", false
	}
	_ = from.SetReadDeadline(time.Time{})
	return strings.Cut(strings.TrimSpace(line), " ")
}
