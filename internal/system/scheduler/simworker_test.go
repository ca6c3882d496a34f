package scheduler

import (
	"fmt"
	"time"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

// simWorker is a simulated worker at one address. Its instances follow one another.
type simWorker struct {
	world    *simCluster
	address  string
	backend  string
	labels   []string
	capacity Resources
	guarded  bool
	rate     float64 // of its clock

	instance   string
	born       time.Duration
	down       bool
	gone       bool
	listedDown time.Duration // a crashed instance stays on the platform's list until then
	leavesAt   time.Duration
	drainSince time.Duration
	fence      uint64
	heldUntil  int64
	runs       map[state.Run]*simRun
	over       map[state.TaskName]uint32
	finished   []*simEnd
	lastNumber uint64
	waiting    []*waitingHold

	partitioned, delayed, busy, stalled, failing bool
	slow                                         float64
}

// waitingHold is a hold that waits for an end.
type waitingHold struct {
	done   bool
	answer func()
}

// simEnd is one end, listed until it is acknowledged.
type simEnd struct {
	number       uint64
	run          state.Run
	how          workerapi.EndReason
	checkpoint   string
	task         *simTask
	at           time.Duration
	acknowledged bool
	lapsed       bool
}

func (w *simCluster) addWorker(backend string, room Resources, guarded bool, labels ...string) *simWorker {
	worker := &simWorker{
		world:    w,
		address:  fmt.Sprintf("10.0.0.%d:80", len(w.workers)+1),
		backend:  backend,
		labels:   labels,
		capacity: room,
		guarded:  guarded,
		rate:     0.98 + 0.02*w.random.Float64(),
		slow:     1,
	}
	worker.startInstance()
	w.workers = append(w.workers, worker)
	return worker
}

func (worker *simWorker) startInstance() {
	worker.world.instances++
	worker.instance = fmt.Sprintf("i-%06d", worker.world.instances*7919%100003)
	worker.born = worker.world.now - worker.world.between(0, time.Hour)
	worker.down = false
	worker.fence, worker.heldUntil, worker.lastNumber = 0, 0, 0
	worker.runs = make(map[state.Run]*simRun)
	worker.over = make(map[state.TaskName]uint32)
	worker.finished, worker.waiting = nil, nil
	worker.leavesAt, worker.drainSince = 0, 0
}

func (worker *simWorker) up() bool { return !worker.down && !worker.gone }

func (worker *simWorker) listed() bool {
	return worker.up() || worker.world.now < worker.listedDown
}

func (worker *simWorker) instanceEntry() workerapi.Instance {
	entry := workerapi.Instance{
		ID:      worker.instance,
		Backend: worker.backend,
		Address: worker.address,
		State:   workerapi.StateReady,
		Labels:  worker.labels,
		Allocatable: workerapi.Allocatable{
			CPU: int(worker.capacity.CPU), MemoryMB: int(worker.capacity.MemoryMb), GPUs: int(worker.capacity.GPUs),
		},
	}
	if worker.drainSince > 0 {
		entry.State = workerapi.StateDraining
	}
	return entry
}

func (worker *simWorker) clockMs() int64 {
	return int64(float64(worker.world.now-worker.born) * worker.rate / float64(time.Millisecond))
}

func (worker *simWorker) answer(outcome workerapi.Outcome) workerapi.HoldReply {
	return workerapi.HoldReply{Outcome: outcome, ClockMs: worker.clockMs()}
}

// handleCall handles a call.
func (worker *simWorker) handleCall(call Call, reply func(workerapi.HoldReply)) {
	switch {
	case !worker.up():
		return
	case call.Worker.Instance != worker.instance:
		reply(workerapi.HoldReply{Outcome: workerapi.OtherInstance})
		return
	case worker.busy && call.Kind == CallStart:
		reply(workerapi.HoldReply{Outcome: workerapi.Busy})
		return
	}
	token := max(call.Start.FenceToken, call.Stop.FenceToken, call.Hold.FenceToken)
	if token < worker.fence {
		reply(worker.answer(workerapi.RefusedFence))
		return
	}
	worker.fence = token
	switch call.Kind {
	case CallStart:
		reply(worker.answer(worker.start(&call.Start)))
	case CallStop:
		worker.stop(&call.Stop)
		reply(worker.answer(workerapi.Done))
	case CallHold:
		worker.hold(&call.Hold, reply)
	}
}

func (worker *simWorker) renew(due int64) {
	due = min(due, worker.clockMs()+worker.world.bounds.MaxHold().Milliseconds())
	if due <= worker.heldUntil {
		return
	}
	worker.heldUntil = due
	ahead := time.Duration(float64(due-worker.clockMs()+1) / worker.rate * float64(time.Millisecond))
	instance := worker.instance
	worker.world.schedule(ahead, func() {
		if worker.instance == instance && worker.up() && worker.clockMs() >= worker.heldUntil {
			worker.lapseRuns()
		}
	})
}

func (worker *simWorker) lapseRuns() {
	for _, r := range worker.sorted() {
		r.end(workerapi.EndLapsed)
	}
	for _, end := range worker.finished {
		end.lapsed = true
	}
}

func (worker *simWorker) start(order *workerapi.StartOrder) workerapi.Outcome {
	name, _ := jobspec.ParseTask(order.Task)
	key := state.Run{Task: name, Attempt: uint32(order.Attempt)}
	if worker.runs[key] != nil {
		return workerapi.Done
	}
	if order.DueAtMs <= worker.clockMs() {
		return workerapi.RefusedLate
	}
	worker.renew(order.DueAtMs)
	if key.Attempt <= worker.over[name] {
		return workerapi.RefusedStale
	}
	task := worker.world.findTask(name)
	if task == nil {
		worker.world.violated("UNASKED", "%s is not known", order.Task)
		return workerapi.BadRequest
	}
	if worker.guarded && !task.stage.need.fitsInto(worker.capacity.minus(worker.used())) {
		return workerapi.RefusedCapacity
	}
	worker.world.begin(worker, task, key, order)
	return workerapi.Done
}

func (worker *simWorker) used() Resources {
	used := Resources{}
	for _, r := range worker.runs {
		used = used.plus(r.task.stage.need)
	}
	return used
}

func (worker *simWorker) stop(order *workerapi.StopOrder) {
	name, _ := jobspec.ParseTask(order.Task)
	key := state.Run{Task: name, Attempt: uint32(order.Attempt)}
	worker.over[name] = max(worker.over[name], key.Attempt)
	r := worker.runs[key]
	if r == nil || r.stopping {
		return
	}
	r.stopping = true
	r.gang.settle()
	r.gang.halt()
	r.gang.save()
	worker.world.schedule(worker.world.between(0, worker.world.bounds.Stop()), func() { r.end(workerapi.EndStopped) })
}

// crash ends this instance. A new one starts after a while, unless the worker is gone for good.
func (worker *simWorker) crash(away time.Duration, forGood bool) {
	if !worker.up() {
		return
	}
	for _, r := range worker.sorted() {
		delete(worker.runs, r.name)
		r.gang.removeMember(r)
	}
	worker.down, worker.gone = true, forGood
	worker.listedDown = worker.world.now + 2*time.Second
	for _, end := range worker.finished {
		end.lapsed = true
	}
	worker.world.schedule(away, func() {
		if !worker.gone {
			worker.startInstance()
		}
	})
}

// drain announces that the worker leaves, and removes it after a while.
func (worker *simWorker) drain(stays time.Duration) {
	if !worker.up() || worker.drainSince > 0 {
		return
	}
	worker.drainSince = worker.world.now
	worker.leavesAt = worker.world.now + stays
	instance := worker.instance
	worker.world.schedule(stays, func() {
		if worker.instance == instance {
			worker.crash(0, true)
			worker.listedDown = 0
		}
	})
}
