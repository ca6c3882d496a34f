package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

// countProposed counts the proposed commands of a kind.
func (d *harness) countProposed(kind state.Kind) int {
	count := 0
	for _, command := range d.commands {
		if command.Kind == kind {
			count++
		}
	}
	return count
}

// answerHoldIfOut answers the hold that is out to a worker, if any is, with its lists.
func (d *harness) answerHoldIfOut(worker string, running []workerapi.RunningTask, finished []workerapi.FinishedTask) {
	if made, out := d.takeCall(CallHold, worker); out {
		d.endCall(made, workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: d.clockMs(), Running: running, Finished: finished})
	}
}

func gangOf(count int) jobspec.Stage {
	gang := stage(count, 1000, 2*time.Second)
	gang.Gang = true
	return gang
}

func TestStartIsNotSentToWorkerThatBeganDraining(t *testing.T) {
	d := newHarness(t)
	leaving := listEntry("w", 4000)
	d.list(leaving)
	d.submit(stage(1, 1000, time.Second))
	leaving.State = workerapi.StateDraining
	d.sched.Listed(d.now, []workerapi.Instance{leaving})
	d.commit()
	require.Zero(t, d.countCalls(CallStart))
	require.Empty(t, d.machine.Worker("w").Runs, "it is voided")
}

// Whatever was asked of a worker before it fell silent has to be over when its runs are given up.
func TestWorkerLossIsProposedAfterItsLatestDueTime(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	d.submit(stage(1, 1000, time.Hour))
	d.commit()
	made := d.acceptStart("w")
	due := made.Start.DueAtMs
	for range 40 {
		d.advance(400 * time.Millisecond)
		if hold, out := d.takeCall(CallHold, "w"); out {
			due = max(due, hold.Hold.DueAtMs)
			d.endCall(hold, workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: d.clockMs(), Running: running(made, 1)})
		}
	}
	for d.countProposed(state.KindWorkerLost) == 0 {
		if hold, out := d.takeCall(CallHold, "w"); out {
			due = max(due, hold.Hold.DueAtMs)
			d.answerCall(hold, workerapi.Unknown)
		}
		d.advance(10 * time.Millisecond)
	}
	require.Greater(t, d.clockMs(), due)
}

func TestNewHeadWaitsForHoldsOfItsPredecessor(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	d.submit(stage(1, 1000, time.Hour))
	d.commit()
	d.acceptStart("w")
	d.replaceScheduler(2)
	elected := d.now
	d.sched.Listed(d.now, []workerapi.Instance{listEntry("w", 4000)})
	for d.countProposed(state.KindWorkerLost) == 0 {
		if hold, out := d.takeCall(CallHold, "w"); out {
			d.answerCall(hold, workerapi.Unknown)
		}
		d.advance(10 * time.Millisecond)
	}
	require.Greater(t, d.now-elected, d.sched.bounds.MaxHold())
}

func TestRefusalDoesNotDecideAResendInFlight(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	d.advance(d.sched.latency.hedgeDelay() + 10*time.Millisecond)
	require.Equal(t, 2, d.countCalls(CallStart))
	d.answerCall(d.mustTakeCall(CallStart, "w"), workerapi.NotSent)
	require.Zero(t, d.countProposed(state.KindStartsVoided))
	d.answerCall(d.mustTakeCall(CallStart, "w"), workerapi.Done)
	d.commit()
	require.Zero(t, d.countCalls(CallStart))
}

func TestListingARunResetsItsAbsence(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	d.submit(stage(1, 1000, time.Minute))
	d.commit()
	made := d.acceptStart("w")
	for _, there := range []bool{true, false, true, false} {
		d.advance(time.Second)
		if there {
			d.answerHoldIfOut("w", running(made, 1), nil)
		} else {
			d.answerHoldIfOut("w", nil, nil)
		}
	}
	require.Zero(t, d.countProposed(state.KindStartsVoided))
}

func TestTruncatedListOfEndsDoesNotVoidRuns(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	d.submit(stage(1, 1000, time.Minute))
	d.commit()
	d.acceptStart("w")
	var ends []workerapi.FinishedTask
	for n := range workerapi.MaxFinished {
		task := fmt.Sprintf("00000000000000ff.0.0.%d", n)
		ends = append(ends, workerapi.FinishedTask{N: uint64(n + 1), Task: task, Attempt: 1, How: workerapi.HowStopped})
	}
	for range 5 {
		d.advance(time.Second)
		d.answerHoldIfOut("w", nil, ends)
	}
	require.Zero(t, d.countProposed(state.KindStartsVoided))
}

func TestOlderListArrivingLaterIsIgnored(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	d.submit(stage(1, 1000, time.Minute))
	d.commit()
	made := d.acceptStart("w")
	d.sched.latency.lossyUntil = d.now + time.Hour
	d.advance(earlyAnswer)
	d.answerHoldIfOut("w", running(made, 1), nil)
	require.Equal(t, 2, d.countCalls(CallHold))
	older := d.clockMs()
	d.advance(earlyAnswer)
	d.answerHoldIfOut("w", nil, finished(1, made, workerapi.HowDone))
	d.commit()
	d.endCall(d.mustTakeCall(CallHold, "w"), workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: older, Running: running(made, 1)})
	require.Empty(t, d.sched.workers["w"].runs)
	require.Zero(t, d.countCalls(CallStop))
}

func TestNothingStartsOnWorkerWhoseLossIsProposed(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	d.sched.proposeLoss(d.sched.workers["w"])
	d.submit(stage(1, 1000, time.Second))
	require.Zero(t, d.countProposed(state.KindTasksStarting))
}

// startGangOnTwo has a gang of two started on two workers.
func (d *harness) startGangOnTwo() {
	d.list(listEntry("w1", 1000), listEntry("w2", 1000))
	d.submit(gangOf(2))
	d.commit()
	require.Len(d, d.startWorkers(), 2)
}

func TestGangIsStoppedWhenAMemberIsLost(t *testing.T) {
	d := newHarness(t)
	d.startGangOnTwo()
	d.acceptStart("w1")
	d.acceptStart("w2")
	d.answerCall(d.mustTakeCall(CallHold, "w2"), workerapi.OtherLife)
	d.commit()
	d.mustTakeCall(CallStop, "w1")
	require.Zero(t, d.countProposed(state.KindTasksStarting))
}

func TestGangIsStoppedWhenAStartIsInDoubt(t *testing.T) {
	d := newHarness(t)
	d.startGangOnTwo()
	d.acceptStart("w1")
	d.answerCall(d.mustTakeCall(CallStart, "w2"), workerapi.Unknown)
	d.mustTakeCall(CallStop, "w1")
}

func TestGangRestartsWithANewAttemptNumber(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w1", 1000), listEntry("w2", 1000), listEntry("w3", 1000), listEntry("w4", 1000))
	d.submit(gangOf(2))
	d.commit()
	for _, worker := range d.startWorkers() {
		d.answerCall(d.mustTakeCall(CallStart, worker), workerapi.NotSent)
	}
	for range 20 { // not to the end, which a gang that is refused again and again has none of
		d.drain()
		if len(d.commands) > 0 {
			command := d.commands[0]
			d.commands = d.commands[1:]
			d.sched.Applied(d.now, d.machine.Apply(command))
		}
	}
	starts := d.startWorkers()
	require.Len(t, starts, 2)
	for _, worker := range starts {
		require.Equal(t, 2, d.mustTakeCall(CallStart, worker).Start.Attempt)
	}
}

func TestStepWaitsForEveryDependency(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	last := stage(1, 1000, time.Second)
	last.DependsOn = []int{0, 1}
	d.submit(stage(1, 1000, time.Second), stage(1, 1000, time.Minute), last)
	d.commit()
	require.Equal(t, 2, d.countCalls(CallStart))
	first := d.acceptStart("w")
	d.answerHoldIfOut("w", nil, finished(1, first, workerapi.HowDone))
	d.drain()
	require.Equal(t, 1, d.countProposed(state.KindTasksEnded))
	command := d.commands[0]
	d.commands = nil
	d.sched.Applied(d.now, d.machine.Apply(command))
	d.drain()
	require.Zero(t, d.countProposed(state.KindTasksStarting))
}

func TestStopIsResentUntilTheRunIsGone(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	id := d.submit(stage(1, 1000, time.Minute))
	d.commit()
	made := d.acceptStart("w")
	d.cancel(id)
	for range 3 {
		d.answerCall(d.mustTakeCall(CallStop, "w"), workerapi.Done)
		d.answerHoldIfOut("w", running(made, 1), nil)
		d.advance(d.sched.bounds.Stop() + maxRetry + 10*time.Millisecond)
	}
}

func TestNoHoldIsSentToAnEndedInstance(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	d.advance(time.Second)
	d.answerCall(d.mustTakeCall(CallHold, "w"), workerapi.OtherLife)
	d.advance(10 * time.Second)
	require.Zero(t, d.countCalls(CallHold))
}

func TestAllOrdersCarryTheFencingToken(t *testing.T) {
	d := newHarness(t)
	d.replaceScheduler(9)
	d.list(listEntry("w", 4000))
	id := d.submit(stage(1, 1000, time.Minute))
	d.commit()
	require.EqualValues(t, 9, d.acceptStart("w").Start.FenceToken)
	d.cancel(id)
	require.EqualValues(t, 9, d.mustTakeCall(CallStop, "w").Stop.FenceToken)
	d.advance(time.Second)
	require.EqualValues(t, 9, d.mustTakeCall(CallHold, "w").Hold.FenceToken)
}

// A look that was sent before the worker told of a run isn't the first of the two that show that it is gone.
func TestHoldSentBeforeARunStartedDoesNotShowItsAbsence(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	d.advance(time.Second)
	d.submit(stage(1, 1000, time.Minute))
	d.advance(10 * time.Millisecond)
	d.commit()
	d.advance(10 * time.Millisecond)
	d.acceptStart("w")
	d.answerHoldIfOut("w", nil, nil)
	d.advance(time.Second)
	for range d.countCalls(CallHold) {
		d.answerHoldIfOut("w", nil, nil)
	}
	require.Zero(t, d.countProposed(state.KindStartsVoided))
}
