package waiting

import (
	"time"
)

// Queue holds the waiting jobs. Use New to create one.
type Queue struct {
	lim    Limits
	fleet  Fleet
	all    slab[entry] // index 0 of each slab is unused
	free   uint32
	edges  slab[edge]
	spare  uint32
	names  map[string]uint32
	open   map[uint64]uint32 // by job number; jobs that are not final
	shares map[string]*share
	place  slab[uint32] // of timers, ready and backoff
	timers queue        // jobs that wait for their set time
	ready  queue        // ready jobs, by the time at which they should be sent
	again  queue        // jobs that the decision module refused, by the time of their next attempt
	endsAt slab[uint32]
	ends   queue    // jobs by the time at which they must have been sent, or be answered
	ended  []uint32 // final jobs whose dependants are not notified yet
	oldest uint32   // list of kept jobs, oldest first
	newest uint32
	shedAt uint32 // oldest kept job that may have a result
	askers map[uint32][]uint64
	asks   map[uint64]*waiter
	asksAt time.Duration // no query times out before

	held            int // waiting, ready and released jobs that asked to wait
	bodies, results int64
	hosts           int
	closing         bool
	more            bool // the last Tick left work
	pace            pacer
	rule            func(p *pacer, most float64) (floor float64, window int)
	stats           Stats
	records         []Record // nil: recording is off
	out, before     []Action
	advised         int
	freedAt         time.Duration // when a place last came free
	freeGap         time.Duration // between places that come free
	patience        []time.Duration
}

// pendingQuery is a query that waits for the end of a job.
type waiter struct {
	of    uint32
	until time.Duration
}

// New creates an empty queue. The limits must be valid, see Limits.Check.
func New(lim Limits, fleet Fleet) *Queue {
	r := &Queue{lim: lim, fleet: fleet, names: map[string]uint32{}, open: map[uint64]uint32{}, shares: map[string]*share{},
		askers: map[uint32][]uint64{}, asks: map[uint64]*waiter{}, pace: newPacer(), rule: byNeed,
		patience: make([]time.Duration, len(fleet.Classes))}
	r.all.push(entry{}) // so that 0 means none
	r.edges.push(edge{})
	r.place.push(0)
	r.endsAt.push(0)
	r.timers.place, r.ready.place, r.again.place, r.ends.place = &r.place, &r.place, &r.place, &r.endsAt
	return r
}

// Actions returns the actions that have become necessary since the last call. The slice is valid until the next call of
// Actions.
func (r *Queue) Actions() []Action {
	out := r.out
	if r.out, r.before = r.before[:0], out; cap(out) > tickWork {
		r.before = nil // do not retain the memory of a rare burst
	}
	return out
}

func (r *Queue) do(a Action) { r.out = append(r.out, a) }

// SetLimits changes the limits. Jobs already held stay even if they exceed the new limits; no more are accepted until
// they fit.
func (r *Queue) SetLimits(lim Limits) { r.lim = lim }

// SetReadyHosts sets how many hosts are ready.
func (r *Queue) SetReadyHosts(n int) { r.hosts = n }

// Stats returns counts of what is held and what was done.
func (r *Queue) Stats() Stats {
	s := r.stats
	s.Ready, s.Released = r.ready.len()+r.again.len(), r.pace.in
	s.Waiting = r.held - s.Ready - s.Released
	s.Bytes, s.Window = r.bodies+r.results, r.pace.window
	return s
}

// Held returns how many jobs are waiting, ready or released, not counting fresh jobs.
func (r *Queue) Held() int { return r.held }

// DetachedOut returns how many detached jobs are released: with the decision module or at a host.
func (r *Queue) DetachedOut() (n int) {
	for _, i := range r.open {
		if e := r.all.at(i); e.state == Released && !e.is(attached|fresh) {
			n++
		}
	}
	return n
}

// allocEntry returns the index of an empty entry.
func (r *Queue) take() uint32 {
	if i := r.free; i != 0 {
		r.free = r.all.at(i).next
		*r.all.at(i) = entry{}
		return i
	}
	r.place.push(0)
	r.endsAt.push(0)
	return r.all.push(entry{})
}

func (r *Queue) drop(i uint32) {
	*r.all.at(i) = entry{next: r.free}
	r.free = i
}
