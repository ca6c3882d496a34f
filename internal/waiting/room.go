package waiting

import (
	"time"
)

// Room holds the jobs. See New.
type Room struct {
	lim    Limits
	fleet  Fleet
	all    slab[entry] // the first of each slab is of no use
	free   uint32
	edges  slab[edge]
	spare  uint32
	names  map[string]uint32
	open   map[uint64]uint32 // by number, those not final
	shares map[string]*share
	place  slab[uint32] // in timers, ready or again
	timers queue        // that wait for their time
	ready  queue        // whose turn it may be, by the time at which they ought to have gone out
	again  queue        // that the module has refused, by when they try again
	endsAt slab[uint32]
	ends   queue    // by when they must have gone out, or be answered
	ended  []uint32 // final ones whose dependants have not heard yet
	oldest uint32   // of the kept
	newest uint32
	shedAt uint32 // the oldest kept that may have a result
	askers map[uint32][]uint64
	asks   map[uint64]*waiter
	asksAt time.Duration // no ask is due before

	held            int // waiting, ready and released jobs that asked to wait
	bodies, results int64
	hosts           int
	closing         bool
	more            bool // a Tick has left work
	pace            pacer
	rule            func(p *pacer, most float64) (floor float64, window int)
	stats           Stats
	records         []Record // nil: none are wanted
	out, before     []Action
	advised         int
	freedAt         time.Duration // a place came free last
	freeGap         time.Duration // mean time between places that come free
	patience        []time.Duration
}

// waiter is an Ask that waits for an end.
type waiter struct {
	of    uint32
	until time.Duration
}

// New makes an empty Room. The limits must be sound, see Limits.Check.
func New(lim Limits, fleet Fleet) *Room {
	r := &Room{lim: lim, fleet: fleet, names: map[string]uint32{}, open: map[uint64]uint32{}, shares: map[string]*share{},
		askers: map[uint32][]uint64{}, asks: map[uint64]*waiter{}, pace: newPacer(), rule: byNeed,
		patience: make([]time.Duration, len(fleet.Classes))}
	r.all.push(entry{}) // so that 0 means none
	r.edges.push(edge{})
	r.place.push(0)
	r.endsAt.push(0)
	r.timers.place, r.ready.place, r.again.place, r.ends.place = &r.place, &r.place, &r.place, &r.endsAt
	return r
}

// Actions gives what is to be done since the last call. It is valid until the next call of it.
func (r *Room) Actions() []Action {
	out := r.out
	if r.out, r.before = r.before[:0], out; cap(out) > tickWork {
		r.before = nil // a rare crowd must not hold its memory for good
	}
	return out
}

func (r *Room) do(a Action) { r.out = append(r.out, a) }

// SetLimits changes the limits. What is held stays, though it be more than the new limits allow: the room then takes
// no more until it fits.
func (r *Room) SetLimits(lim Limits) { r.lim = lim }

// Hosts tells how many hosts are ready.
func (r *Room) Hosts(n int) { r.hosts = n }

// Stats counts what is held and was done.
func (r *Room) Stats() Stats {
	s := r.stats
	s.Ready, s.Released = r.ready.len()+r.again.len(), r.pace.in
	s.Waiting = r.held - s.Ready - s.Released
	s.Bytes, s.Window = r.bodies+r.results, r.pace.window
	return s
}

// Held is how many jobs wait, are ready or are out, those that went on at once not counted.
func (r *Room) Held() int { return r.held }

// Out is how many jobs without a connection are before the module or at a host.
func (r *Room) Out() (n int) {
	for _, i := range r.open {
		if e := r.all.at(i); e.state == Released && !e.is(attached|fresh) {
			n++
		}
	}
	return n
}

// take makes an entry.
func (r *Room) take() uint32 {
	if i := r.free; i != 0 {
		r.free = r.all.at(i).next
		*r.all.at(i) = entry{}
		return i
	}
	r.place.push(0)
	r.endsAt.push(0)
	return r.all.push(entry{})
}

func (r *Room) drop(i uint32) {
	*r.all.at(i) = entry{next: r.free}
	r.free = i
}
