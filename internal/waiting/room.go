package waiting

import (
	"time"
)

// Queue holds the waiting jobs. Use New to create one.
type Queue struct {
	limits           Limits
	fleet            Fleet
	entries          slab[entry] // index 0 of each slab is unused
	freeEntries      uint32
	edges            slab[edge]
	freeEdges        uint32
	byName           map[string]uint32
	active           map[uint64]uint32 // by job number; jobs that are not final
	byClient         map[string]*clientJobs
	heapIndex        slab[uint32] // of timers, ready and backoff
	timers           timeHeap     // jobs that wait for their set time
	ready            timeHeap     // ready jobs, by the time at which they should be sent
	backoff          timeHeap     // jobs that the decision module refused, by the time of their next attempt
	deadlineIndex    slab[uint32]
	deadlines        timeHeap // jobs by the time at which they must have been sent, or be answered
	unnotified       []uint32 // final jobs whose dependants are not notified yet
	oldestKept       uint32   // list of kept jobs, oldest first
	newestKept       uint32
	nextToShed       uint32 // oldest kept job that may have a result
	queriesByEntry   map[uint32][]uint64
	queries          map[uint64]*pendingQuery
	nextQueryTimeout time.Duration // no query times out before

	held                   int // waiting, ready and released jobs that asked to wait
	bodyBytes, resultBytes int64
	hosts                  int
	closing                bool
	moreWork               bool // the last Tick left work
	pacer                  pacer
	windowRule             func(p *pacer, most float64) (floor float64, window int)
	stats                  Stats
	records                []Record // nil: recording is off
	actions, spareActions  []Action
	advisedClients         int
	lastFreed              time.Duration // when a place last came free
	meanFreeInterval       time.Duration // between places that come free
	longestBudget          []time.Duration
}

// pendingQuery is a query that waits for the end of a job.
type pendingQuery struct {
	entry    uint32
	deadline time.Duration
}

// New creates an empty queue. The limits must be valid, see Limits.Check.
func New(lim Limits, fleet Fleet) *Queue {
	q := &Queue{limits: lim, fleet: fleet, byName: map[string]uint32{}, active: map[uint64]uint32{}, byClient: map[string]*clientJobs{},
		queriesByEntry: map[uint32][]uint64{}, queries: map[uint64]*pendingQuery{}, pacer: newPacer(), windowRule: demandRule,
		longestBudget: make([]time.Duration, len(fleet.Classes))}
	q.entries.push(entry{}) // so that 0 means none
	q.edges.push(edge{})
	q.heapIndex.push(0)
	q.deadlineIndex.push(0)
	q.timers.index, q.ready.index, q.backoff.index, q.deadlines.index = &q.heapIndex, &q.heapIndex, &q.heapIndex, &q.deadlineIndex
	return q
}

// Actions returns the actions that have become necessary since the last call. The slice is valid until the next call of
// Actions.
func (q *Queue) Actions() []Action {
	out := q.actions
	if q.actions, q.spareActions = q.spareActions[:0], out; cap(out) > maxTickWork {
		q.spareActions = nil // do not retain the memory of a rare burst
	}
	return out
}

func (q *Queue) emit(a Action) { q.actions = append(q.actions, a) }

// SetLimits changes the limits. Jobs already held stay even if they exceed the new limits; no more are accepted until
// they fit.
func (q *Queue) SetLimits(lim Limits) { q.limits = lim }

// SetReadyHosts sets how many hosts are ready.
func (q *Queue) SetReadyHosts(n int) { q.hosts = n }

// Stats returns counts of what is held and what was done.
func (q *Queue) Stats() Stats {
	s := q.stats
	s.Ready, s.Released = q.ready.len()+q.backoff.len(), q.pacer.turns
	s.Waiting = q.held - s.Ready - s.Released
	s.Bytes, s.Window = q.bodyBytes+q.resultBytes, q.pacer.window
	return s
}

// Held returns how many jobs are waiting, ready or released, not counting fresh jobs.
func (q *Queue) Held() int { return q.held }

// DetachedOut returns how many detached jobs are released: with the decision module or at a host.
func (q *Queue) DetachedOut() (n int) {
	for _, i := range q.active {
		if e := q.entries.at(i); e.state == Released && !e.has(attached|fresh) {
			n++
		}
	}
	return n
}

// allocEntry returns the index of an empty entry.
func (q *Queue) allocEntry() uint32 {
	if i := q.freeEntries; i != 0 {
		q.freeEntries = q.entries.at(i).next
		*q.entries.at(i) = entry{}
		return i
	}
	q.heapIndex.push(0)
	q.deadlineIndex.push(0)
	return q.entries.push(entry{})
}

func (q *Queue) freeEntry(i uint32) {
	*q.entries.at(i) = entry{next: q.freeEntries}
	q.freeEntries = i
}
