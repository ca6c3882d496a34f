package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/workerapi"
)

// The two sendings of a start may overtake each other: one that is refused says nothing of the other.
func TestRefusedStartStaysPendingWhileItsResendIsInFlight(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	d.submit(stage(1, 4000, time.Second))
	d.commit()
	first := d.mustTakeCall(CallStart, "w")
	d.advance(100 * time.Millisecond)
	second := d.mustTakeCall(CallStart, "w")
	d.answerCall(first, workerapi.RefusedRoom)
	d.drain()
	require.Empty(t, d.commands, "nothing is void while the second sending is out")
	require.Equal(t, int64(4000), d.sched.workers["w"].used.CPU)
	d.answerCall(second, workerapi.Done)
	d.answerHold("w", running(first, 10), nil)
	d.commit()
	require.Zero(t, d.countCalls(CallStart), "it runs by its second sending")
}

func TestAnswerToUnknownCallIsIgnored(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	made := d.mustTakeCall(CallHold, "w")
	d.replaceScheduler(2)
	d.sched.CallEnded(d.now, CallResult{ID: made.ID + 1000, Reply: workerapi.HoldReply{Outcome: workerapi.RefusedFence}})
	require.False(t, d.sched.Drain().Superseded)
}

// A call may still be out when the record of its worker is given up: its answer doesn't begin anything.
func TestAnswerForForgottenWorkerIsIgnored(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w1", 4000), listEntry("w2", 4000))
	d.sched.Listed(d.now, []workerapi.Instance{listEntry("w1", 4000)})
	d.drain()
	d.advance(10 * time.Second)
	made := d.mustTakeCall(CallHold, "w2")
	for d.sched.workers["w2"] != nil {
		d.sched.Listed(d.now, []workerapi.Instance{listEntry("w1", 4000)})
		d.advance(time.Second)
		require.Less(t, d.now, 10*forgetAfter)
	}
	d.endCall(made, workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: d.clockMs()})
	d.advance(10 * time.Second)
	_, again := d.takeCall(CallHold, "w2")
	require.False(t, again, "nobody knows that worker any more")
}

// A second sending is not for a run that isn't wanted any more: that of a copy, say, whose task has ended elsewhere.
func TestUnwantedStartIsNotResent(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	id := d.submit(stage(1, 1000, time.Second))
	d.commit()
	d.mustTakeCall(CallStart, "w")
	d.cancel(id)
	d.advance(100 * time.Millisecond)
	require.Zero(t, d.countCalls(CallStart))
}

// A hold without an answer is followed by one that doesn't wait.
func TestUnansweredHoldIsFollowedByHoldWithoutWait(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	made := d.mustTakeCall(CallHold, "w")
	require.Positive(t, made.Hold.WaitMs)
	d.answerCall(made, workerapi.Unknown)
	require.Zero(t, d.mustTakeCall(CallHold, "w").Hold.WaitMs)
}
