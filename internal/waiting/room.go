package waiting

import (
	"time"
)

// Room holds the jobs. See New.
type Room struct {
	limits           Limits
	fleet            Fleet
	entries          slab[entry] // the first of each slab is of no use
	freeEntries      uint32
	edges            slab[edge]
	freeEdges        uint32
	byName           map[string]uint32
	active           map[uint64]uint32 // by number, those not final
	byClient         map[string]*clientJobs
	heapIndex        slab[uint32] // in timers, ready or again
	timers           timeHeap     // that wait for their time
	ready            timeHeap     // whose turn it may be, by the time at which they ought to have gone out
	backoff          timeHeap     // that the module has refused, by when they try again
	deadlineIndex    slab[uint32]
	deadlines        timeHeap // by when they must have gone out, or be answered
	unnotified       []uint32 // final ones whose dependants have not heard yet
	oldestKept       uint32   // of the kept
	newestKept       uint32
	nextToShed       uint32 // the oldest kept that may have a result
	queriesByEntry   map[uint32][]uint64
	queries          map[uint64]*pendingQuery
	nextQueryTimeout time.Duration // no ask is due before

	held                   int // waiting, ready and released jobs that asked to wait
	bodyBytes, resultBytes int64
	hosts                  int
	closing                bool
	moreWork               bool // a Tick has left work
	pacer                  pacer
	windowRule             func(p *pacer, most float64) (floor float64, window int)
	stats                  Stats
	records                []Record // nil: none are wanted
	actions, spareActions  []Action
	advisedClients         int
	lastFreed              time.Duration // a place came free last
	meanFreeInterval       time.Duration // mean time between places that come free
	longestBudget          []time.Duration
}

// pendingQuery is an Ask that waits for an end.
type pendingQuery struct {
	entry    uint32
	deadline time.Duration
}

// New makes an empty Room. The limits must be sound, see Limits.Check.
func New(lim Limits, fleet Fleet) *Room {
	q := &Room{limits: lim, fleet: fleet, byName: map[string]uint32{}, active: map[uint64]uint32{}, byClient: map[string]*clientJobs{},
		queriesByEntry: map[uint32][]uint64{}, queries: map[uint64]*pendingQuery{}, pacer: newPacer(), windowRule: demandRule,
		longestBudget: make([]time.Duration, len(fleet.Classes))}
	q.entries.push(entry{}) // so that 0 means none
	q.edges.push(edge{})
	q.heapIndex.push(0)
	q.deadlineIndex.push(0)
	q.timers.index, q.ready.index, q.backoff.index, q.deadlines.index = &q.heapIndex, &q.heapIndex, &q.heapIndex, &q.deadlineIndex
	return q
}

// Actions gives what is to be done since the last call. It is valid until the next call of it.
func (q *Room) Actions() []Action {
	out := q.actions
	if q.actions, q.spareActions = q.spareActions[:0], out; cap(out) > maxTickWork {
		q.spareActions = nil // a rare crowd must not hold its memory for good
	}
	return out
}

func (q *Room) emit(a Action) { q.actions = append(q.actions, a) }

// SetLimits changes the limits. What is held stays, though it be more than the new limits allow: the room then takes
// no more until it fits.
func (q *Room) SetLimits(lim Limits) { q.limits = lim }

// Hosts tells how many hosts are ready.
func (q *Room) Hosts(n int) { q.hosts = n }

// Stats counts what is held and was done.
func (q *Room) Stats() Stats {
	s := q.stats
	s.Ready, s.Released = q.ready.len()+q.backoff.len(), q.pacer.turns
	s.Waiting = q.held - s.Ready - s.Released
	s.Bytes, s.Window = q.bodyBytes+q.resultBytes, q.pacer.window
	return s
}

// Held is how many jobs wait, are ready or are out, those that went on at once not counted.
func (q *Room) Held() int { return q.held }

// Out is how many jobs without a connection are before the module or at a host.
func (q *Room) Out() (n int) {
	for _, i := range q.active {
		if e := q.entries.at(i); e.state == Released && !e.has(attached|fresh) {
			n++
		}
	}
	return n
}

// allocEntry makes an entry.
func (q *Room) allocEntry() uint32 {
	if i := q.freeEntries; i != 0 {
		q.freeEntries = q.entries.at(i).next
		*q.entries.at(i) = entry{}
		return i
	}
	q.heapIndex.push(0)
	q.deadlineIndex.push(0)
	return q.entries.push(entry{})
}

func (q *Room) freeEntry(i uint32) {
	*q.entries.at(i) = entry{next: q.freeEntries}
	q.freeEntries = i
}
