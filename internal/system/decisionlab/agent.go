package decisionlab

import (
	"fmt"
	"slices"
	"time"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/scheduler"
	"gaugeslip/internal/system/workerapi"
)

// workerClockOffset is how far the workers' clocks are ahead of the world's time.
const workerClockOffset = 5 * time.Second

// stopDuration is how long a stop takes.
const stopDuration = 50 * time.Millisecond

// agent is a worker's side of the protocol with a scheduler. It executes starts, stops and holds, and lists the present and the ended runs.
type agent struct {
	worker        *worker
	incarnation   int
	heldUntil     time.Duration
	finished      []workerapi.FinishedTask
	lastNumber    uint64
	endedAttempts map[string]int // highest ended attempt of each task
	waiting       []waitingHold
}

// waitingHold is a hold that waits for the end of a run.
type waitingHold struct {
	reply    func(workerapi.HoldReply)
	answered *bool
}

func newAgent(w *worker) *agent {
	a := &agent{worker: w}
	a.reset()
	return a
}

// reset initializes the agent for the worker's present incarnation.
func (a *agent) reset() {
	a.incarnation, a.heldUntil, a.finished, a.lastNumber, a.waiting = a.worker.incarnation, 0, nil, 0, nil
	a.endedAttempts = map[string]int{}
}

// instance returns the ID of the worker's present instance.
func (a *agent) instance() string {
	return fmt.Sprintf("w%04d-%d", a.worker.index, a.worker.incarnation)
}

// listEntry returns the worker's entry in the platform's list.
func (a *agent) listEntry() workerapi.Instance {
	spec := a.worker.spec
	return workerapi.Instance{ID: a.instance(), Backend: service, Address: fmt.Sprintf("w%04d", a.worker.index), State: workerapi.StateReady,
		Labels: spec.Labels, Allocatable: workerapi.Allocatable{CPU: int(spec.Room.CPU), MemoryMB: int(spec.Room.MemoryMb)}}
}

func (a *agent) clockMs() int64 { return (a.worker.world.now + workerClockOffset).Milliseconds() }

// handle executes a call that has arrived.
func (a *agent) handle(call *scheduler.Call, reply func(workerapi.HoldReply)) {
	if a.incarnation != a.worker.incarnation {
		a.reset()
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
	name, ok := a.worker.world.findTask(order.Task)
	switch {
	case !ok:
		return workerapi.BadRequest
	case order.Attempt <= a.endedAttempts[order.Task]:
		return workerapi.RefusedStale
	case a.clockMs() > order.DueAtMs:
		return workerapi.RefusedLate
	case !name.job.Steps[name.step].Need.fitsIn(a.worker.free):
		return workerapi.RefusedCapacity
	}
	a.renewHold(order.DueAtMs)
	a.worker.start(name, order.Attempt, func(r *run, reason workerapi.EndReason) { a.listEnd(order.Task, r, reason) })
	return workerapi.Done
}

// listEnd lists an end and answers the holds that wait for one.
func (a *agent) listEnd(task string, r *run, reason workerapi.EndReason) {
	a.endedAttempts[task] = max(a.endedAttempts[task], r.attempt)
	a.lastNumber++
	a.finished = append(a.finished, workerapi.FinishedTask{N: a.lastNumber, Task: task, Attempt: r.attempt, How: reason})
	waiting := a.waiting
	a.waiting = nil
	for _, hold := range waiting {
		a.answerHold(hold)
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
	a.worker.world.after(stopDuration, func() { a.worker.end(r, workerapi.EndStopped) })
	return workerapi.Done
}

// hold renews the hold and removes the acknowledged ends. It answers once there is an end or the wait time has passed.
func (a *agent) hold(order *workerapi.HoldOrder, reply func(workerapi.HoldReply)) {
	a.renewHold(order.DueAtMs)
	a.finished = slices.DeleteFunc(a.finished, func(end workerapi.FinishedTask) bool { return end.N <= order.LastSeen })
	waiting := waitingHold{reply: reply, answered: new(bool)}
	if order.WaitMs == 0 || len(a.finished) > 0 {
		a.answerHold(waiting)
		return
	}
	a.waiting = append(a.waiting, waiting)
	incarnation := a.incarnation
	a.worker.world.after(time.Duration(order.WaitMs)*time.Millisecond, func() {
		if a.incarnation == incarnation {
			a.answerHold(waiting)
		}
	})
}

func (a *agent) answerHold(hold waitingHold) {
	if *hold.answered {
		return
	}
	*hold.answered = true
	reply := workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: a.clockMs(), Finished: slices.Clone(a.finished)}
	for _, r := range a.worker.runs {
		done := float64(a.worker.world.now-r.startedAt) / float64(max(r.duration, 1))
		reply.Running = append(reply.Running, workerapi.RunningTask{Task: r.name.String(), Attempt: r.attempt, Percent: min(99, int(100*done))})
	}
	hold.reply(reply)
}

// renewHold extends the hold of all present runs, and ends them if the hold lapses.
func (a *agent) renewHold(dueAtMs int64) {
	if dueAtMs == 0 {
		return
	}
	world := a.worker.world
	due := min(time.Duration(dueAtMs)*time.Millisecond-workerClockOffset, world.now+world.bounds.MaxHold())
	if due <= a.heldUntil {
		return
	}
	a.heldUntil = due
	incarnation := a.incarnation
	world.schedule(due+time.Millisecond, func() {
		if a.incarnation == incarnation && world.now > a.heldUntil {
			a.worker.endAll(workerapi.EndLapsed)
		}
	})
}

// String returns the task's name in the protocol.
func (n taskID) String() string {
	return jobspec.Task{Job: n.job.ID, Step: uint32(n.step), Index: uint32(n.task)}.String()
}

// findTask returns the task with that name.
func (w *world) findTask(text string) (taskID, bool) {
	name, ok := jobspec.ParseTask(text)
	index := int(name.Job) - 1
	if !ok || index < 0 || index >= len(w.day.Jobs) {
		return taskID{}, false
	}
	job := w.day.Jobs[index]
	if int(name.Step) >= len(job.Steps) || int(name.Index) >= len(job.Steps[name.Step].Tasks) {
		return taskID{}, false
	}
	return taskID{job, int(name.Step), int(name.Index)}, true
}
