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

// Way is a direction on a Link.
type Way uint8

// The directions. Forth is from whoever opened the connection.
const (
	Forth Way = 1 << iota
	Back
	Both = Forth | Back
)

// Fault is what is wrong with a Link for as long as it is set. The zero value is a sound link.
type Fault struct {
	Silent Way           // what is sent in these directions is held until the fault ends; new connections come up silent
	Refuse bool          // new connections are refused; those that are open stay
	Delay  time.Duration // of all that is sent, each way
	Jitter time.Duration // and up to so much more, evenly drawn; the order is kept
	Rate   int           // bytes a second in each direction; 0: any number
	CutAt  int64         // a connection is reset once so many bytes have passed in the direction Cut
	Cut    Way
	Lost   float64 // share of what is read at once at which the connection is reset; half of it arrives
}

// merge is what several faults at once come to.
func merge(all []*Fault) (f Fault) {
	for _, x := range all {
		f.Silent |= x.Silent
		f.Refuse = f.Refuse || x.Refuse
		f.Delay, f.Jitter = f.Delay+x.Delay, f.Jitter+x.Jitter
		f.Lost = max(f.Lost, x.Lost)
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
	chunks    = 64
)

// Link is a TCP way from one address to another, on which faults can be put. Its methods may be called from any goroutine.
type Link struct {
	Addr string // where it listens

	to     string
	from   net.Addr // what its connections to the far end come from; nil: any
	mu     sync.Mutex
	faults []*Fault      // that are on it
	fault  Fault         // what they come to
	turned chan struct{} // closed when the fault changes
	ln     net.Listener
	pairs  map[*pair]struct{}
	rng    *rand.Rand
	work   sync.WaitGroup
	closed bool
	faulty time.Time // when a fault was last set or ended, or its far end was not there
}

// pair is a connection through the link.
type pair struct {
	near, far net.Conn
	once      sync.Once
	over      chan struct{}
	half      atomic.Bool // the far end is gone, and the near end does not know
}

// NewLink opens a link at an address, to another. Connections to the far end come from the IP address source, so that it can
// tell who they are from; empty: from any. seed draws the jitter.
func NewLink(listen, to, source string, seed uint64) (*Link, error) {
	l := &Link{to: to, turned: make(chan struct{}), pairs: map[*pair]struct{}{}, rng: rand.New(rand.NewPCG(seed, 11))}
	if source != "" {
		l.from = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("rig: link: %w", err)
	}
	l.Addr = ln.Addr().String()
	l.serve(ln)
	return l, nil
}

// serve accepts at ln until it is closed. The lock is held, or nobody else has the link yet.
func (l *Link) serve(ln net.Listener) {
	l.ln = ln
	l.work.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			l.work.Go(func() { l.carry(c) })
		}
	})
}

// Put puts a fault on the link beside those that are there, Take takes it away. What was held goes on then.
func (l *Link) Put(f *Fault) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, f)
	return l.set(merge(l.faults))
}

// Take ends a fault that was put.
func (l *Link) Take(f *Fault) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = slices.DeleteFunc(l.faults, func(x *Fault) bool { return x == f })
	return l.set(merge(l.faults))
}

// set has the lock held.
func (l *Link) set(f Fault) error {
	if l.closed {
		return nil
	}
	was := l.fault
	l.fault, l.faulty = f, time.Now()
	close(l.turned)
	l.turned = make(chan struct{})
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
func (l *Link) Reset() { l.each(func(p *pair) { p.end(true) }) }

// HalfOpen takes the far end of every connection away, and leaves the near end open and silent.
func (l *Link) HalfOpen() {
	l.each(func(p *pair) {
		p.half.Store(true)
		if t, ok := p.far.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		p.far.Close()
	})
}

func (l *Link) each(do func(*pair)) {
	l.mu.Lock()
	l.faulty = time.Now()
	list := make([]*pair, 0, len(l.pairs))
	for p := range l.pairs {
		list = append(list, p)
	}
	l.mu.Unlock()
	for _, p := range list {
		do(p)
	}
}

// Troubled tells whether a fault is set, or since a time one was set or ended, a connection was broken on purpose, or nobody
// listened at the far end.
func (l *Link) Troubled(since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault != Fault{} || l.faulty.After(since)
}

// Close ends the link and its connections, and returns when nothing of it is left.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.ln.Close()
	l.mu.Unlock()
	l.Reset()
	l.work.Wait()
}

// state is the fault, and a channel that is closed when it changes.
func (l *Link) state() (Fault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.turned
}

func (p *pair) end(reset bool) {
	p.once.Do(func() {
		close(p.over)
		for _, c := range []net.Conn{p.near, p.far} {
			if t, ok := c.(*net.TCPConn); ok && reset {
				t.SetLinger(0)
			}
			c.Close()
		}
	})
}

// carry serves one connection until it is over.
func (l *Link) carry(near net.Conn) {
	d := net.Dialer{LocalAddr: l.from, Timeout: 5 * time.Second}
	far, err := d.Dial("tcp", l.to)
	if err != nil { // nobody there: the near end is reset, which is as near to a refusal as a link can come
		l.mu.Lock()
		l.faulty = time.Now()
		l.mu.Unlock()
		if t, ok := near.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		near.Close()
		return
	}
	p := &pair{near: near, far: far, over: make(chan struct{})}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		p.end(true)
		return
	}
	l.pairs[p] = struct{}{}
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.pump(p, near, far, Forth) })
	both.Go(func() { l.pump(p, far, near, Back) })
	both.Wait()
	p.end(false)
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

// chunk is what was read at once, and when it is due at the other end.
type chunk struct {
	data []byte
	due  time.Time
}

// pump carries one direction. Its end is passed on as a half-close, a broken connection as a RST.
func (l *Link) pump(p *pair, from, to net.Conn, way Way) {
	held := make(chan chunk, chunks)
	var reader sync.WaitGroup
	reader.Go(func() {
		defer close(held)
		for {
			b := make([]byte, chunkSize)
			n, err := from.Read(b)
			if n > 0 {
				select {
				case held <- chunk{b[:n], time.Now().Add(l.delay())}:
				case <-p.over:
					return
				}
			}
			if err != nil {
				switch {
				case way == Back && p.half.Load(): // the near end does not hear of it
				case err != io.EOF, p.half.Load():
					p.end(true)
				}
				return
			}
		}
	})
	defer reader.Wait()
	passed := int64(0)
	for c := range held {
		if !l.hold(p, way, c.due) {
			return
		}
		f, _ := l.state()
		if f.Cut&way != 0 && f.CutAt > 0 && passed+int64(len(c.data)) >= f.CutAt {
			to.Write(c.data[:max(0, f.CutAt-passed)])
			p.end(true)
			return
		}
		if f.Lost > 0 && l.chance() < f.Lost {
			to.Write(c.data[:len(c.data)/2])
			p.end(true)
			return
		}
		if f.Rate > 0 && !p.sleep(time.Duration(float64(len(c.data))/float64(f.Rate)*1e9)) {
			return
		}
		if _, err := to.Write(c.data); err != nil && !p.half.Load() {
			p.end(true)
			return
		}
		passed += int64(len(c.data))
	}
	if p.half.Load() {
		<-p.over
	} else if l.hold(p, way, time.Now()) {
		if t, ok := to.(*net.TCPConn); ok {
			t.CloseWrite()
		}
	}
}

func (p *pair) ended() bool {
	select {
	case <-p.over:
		return true
	default:
		return false
	}
}

func (l *Link) chance() float64 {
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

// hold waits until due and for as long as the direction is silent. False: the connection is over.
func (l *Link) hold(p *pair, way Way, due time.Time) bool {
	if !p.sleep(time.Until(due)) {
		return false
	}
	for {
		f, turned := l.state()
		if f.Silent&way == 0 {
			return true
		}
		select {
		case <-turned:
		case <-p.over:
			return false
		}
	}
}

func (p *pair) sleep(d time.Duration) bool {
	if d <= 0 {
		return !p.ended()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-p.over:
		return false
	}
}
