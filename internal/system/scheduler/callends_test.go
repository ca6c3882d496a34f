package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/workerapi"
)

// The two sendings of a start may overtake each other: one that is refused says nothing of the other.
func TestAStartThatIsRefusedWhileAnotherSendingIsOutIsNotOver(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	d.submit(stage(1, 4000, time.Second))
	d.commit()
	first := d.must(CallStart, "w")
	d.pass(100 * time.Millisecond)
	second := d.must(CallStart, "w")
	d.answer(first, workerapi.RefusedRoom)
	d.drain()
	require.Empty(t, d.commands, "nothing is void while the second sending is out")
	require.Equal(t, int64(4000), d.sched.workers["w"].used.CPU)
	d.answer(second, workerapi.Done)
	d.hold("w", running(first, 10), nil)
	d.commit()
	require.Zero(t, d.count(CallStart), "it runs by its second sending")
}

func TestAnAnswerToNoCallOfThisSchedulerIsPassedOver(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	made := d.must(CallHold, "w")
	d.elect(2)
	d.sched.CallEnded(d.now, CallResult{ID: made.ID + 1000, Reply: workerapi.HoldReply{Outcome: workerapi.RefusedFence}})
	require.False(t, d.sched.Drain().Superseded)
}

// A call may still be out when the record of its worker is given up: its answer doesn't begin anything.
func TestAnAnswerForAForgottenWorkerChangesNothing(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w1", 4000), entry("w2", 4000))
	d.sched.Listed(d.now, []workerapi.Instance{entry("w1", 4000)})
	d.drain()
	d.pass(10 * time.Second)
	made := d.must(CallHold, "w2")
	for d.sched.workers["w2"] != nil {
		d.sched.Listed(d.now, []workerapi.Instance{entry("w1", 4000)})
		d.pass(time.Second)
		require.Less(t, d.now, 10*forgetAfter)
	}
	d.end(made, workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: d.clockMs()})
	d.pass(10 * time.Second)
	_, again := d.take(CallHold, "w2")
	require.False(t, again, "nobody knows that worker any more")
}

// A second sending is not for a run that isn't wanted any more: that of a copy, say, whose task has ended elsewhere.
func TestAnUnwantedStartIsNotSentAgain(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	id := d.submit(stage(1, 1000, time.Second))
	d.commit()
	d.must(CallStart, "w")
	d.cancel(id)
	d.pass(100 * time.Millisecond)
	require.Zero(t, d.count(CallStart))
}

// A hold without an answer is followed by one that doesn't wait.
func TestAWorkerThatMissedAHoldIsLookedAtAtOnce(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	made := d.must(CallHold, "w")
	require.Positive(t, made.Hold.WaitMs)
	d.answer(made, workerapi.Unknown)
	require.Zero(t, d.must(CallHold, "w").Hold.WaitMs)
}
