package decisionlab

import (
	"time"

	"gaugeslip/internal/system/scheduler"
	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

const (
	// service is the name of the service of all workers.
	service = "service"
	// unixZeroMs is the Unix time at time 0 of the world, in milliseconds.
	unixZeroMs    = 1_700_000_000_000
	listInterval  = 900 * time.Millisecond
	clockInterval = time.Second
	// submitRetryDelay is how long a client waits before it submits again while there is no head.
	submitRetryDelay = 200 * time.Millisecond
	// maxCalls limits the pending calls to workers.
	maxCalls = 4096
)

// simulatedHead runs the project's scheduler. It commits the commands and executes the calls after delays.
type simulatedHead struct {
	*world
	machine   *state.Machine
	scheduler *scheduler.Scheduler
	token     uint64
	// lastCommit is the commit time of the last pending command. Commands are committed in order.
	lastCommit time.Duration
	wakeAt     time.Duration
}

// playScheduler plays a day with the project's scheduler.
func playScheduler(day *Day, delaySeed uint64) Result {
	h := &simulatedHead{world: newWorld(day, delaySeed), machine: state.New()}
	for _, w := range h.workers {
		w.agent = newAgent(w)
	}
	h.startHead()
	for _, job := range day.Jobs {
		h.schedule(dayStart+job.At, func() { h.after(h.callDelay(), func() { h.submitJob(job) }) })
	}
	h.scheduleTroubles(h.setHeadDown)
	h.run()
	return h.result
}

// startHead creates a scheduler from the replicated state.
func (h *simulatedHead) startHead() {
	h.token++
	h.scheduler = scheduler.New(scheduler.Options{Token: h.token, Machine: h.machine, MaxCalls: maxCalls, Bounds: h.bounds}, h.now)
	h.lastCommit, h.wakeAt = h.now, 0
	h.readClock(h.scheduler)
	h.readList(h.scheduler)
}

// setHeadDown stops the head or starts the next one.
func (h *simulatedHead) setHeadDown(down bool) {
	if down {
		h.scheduler = nil
		return
	}
	h.startHead()
}

func (h *simulatedHead) readClock(from *scheduler.Scheduler) {
	if h.scheduler != from {
		return
	}
	h.scheduler.WallClock(h.now, unixZeroMs+h.now.Milliseconds())
	h.drain()
	h.after(clockInterval, func() { h.readClock(from) })
}

func (h *simulatedHead) readList(from *scheduler.Scheduler) {
	if h.scheduler != from {
		return
	}
	var list []workerapi.Instance
	for _, w := range h.workers {
		if w.up {
			list = append(list, w.agent.listEntry())
		}
	}
	h.scheduler.Listed(h.now, list)
	h.drain()
	h.after(listInterval, func() { h.readList(from) })
}

// submitJob submits a job. Without a head the client retries.
func (h *simulatedHead) submitJob(job *Job) {
	if h.scheduler == nil {
		h.after(submitRetryDelay, func() { h.submitJob(job) })
		return
	}
	body, err := job.Spec.Encode()
	if err != nil {
		panic(err) // a day draws jobs that can be encoded
	}
	class := job.Class
	h.commit(state.Command{Kind: state.KindJobAccepted, JobAccepted: &state.JobAccepted{ID: job.ID, Route: class.Name, Service: service,
		Priority: class.Priority, MaxRetries: class.Retries, Extension: class.Extension, TargetLatencyMs: class.TargetMs,
		AcceptedMs: unixZeroMs + h.now.Milliseconds(), Body: body}})
}

// commit applies a command once it is committed. If its head is gone by then, the command is dropped, and a client submits its job again.
func (h *simulatedHead) commit(command state.Command) {
	from := h.scheduler
	h.lastCommit = max(h.lastCommit, h.now+h.commitDelay())
	h.schedule(h.lastCommit, func() {
		if h.scheduler != from {
			if accepted := command.JobAccepted; accepted != nil {
				h.submitJob(h.day.Jobs[accepted.ID-1])
			}
			return
		}
		result := h.machine.Apply(command)
		h.recordFinished(&result)
		h.scheduler.Applied(h.now, result)
		h.drain()
	})
}

// recordFinished records the jobs that have finished.
func (h *simulatedHead) recordFinished(result *state.Result) {
	for _, finished := range result.Finished {
		job := h.day.Jobs[finished.ID-1]
		if finished.State == state.Completed {
			h.completed(job)
		} else {
			h.failed(job)
		}
	}
}

// drain executes the scheduler's output.
func (h *simulatedHead) drain() {
	output := h.scheduler.Drain()
	for _, command := range output.Commands {
		h.commit(command)
	}
	for i := range output.Calls {
		h.call(&output.Calls[i])
	}
	for i := range output.Late {
		h.result.addLate(&output.Late[i])
	}
	h.wake(output.Wake)
}

// wake schedules a tick of the scheduler at the time that it requested.
func (h *simulatedHead) wake(at time.Duration) {
	if at <= 0 || at == h.wakeAt {
		return
	}
	h.wakeAt = at
	from := h.scheduler
	h.schedule(max(at, h.now+time.Millisecond), func() {
		if h.scheduler == from && h.wakeAt == at {
			h.wakeAt = 0
			h.scheduler.Tick(h.now)
			h.drain()
		}
	})
}

// call makes a call. It ends with its answer or its time-out.
func (h *simulatedHead) call(call *scheduler.Call) {
	from, ended := h.scheduler, false
	end := func(reply workerapi.HoldReply) {
		if ended || h.scheduler != from {
			return
		}
		ended = true
		h.scheduler.CallEnded(h.now, scheduler.CallResult{ID: call.ID, Reply: reply})
		h.drain()
	}
	h.after(call.Timeout, func() { end(workerapi.HoldReply{Outcome: workerapi.Unknown}) })
	to := h.workerAt(call.Worker.Address)
	h.after(h.callDelay(), func() {
		if !to.reachable() {
			return
		}
		to.agent.handle(call, func(reply workerapi.HoldReply) {
			if h.answerLost() {
				return
			}
			h.after(h.callDelay(), func() {
				if to.reachable() {
					end(reply)
				}
			})
		})
	})
}

// workerAt returns the worker with the address.
func (h *simulatedHead) workerAt(address string) *worker {
	index := 0
	for _, digit := range address[1:] {
		index = index*10 + int(digit-'0')
	}
	return h.workers[index]
}
