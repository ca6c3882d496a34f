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
func (h *harness) countProposed(kind state.Kind) int {
	count := 0
	for _, command := range h.commands {
		if command.Kind == kind {
			count++
		}
	}
	return count
}

// answerHoldIfOut answers the outstanding hold to a worker, if there is one, with the given lists.
func (h *harness) answerHoldIfOut(worker string, running []workerapi.RunningTask, finished []workerapi.FinishedTask) {
	if call, out := h.takeCall(CallHold, worker); out {
		h.endCall(call, workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: h.clockMs(), Running: running, Finished: finished})
	}
}

func gangOf(count int) jobspec.Stage {
	gang := stage(count, 1000, 2*time.Second)
	gang.Gang = true
	return gang
}

func TestStartIsNotSentToWorkerThatBeganDraining(t *testing.T) {
	h := newHarness(t)
	leaving := listEntry("w", 4000)
	h.list(leaving)
	h.submit(stage(1, 1000, time.Second))
	leaving.State = workerapi.StateDraining
	h.sched.Listed(h.now, []workerapi.Instance{leaving})
	h.commit()
	require.Zero(t, h.countCalls(CallStart))
	require.Empty(t, h.machine.Worker("w").Runs, "the start is voided")
}

// Every due time sent to a worker before it became silent must have passed when its runs are given up.
func TestWorkerLossIsProposedAfterItsLatestDueTime(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	h.submit(stage(1, 1000, time.Hour))
	h.commit()
	call := h.acceptStart("w")
	due := call.Start.DueAtMs
	for range 40 {
		h.advance(400 * time.Millisecond)
		if hold, out := h.takeCall(CallHold, "w"); out {
			due = max(due, hold.Hold.DueAtMs)
			h.endCall(hold, workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: h.clockMs(), Running: running(call, 1)})
		}
	}
	for h.countProposed(state.KindWorkerLost) == 0 {
		if hold, out := h.takeCall(CallHold, "w"); out {
			due = max(due, hold.Hold.DueAtMs)
			h.answerCall(hold, workerapi.Unknown)
		}
		h.advance(10 * time.Millisecond)
	}
	require.Greater(t, h.clockMs(), due)
}

func TestNewHeadWaitsForHoldsOfItsPredecessor(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	h.submit(stage(1, 1000, time.Hour))
	h.commit()
	h.acceptStart("w")
	h.replaceScheduler(2)
	elected := h.now
	h.sched.Listed(h.now, []workerapi.Instance{listEntry("w", 4000)})
	for h.countProposed(state.KindWorkerLost) == 0 {
		if hold, out := h.takeCall(CallHold, "w"); out {
			h.answerCall(hold, workerapi.Unknown)
		}
		h.advance(10 * time.Millisecond)
	}
	require.Greater(t, h.now-elected, h.sched.bounds.MaxHold())
}

func TestRefusalDoesNotDecideAResendInFlight(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	h.submit(stage(1, 1000, time.Second))
	h.commit()
	h.advance(h.sched.latency.hedgeDelay() + 10*time.Millisecond)
	require.Equal(t, 2, h.countCalls(CallStart))
	h.answerCall(h.mustTakeCall(CallStart, "w"), workerapi.NotSent)
	require.Zero(t, h.countProposed(state.KindStartsVoided))
	h.answerCall(h.mustTakeCall(CallStart, "w"), workerapi.Done)
	h.commit()
	require.Zero(t, h.countCalls(CallStart))
}

func TestListingARunResetsItsAbsence(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	h.submit(stage(1, 1000, time.Minute))
	h.commit()
	call := h.acceptStart("w")
	for _, listed := range []bool{true, false, true, false} {
		h.advance(time.Second)
		if listed {
			h.answerHoldIfOut("w", running(call, 1), nil)
		} else {
			h.answerHoldIfOut("w", nil, nil)
		}
	}
	require.Zero(t, h.countProposed(state.KindStartsVoided))
}

func TestTruncatedListOfEndsDoesNotVoidRuns(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	h.submit(stage(1, 1000, time.Minute))
	h.commit()
	h.acceptStart("w")
	var ends []workerapi.FinishedTask
	for n := range workerapi.MaxFinished {
		task := fmt.Sprintf("00000000000000ff.0.0.%d", n)
		ends = append(ends, workerapi.FinishedTask{N: uint64(n + 1), Task: task, Attempt: 1, How: workerapi.EndStopped})
	}
	for range 5 {
		h.advance(time.Second)
		h.answerHoldIfOut("w", nil, ends)
	}
	require.Zero(t, h.countProposed(state.KindStartsVoided))
}

func TestOlderListArrivingLaterIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	h.submit(stage(1, 1000, time.Minute))
	h.commit()
	call := h.acceptStart("w")
	h.sched.latency.lossyUntil = h.now + time.Hour
	h.advance(earlyAnswer)
	h.answerHoldIfOut("w", running(call, 1), nil)
	require.Equal(t, 2, h.countCalls(CallHold))
	older := h.clockMs()
	h.advance(earlyAnswer)
	h.answerHoldIfOut("w", nil, finished(1, call, workerapi.EndDone))
	h.commit()
	h.endCall(h.mustTakeCall(CallHold, "w"), workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: older, Running: running(call, 1)})
	require.Empty(t, h.sched.workers["w"].runs)
	require.Zero(t, h.countCalls(CallStop))
}

func TestNothingStartsOnWorkerWhoseLossIsProposed(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	h.sched.proposeLoss(h.sched.workers["w"])
	h.submit(stage(1, 1000, time.Second))
	require.Zero(t, h.countProposed(state.KindTasksStarting))
}

// startGangOnTwo submits a gang of two that starts on two workers.
func (h *harness) startGangOnTwo() {
	h.list(listEntry("w1", 1000), listEntry("w2", 1000))
	h.submit(gangOf(2))
	h.commit()
	require.Len(h, h.startWorkers(), 2)
}

func TestGangIsStoppedWhenAMemberIsLost(t *testing.T) {
	h := newHarness(t)
	h.startGangOnTwo()
	h.acceptStart("w1")
	h.acceptStart("w2")
	h.answerCall(h.mustTakeCall(CallHold, "w2"), workerapi.OtherInstance)
	h.commit()
	h.mustTakeCall(CallStop, "w1")
	require.Zero(t, h.countProposed(state.KindTasksStarting))
}

func TestGangIsStoppedWhenAStartIsInDoubt(t *testing.T) {
	h := newHarness(t)
	h.startGangOnTwo()
	h.acceptStart("w1")
	h.answerCall(h.mustTakeCall(CallStart, "w2"), workerapi.Unknown)
	h.mustTakeCall(CallStop, "w1")
}

func TestGangRestartsWithANewAttemptNumber(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w1", 1000), listEntry("w2", 1000), listEntry("w3", 1000), listEntry("w4", 1000))
	h.submit(gangOf(2))
	h.commit()
	for _, worker := range h.startWorkers() {
		h.answerCall(h.mustTakeCall(CallStart, worker), workerapi.NotSent)
	}
	for range 20 { // a fixed number, because a gang whose starts are always refused is proposed for ever
		h.drain()
		if len(h.commands) > 0 {
			command := h.commands[0]
			h.commands = h.commands[1:]
			h.sched.Applied(h.now, h.machine.Apply(command))
		}
	}
	starts := h.startWorkers()
	require.Len(t, starts, 2)
	for _, worker := range starts {
		require.Equal(t, 2, h.mustTakeCall(CallStart, worker).Start.Attempt)
	}
}

func TestStepWaitsForEveryDependency(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	last := stage(1, 1000, time.Second)
	last.DependsOn = []int{0, 1}
	h.submit(stage(1, 1000, time.Second), stage(1, 1000, time.Minute), last)
	h.commit()
	require.Equal(t, 2, h.countCalls(CallStart))
	first := h.acceptStart("w")
	h.answerHoldIfOut("w", nil, finished(1, first, workerapi.EndDone))
	h.drain()
	require.Equal(t, 1, h.countProposed(state.KindTasksEnded))
	command := h.commands[0]
	h.commands = nil
	h.sched.Applied(h.now, h.machine.Apply(command))
	h.drain()
	require.Zero(t, h.countProposed(state.KindTasksStarting))
}

func TestStopIsResentUntilTheRunIsGone(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	id := h.submit(stage(1, 1000, time.Minute))
	h.commit()
	call := h.acceptStart("w")
	h.cancel(id)
	for range 3 {
		h.answerCall(h.mustTakeCall(CallStop, "w"), workerapi.Done)
		h.answerHoldIfOut("w", running(call, 1), nil)
		h.advance(h.sched.bounds.Stop() + maxRetry + 10*time.Millisecond)
	}
}

func TestNoHoldIsSentToAnEndedInstance(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	h.advance(time.Second)
	h.answerCall(h.mustTakeCall(CallHold, "w"), workerapi.OtherInstance)
	h.advance(10 * time.Second)
	require.Zero(t, h.countCalls(CallHold))
}

func TestAllOrdersCarryTheFencingToken(t *testing.T) {
	h := newHarness(t)
	h.replaceScheduler(9)
	h.list(listEntry("w", 4000))
	id := h.submit(stage(1, 1000, time.Minute))
	h.commit()
	require.EqualValues(t, 9, h.acceptStart("w").Start.FenceToken)
	h.cancel(id)
	require.EqualValues(t, 9, h.mustTakeCall(CallStop, "w").Stop.FenceToken)
	h.advance(time.Second)
	require.EqualValues(t, 9, h.mustTakeCall(CallHold, "w").Hold.FenceToken)
}

// A hold that was sent before the worker reported a run must not count as the first of the two lists that prove that the run is gone.
func TestHoldSentBeforeARunStartedDoesNotShowItsAbsence(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	h.advance(time.Second)
	h.submit(stage(1, 1000, time.Minute))
	h.advance(10 * time.Millisecond)
	h.commit()
	h.advance(10 * time.Millisecond)
	h.acceptStart("w")
	h.answerHoldIfOut("w", nil, nil)
	h.advance(time.Second)
	for range h.countCalls(CallHold) {
		h.answerHoldIfOut("w", nil, nil)
	}
	require.Zero(t, h.countProposed(state.KindStartsVoided))
}
