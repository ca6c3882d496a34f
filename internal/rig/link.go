package rig

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is a set of directions on a Link.
type Direction uint8

// Directions. Forth is away from the end that opened the connection.
const (
	Forth Direction = 1 << iota
	Back
	Both = Forth | Back
)

// Fault describes a fault of a Link while it is set. The zero value is a link without faults.
type Fault struct {
	Silent          Direction     // data in these directions is held until the fault ends; new connections are accepted and held likewise
	Refuse          bool          // new connections are refused; open ones stay
	Delay           time.Duration // of all data, in each direction
	Jitter          time.Duration // upper limit of a uniformly drawn additional delay; the order is kept
	Rate            int           // bytes per second in each direction; 0: unlimited
	CutAt           int64         // a connection is reset once this many bytes have passed in the direction Cut
	Cut             Direction
	LossProbability float64 // probability that the connection is reset at a chunk; half of the chunk arrives
}

// mergeFaults returns the combined effect of several faults.
func mergeFaults(all []*Fault) (f Fault) {
	for _, x := range all {
		f.Silent |= x.Silent
		f.Refuse = f.Refuse || x.Refuse
		f.Delay, f.Jitter = f.Delay+x.Delay, f.Jitter+x.Jitter
		f.LossProbability = max(f.LossProbability, x.LossProbability)
		if x.Rate > 0 && (f.Rate == 0 || x.Rate < f.Rate) {
			f.Rate = x.Rate
		}
		if x.Cut != 0 && (f.Cut == 0 || x.CutAt < f.CutAt) {
			f.Cut, f.CutAt = x.Cut, x.CutAt
		}
	}
	return f
}

// chunkSize bounds what a link reads at once, chunks what it holds of a direction.
const (
	chunkSize = 16 << 10
	maxChunks = 64
)

// Link is a TCP proxy from one address to another that can inject faults. Its methods are safe for concurrent use.
type Link struct {
	Addr string // address on which it listens

	target        string
	source        net.Addr // what its connections to the far end come from; nil: any
	mu            sync.Mutex
	faults        []*Fault      // faults that are set
	fault         Fault         // their combined effect
	changed       chan struct{} // closed when the fault changes
	ln            net.Listener
	pairs         map[*pair]struct{}
	rng           *rand.Rand
	serving       sync.WaitGroup
	closed        bool
	lastDisturbed time.Time // when a fault was last set or ended, connections were broken on purpose, or a dial failed
}

// pair is a connection through the link.
type pair struct {
	near, far net.Conn
	once      sync.Once
	done      chan struct{}
	halfOpen  atomic.Bool // the far end is closed, and the near end is not notified
}

// NewLink opens a link from one address to another. Connections to the far end come from the IP address source, so that it can
// identify their origin; with an empty source, from any address. seed seeds jitter and losses.
func NewLink(listen, to, source string, seed uint64) (*Link, error) {
	l := &Link{target: to, changed: make(chan struct{}), pairs: map[*pair]struct{}{}, rng: rand.New(rand.NewPCG(seed, 11))}
	if source != "" {
		l.source = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("rig: link: %w", err)
	}
	l.Addr = ln.Addr().String()
	l.serve(ln)
	return l, nil
}

// serve accepts at ln until it is closed. The lock is held, or the link is not shared yet.
func (l *Link) serve(ln net.Listener) {
	l.ln = ln
	l.serving.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			l.serving.Go(func() { l.forward(c) })
		}
	})
}

// AddFault sets a fault in addition to those already set; RemoveFault ends it. Held data is then passed on.
func (l *Link) AddFault(f *Fault) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, f)
	return l.setFault(mergeFaults(l.faults))
}

// RemoveFault ends a fault that AddFault set.
func (l *Link) RemoveFault(f *Fault) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = slices.DeleteFunc(l.faults, func(x *Fault) bool { return x == f })
	return l.setFault(mergeFaults(l.faults))
}

// setFault replaces the combined fault. The lock is held.
func (l *Link) setFault(f Fault) error {
	if l.closed {
		return nil
	}
	was := l.fault
	l.fault, l.lastDisturbed = f, time.Now()
	close(l.changed)
	l.changed = make(chan struct{})
	switch {
	case f.Refuse && !was.Refuse:
		l.ln.Close()
	case !f.Refuse && was.Refuse:
		ln, err := net.Listen("tcp", l.Addr)
		if err != nil {
			return fmt.Errorf("rig: link: %w", err)
		}
		l.serve(ln)
	}
	return nil
}

// Reset ends every connection with a RST to both ends.
func (l *Link) Reset() { l.forEachPair(func(p *pair) { p.close(true) }) }

// HalfOpen resets the far end of every connection and leaves the near end open and silent.
func (l *Link) HalfOpen() {
	l.forEachPair(func(p *pair) {
		p.halfOpen.Store(true)
		if t, ok := p.far.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		p.far.Close()
	})
}

func (l *Link) forEachPair(do func(*pair)) {
	l.mu.Lock()
	l.lastDisturbed = time.Now()
	list := make([]*pair, 0, len(l.pairs))
	for p := range l.pairs {
		list = append(list, p)
	}
	l.mu.Unlock()
	for _, p := range list {
		do(p)
	}
}

// DisturbedSince reports whether a fault is set, or whether since the given time a fault was set or ended, connections were broken on
// purpose, or a dial to the far end failed.
func (l *Link) DisturbedSince(since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault != Fault{} || l.lastDisturbed.After(since)
}

// Close ends the link and its connections, and returns when its goroutines have ended.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.ln.Close()
	l.mu.Unlock()
	l.Reset()
	l.serving.Wait()
}

// state returns the combined fault and a channel that is closed when it changes.
func (l *Link) state() (Fault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.changed
}

func (p *pair) close(reset bool) {
	p.once.Do(func() {
		close(p.done)
		for _, c := range []net.Conn{p.near, p.far} {
			if t, ok := c.(*net.TCPConn); ok && reset {
				t.SetLinger(0)
			}
			c.Close()
		}
	})
}

// forward serves one connection until it ends.
func (l *Link) forward(near net.Conn) {
	d := net.Dialer{LocalAddr: l.source, Timeout: 5 * time.Second}
	far, err := d.Dial("tcp", l.target)
	if err != nil { // no listener: the link resets the near end, as it can no longer refuse the connection
		l.mu.Lock()
		l.lastDisturbed = time.Now()
		l.mu.Unlock()
		if t, ok := near.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		near.Close()
		return
	}
	p := &pair{near: near, far: far, done: make(chan struct{})}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		p.close(true)
		return
	}
	l.pairs[p] = struct{}{}
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.pump(p, near, far, Forth) })
	both.Go(func() { l.pump(p, far, near, Back) })
	both.Wait()
	p.close(false)
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

// chunk is the data of one read and the time at which it is due at the other end.
type chunk struct {
	data []byte
	due  time.Time
}

// pump copies one direction. It passes an end of the stream on as a half-close and a broken connection as a RST.
func (l *Link) pump(p *pair, from, to net.Conn, direction Direction) {
	held := make(chan chunk, maxChunks)
	var reader sync.WaitGroup
	reader.Go(func() {
		defer close(held)
		for {
			b := make([]byte, chunkSize)
			n, err := from.Read(b)
			if n > 0 {
				select {
				case held <- chunk{b[:n], time.Now().Add(l.delay())}:
				case <-p.done:
					return
				}
			}
			if err != nil {
				switch {
				case direction == Back && p.halfOpen.Load(): // the near end is not notified
				case err != io.EOF, p.halfOpen.Load():
					p.close(true)
				}
				return
			}
		}
	})
	defer reader.Wait()
	passed := int64(0)
	for c := range held {
		if !l.awaitPassage(p, direction, c.due) {
			return
		}
		f, _ := l.state()
		if f.Cut&direction != 0 && f.CutAt > 0 && passed+int64(len(c.data)) >= f.CutAt {
			to.Write(c.data[:max(0, f.CutAt-passed)])
			p.close(true)
			return
		}
		if f.LossProbability > 0 && l.random() < f.LossProbability {
			to.Write(c.data[:len(c.data)/2])
			p.close(true)
			return
		}
		if f.Rate > 0 && !p.sleep(time.Duration(float64(len(c.data))/float64(f.Rate)*1e9)) {
			return
		}
		if _, err := to.Write(c.data); err != nil && !p.halfOpen.Load() {
			p.close(true)
			return
		}
		passed += int64(len(c.data))
	}
	if p.halfOpen.Load() {
		<-p.done
	} else if l.awaitPassage(p, direction, time.Now()) {
		if t, ok := to.(*net.TCPConn); ok {
			t.CloseWrite()
		}
	}
}

func (p *pair) isDone() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func (l *Link) random() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64()
}

func (l *Link) delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault.Jitter <= 0 {
		return l.fault.Delay
	}
	return l.fault.Delay + time.Duration(l.rng.Int64N(int64(l.fault.Jitter)))
}

// awaitPassage waits until due and for as long as the direction is silent. It returns false if the connection has ended.
func (l *Link) awaitPassage(p *pair, direction Direction, due time.Time) bool {
	if !p.sleep(time.Until(due)) {
		return false
	}
	for {
		f, turned := l.state()
		if f.Silent&direction == 0 {
			return true
		}
		select {
		case <-turned:
		case <-p.done:
			return false
		}
	}
}

func (p *pair) sleep(d time.Duration) bool {
	if d <= 0 {
		return !p.isDone()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-p.done:
		return false
	}
}
