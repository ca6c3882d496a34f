package scheduler

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/nodesettings"
	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

// loadCluster simulates a large cluster without faults: commands commit at once, and workers answer in time.
type loadCluster struct {
	machine *state.Machine
	sched   *Scheduler
	now     time.Duration
	events  eventHeap
	order   uint64
	workers map[string]*loadWorker
	body    []byte
	jobs    uint64
	started int
	list    []workerapi.Instance
	// holdCost is how long the head is busy with each hold, 0 for no time; busyUntil is when it will have processed all holds in flight.
	holdCost, busyUntil time.Duration
	unsentUntil         time.Duration // before this time no start can be sent
	findings            []Finding
}

type loadWorker struct {
	running  map[string]workerapi.RunningTask
	finished []workerapi.FinishedTask
	number   uint64
	hold     *Call
	asked    uint64
}

func newLoadCluster(workers, tasks int, run time.Duration) *loadCluster {
	r := &loadCluster{machine: state.New(), now: time.Second, workers: make(map[string]*loadWorker)}
	stage := jobspec.Stage{Count: tasks, CPU: 1500, MemoryMb: 1000, Estimated: run}
	r.body, _ = (&jobspec.Spec{Text: "rush", Stages: []jobspec.Stage{stage}}).Encode()
	r.sched = New(Options{Token: 1, Machine: r.machine, Bounds: nodesettings.DefaultBounds()}, r.now)
	r.sched.WallClock(r.now, simEpochUnixMs)
	for i := range workers {
		id := fmt.Sprintf("i-%06d", i)
		r.workers[id] = &loadWorker{running: make(map[string]workerapi.RunningTask)}
		room := workerapi.Allocatable{CPU: 16000, MemoryMB: 65536}
		r.list = append(r.list, workerapi.Instance{
			ID: id, Backend: "farm", Address: id, State: workerapi.StateReady, Allocatable: room,
			Labels: []string{"a", fmt.Sprint("rack-", i/12)},
		})
	}
	r.sched.Listed(r.now, r.list)
	r.drain()
	return r
}

// replaceScheduler replaces the scheduler by that of a new head.
func (r *loadCluster) replaceScheduler() {
	r.sched = New(Options{Token: r.sched.token + 1, Machine: r.machine, Bounds: nodesettings.DefaultBounds()}, r.now)
	r.sched.WallClock(r.now, simEpochUnixMs+r.now.Milliseconds())
	r.sched.Listed(r.now, r.list)
	r.drain()
}

// timesOut adds a hold's cost and reports whether its answer cannot be processed before its timeout.
func (r *loadCluster) timesOut(call *Call) bool {
	r.busyUntil = max(r.busyUntil, r.now) + r.holdCost
	if r.busyUntil <= r.now+call.Timeout {
		return false
	}
	sched := r.sched
	r.after(call.Timeout, func() {
		if r.sched == sched {
			sched.CallEnded(r.now, CallResult{ID: call.ID})
			r.drain()
		}
	})
	return true
}

func (r *loadCluster) after(span time.Duration, act func()) {
	r.order++
	heap.Push(&r.events, event{at: r.now + span, order: r.order, act: act})
}

func (r *loadCluster) submit() {
	r.jobs++
	accepted := &state.JobAccepted{
		ID: state.JobID(r.jobs), Route: "r", Service: "farm", MaxRetries: 3, Extension: 2, TargetLatencyMs: 1000,
		AcceptedMs: simEpochUnixMs + r.now.Milliseconds(), Body: r.body,
	}
	r.apply(state.Command{Kind: state.KindJobAccepted, JobAccepted: accepted})
	r.drain()
}

func (r *loadCluster) apply(command state.Command) {
	r.sched.Applied(r.now, r.machine.Apply(command))
}

func (r *loadCluster) drain() {
	for {
		output := r.sched.Drain()
		r.findings = append(r.findings, output.Findings...)
		if len(output.Commands)+len(output.Calls) == 0 {
			return
		}
		for _, command := range output.Commands {
			r.apply(command)
		}
		for i := range output.Calls {
			r.call(&output.Calls[i])
		}
	}
}

func (r *loadCluster) call(call *Call) {
	worker := r.workers[call.Worker.Instance]
	if call.Kind == CallHold {
		if r.timesOut(call) {
			return
		}
		worker.asked++
		worker.hold = call
		asked := worker.asked
		wait := time.Duration(call.Hold.WaitMs) * time.Millisecond
		r.after(wait, func() {
			if worker.asked == asked && worker.hold != nil {
				r.answer(worker)
			}
		})
		return
	}
	if r.now < r.unsentUntil {
		r.sched.CallEnded(r.now, CallResult{ID: call.ID, Reply: workerapi.HoldReply{Outcome: workerapi.NotSent}})
		return
	}
	r.started++
	order := call.Start
	worker.running[order.Task] = workerapi.RunningTask{Task: order.Task, Attempt: order.Attempt}
	r.sched.CallEnded(r.now, CallResult{ID: call.ID, Reply: workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: r.now.Milliseconds()}})
	r.after(4*time.Second+time.Duration(r.started%500)*time.Millisecond, func() { r.finish(worker, order.Task) })
}

func (r *loadCluster) finish(worker *loadWorker, task string) {
	delete(worker.running, task)
	worker.number++
	worker.finished = append(worker.finished, workerapi.FinishedTask{N: worker.number, Task: task, Attempt: 1, How: workerapi.EndDone})
	if worker.hold != nil {
		r.answer(worker)
	}
}

func (r *loadCluster) answer(worker *loadWorker) {
	call := worker.hold
	worker.hold = nil
	for len(worker.finished) > 0 && worker.finished[0].N <= call.Hold.LastSeen {
		worker.finished = worker.finished[1:]
	}
	reply := workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: r.now.Milliseconds(), Finished: worker.finished}
	for _, task := range worker.running {
		task.Percent = int(r.now/time.Second) % 100
		reply.Running = append(reply.Running, task)
	}
	r.sched.CallEnded(r.now, CallResult{ID: call.ID, Reply: reply})
	r.drain()
}

func (r *loadCluster) run(until time.Duration) {
	for len(r.events) > 0 && r.events[0].at <= until {
		next := heap.Pop(&r.events).(event)
		r.now = next.at
		next.act()
	}
	r.now = until
	r.sched.Tick(r.now)
	r.drain()
}

// BenchmarkLargeCluster simulates a second of a large cluster in which 20 jobs of 40 tasks each are submitted and end.
func BenchmarkLargeCluster(b *testing.B) {
	for _, workers := range []int{530, 2300} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			r := newLoadCluster(workers, 40, 4*time.Second)
			second := func() {
				for range 20 {
					r.submit()
					r.run(r.now + 50*time.Millisecond)
				}
			}
			for range 6 {
				second()
			}
			b.ReportAllocs()
			started := r.started
			for b.Loop() {
				second()
			}
			b.ReportMetric(float64(r.started-started)/float64(b.N), "starts/op")
		})
	}
}

// BenchmarkDrain measures a Drain while 2,000 tasks run, 40 steps are queued, and capacity was freed on one worker.
func BenchmarkDrain(b *testing.B) {
	const workers, tasks, running, queued = 200, 50, 40, 40
	r := newLoadCluster(workers, tasks, 4*time.Second)
	r.run(r.now + time.Second) // lets the workers answer
	for range running + queued {
		r.submit()
	}
	if r.started != running*tasks {
		b.Fatalf("%d tasks run", r.started)
	}
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		r.sched.capacityFreed(r.sched.workers[fmt.Sprintf("i-%06d", number%workers)])
		r.drain()
	}
}
