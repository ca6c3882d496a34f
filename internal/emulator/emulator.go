// Package emulator puts the hosts of internal/fleet on loopback sockets in real time, as the platform's protocol has them: game
// workers with load reports and probes, and discovery with its watch. Faults can be put on their connections.
package emulator

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"gaugeslip/internal/fleet"
)

// Fleet is a number of hosts and their discovery.
type Fleet struct {
	Hosts     []*Host
	Discovery string // its address

	start    time.Time
	see      func(Sight)
	mu       sync.Mutex
	next     uint64
	rng      *rand.Rand
	seq      uint64
	changed  chan struct{} // closed at each change of the list
	disc     []*http.Server
	sites    []string
	kinds    []string
	served   sync.WaitGroup
	discDown bool
}

// Spec is one host to be made.
type Spec struct {
	Kind, Room string
	Lanes      int
	Speed      float64
}

// Start puts hosts and discovery on loopback sockets. see is told what the hosts see, from many goroutines and with a host's
// lock held: it must be quick, and call nothing here. It may be nil.
func Start(specs []Spec, p fleet.Params, seed uint64, see func(Sight)) (*Fleet, error) {
	if see == nil {
		see = func(Sight) {}
	}
	f := &Fleet{start: time.Now().Add(-time.Hour), see: see, rng: rand.New(rand.NewPCG(seed, 9)), seq: 1,
		changed: make(chan struct{})}
	for i, s := range specs {
		m := fleet.NewHost(fmt.Sprintf("s-%08x", uint32(i+1)*2654435761), i, 0, s.Lanes, s.Speed, p, f.chance)
		h := &Host{Name: m.Name, model: m, number: i, owner: f, jobs: map[uint64]*heldJob{}, state: "in_service"}
		f.sites, f.kinds = append(f.sites, s.Room), append(f.kinds, s.Kind)
		if err := h.listen("127.0.0.1:0"); err != nil {
			f.Close()
			return nil, err
		}
		f.Hosts = append(f.Hosts, h)
	}
	var err error
	if f.Discovery, err = f.View(f.own); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Now is the time on the fleet's clock, which Sights carry.
func (f *Fleet) Now() time.Duration { return f.now() }

func (f *Fleet) chance() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}

// now is the time on the model's clock.
func (f *Fleet) now() time.Duration { return time.Since(f.start) }

// Close ends everything, and returns when nothing of it is left.
func (f *Fleet) Close() {
	f.mu.Lock()
	disc := f.disc
	f.mu.Unlock()
	for _, s := range disc {
		s.Close()
	}
	for _, h := range f.Hosts {
		h.mu.Lock()
		if h.wake != nil {
			h.wake.Stop()
		}
		h.mu.Unlock()
		h.shut()
	}
	f.served.Wait()
}
