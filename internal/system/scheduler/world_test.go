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

// simCluster simulates a cluster with one scheduler at a time: workers that follow the wire protocol, a chain that commits, a platform list
// that lags, and jobs. Everything is determined by the seed.
type simCluster struct {
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
	tenants   []string // submitters of jobs; if empty, jobs have no tenant
	gangs     map[gangKey]*simGang
	faults    simFaults
	faultFree bool // no faults are injected
	violation error
	trace     func(state.Command)
	stats     simStats
}

// simFaults holds the probabilities of message and commit faults.
type simFaults struct {
	lostAnswers, lateOrders float64
	slowCommits             float64
}

type simStats struct {
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

const simEpochUnixMs = 1_700_000_000_000

func newSimCluster(seed uint64) *simCluster {
	w := &simCluster{
		seed:    seed,
		random:  rand.New(rand.NewPCG(seed, seed)),
		now:     time.Second,
		bounds:  nodesettings.DefaultBounds(),
		machine: state.New(),
		jobs:    make(map[state.JobID]*simJob),
		gangs:   make(map[gangKey]*simGang),
	}
	w.schedule(0, w.sendTime)
	w.schedule(0, w.sendList)
	return w
}

// violated records the first violation of a rule.
func (w *simCluster) violated(rule, format string, arguments ...any) {
	if w.violation == nil {
		w.violation = fmt.Errorf("seed %d at %v: %s: %s", w.seed, w.now, rule, fmt.Sprintf(format, arguments...))
	}
}

func (w *simCluster) schedule(span time.Duration, act func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now + span, order: w.order, act: act})
}

// run processes events up to a time, or until a rule is violated.
func (w *simCluster) run(until time.Duration) {
	for len(w.events) > 0 && w.violation == nil && w.events[0].at <= until {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.act()
		w.drain()
	}
}

func (w *simCluster) unixMs() int64 { return simEpochUnixMs + w.now.Milliseconds() }

func (w *simCluster) chance(share float64) bool { return w.random.Float64() < share }

func (w *simCluster) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// elect replaces the scheduler by a new one. A part of what the old one had proposed is committed.
func (w *simCluster) elect() {
	w.depose()
	w.token++
	options := Options{Token: w.token, Machine: w.machine, Bounds: w.bounds}
	w.sched = New(options, w.now)
	w.sched.Configured(w.now, w.config())
	w.sched.WallClock(w.now, w.unixMs())
	w.wakeAt = 0
}

// depose discards the scheduler. Calls in flight stay in flight.
func (w *simCluster) depose() {
	if w.sched == nil {
		return
	}
	kept := w.random.IntN(len(w.chain) + 1)
	for _, command := range w.chain[:kept] {
		w.noteResult(w.machine.ApplyBytes(command.Encode()))
	}
	dropped := w.chain[kept:]
	w.chain, w.sched = nil, nil
	for _, command := range dropped { // clients retry
		if command.Kind == state.KindJobAccepted || command.Kind == state.KindJobCancelled {
			w.proposeUntilElected(command)
		}
	}
}

func (w *simCluster) config() *clusterconfig.Config {
	config := &clusterconfig.Config{Version: 1}
	for _, worker := range w.workers {
		config.Services = append(config.Services, clusterconfig.Service{Name: worker.backend, Preconditions: worker.guarded})
	}
	return config
}

// drain carries out the scheduler's output and checks its invariants.
func (w *simCluster) drain() {
	if w.sched == nil || w.violation != nil {
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
	w.sched.checkNoIdleCapacity(w)
	for _, found := range output.Findings {
		if found.Repaired {
			w.violated("FORGOTTEN", "%v after %v: %s", found.Task, found.Waited, found.Reason)
		}
	}
	for _, command := range output.Commands {
		w.propose(command)
	}
	for _, call := range output.Calls {
		w.call(call)
	}
	w.scheduleWake(output.Wake)
}

func (w *simCluster) scheduleWake(at time.Duration) {
	if at == 0 || w.wakeAt > w.now && w.wakeAt <= at {
		return
	}
	w.wakeAt = at
	sched := w.sched
	w.schedule(at-w.now, func() {
		if w.sched == sched {
			sched.Tick(w.now)
		}
	})
}

// propose commits a command after a delay, in order.
func (w *simCluster) propose(command state.Command) {
	w.chain = append(w.chain, command)
	span := w.between(3*time.Millisecond, 30*time.Millisecond)
	if w.chance(w.faults.slowCommits) {
		span = w.between(300*time.Millisecond, 3*time.Second)
	}
	w.chainAt = max(w.chainAt, w.now+span)
	sched := w.sched
	w.schedule(w.chainAt-w.now, func() {
		if w.sched == sched && sched != nil {
			w.commit()
		}
	})
}

func (w *simCluster) commit() {
	command := w.chain[0]
	w.chain = w.chain[1:]
	if w.trace != nil {
		w.trace(command)
	}
	result := w.machine.ApplyBytes(command.Encode())
	w.noteResult(result)
	w.sched.Applied(w.now, result)
}

// proposeUntilElected commits a command that does not come from the scheduler. Without a scheduler it waits for the next one.
func (w *simCluster) proposeUntilElected(command state.Command) {
	if w.sched == nil {
		w.schedule(50*time.Millisecond, func() { w.proposeUntilElected(command) })
		return
	}
	w.propose(command)
}

func (w *simCluster) sendTime() {
	if w.sched != nil {
		w.sched.WallClock(w.now, w.unixMs())
	}
	w.schedule(time.Second, w.sendTime)
}

// sendList passes the platform's list to the scheduler after a delay.
func (w *simCluster) sendList() {
	var instances []workerapi.Instance
	for _, worker := range w.workers {
		if worker.listed() {
			instances = append(instances, worker.instanceEntry())
		}
	}
	lag := w.between(50*time.Millisecond, 500*time.Millisecond)
	w.schedule(lag, func() {
		if w.sched != nil {
			w.sched.Listed(w.now, instances)
		}
	})
	w.schedule(600*time.Millisecond, w.sendList)
}

// call delivers a call to its worker and the answer back.
func (w *simCluster) call(call Call) {
	sched := w.sched
	answered := false
	reply := func(answer workerapi.HoldReply) {
		if !answered && w.sched == sched {
			answered = true
			sched.CallEnded(w.now, CallResult{ID: call.ID, Reply: answer})
		}
	}
	w.schedule(call.Timeout, func() { reply(workerapi.HoldReply{}) })
	worker := w.workerAt(call.Worker.Address)
	if worker == nil {
		w.schedule(2*time.Millisecond, func() { reply(workerapi.HoldReply{Outcome: workerapi.NotSent}) })
		return
	}
	delay := w.between(time.Millisecond, 8*time.Millisecond)
	lost := w.chance(w.faults.lostAnswers) || worker.partitioned
	if w.chance(w.faults.lateOrders) && call.Kind != CallHold || worker.delayed && w.chance(0.5) {
		lost, delay = true, w.between(2*time.Second, 12*time.Second)
	}
	if worker.partitioned && w.chance(0.7) {
		return
	}
	w.schedule(delay, func() {
		worker.handleCall(call, func(answer workerapi.HoldReply) {
			if !lost {
				w.schedule(w.between(time.Millisecond, 8*time.Millisecond), func() { reply(answer) })
			}
		})
	})
}

func (w *simCluster) workerAt(address string) *simWorker {
	for _, worker := range w.workers {
		if worker.address == address && worker.up() {
			return worker
		}
	}
	return nil
}
