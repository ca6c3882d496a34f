package rig

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// Loss is what is wrong with a way of datagrams for as long as it is set. The zero value is a sound way.
type Loss struct {
	Silent bool    // none arrives
	Lost   float64 // share that does not arrive
	Twice  float64 // share that arrives again, after another delay
	Torn   float64 // share of which only a part arrives
	Delay  time.Duration
	Jitter time.Duration // and up to so much more, evenly drawn: what was sent later may arrive first
}

// mergeLoss is what several at once come to.
func mergeLoss(all []*Loss) (f Loss) {
	for _, x := range all {
		f.Silent = f.Silent || x.Silent
		f.Lost, f.Twice, f.Torn = max(f.Lost, x.Lost), max(f.Twice, x.Twice), max(f.Torn, x.Torn)
		f.Delay, f.Jitter = f.Delay+x.Delay, f.Jitter+x.Jitter
	}
	return f
}

// packetsWaiting bounds the datagrams that are delayed on a way; more are lost.
const packetsWaiting = 4096

// Packets is a way of UDP datagrams in one direction, from an address to another, on which losses can be put. Its methods may be
// called from any goroutine.
type Packets struct {
	in, out net.PacketConn
	to      net.Addr
	mu      sync.Mutex
	losses  []*Loss
	rng     *rand.Rand
	waiting int
	closed  bool
	timers  map[*time.Timer]struct{}
	work    sync.WaitGroup
}

// NewPackets opens a way at an address, to another. seed draws what is lost.
func NewPackets(listen, to string, seed uint64) (*Packets, error) {
	addr, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return nil, fmt.Errorf("rig: packets: %w", err)
	}
	in, err := net.ListenPacket("udp", listen)
	if err != nil {
		return nil, fmt.Errorf("rig: packets: %w", err)
	}
	out, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		in.Close()
		return nil, fmt.Errorf("rig: packets: %w", err)
	}
	p := &Packets{in: in, out: out, to: addr, rng: rand.New(rand.NewPCG(seed, 12)), timers: map[*time.Timer]struct{}{}}
	p.work.Go(p.carry)
	return p, nil
}

func (p *Packets) carry() {
	b := make([]byte, 64<<10)
	for {
		n, _, err := p.in.ReadFrom(b)
		if err != nil {
			p.mu.Lock()
			closed := p.closed
			p.mu.Unlock()
			if closed {
				return
			}
			continue // the far end of an earlier datagram was not there
		}
		p.pass(slices.Clone(b[:n]))
	}
}

// pass sends a datagram on, or not.
func (p *Packets) pass(data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := mergeLoss(p.losses)
	if f.Silent || p.rng.Float64() < f.Lost {
		return
	}
	if f.Torn > 0 && p.rng.Float64() < f.Torn && len(data) > 1 {
		data = data[:1+p.rng.IntN(len(data)-1)]
	}
	times := 1
	if p.rng.Float64() < f.Twice {
		times = 2
	}
	for range times {
		delay := f.Delay
		if f.Jitter > 0 {
			delay += time.Duration(p.rng.Int64N(int64(f.Jitter)))
		}
		if delay <= 0 {
			p.out.WriteTo(data, p.to)
			continue
		}
		if p.waiting >= packetsWaiting || p.closed {
			continue
		}
		p.waiting++
		var t *time.Timer
		t = time.AfterFunc(delay, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.waiting--
			delete(p.timers, t)
			if !p.closed {
				p.out.WriteTo(data, p.to)
			}
		})
		p.timers[t] = struct{}{}
	}
}

// Put puts a loss on the way beside those that are there, Take takes it away.
func (p *Packets) Put(f *Loss) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.losses = append(p.losses, f)
}

// Take ends a loss that was put.
func (p *Packets) Take(f *Loss) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.losses = slices.DeleteFunc(p.losses, func(x *Loss) bool { return x == f })
}

// Close ends the way.
func (p *Packets) Close() {
	p.mu.Lock()
	p.closed = true
	for t := range p.timers {
		t.Stop()
	}
	p.mu.Unlock()
	p.in.Close()
	p.work.Wait()
	p.out.Close()
}
