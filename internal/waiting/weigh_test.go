package waiting_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/waiting"
	"gaugeslip/policy"
)

const (
	ms     = time.Millisecond
	second = time.Second
	epoch  = 1_700_000_000 * second
)

var classes = []policy.Class{
	{Name: "plot-load", OnTime: 400 * ms, Stretch: 1.75, Deadline: 8 * second, Worth: 5, Kind: -1},
	{Name: "harvest-sale", OnTime: 2 * second, Stretch: 2, Deadline: 25 * second, Worth: 10, Kind: -1,
		Effect: policy.Unsafe}}

// simulation is a small fleet in virtual time around a real chain: hosts with lanes and a queue, and clients that
// arrive at random. Equal seeds give equal runs.
type simulation struct {
	rng    *rand.Rand
	chain  *dispatch.Chain
	room   *waiting.Queue
	now    time.Duration
	events eventQueue
	seq    int
	in     []dispatch.Message
	hosts  map[string]*host
	jobs   map[uint64]*simJob
	out    map[dispatch.Key]*run
	next   uint64
	lanes  int

	freshInTime int
}

type host struct {
	lanes, busy int
	queue       []*run
}

// simJob is a job that a client has submitted.
type simJob struct {
	class   int
	size    time.Duration
	arrived time.Duration
	fresh   bool
	answers int
	served  bool
	sends   int
}

type run struct {
	key  dispatch.Key
	at   *host
	over bool
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []event

func (c eventQueue) Len() int { return len(c) }
func (c eventQueue) Less(i, j int) bool {
	return c[i].at < c[j].at || c[i].at == c[j].at && c[i].seq < c[j].seq
}
func (c eventQueue) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *eventQueue) Push(x any)   { *c = append(*c, x.(event)) }
func (c *eventQueue) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

func newSimulation(tb testing.TB, seed uint64, hosts, lanes int, lim waiting.Limits) *simulation {
	tb.Helper()
	cfg := policy.Config{Replicas: 1, Zones: 1, Kinds: 1, MaxAttempts: 6, WorthByWork: true, TellsStart: true, Probes: true,
		ReportInProbes: true, PriceProbe: 0.002, MaxRetryAfter: 2 * second, Classes: classes}
	core, err := dispatch.New(cfg, seed)
	if err != nil {
		tb.Fatal(err)
	}
	gate := dispatch.NewWaitingGate(lim, cfg)
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), chain: dispatch.NewChain(core, dispatch.Gates{Waiting: gate}), room: gate.Room(), now: epoch,
		hosts: map[string]*host{}, jobs: map[uint64]*simJob{}, out: map[dispatch.Key]*run{}, lanes: hosts * lanes}
	var list []dispatch.Host
	for i := range hosts {
		addr := fmt.Sprintf("127.0.0.1:%d", i+1)
		w.hosts[addr] = &host{lanes: lanes}
		list = append(list, dispatch.Host{Name: fmt.Sprintf("s-%08x", 0x7000+i), Addr: addr, Scale: float64(lanes)})
	}
	w.in = append(w.in, dispatch.HostList{Version: 1, Whole: true, Hosts: list})
	return w
}

func (w *simulation) at(t time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{max(t, w.now), w.seq, do})
}

// newJob creates a job: 62 % are light ones and 38 % sales, with sizes spread by a factor of about two.
func (w *simulation) newJob(fresh bool) *simJob {
	m := &simJob{arrived: w.now, fresh: fresh}
	mean := 0.7
	if w.rng.Float64() < 0.38 {
		m.class, mean = 1, 4
	}
	m.size = time.Duration(mean * math.Exp(0.4*w.rng.NormFloat64()-0.08) * 1e9)
	w.next++
	w.jobs[w.next] = m
	return m
}

const meanWork = 0.62*0.7 + 0.38*4

// arrive submits a job; with wait nil it is a fresh one.
func (w *simulation) arrive(m *simJob, id uint64, wait *dispatch.Wait) {
	budget := classes[m.class].Deadline
	w.in = append(w.in, dispatch.JobArrived{Job: id, Name: fmt.Sprint("j", id), Client: "c", Class: m.class, Tenant: -1,
		At: w.now, Budget: budget, Size: m.size, Slots: 1, Wait: wait})
}

// flood submits fresh jobs at a multiple of the fleet's capacity until a time.
func (w *simulation) flood(load float64, until time.Duration) {
	gap := meanWork / float64(w.lanes) / load
	w.at(w.now+time.Duration(w.rng.ExpFloat64()*gap*1e9), func() {
		if w.now < until {
			w.arrive(w.newJob(true), w.next, nil)
			w.flood(load, until)
		}
	})
}

// run runs the simulation until a time.
func (w *simulation) run(until time.Duration) {
	for {
		at, ok := w.chain.Wake()
		if len(w.in) > 0 {
			at, ok = w.now, true
		}
		if len(w.events) > 0 && (!ok || w.events[0].at <= at) {
			at, ok = w.events[0].at, true
		}
		if !ok || at > until {
			w.now = until
			return
		}
		w.now = max(w.now, at)
		for len(w.events) > 0 && w.events[0].at <= w.now {
			heap.Pop(&w.events).(event).do()
		}
		in := w.in
		w.in = nil
		for _, c := range w.chain.Step(w.now, in) {
			w.execute(c)
		}
	}
}

func (w *simulation) execute(c dispatch.Command) {
	switch c := c.(type) {
	case dispatch.Send:
		w.jobs[c.Job].sends++
		h := w.hosts[c.Addr]
		r := &run{key: c.Key, at: h}
		w.out[c.Key] = r
		w.at(w.now+ms, func() { h.take(w, r) })
		w.at(c.Deadline, func() { w.end(r, policy.TimedOut) })
	case dispatch.LocalReply:
		w.jobs[c.Job].answers++
	case dispatch.Probe:
		h := w.hosts[c.Addr]
		w.at(w.now+ms, func() {
			w.in = append(w.in, dispatch.ProbeEnded{Worker: c.Worker, Took: ms, Load: &policy.Load{
				FreeSlots: float64(h.lanes - h.busy), Queue: float64(len(h.queue)), InFlight: -1, Busy: -1}})
		})
	}
}

func (h *host) take(w *simulation, r *run) {
	if r.over {
		return
	}
	if len(h.queue) >= 4*h.lanes {
		w.end(r, policy.Full)
		return
	}
	h.queue = append(h.queue, r)
	h.start(w)
}

func (h *host) start(w *simulation) {
	for h.busy < h.lanes && len(h.queue) > 0 {
		r := h.queue[0]
		if h.queue = h.queue[1:]; r.over {
			continue
		}
		h.busy++
		w.in = append(w.in, dispatch.JobStarted{Key: r.key})
		w.at(w.now+w.jobs[r.key.Job].size, func() {
			h.busy--
			w.end(r, policy.OK)
			h.start(w)
		})
	}
}

// end reports the outcome of a send, once.
func (w *simulation) end(r *run, result policy.Result) {
	if r.over {
		return
	}
	r.over = true
	delete(w.out, r.key)
	m := w.jobs[r.key.Job]
	if result == policy.OK {
		c := &classes[m.class]
		if !m.served && m.fresh && w.now-m.arrived <= c.OnTime+time.Duration(c.Stretch*float64(m.size)) {
			w.freshInTime++
		}
		if !m.served {
			m.answers++
		}
		m.served = true
	}
	w.in = append(w.in, dispatch.AttemptEnded{Key: r.key, Result: result})
}

// results are the results of one run of the experiment.
type results struct {
	before, during, longest, served float64
	turns                           uint64
}

// experiment floods a fleet for three minutes. After the first minute a backlog becomes ready at one time, due within
// the other two.
func experiment(tb testing.TB, seed uint64, rule string, hosts, lanes int, load, part float64) results {
	lim := waiting.Defaults()
	lim.MaxJobs, lim.ClientShare, lim.DefaultDue = 1_000_000, 1, 2*time.Minute
	w := newSimulation(tb, seed, hosts, lanes, lim)
	w.room.SetRule(rule, lim.Share, float64(w.lanes))
	end := epoch + 3*time.Minute
	w.flood(load, end)
	w.run(epoch + 20*second) // until then the fleet fills up
	count := func() (inTime, all int) {
		for _, m := range w.jobs {
			if m.fresh {
				all++
			}
		}
		return w.freshInTime, all
	}
	t0, a0 := count()
	w.run(epoch + time.Minute)
	t1, a1 := count()
	backlog := int(part * float64(w.lanes) * 120 / meanWork)
	for range backlog {
		w.arrive(w.newJob(false), w.next, &dispatch.Wait{Detached: true})
	}
	w.run(end)
	t2, a2 := count()
	w.run(end + 3*time.Minute)
	s := w.room.Stats()
	return results{before: float64(t1-t0) / float64(a1-a0), during: float64(t2-t1) / float64(a2-a1), longest: s.Longest,
		served: float64(s.Served) / float64(max(backlog, 1)), turns: s.Turns}
}

// TestWeigh compares the rules under the same flood and backlog. The table is in docs/design/waiting.md. To run it:
//
//	WEIGH=1 go test ./internal/waiting -run Weigh -v
func TestWeigh(t *testing.T) {
	if os.Getenv("WEIGH") == "" {
		t.Skip("an experiment: WEIGH=1 runs it")
	}
	for _, load := range []float64{0.6, 1.2, 3} {
		for _, part := range []float64{0.1, 0.25, 0.45} {
			for _, rule := range waiting.Rules {
				var sum results
				const seeds = 5
				for seed := range uint64(seeds) {
					f := experiment(t, seed+1, rule, 10, 2, load, part)
					sum.before += f.before / seeds
					sum.during += f.during / seeds
					sum.served += f.served / seeds
					sum.longest = max(sum.longest, f.longest)
					sum.turns += f.turns / seeds
				}
				t.Logf("load %.1f backlog %.2f %-15s fresh in time %.3f -> %.3f, waiting served %.3f, longest wait %.2f due, %d turns",
					load, part, rule, sum.before, sum.during, sum.served, sum.longest, sum.turns)
			}
		}
	}
}

// Under a flood of 1.2 times the fleet's capacity, no waiting job waits longer than twice its due time as long as the
// fleet can carry their share. Waiting jobs do not shut out fresh ones either.
func TestFloodStarvesNoWaitingJob(t *testing.T) {
	for seed := range uint64(3) {
		f := experiment(t, seed+1, "by need", 10, 2, 1.2, 0.25)
		if f.longest > 2 || f.served < 1 || f.during < f.before/2 {
			t.Errorf("seed %d: %+v", seed+1, f)
		}
	}
}
