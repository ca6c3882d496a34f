package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

func TestHigherTokenSupersedesTheScheduler(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	h.submit(stage(1, 1000, time.Second))
	h.commit()
	h.answerCall(h.mustTakeCall(CallStart, "w"), workerapi.RefusedFence)
	output := h.sched.Drain()
	require.True(t, output.Superseded)
	require.Empty(t, output.Calls)
}

func TestEndsAreAcknowledgedOnlyAfterCommit(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	h.submit(stage(1, 1000, time.Second))
	h.commit()
	call := h.acceptStart("w")
	h.answerHold("w", nil, finished(1, call, workerapi.EndDone))
	require.Zero(t, h.countCalls(CallHold), "the next hold waits for the commit")
	h.advance(commitWait)
	again := h.answerHold("w", nil, finished(1, call, workerapi.EndDone))
	require.Zero(t, again.Hold.LastSeen)
	require.Len(t, h.commands, 1, "proposed once")
	h.commit()
	require.Equal(t, state.Completed, h.machine.Job(1).State)
	h.advance(commitWait)
	require.Equal(t, uint64(1), h.mustTakeCall(CallHold, "w").Hold.LastSeen)
}

func TestCapacityIsFreedWhenTheEndIsListed(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	h.submit(stage(2, 4000, time.Second))
	h.commit()
	call := h.acceptStart("w")
	h.answerHold("w", nil, finished(1, call, workerapi.EndDone))
	kinds := []state.Kind{}
	for _, command := range h.commands {
		kinds = append(kinds, command.Kind)
	}
	require.Equal(t, []state.Kind{state.KindTasksEnded, state.KindTasksStarting}, kinds)
}

func TestWorkerLossIsProposedOnlyAfterItsHoldsExpire(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w1", 4000), listEntry("w2", 3000))
	h.submit(stage(1, 1000, 10*time.Second))
	h.commit()
	h.acceptStart("w2")
	h.answerCall(h.mustTakeCall(CallHold, "w2"), workerapi.Unknown)
	h.answerHold("w1", nil, nil)
	silentSince := h.now
	for len(h.commands) == 0 {
		if call, out := h.takeCall(CallHold, "w2"); out {
			h.answerCall(call, workerapi.Unknown)
		}
		if call, out := h.takeCall(CallHold, "w1"); out {
			h.endCall(call, workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: h.clockMs()})
		}
		h.advance(50 * time.Millisecond)
		require.Less(t, h.now, silentSince+8*time.Second)
	}
	require.Greater(t, h.now, silentSince+6*time.Second)
	require.Equal(t, "w2", h.commands[0].WorkerLost)
	h.commit()
	require.Equal(t, 2, h.mustTakeCall(CallStart, "w1").Start.Attempt)
}

func TestNewInstanceAtTheAddressEndsTheOldOneAtOnce(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w1", 4000), listEntry("w2", 3000))
	h.submit(stage(1, 1000, 10*time.Second))
	h.commit()
	h.acceptStart("w2")
	h.answerCall(h.mustTakeCall(CallHold, "w2"), workerapi.OtherInstance)
	h.commit()
	require.Equal(t, 2, h.mustTakeCall(CallStart, "w1").Start.Attempt)
}

func TestSuccessorResolvesRunsOfItsPredecessor(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	h.submit(stage(2, 1000, 10*time.Second))
	h.commit()
	present, absent := h.mustTakeCall(CallStart, "w"), h.mustTakeCall(CallStart, "w")
	h.replaceScheduler(2)
	h.sched.Listed(h.now, []workerapi.Instance{listEntry("w", 4000)})
	h.drain()
	first := h.answerHold("w", running(present, 10), nil)
	require.Zero(t, first.Hold.DueAtMs, "the worker's clock is not known yet")
	h.commit()
	require.Zero(t, h.countCalls(CallStart), "the predecessor may have sent a stop that is still being carried out")
	h.advance(600 * time.Millisecond)
	for range h.countCalls(CallHold) {
		h.answerHold("w", running(present, 15), nil)
	}
	h.commit()
	call := h.mustTakeCall(CallStart, "w")
	require.Equal(t, absent.Start.Task, call.Start.Task)
	require.Equal(t, 2, call.Start.Attempt)
	require.Equal(t, uint64(2), call.Start.FenceToken)
	require.Zero(t, h.countCalls(CallStart))
}

func TestForeignRunsAreStoppedAndUseCapacityUntilGone(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	foreignStart := Call{Start: workerapi.StartOrder{Task: "00000000000000ff.0.0.0", Attempt: 3}}
	h.answerHold("w", running(foreignStart, 5), nil)
	require.Equal(t, 3, h.mustTakeCall(CallStop, "w").Stop.Attempt)
	h.submit(stage(1, 1000, time.Second))
	h.commit()
	require.Zero(t, h.countCalls(CallStart))
	h.advance(earlyAnswerPause)
	h.answerHold("w", nil, finished(1, foreignStart, workerapi.EndStopped))
	h.commit()
	require.Equal(t, 1, h.countCalls(CallStart))
}
