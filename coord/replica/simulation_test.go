package replica

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// world is a simulated deployment: machines with clocks that drift, disks that lose what isn't synced, and a network that loses,
// duplicates, delays and reorders messages. Everything follows from the seed.
type world struct {
	seed          uint64
	random        *rand.Rand
	now           time.Duration // true time
	events        eventHeap
	sequence      uint64
	tolerance     int
	machines      []*machine
	cuts          map[[2]string]time.Duration // from, to: until when
	latency       time.Duration
	lossRate      float64
	duplicateRate float64
	delayRate     float64 // share of messages that are delayed
	oracle        oracle
	failure       error
	incarnations  uint64
	trace         func(format string, args ...any)
	written       int
	earlyDrops    bool // members are dropped much too early
	costs         *stateCosts
	config        Config // of every replica, except for the fields that start sets
	onView        func(v view.View)
}

type event struct {
	at       time.Duration
	sequence uint64
	do       func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// after runs a function after a delay in true time.
func (w *world) after(delay time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.events, event{w.now + max(delay, 0), w.sequence, do})
}

// run simulates until a moment of true time, or the first failure.
func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.failure == nil && w.events[0].at <= until {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.do()
		w.checkHeadAndReads()
	}
	w.now = max(w.now, until)
}

func (w *world) fail(format string, args ...any) {
	if w.failure == nil {
		w.failure = fmt.Errorf("at %v: "+format, append([]any{w.now}, args...)...)
	}
}

func (w *world) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// newWorld starts a deployment. Its first machines are the seeds.
func newWorld(seed uint64, seeds, others, tolerance int) *world {
	w := &world{seed: seed, tolerance: tolerance, cuts: make(map[[2]string]time.Duration)}
	w.random = rand.New(rand.NewPCG(seed, 1))
	w.trace = func(string, ...any) {}
	w.latency = 1400 * time.Microsecond
	w.oracle = oracle{views: make(map[uint64]view.View)}
	genesis := view.View{}
	for i := range seeds + others {
		m := w.newMachine()
		if i < seeds {
			genesis.Voters = append(genesis.Voters, view.Member{ID: view.ReplicaID(m.address), Address: m.address})
			m.genesis = &genesis
		}
	}
	genesis.Chain = append(genesis.Chain, genesis.Voters...)
	for _, m := range w.machines {
		w.after(w.randomDuration(0, 300*time.Millisecond), m.start)
	}
	return w
}

func (w *world) newMachine() *machine {
	m := &machine{world: w, address: fmt.Sprintf("10.0.0.%d:8146", 10+len(w.machines))}
	m.rate = 1 + (w.random.Float64()-0.5)/50 // 1% either way
	m.offset = w.randomDuration(0, time.Hour)
	m.syncTime = w.randomDuration(3*time.Millisecond, 9*time.Millisecond)
	w.machines = append(w.machines, m)
	return m
}

// maxExtraDelay is the longest additional delay of a delayed message.
const maxExtraDelay = 300 * time.Millisecond

// transmit sends a message over the network.
func (w *world) transmit(from *machine, envelope Envelope) {
	if w.cuts[[2]string{from.address, envelope.To}] > w.now || w.random.Float64() < w.lossRate {
		return
	}
	copies := 1
	if w.random.Float64() < w.duplicateRate {
		copies = 2
	}
	for range copies {
		delay := w.latency + w.randomDuration(0, time.Millisecond)
		if w.random.Float64() < w.delayRate {
			delay += w.randomDuration(0, maxExtraDelay)
		}
		delay = w.costs.transferTime(w.now, from.address, envelope, delay)
		w.after(delay, func() { w.arrive(from, envelope) })
	}
}

func (w *world) arrive(from *machine, envelope Envelope) {
	if w.cuts[[2]string{from.address, envelope.To}] > w.now {
		return
	}
	for _, m := range w.machines {
		if m.address == envelope.To && !m.removed {
			m.input(Receive{Message: envelope.Message})
		}
	}
}

// checkHeadAndReads checks what must be true at every moment: there is at most one head, and no replica would answer a read that misses a
// committed entry.
func (w *world) checkHeadAndReads() {
	var head *machine
	for _, m := range w.machines {
		if m.process == nil {
			continue
		}
		local := m.clock()
		if m.process.IsHead(local) {
			if head != nil {
				w.fail("two heads: %s of epoch %d, %s of epoch %d", head.address, head.process.View().Epoch, m.address, m.process.View().Epoch)
			}
			head = m
		}
		if index, ok := m.process.ReadIndex(local); ok && index < uint64(len(w.oracle.entries)) {
			w.fail("%s (epoch %d) would answer a read at %d, committed is %d", m.address, m.process.View().Epoch, index, len(w.oracle.entries))
		}
	}
}

// oracle holds the entries and views that have been reported so far.
type oracle struct {
	entries []chain.Entry
	sums    []uint64
	views   map[uint64]view.View
}

func nextSum(sum uint64, e chain.Entry) uint64 {
	for _, b := range e.Data {
		sum = (sum ^ uint64(b)) * 1099511628211
	}
	return (sum ^ e.Epoch) * 1099511628211
}

// checkApplied checks an entry that a machine applies against the entries reported before.
func (w *world) checkApplied(m *machine, e chain.Entry) {
	o := &w.oracle
	last := uint64(len(o.entries))
	switch {
	case e.Index != m.applied+1:
		w.fail("%s applies %d after %d", m.address, e.Index, m.applied)
	case e.Index <= last:
		if known := o.entries[e.Index-1]; known.Epoch != e.Epoch || string(known.Data) != string(e.Data) {
			w.fail("%s applies %d of epoch %d, committed was that of epoch %d", m.address, e.Index, e.Epoch, known.Epoch)
		}
	case e.Index == last+1:
		w.checkCopies(m, e)
		sum := uint64(14695981039346656037)
		if last > 0 {
			sum = o.sums[last-1]
		}
		o.entries = append(o.entries, e)
		o.sums = append(o.sums, nextSum(sum, e))
	default:
		w.fail("%s applies %d, committed is %d", m.address, e.Index, last)
	}
	m.applied = e.Index
	if m.applied <= uint64(len(o.sums)) {
		m.stateSum = o.sums[m.applied-1]
	}
}

// logHolds reports whether a log on disk contains an entry, possibly in a snapshot.
func logHolds(log *chain.Log, e chain.Entry) bool {
	epoch, ok := log.EpochAt(e.Index)
	return ok && epoch == e.Epoch || e.Index < log.Base()
}

// checkCopies checks that an entry, when it is first committed, is on the disks of the whole chain, and that these are enough. A disk
// that was lost while its acknowledgement was in transit had the entry.
func (w *world) checkCopies(m *machine, e chain.Entry) {
	v := m.process.View()
	if m.process.head.leaseUntil <= m.clock() {
		w.fail("%s commits %d without a lease", m.address, e.Index)
	}
	copies := 0
	for _, other := range w.machines {
		justLost := other.lostAt > 0 && w.now-other.lostAt <= w.latency+maxExtraDelay
		if logHolds(&other.durableState.Log, e) || justLost && logHolds(&other.lostLog, e) {
			copies++
		} else if other.process != nil && v.InChain(other.process.Self().ID) {
			w.fail("%s commits %d, which %s of the chain lacks", m.address, e.Index, other.address)
		}
	}
	if copies <= w.tolerance {
		w.fail("%s commits %d on %d disks", m.address, e.Index, copies)
	}
}

func (w *world) checkView(m *machine, v view.View) {
	if known, ok := w.oracle.views[v.Epoch]; ok && !known.Equal(v) {
		w.fail("%s has another view of epoch %d: %v, %v", m.address, v.Epoch, v, known)
	}
	if _, ok := w.oracle.views[v.Epoch]; !ok {
		w.checkChainLogs(v)
		if w.onView != nil {
			w.onView(v)
		}
	}
	w.oracle.views[v.Epoch] = v
	for _, member := range v.Chain {
		if !v.IsVoter(member.ID) {
			w.fail("%s is in the chain of epoch %d without a vote", member.ID, v.Epoch)
		}
	}
}

// checkChainLogs checks that every member of a new chain has all committed entries on disk.
func (w *world) checkChainLogs(v view.View) {
	last := uint64(len(w.oracle.entries))
	for _, m := range w.machines {
		if last == 0 || m.process == nil || !v.InChain(m.process.Self().ID) {
			continue
		}
		log := &m.durableState.Log
		if epoch, ok := log.EpochAt(last); last > log.Base() && (!ok || epoch != w.oracle.entries[last-1].Epoch) {
			w.fail("%s is in the chain of epoch %d without entry %d", m.address, v.Epoch, last)
		}
	}
}

// head returns the machine that is the head with a lease, or nil.
func (w *world) head() *machine {
	for _, m := range w.machines {
		if m.process != nil && m.process.IsHead(m.clock()) {
			return m
		}
	}
	return nil
}

// writeLoop hands proposals to the head again and again.
func (w *world) writeLoop(every time.Duration) {
	if head := w.head(); head != nil && head.frozenUntil <= w.now {
		count := 1 + w.random.IntN(4)
		data := make([][]byte, count)
		for i := range data {
			w.written++
			data[i] = fmt.Appendf(nil, "write %d", w.written)
		}
		head.propose(data)
	}
	w.after(w.randomDuration(every/2, every*2), func() { w.writeLoop(every) })
}
