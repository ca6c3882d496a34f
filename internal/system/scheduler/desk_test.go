package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/nodesettings"
	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

// harness runs a scheduler whose commands and calls the test handles itself.
type harness struct {
	*testing.T
	machine  *state.Machine
	sched    *Scheduler
	now      time.Duration
	jobs     uint64
	commands []state.Command
	calls    []Call
	findings []Finding
}

func newHarness(t *testing.T) *harness {
	h := &harness{T: t, machine: state.New(), now: time.Second}
	h.replaceScheduler(1)
	return h
}

func (h *harness) replaceScheduler(token uint64) {
	options := Options{Token: token, Machine: h.machine, Bounds: nodesettings.DefaultBounds()}
	h.sched = New(options, h.now)
	h.sched.WallClock(h.now, h.unixMs())
	h.commands, h.calls = nil, nil
}

func (h *harness) unixMs() int64 { return simEpochUnixMs + h.now.Milliseconds() }

// clockMs returns the clock reading of all workers.
func (h *harness) clockMs() int64 { return h.now.Milliseconds() + 5000 }

// drain collects the scheduler's output and checks its invariants.
func (h *harness) drain() {
	output := h.sched.Drain()
	require.NoError(h, h.sched.Check())
	h.commands = append(h.commands, output.Commands...)
	h.calls = append(h.calls, output.Calls...)
	h.findings = append(h.findings, output.Findings...)
}

// advance moves the time forward in small ticks.
func (h *harness) advance(span time.Duration) {
	for end := h.now + span; h.now < end; {
		h.now = min(h.now+10*time.Millisecond, end)
		h.sched.Tick(h.now)
		h.drain()
	}
}

// commit commits all proposed commands, including those that follow from them.
func (h *harness) commit() {
	h.drain()
	for len(h.commands) > 0 {
		command := h.commands[0]
		h.commands = h.commands[1:]
		h.sched.Applied(h.now, h.machine.Apply(command))
		h.drain()
	}
}

// apply commits a command that the scheduler did not propose.
func (h *harness) apply(command state.Command) {
	h.sched.Applied(h.now, h.machine.Apply(command))
	h.drain()
}

// listEntry returns a worker as the platform lists it.
func listEntry(id string, cpu int, labels ...string) workerapi.Instance {
	room := workerapi.Allocatable{CPU: cpu, MemoryMB: 64000}
	return workerapi.Instance{
		ID: id, Backend: "farm", Address: id, State: workerapi.StateReady, Allocatable: room, Labels: labels,
	}
}

// list passes the platform's list to the scheduler and answers the first hold of each worker on it.
func (h *harness) list(instances ...workerapi.Instance) {
	h.sched.Listed(h.now, instances)
	h.drain()
	for _, instance := range instances {
		h.answerHold(instance.ID, nil, nil)
	}
}

// takeCall removes and returns the first queued call of a kind to a worker.
func (h *harness) takeCall(kind CallKind, worker string) (Call, bool) {
	for i, call := range h.calls {
		if call.Kind == kind && call.Worker.Instance == worker {
			h.calls = append(h.calls[:i:i], h.calls[i+1:]...)
			return call, true
		}
	}
	return Call{}, false
}

func (h *harness) mustTakeCall(kind CallKind, worker string) Call {
	h.Helper()
	call, found := h.takeCall(kind, worker)
	require.True(h, found, "no call of kind %d to %s among %v", kind, worker, h.calls)
	return call
}

func (h *harness) countCalls(kind CallKind) int {
	count := 0
	for _, call := range h.calls {
		if call.Kind == kind {
			count++
		}
	}
	return count
}

func (h *harness) endCall(call Call, reply workerapi.HoldReply) {
	h.sched.CallEnded(h.now, CallResult{ID: call.ID, Reply: reply})
	h.drain()
}

func (h *harness) answerCall(call Call, outcome workerapi.Outcome) {
	reply := workerapi.HoldReply{Outcome: outcome}
	if outcome.Answered() {
		reply.ClockMs = h.clockMs()
	}
	h.endCall(call, reply)
}

// answerHold answers the outstanding hold to a worker with the given lists.
func (h *harness) answerHold(worker string, running []workerapi.RunningTask, finished []workerapi.FinishedTask) Call {
	h.Helper()
	call := h.mustTakeCall(CallHold, worker)
	reply := workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: h.clockMs(), Running: running, Finished: finished}
	h.endCall(call, reply)
	return call
}

func running(call Call, percent int) []workerapi.RunningTask {
	return []workerapi.RunningTask{{Task: call.Start.Task, Attempt: call.Start.Attempt, Percent: percent}}
}

func finished(n uint64, call Call, how workerapi.EndReason) []workerapi.FinishedTask {
	return []workerapi.FinishedTask{{N: n, Task: call.Start.Task, Attempt: call.Start.Attempt, How: how}}
}

// submit commits the acceptance of a job.
func (h *harness) submit(stages ...jobspec.Stage) state.JobID {
	return h.submitSpec(&jobspec.Spec{Text: "text", Stages: stages})
}

func (h *harness) submitSpec(spec *jobspec.Spec) state.JobID {
	h.jobs++
	body, err := spec.Encode()
	require.NoError(h, err)
	id := state.JobID(h.jobs)
	h.apply(state.Command{Kind: state.KindJobAccepted, JobAccepted: &state.JobAccepted{
		ID: id, Route: "route", Service: "farm", Priority: 1, MaxRetries: 3, Extension: 2, TargetLatencyMs: 1000,
		AcceptedMs: h.unixMs(), Body: body,
	}})
	return id
}

func stage(count int, cpu int64, estimated time.Duration) jobspec.Stage {
	return jobspec.Stage{Count: count, CPU: cpu, MemoryMb: 100, Estimated: estimated}
}

func (h *harness) cancel(id state.JobID) {
	h.apply(state.Command{Kind: state.KindJobCancelled, JobCancelled: &state.JobCancelled{ID: id, AtMs: h.unixMs()}})
}

// acceptStart has a worker accept the start that was ordered, including its resends.
func (h *harness) acceptStart(worker string) Call {
	h.Helper()
	call := h.mustTakeCall(CallStart, worker)
	h.answerCall(call, workerapi.Done)
	h.answerResends(call, workerapi.Done)
	return call
}

// answerResends answers further sendings of a start.
func (h *harness) answerResends(call Call, outcome workerapi.Outcome) {
	for i := 0; i < len(h.calls); i++ {
		again := h.calls[i]
		if again.Kind != CallStart || again.Start != call.Start || again.Worker != call.Worker {
			continue
		}
		h.calls = append(h.calls[:i:i], h.calls[i+1:]...)
		i--
		h.answerCall(again, outcome)
	}
}
