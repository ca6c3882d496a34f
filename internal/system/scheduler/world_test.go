package scheduler

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"gaugeslip/internal/system/clusterconfig"
	"gaugeslip/internal/system/nodesettings"
	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

// world is a simulated cluster round one scheduler at a time: workers that keep the wire contract, a chain that commits, a list that
// trails, and jobs. Everything that it does follows from its seed.
type world struct {
	seed   uint64
	random *rand.Rand
	now    time.Duration
	events eventHeap
	order  uint64

	bounds  nodesettings.Bounds
	machine *state.Machine
	sched   *Scheduler
	token   uint64
	wakeAt  time.Duration
	chain   []state.Command // proposed, not committed
	chainAt time.Duration

	workers   []*simWorker
	instances int
	jobs      map[state.JobID]*simJob
	tenants   []string // of whom jobs are handed in; nobody's where there are none
	gangs     map[gangKey]*simGang
	faults    worldFaults
	calm      bool // nothing goes wrong in this world
	fault     error
	trace     func(state.Command)
	stats     worldStats
}

// worldFaults are the shares of what goes wrong.
type worldFaults struct {
	lostAnswers, lateOrders float64
	slowCommits             float64
}

type worldStats struct {
	starts, ends, gangsAlone, holds, late int
}

type event struct {
	at    time.Duration
	order uint64
	act   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int)   { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(added any) { *h = append(*h, added.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}

const unixZeroMs = 1_700_000_000_000

func newWorld(seed uint64) *world {
	w := &world{
		seed:    seed,
		random:  rand.New(rand.NewPCG(seed, seed)),
		now:     time.Second,
		bounds:  nodesettings.DefaultBounds(),
		machine: state.New(),
		jobs:    make(map[state.JobID]*simJob),
		gangs:   make(map[gangKey]*simGang),
	}
	w.after(0, w.tellTime)
	w.after(0, w.tellList)
	return w
}

// violated keeps the first broken rule.
func (w *world) violated(rule, format string, arguments ...any) {
	if w.fault == nil {
		w.fault = fmt.Errorf("seed %d at %v: %s: %s", w.seed, w.now, rule, fmt.Sprintf(format, arguments...))
	}
}

func (w *world) after(span time.Duration, act func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now + span, order: w.order, act: act})
}

// run plays events up to a time, or until a rule is broken.
func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.fault == nil && w.events[0].at <= until {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.act()
		w.drain()
	}
}

func (w *world) unixMs() int64 { return unixZeroMs + w.now.Milliseconds() }

func (w *world) chance(share float64) bool { return w.random.Float64() < share }

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// elect puts a new scheduler in the place of the last one: part of what that one had proposed is committed.
func (w *world) elect() {
	w.depose()
	w.token++
	options := Options{Token: w.token, Machine: w.machine, Bounds: w.bounds}
	w.sched = New(options, w.now)
	w.sched.Configured(w.now, w.config())
	w.sched.WallClock(w.now, w.unixMs())
	w.wakeAt = 0
}

// depose throws the scheduler away. What is out stays out.
func (w *world) depose() {
	if w.sched == nil {
		return
	}
	kept := w.random.IntN(len(w.chain) + 1)
	for _, command := range w.chain[:kept] {
		w.note(w.machine.ApplyBytes(command.Encode()))
	}
	dropped := w.chain[kept:]
	w.chain, w.sched = nil, nil
	for _, command := range dropped { // clients try again
		if command.Kind == state.KindJobAccepted || command.Kind == state.KindJobCancelled {
			w.demand(command)
		}
	}
}

func (w *world) config() *clusterconfig.Config {
	config := &clusterconfig.Config{Version: 1}
	for _, worker := range w.workers {
		config.Services = append(config.Services, clusterconfig.Service{Name: worker.backend, Preconditions: worker.guarded})
	}
	return config
}

// drain does what the scheduler wants done, and checks it.
func (w *world) drain() {
	if w.sched == nil || w.fault != nil {
		return
	}
	output := w.sched.Drain()
	w.checkLate(output.Late)
	if output.Superseded {
		return
	}
	if err := w.sched.Check(); err != nil {
		w.violated("CHECK", "%v", err)
	}
	if err := w.machine.Check(); err != nil {
		w.violated("STATE", "%v", err)
	}
	w.sched.checkIdle(w)
	for _, found := range output.Findings {
		if found.Mended {
			w.violated("FORGOTTEN", "%v after %v: %s", found.Task, found.Waited, found.Reason)
		}
	}
	for _, command := range output.Commands {
		w.propose(command)
	}
	for _, made := range output.Calls {
		w.call(made)
	}
	w.awake(output.Wake)
}

func (w *world) awake(at time.Duration) {
	if at == 0 || w.wakeAt > w.now && w.wakeAt <= at {
		return
	}
	w.wakeAt = at
	sched := w.sched
	w.after(at-w.now, func() {
		if w.sched == sched {
			sched.Tick(w.now)
		}
	})
}

// propose commits a command after a while, in order.
func (w *world) propose(command state.Command) {
	w.chain = append(w.chain, command)
	span := w.between(3*time.Millisecond, 30*time.Millisecond)
	if w.chance(w.faults.slowCommits) {
		span = w.between(300*time.Millisecond, 3*time.Second)
	}
	w.chainAt = max(w.chainAt, w.now+span)
	sched := w.sched
	w.after(w.chainAt-w.now, func() {
		if w.sched == sched && sched != nil {
			w.commit()
		}
	})
}

func (w *world) commit() {
	command := w.chain[0]
	w.chain = w.chain[1:]
	if w.trace != nil {
		w.trace(command)
	}
	result := w.machine.ApplyBytes(command.Encode())
	w.note(result)
	w.sched.Applied(w.now, result)
}

// demand commits a command that isn't the scheduler's, or waits until there is one.
func (w *world) demand(command state.Command) {
	if w.sched == nil {
		w.after(50*time.Millisecond, func() { w.demand(command) })
		return
	}
	w.propose(command)
}

func (w *world) tellTime() {
	if w.sched != nil {
		w.sched.WallClock(w.now, w.unixMs())
	}
	w.after(time.Second, w.tellTime)
}

// tellList shows the scheduler the list as it was a moment ago.
func (w *world) tellList() {
	var instances []workerapi.Instance
	for _, worker := range w.workers {
		if worker.listed() {
			instances = append(instances, worker.instanceEntry())
		}
	}
	lag := w.between(50*time.Millisecond, 500*time.Millisecond)
	w.after(lag, func() {
		if w.sched != nil {
			w.sched.Listed(w.now, instances)
		}
	})
	w.after(600*time.Millisecond, w.tellList)
}

// call carries a call to its worker and the answer back.
func (w *world) call(made Call) {
	sched := w.sched
	answered := false
	reply := func(answer workerapi.HoldReply) {
		if !answered && w.sched == sched {
			answered = true
			sched.CallEnded(w.now, CallResult{ID: made.ID, Reply: answer})
		}
	}
	w.after(made.Timeout, func() { reply(workerapi.HoldReply{}) })
	worker := w.at(made.Worker.Address)
	if worker == nil {
		w.after(2*time.Millisecond, func() { reply(workerapi.HoldReply{Outcome: workerapi.NotSent}) })
		return
	}
	way := w.between(time.Millisecond, 8*time.Millisecond)
	lost := w.chance(w.faults.lostAnswers) || worker.cut
	if w.chance(w.faults.lateOrders) && made.Kind != CallHold || worker.late && w.chance(0.5) {
		lost, way = true, w.between(2*time.Second, 12*time.Second)
	}
	if worker.cut && w.chance(0.7) {
		return
	}
	w.after(way, func() {
		worker.take(made, func(answer workerapi.HoldReply) {
			if !lost {
				w.after(w.between(time.Millisecond, 8*time.Millisecond), func() { reply(answer) })
			}
		})
	})
}

func (w *world) at(address string) *simWorker {
	for _, worker := range w.workers {
		if worker.address == address && worker.up() {
			return worker
		}
	}
	return nil
}
