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

// harness is a scheduler whose commands and calls are handled by hand.
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
	d := &harness{T: t, machine: state.New(), now: time.Second}
	d.replaceScheduler(1)
	return d
}

func (d *harness) replaceScheduler(token uint64) {
	options := Options{Token: token, Machine: d.machine, Bounds: nodesettings.DefaultBounds()}
	d.sched = New(options, d.now)
	d.sched.WallClock(d.now, d.unixMs())
	d.commands, d.calls = nil, nil
}

func (d *harness) unixMs() int64 { return simEpochUnixMs + d.now.Milliseconds() }

// clockMs is what all workers' clocks show.
func (d *harness) clockMs() int64 { return d.now.Milliseconds() + 5000 }

// drain collects what is to be done.
func (d *harness) drain() {
	output := d.sched.Drain()
	require.NoError(d, d.sched.Check())
	d.commands = append(d.commands, output.Commands...)
	d.calls = append(d.calls, output.Calls...)
	d.findings = append(d.findings, output.Findings...)
}

// advance lets time go by.
func (d *harness) advance(span time.Duration) {
	for end := d.now + span; d.now < end; {
		d.now = min(d.now+10*time.Millisecond, end)
		d.sched.Tick(d.now)
		d.drain()
	}
}

// commit commits all that is proposed, also what follows from that.
func (d *harness) commit() {
	d.drain()
	for len(d.commands) > 0 {
		command := d.commands[0]
		d.commands = d.commands[1:]
		d.sched.Applied(d.now, d.machine.Apply(command))
		d.drain()
	}
}

// apply commits a command that isn't the scheduler's.
func (d *harness) apply(command state.Command) {
	d.sched.Applied(d.now, d.machine.Apply(command))
	d.drain()
}

// listEntry is a worker as the platform lists it.
func listEntry(id string, cpu int, labels ...string) workerapi.Instance {
	room := workerapi.Allocatable{CPU: cpu, MemoryMB: 64000}
	return workerapi.Instance{
		ID: id, Backend: "farm", Address: id, State: workerapi.StateReady, Allocatable: room, Labels: labels,
	}
}

// list shows the list, and answers the first holds of all workers on it.
func (d *harness) list(instances ...workerapi.Instance) {
	d.sched.Listed(d.now, instances)
	d.drain()
	for _, instance := range instances {
		d.answerHold(instance.ID, nil, nil)
	}
}

// takeCall takes the call of a kind to a worker out of those that are to be made.
func (d *harness) takeCall(kind CallKind, worker string) (Call, bool) {
	for i, made := range d.calls {
		if made.Kind == kind && made.Worker.Instance == worker {
			d.calls = append(d.calls[:i:i], d.calls[i+1:]...)
			return made, true
		}
	}
	return Call{}, false
}

func (d *harness) mustTakeCall(kind CallKind, worker string) Call {
	d.Helper()
	made, found := d.takeCall(kind, worker)
	require.True(d, found, "no call of kind %d to %s among %v", kind, worker, d.calls)
	return made
}

func (d *harness) countCalls(kind CallKind) int {
	count := 0
	for _, made := range d.calls {
		if made.Kind == kind {
			count++
		}
	}
	return count
}

func (d *harness) endCall(made Call, reply workerapi.HoldReply) {
	d.sched.CallEnded(d.now, CallResult{ID: made.ID, Reply: reply})
	d.drain()
}

func (d *harness) answerCall(made Call, outcome workerapi.Outcome) {
	reply := workerapi.HoldReply{Outcome: outcome}
	if outcome.Answered() {
		reply.ClockMs = d.clockMs()
	}
	d.endCall(made, reply)
}

// answerHold answers the hold that is out to a worker with its lists.
func (d *harness) answerHold(worker string, running []workerapi.RunningTask, finished []workerapi.FinishedTask) Call {
	d.Helper()
	made := d.mustTakeCall(CallHold, worker)
	reply := workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: d.clockMs(), Running: running, Finished: finished}
	d.endCall(made, reply)
	return made
}

func running(made Call, percent int) []workerapi.RunningTask {
	return []workerapi.RunningTask{{Task: made.Start.Task, Attempt: made.Start.Attempt, Percent: percent}}
}

func finished(n uint64, made Call, how workerapi.How) []workerapi.FinishedTask {
	return []workerapi.FinishedTask{{N: n, Task: made.Start.Task, Attempt: made.Start.Attempt, How: how}}
}

// submit takes a job into custody.
func (d *harness) submit(stages ...jobspec.Stage) state.JobID {
	return d.submitSpec(&jobspec.Spec{Text: "text", Stages: stages})
}

func (d *harness) submitSpec(spec *jobspec.Spec) state.JobID {
	d.jobs++
	body, err := spec.Encode()
	require.NoError(d, err)
	id := state.JobID(d.jobs)
	d.apply(state.Command{Kind: state.KindJobAccepted, JobAccepted: &state.JobAccepted{
		ID: id, Route: "route", Service: "farm", Priority: 1, MaxRetries: 3, Extension: 2, TargetLatencyMs: 1000,
		AcceptedMs: d.unixMs(), Body: body,
	}})
	return id
}

func stage(count int, cpu int64, estimated time.Duration) jobspec.Stage {
	return jobspec.Stage{Count: count, CPU: cpu, MemoryMb: 100, Estimated: estimated}
}

func (d *harness) cancel(id state.JobID) {
	d.apply(state.Command{Kind: state.KindJobCancelled, JobCancelled: &state.JobCancelled{ID: id, AtMs: d.unixMs()}})
}

// acceptStart has a worker take the start that was ordered.
func (d *harness) acceptStart(worker string) Call {
	d.Helper()
	made := d.mustTakeCall(CallStart, worker)
	d.answerCall(made, workerapi.Done)
	d.answerResends(made, workerapi.Done)
	return made
}

// answerResends answers further sendings of a start.
func (d *harness) answerResends(made Call, outcome workerapi.Outcome) {
	for i := 0; i < len(d.calls); i++ {
		again := d.calls[i]
		if again.Kind != CallStart || again.Start != made.Start || again.Worker != made.Worker {
			continue
		}
		d.calls = append(d.calls[:i:i], d.calls[i+1:]...)
		i--
		d.answerCall(again, outcome)
	}
}
