package decisionlab

import (
	"fmt"
	"slices"
	"time"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/scheduler"
	"gaugeslip/internal/system/workerapi"
)

// clockAhead is by how much the workers' clocks are ahead of the day's.
const clockAhead = 5 * time.Second

// stopLasts is how long a stop takes.
const stopLasts = 50 * time.Millisecond

// agent is what a worker shows to a scheduler: it takes starts, stops and holds as the protocol says, and lists what runs and what has ended.
type agent struct {
	worker    *worker
	life      int
	heldUntil time.Duration
	finished  []workerapi.FinishedTask
	number    uint64
	highest   map[string]int // attempts that have ended, by task
	waiting   []waitingHold
}

// waitingHold is a hold that waits for an end.
type waitingHold struct {
	reply    func(workerapi.HoldReply)
	answered *bool
}

func newAgent(w *worker) *agent {
	a := &agent{worker: w}
	a.renew()
	return a
}

// renew begins the agent of a new life.
func (a *agent) renew() {
	a.life, a.heldUntil, a.finished, a.number, a.waiting = a.worker.life, 0, nil, 0, nil
	a.highest = map[string]int{}
}

// instance names the worker's present life.
func (a *agent) instance() string { return fmt.Sprintf("w%04d-%d", a.worker.index, a.worker.life) }

// listed is the worker as the platform lists it.
func (a *agent) listed() workerapi.Instance {
	spec := a.worker.spec
	return workerapi.Instance{ID: a.instance(), Backend: service, Address: fmt.Sprintf("w%04d", a.worker.index), State: workerapi.StateReady,
		Labels: spec.Labels, Allocatable: workerapi.Allocatable{CPU: int(spec.Room.CPU), MemoryMB: int(spec.Room.MemoryMb)}}
}

func (a *agent) clockMs() int64 { return (a.worker.world.now + clockAhead).Milliseconds() }

// handle carries a call out that has arrived.
func (a *agent) handle(call *scheduler.Call, reply func(workerapi.HoldReply)) {
	if a.life != a.worker.life {
		a.renew()
	}
	if call.Worker.Instance != a.instance() {
		reply(workerapi.HoldReply{Outcome: workerapi.OtherInstance})
		return
	}
	switch call.Kind {
	case scheduler.CallStart:
		reply(workerapi.HoldReply{Outcome: a.start(&call.Start), ClockMs: a.clockMs()})
	case scheduler.CallStop:
		reply(workerapi.HoldReply{Outcome: a.stop(&call.Stop), ClockMs: a.clockMs()})
	default:
		a.hold(&call.Hold, reply)
	}
}

func (a *agent) start(order *workerapi.StartOrder) workerapi.Outcome {
	if a.find(order.Task, order.Attempt) != nil {
		return workerapi.Done
	}
	name, ok := a.worker.world.find(order.Task)
	switch {
	case !ok:
		return workerapi.BadRequest
	case order.Attempt <= a.highest[order.Task]:
		return workerapi.RefusedStale
	case a.clockMs() > order.DueAtMs:
		return workerapi.RefusedLate
	case !name.job.Steps[name.step].Need.fits(a.worker.free):
		return workerapi.RefusedCapacity
	}
	a.holdUntil(order.DueAtMs)
	a.worker.start(name, order.Attempt, func(r *run, how workerapi.EndReason) { a.ended(order.Task, r, how) })
	return workerapi.Done
}

// ended lists an end and answers the holds that wait for one.
func (a *agent) ended(task string, r *run, how workerapi.EndReason) {
	a.highest[task] = max(a.highest[task], r.attempt)
	a.number++
	a.finished = append(a.finished, workerapi.FinishedTask{N: a.number, Task: task, Attempt: r.attempt, How: how})
	waiting := a.waiting
	a.waiting = nil
	for _, hold := range waiting {
		a.answer(hold)
	}
}

func (a *agent) find(task string, attempt int) *run {
	for _, r := range a.worker.runs {
		if r.attempt == attempt && r.name.String() == task {
			return r
		}
	}
	return nil
}

func (a *agent) stop(order *workerapi.StopOrder) workerapi.Outcome {
	r := a.find(order.Task, order.Attempt)
	if r == nil {
		return workerapi.RefusedStale
	}
	a.worker.world.after(stopLasts, func() { a.worker.end(r, workerapi.EndStopped) })
	return workerapi.Done
}

// hold renews the hold, forgets ends that are taken note of, and answers once there is an end or the wait is over.
func (a *agent) hold(order *workerapi.HoldOrder, reply func(workerapi.HoldReply)) {
	a.holdUntil(order.DueAtMs)
	a.finished = slices.DeleteFunc(a.finished, func(end workerapi.FinishedTask) bool { return end.N <= order.LastSeen })
	waiting := waitingHold{reply: reply, answered: new(bool)}
	if order.WaitMs == 0 || len(a.finished) > 0 {
		a.answer(waiting)
		return
	}
	a.waiting = append(a.waiting, waiting)
	life := a.life
	a.worker.world.after(time.Duration(order.WaitMs)*time.Millisecond, func() {
		if a.life == life {
			a.answer(waiting)
		}
	})
}

func (a *agent) answer(hold waitingHold) {
	if *hold.answered {
		return
	}
	*hold.answered = true
	reply := workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: a.clockMs(), Finished: slices.Clone(a.finished)}
	for _, r := range a.worker.runs {
		done := float64(a.worker.world.now-r.began) / float64(max(r.lasts, 1))
		reply.Running = append(reply.Running, workerapi.RunningTask{Task: r.name.String(), Attempt: r.attempt, Percent: min(99, int(100*done))})
	}
	hold.reply(reply)
}

// holdUntil renews the hold of all that runs, and ends it all once no renewal has come.
func (a *agent) holdUntil(dueAtMs int64) {
	if dueAtMs == 0 {
		return
	}
	world := a.worker.world
	due := min(time.Duration(dueAtMs)*time.Millisecond-clockAhead, world.now+world.bounds.MaxHold())
	if due <= a.heldUntil {
		return
	}
	a.heldUntil = due
	life := a.life
	world.at(due+time.Millisecond, func() {
		if a.life == life && world.now > a.heldUntil {
			a.worker.endAll(workerapi.EndLapsed)
		}
	})
}

// String is the task's name on the wire.
func (n taskName) String() string {
	return jobspec.Task{Job: n.job.ID, Step: uint32(n.step), Index: uint32(n.task)}.String()
}

// find gives the task of that name.
func (w *world) find(text string) (taskName, bool) {
	name, ok := jobspec.ParseTask(text)
	index := int(name.Job) - 1
	if !ok || index < 0 || index >= len(w.day.Jobs) {
		return taskName{}, false
	}
	job := w.day.Jobs[index]
	if int(name.Step) >= len(job.Steps) || int(name.Index) >= len(job.Steps[name.Step].Tasks) {
		return taskName{}, false
	}
	return taskName{job, int(name.Step), int(name.Index)}, true
}
