// Package rig runs real dispatcher processes against the emulator's hosts and discovery and injects faults into the links between
// them, which are all proxies of the rig, and into the processes. Its results come from observations of hosts, clients and links,
// never from a dispatcher's own reports. Everything uses loopback addresses and is bounded in time, and no process or file is left
// when Run returns.
package rig

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"gaugeslip/internal/emulator"
	"gaugeslip/internal/fleet"
	"gaugeslip/internal/freeport"
	"gaugeslip/internal/scenario"
)

// Options configures a run of a scenario.
type Options struct {
	Program  string       // path of the dispatcher's program; empty: it is built from this module
	Site     string       // path of a settings file for every dispatcher; empty: the rig writes one if needed
	Record   io.Writer    // receives the observations as JSON lines; nil: none
	Progress func(string) // called with each progress line, never concurrently; may be nil
}

// Time limits of a run beyond the length of its scenario.
const (
	startTimeout = 20 * time.Second // for the first start of all dispatchers
	stopTimeout  = 15 * time.Second
)

// warmUp is how long a host is cold: a fifth of the platform's time, as the scenarios are shorter.
const warmUp = 5 * time.Second

// rig is one run of a scenario.
type rig struct {
	sc             *Scenario
	seed           uint64
	opt            Options
	dir            string
	program        string
	starter        *starter
	fleet          *emulator.Fleet
	rec            *recorder
	front          *front
	nodes          []*node
	start          time.Time
	dispatcherByIP map[string]int          // dispatcher numbers by the IP address from which they connect
	reserved       []*freeport.Reservation // ports of the dispatchers
	peerAddrs      []string                // address on which each dispatcher listens to the others
	peerLinks      []*peerLink             // between every two dispatchers that talk
	mu             sync.Mutex
}

// Run runs a scenario on real processes and returns its report. It ends early when ctx ends. An error is a failure of the rig itself.
func Run(ctx context.Context, sc *Scenario, seed uint64, opt Options) (rep *Report, err error) {
	r := &rig{sc: sc, seed: seed, opt: opt, dispatcherByIP: map[string]int{}, starter: newStarter(), start: time.Now()}
	defer r.releasePorts()
	defer r.starter.close()
	if r.dir, err = os.MkdirTemp("", "gaugeslip-rig"); err != nil {
		return nil, fmt.Errorf("rig: %w", err)
	}
	defer os.RemoveAll(r.dir)
	if r.program, err = findProgram(opt.Program, r.dir); err != nil {
		return nil, err
	}
	r.rec = newRecorder(sc, r.now, opt.Record)
	if r.fleet, err = emulator.Start(r.specs(), r.params(), seed, r.recordSight); err != nil {
		return nil, err
	}
	defer r.fleet.Close()
	r.front = &front{sc: sc, rec: r.rec, now: r.now, load: 1, rng: rand.New(rand.NewPCG(seed, 6)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: clientIdleTimeout}}}
	defer r.close()
	if sc.Budgets != nil && sc.Budgets.Way == "talk" {
		for i := range sc.Dispatchers {
			addr, err := r.reserve(ip(i, 1))
			if err != nil {
				return nil, err
			}
			r.peerAddrs = append(r.peerAddrs, addr)
		}
		defer r.closePeerLinks()
		if err := r.openPeerLinks(); err != nil {
			return nil, err
		}
	}
	for i := range sc.Dispatchers {
		if err := r.addDispatcher(i); err != nil {
			return nil, err
		}
	}
	watching, halt := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	defer watchers.Wait()
	defer halt()
	for i, m := range r.front.members {
		watchers.Go(func() { m.watch(watching, seed<<8+uint64(i)) })
	}
	if err := r.awaitDispatchers(ctx); err != nil {
		return nil, err
	}
	r.rec.mu.Lock()
	r.start = time.Now() // the scenario's time begins
	r.rec.mu.Unlock()
	troubles := r.troubles(ctx)
	r.front.run(ctx, seed)
	troubles.Wait()
	halt()
	var stops sync.WaitGroup
	for _, n := range r.nodes {
		stops.Go(func() { n.proc.Stop(stopTimeout) })
	}
	stops.Wait()
	rep = r.rec.finish(sc.length, scenario.Capacity(sc.Hosts))
	rep.Seed = seed
	for _, n := range r.nodes {
		rep.Crashes += n.proc.Crashes()
		for _, line := range n.proc.log.lines("panic", "level=ERROR", "DATA RACE", "fatal error", "gaugeslip: ", siteLogLine) {
			rep.Log = append(rep.Log, fmt.Sprintf("n%d: %s", n.number, line))
		}
	}
	return rep, errors.Join(ctx.Err(), r.rec.outErr)
}

// now returns the time since the scenario began.
func (r *rig) now() time.Duration { return time.Since(r.start) }

func (r *rig) specs() (all []emulator.Spec) {
	for _, h := range r.sc.Hosts {
		for range h.Count {
			all = append(all, emulator.Spec{Kind: h.Kind, Room: room(len(all) % r.sc.Rooms), Lanes: h.Lanes, Speed: h.Speed})
		}
	}
	return all
}

func room(i int) string { return fmt.Sprintf("room-%d", i+1) }

func (r *rig) params() fleet.Params {
	return fleet.Params{Queue: 16, ColdFrom: 0.12, WarmUp: warmUp, TipMultiple: 3, OverloadFor: 2 * time.Second,
		ReportEvery: 50 * time.Millisecond, Progress: time.Second, ProbeWork: 75 * time.Microsecond, HandshakeOf: time.Millisecond}
}

func (r *rig) recordSight(s emulator.Sight) {
	node, ok := r.dispatcherByIP[s.From]
	if !ok {
		node = -1
	}
	r.rec.recordSight(s, node)
}

// close ends the dispatchers and their links.
func (r *rig) close() {
	r.front.client.CloseIdleConnections()
	for _, n := range r.nodes {
		n.proc.Stop(stopTimeout)
		for _, l := range append(slices.Clone(n.hosts), n.client, n.discovery[0], n.discovery[1]) {
			if l != nil {
				l.Close()
			}
		}
	}
}

// logf reports a progress line and adds it to the record.
func (r *rig) logf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.rec.note(text)
	if r.opt.Progress != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.opt.Progress(fmt.Sprintf("%.1f s: %s", r.now().Seconds(), text))
	}
}
