// Package emulator serves the modelled hosts of internal/fleet on loopback sockets in real time. It speaks the platform's protocol:
// game workers with load reports and probes, and discovery with its watch. It can inject faults into their connections.
package emulator

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"gaugeslip/internal/fleet"
)

// Fleet is a set of emulated hosts and their discovery.
type Fleet struct {
	Hosts     []*Host
	Discovery string // address of the discovery server

	start            time.Time
	onSight          func(Sight)
	mu               sync.Mutex
	lastJob          uint64
	rng              *rand.Rand
	seq              uint64
	changed          chan struct{} // closed at each change of the list
	discoveryServers []*http.Server
	sites            []string
	kinds            []string
	serving          sync.WaitGroup
	discoveryDown    bool
}

// Spec describes one host to start.
type Spec struct {
	Kind, Room string
	Lanes      int
	Speed      float64
}

// Start starts hosts and discovery on loopback sockets. It calls see with each Sight of the hosts, from many goroutines and with the
// host's lock held: see must be quick and must not call this package. It may be nil.
func Start(specs []Spec, p fleet.Params, seed uint64, see func(Sight)) (*Fleet, error) {
	if see == nil {
		see = func(Sight) {}
	}
	f := &Fleet{start: time.Now().Add(-time.Hour), onSight: see, rng: rand.New(rand.NewPCG(seed, 9)), seq: 1,
		changed: make(chan struct{})}
	for i, s := range specs {
		m := fleet.NewHost(fmt.Sprintf("s-%08x", uint32(i+1)*2654435761), i, 0, s.Lanes, s.Speed, p, f.random)
		h := &Host{Name: m.Name, model: m, number: i, fleet: f, jobs: map[uint64]*pendingJob{}, state: "in_service"}
		f.sites, f.kinds = append(f.sites, s.Room), append(f.kinds, s.Kind)
		if err := h.listen("127.0.0.1:0"); err != nil {
			f.Close()
			return nil, err
		}
		f.Hosts = append(f.Hosts, h)
	}
	var err error
	if f.Discovery, err = f.View(f.ownAddr); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Now returns the time on the fleet's clock, which is the clock of Sight.At.
func (f *Fleet) Now() time.Duration { return f.now() }

func (f *Fleet) random() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}

// now returns the time on the model's clock.
func (f *Fleet) now() time.Duration { return time.Since(f.start) }

// Close stops all hosts and discovery, and returns when their servers have ended.
func (f *Fleet) Close() {
	f.mu.Lock()
	disc := f.discoveryServers
	f.mu.Unlock()
	for _, s := range disc {
		s.Close()
	}
	for _, h := range f.Hosts {
		h.mu.Lock()
		if h.timer != nil {
			h.timer.Stop()
		}
		h.mu.Unlock()
		h.closeServer()
	}
	f.serving.Wait()
}
