package rig

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"

	"gaugeslip/internal/emulator"
	"gaugeslip/internal/pause"
)

// drawShare draws a share of the numbers below n, at least one of them. A share of 0 stands for all.
func drawShare(rng *rand.Rand, n int, share float64) []int {
	all := rng.Perm(n)
	if share > 0 {
		all = all[:max(1, int(math.Round(share*float64(n))))]
	}
	slices.Sort(all)
	return all
}

// troubles starts goroutines that begin and end each trouble at its time, until ctx ends.
func (r *rig) troubles(ctx context.Context) *sync.WaitGroup {
	var all sync.WaitGroup
	rng := rand.New(rand.NewPCG(r.seed, 7))
	for i := range r.sc.Trouble {
		t := &r.sc.Trouble[i]
		nodes, hosts := drawShare(rng, len(r.nodes), t.Dispatchers), drawShare(rng, len(r.fleet.Hosts), t.Hosts)
		all.Go(func() {
			if pause.For(ctx, t.at-r.now()) != nil {
				return
			}
			r.logf("%s begins, %d dispatchers, %d hosts", t.Kind, len(nodes), len(hosts))
			end := r.begin(t, nodes, hosts)
			if end == nil {
				return
			}
			_ = pause.For(ctx, t.length) // the trouble ends either way
			if err := end(); err != nil {
				r.logf("%s: %v", t.Kind, err)
			}
			r.logf("%s ends", t.Kind)
		})
	}
	return &all
}

// begin starts a trouble and returns the function that ends it, or nil if it has no end.
func (r *rig) begin(t *Trouble, nodes, hosts []int) (end func() error) {
	if peerKinds[t.Kind] || t.Path == "peer" {
		return r.beginPeerTrouble(t, nodes)
	}
	if linkKinds[t.Kind] {
		return r.beginLink(t, nodes, hosts)
	}
	each := func(do func(p *Process) error) func() error {
		return func() (err error) {
			for _, i := range nodes {
				err = errors.Join(err, do(r.nodes[i].proc))
			}
			return err
		}
	}
	signal := func(s syscall.Signal) func() error {
		return each(func(p *Process) error { p.Signal(s); return nil })
	}
	restart := each(func(p *Process) error {
		if !p.Await(stopTimeout) {
			p.Signal(syscall.SIGKILL)
			p.Await(stopTimeout)
		}
		return p.Start()
	})
	every := func(do, undo func(h *emulator.Host) error) func() error {
		for _, i := range hosts {
			do(r.fleet.Hosts[i])
		}
		if undo == nil || t.length == 0 {
			return nil
		}
		return func() (err error) {
			for _, i := range hosts {
				err = errors.Join(err, undo(r.fleet.Hosts[i]))
			}
			return err
		}
	}
	plain := func(do func(h *emulator.Host)) func(h *emulator.Host) error {
		return func(h *emulator.Host) error { do(h); return nil }
	}
	back := (*emulator.Host).Restart
	sound := plain(func(h *emulator.Host) { h.Fault(emulator.Faults{}) })
	switch t.Kind {
	case "site":
		return r.beginSiteTrouble(t)
	case "kill", "term":
		s := syscall.SIGKILL
		if t.Kind == "term" {
			s = syscall.SIGTERM
		}
		if signal(s)(); t.length == 0 {
			return nil
		}
		return restart
	case "pause":
		signal(syscall.SIGSTOP)()
		return signal(syscall.SIGCONT)
	case "slow":
		each(func(p *Process) error { p.Slow(t.Share); return nil })()
		return each(func(p *Process) error { p.Slow(1); return nil })
	case "reload":
		for _, i := range nodes {
			r.mu.Lock()
			r.nodes[i].usesSecondDiscovery = !r.nodes[i].usesSecondDiscovery
			r.mu.Unlock()
			if err := r.writeConfig(r.nodes[i], 0); err != nil {
				r.logf("reload: %v", err)
			}
		}
		signal(syscall.SIGHUP)()
		return nil
	case "vanish":
		return every(plain((*emulator.Host).Vanish), back)
	case "crash":
		return every(plain((*emulator.Host).Kill), back)
	case "drain":
		return every(plain((*emulator.Host).Drain), back)
	case "errors":
		return every(plain(func(h *emulator.Host) { h.Fail(t.Share) }), plain(func(h *emulator.Host) { h.Fail(0) }))
	case "full":
		return every(plain(func(h *emulator.Host) { h.Fault(emulator.Faults{Full: 1}) }), sound)
	case "idle":
		return every(plain(func(h *emulator.Host) { h.Fault(emulator.Faults{Idle: true}) }), sound)
	case "discovery":
		r.fleet.Down(true)
		return func() error { r.fleet.Down(false); return nil }
	case "storm":
		r.front.scaleLoad(t.Times)
		return func() error { r.front.scaleLoad(1 / t.Times); return nil }
	}
	return nil
}

// scaleLoad multiplies the load by a factor.
func (f *front) scaleLoad(times float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.load *= times
}

// beginLink starts a trouble of links and returns the function that ends it.
func (r *rig) beginLink(t *Trouble, nodes, hosts []int) func() error {
	var links []*Link
	for _, i := range nodes {
		switch n := r.nodes[i]; t.Path {
		case "client":
			links = append(links, n.client)
		case "discovery":
			links = append(links, n.discovery[0], n.discovery[1])
		case "host":
			for _, h := range hosts {
				links = append(links, n.hosts[h])
			}
		}
	}
	f := Fault{}
	switch t.Kind {
	case "silent":
		f.Silent = t.direction
	case "refuse":
		f.Refuse = true
	case "delay":
		f.Delay, f.Jitter = t.delay, t.jitter
	case "trickle":
		f.Rate = t.Rate
	case "cut":
		f.Cut, f.CutAt = t.direction, int64(t.Bytes)
	case "reset", "half_open":
		for _, l := range links {
			if t.Kind == "reset" {
				l.Reset()
			} else {
				l.HalfOpen()
			}
		}
		return nil
	}
	var errs error
	for _, l := range links {
		errs = errors.Join(errs, l.AddFault(&f))
	}
	if errs != nil {
		r.logf("%s: %v", t.Kind, errs)
	}
	return func() (err error) {
		for _, l := range links {
			err = errors.Join(err, l.RemoveFault(&f))
		}
		return err
	}
}
