package decisionlab

import (
	"time"

	"gaugeslip/internal/system/scheduler"
	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

const (
	// service is the one that all workers serve.
	service = "service"
	// unixZeroMs is the time of day at the begin.
	unixZeroMs = 1_700_000_000_000
	listEvery  = 900 * time.Millisecond
	clockEvery = time.Second
	// submitAgain is how soon a client tries again while there is no head.
	submitAgain = 200 * time.Millisecond
	// callsAtOnce bounds the calls on workers that are out.
	callsAtOnce = 4096
)

// head plays the project's scheduler: its commands are committed and its calls carried out after delays.
type head struct {
	*world
	machine *state.Machine
	sched   *scheduler.Scheduler
	token   uint64
	// committedAt is when the last command on its way is committed; they keep their order.
	committedAt time.Duration
	wakeAt      time.Duration
}

// playScheduler plays a day with the scheduler.
func playScheduler(day *Day, luck uint64) Result {
	h := &head{world: newWorld(day, luck), machine: state.New()}
	for _, w := range h.workers {
		w.agent = newAgent(w)
	}
	h.elect()
	for _, job := range day.Jobs {
		h.at(begin+job.At, func() { h.after(h.callDelay(), func() { h.submit(job) }) })
	}
	h.trouble(h.lose)
	h.play()
	return h.result
}

// elect makes a new scheduler from the replicated state.
func (h *head) elect() {
	h.token++
	h.sched = scheduler.New(scheduler.Options{Token: h.token, Machine: h.machine, MaxCalls: callsAtOnce, Bounds: h.bounds}, h.now)
	h.committedAt, h.wakeAt = h.now, 0
	h.readClock(h.sched)
	h.readList(h.sched)
}

// lose takes the head away, or brings the next one.
func (h *head) lose(gone bool) {
	if gone {
		h.sched = nil
		return
	}
	h.elect()
}

func (h *head) readClock(from *scheduler.Scheduler) {
	if h.sched != from {
		return
	}
	h.sched.WallClock(h.now, unixZeroMs+h.now.Milliseconds())
	h.drain()
	h.after(clockEvery, func() { h.readClock(from) })
}

func (h *head) readList(from *scheduler.Scheduler) {
	if h.sched != from {
		return
	}
	var list []workerapi.Instance
	for _, w := range h.workers {
		if w.up {
			list = append(list, w.agent.listed())
		}
	}
	h.sched.Listed(h.now, list)
	h.drain()
	h.after(listEvery, func() { h.readList(from) })
}

// submit hands a job in; without a head its client tries again.
func (h *head) submit(job *Job) {
	if h.sched == nil {
		h.after(submitAgain, func() { h.submit(job) })
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

// commit has a command applied once it is committed. One whose head is gone by then never is, and a client hands its job in again.
func (h *head) commit(command state.Command) {
	from := h.sched
	h.committedAt = max(h.committedAt, h.now+h.commitDelay())
	h.at(h.committedAt, func() {
		if h.sched != from {
			if accepted := command.JobAccepted; accepted != nil {
				h.submit(h.day.Jobs[accepted.ID-1])
			}
			return
		}
		result := h.machine.Apply(command)
		h.note(&result)
		h.sched.Applied(h.now, result)
		h.drain()
	})
}

// note takes note of jobs that are over.
func (h *head) note(result *state.Result) {
	for _, finished := range result.Finished {
		job := h.day.Jobs[finished.ID-1]
		if finished.State == state.Completed {
			h.completed(job)
		} else {
			h.failed(job)
		}
	}
}

// drain carries out what the scheduler wants done.
func (h *head) drain() {
	output := h.sched.Drain()
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

// wake has the scheduler ticked when it wants to be.
func (h *head) wake(at time.Duration) {
	if at <= 0 || at == h.wakeAt {
		return
	}
	h.wakeAt = at
	from := h.sched
	h.at(max(at, h.now+time.Millisecond), func() {
		if h.sched == from && h.wakeAt == at {
			h.wakeAt = 0
			h.sched.Tick(h.now)
			h.drain()
		}
	})
}

// call makes a call; it ends with its answer, or with its time.
func (h *head) call(call *scheduler.Call) {
	from, ended := h.sched, false
	end := func(reply workerapi.HoldReply) {
		if ended || h.sched != from {
			return
		}
		ended = true
		h.sched.CallEnded(h.now, scheduler.CallResult{ID: call.ID, Reply: reply})
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

// workerAt gives the worker at an address.
func (h *head) workerAt(address string) *worker {
	index := 0
	for _, digit := range address[1:] {
		index = index*10 + int(digit-'0')
	}
	return h.workers[index]
}
