package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/workerapi"
)

// The two sendings of a start may overtake each other: the refusal of one does not decide the other.
func TestRefusedStartStaysPendingWhileItsResendIsInFlight(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	h.submit(stage(1, 4000, time.Second))
	h.commit()
	first := h.mustTakeCall(CallStart, "w")
	h.advance(100 * time.Millisecond)
	second := h.mustTakeCall(CallStart, "w")
	h.answerCall(first, workerapi.RefusedCapacity)
	h.drain()
	require.Empty(t, h.commands, "nothing is voided while the second sending is in flight")
	require.Equal(t, int64(4000), h.sched.workers["w"].used.CPU)
	h.answerCall(second, workerapi.Done)
	h.answerHold("w", running(first, 10), nil)
	h.commit()
	require.Zero(t, h.countCalls(CallStart), "the second sending started it")
}

func TestAnswerToUnknownCallIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	call := h.mustTakeCall(CallHold, "w")
	h.replaceScheduler(2)
	h.sched.CallEnded(h.now, CallResult{ID: call.ID + 1000, Reply: workerapi.HoldReply{Outcome: workerapi.RefusedFence}})
	require.False(t, h.sched.Drain().Superseded)
}

// A call may still be in flight when the record of its worker is removed. Its answer must not start anything.
func TestAnswerForForgottenWorkerIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w1", 4000), listEntry("w2", 4000))
	h.sched.Listed(h.now, []workerapi.Instance{listEntry("w1", 4000)})
	h.drain()
	h.advance(10 * time.Second)
	call := h.mustTakeCall(CallHold, "w2")
	for h.sched.workers["w2"] != nil {
		h.sched.Listed(h.now, []workerapi.Instance{listEntry("w1", 4000)})
		h.advance(time.Second)
		require.Less(t, h.now, 10*forgetAfter)
	}
	h.endCall(call, workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: h.clockMs()})
	h.advance(10 * time.Second)
	_, again := h.takeCall(CallHold, "w2")
	require.False(t, again, "the worker is no longer tracked")
}

// A start is not resent for a run that is no longer wanted, for example a copy whose task has ended elsewhere.
func TestUnwantedStartIsNotResent(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	id := h.submit(stage(1, 1000, time.Second))
	h.commit()
	h.mustTakeCall(CallStart, "w")
	h.cancel(id)
	h.advance(100 * time.Millisecond)
	require.Zero(t, h.countCalls(CallStart))
}

// A hold without an answer is followed by one that does not wait.
func TestUnansweredHoldIsFollowedByHoldWithoutWait(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	call := h.mustTakeCall(CallHold, "w")
	require.Positive(t, call.Hold.WaitMs)
	h.answerCall(call, workerapi.Unknown)
	require.Zero(t, h.mustTakeCall(CallHold, "w").Hold.WaitMs)
}
