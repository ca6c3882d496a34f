package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

func TestHigherTokenSupersedesTheScheduler(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	d.answerCall(d.mustTakeCall(CallStart, "w"), workerapi.RefusedFence)
	output := d.sched.Drain()
	require.True(t, output.Superseded)
	require.Empty(t, output.Calls)
}

func TestEndsAreAcknowledgedOnlyAfterCommit(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	made := d.acceptStart("w")
	d.answerHold("w", nil, finished(1, made, workerapi.HowDone))
	require.Zero(t, d.countCalls(CallHold), "the next hold waits for the commit")
	d.advance(commitWait)
	again := d.answerHold("w", nil, finished(1, made, workerapi.HowDone))
	require.Zero(t, again.Hold.LastSeen)
	require.Len(t, d.commands, 1, "proposed once")
	d.commit()
	require.Equal(t, state.Completed, d.machine.Job(1).State)
	d.advance(commitWait)
	require.Equal(t, uint64(1), d.mustTakeCall(CallHold, "w").Hold.LastSeen)
}

func TestCapacityIsFreedWhenTheEndIsListed(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	d.submit(stage(2, 4000, time.Second))
	d.commit()
	made := d.acceptStart("w")
	d.answerHold("w", nil, finished(1, made, workerapi.HowDone))
	kinds := []state.Kind{}
	for _, command := range d.commands {
		kinds = append(kinds, command.Kind)
	}
	require.Equal(t, []state.Kind{state.KindTasksEnded, state.KindTasksStarting}, kinds)
}

func TestWorkerLossIsProposedOnlyAfterItsHoldsExpire(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w1", 4000), listEntry("w2", 3000))
	d.submit(stage(1, 1000, 10*time.Second))
	d.commit()
	d.acceptStart("w2")
	d.answerCall(d.mustTakeCall(CallHold, "w2"), workerapi.Unknown)
	d.answerHold("w1", nil, nil)
	silentSince := d.now
	for len(d.commands) == 0 {
		if made, out := d.takeCall(CallHold, "w2"); out {
			d.answerCall(made, workerapi.Unknown)
		}
		if made, out := d.takeCall(CallHold, "w1"); out {
			d.endCall(made, workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: d.clockMs()})
		}
		d.advance(50 * time.Millisecond)
		require.Less(t, d.now, silentSince+8*time.Second)
	}
	require.Greater(t, d.now, silentSince+6*time.Second)
	require.Equal(t, "w2", d.commands[0].WorkerLost)
	d.commit()
	require.Equal(t, 2, d.mustTakeCall(CallStart, "w1").Start.Attempt)
}

func TestNewInstanceAtTheAddressEndsTheOldOneAtOnce(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w1", 4000), listEntry("w2", 3000))
	d.submit(stage(1, 1000, 10*time.Second))
	d.commit()
	d.acceptStart("w2")
	d.answerCall(d.mustTakeCall(CallHold, "w2"), workerapi.OtherLife)
	d.commit()
	require.Equal(t, 2, d.mustTakeCall(CallStart, "w1").Start.Attempt)
}

func TestSuccessorResolvesRunsOfItsPredecessor(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	d.submit(stage(2, 1000, 10*time.Second))
	d.commit()
	present, absentOne := d.mustTakeCall(CallStart, "w"), d.mustTakeCall(CallStart, "w")
	d.replaceScheduler(2)
	d.sched.Listed(d.now, []workerapi.Instance{listEntry("w", 4000)})
	d.drain()
	first := d.answerHold("w", running(present, 10), nil)
	require.Zero(t, first.Hold.DueAtMs, "its clock isn't known yet")
	d.commit()
	require.Zero(t, d.countCalls(CallStart), "the predecessor may have ordered its stop, which lasts a while")
	d.advance(600 * time.Millisecond)
	for range d.countCalls(CallHold) {
		d.answerHold("w", running(present, 15), nil)
	}
	d.commit()
	made := d.mustTakeCall(CallStart, "w")
	require.Equal(t, absentOne.Start.Task, made.Start.Task)
	require.Equal(t, 2, made.Start.Attempt)
	require.Equal(t, uint64(2), made.Start.FenceToken)
	require.Zero(t, d.countCalls(CallStart))
}

func TestForeignRunsAreStoppedAndUseCapacityUntilGone(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	stranger := Call{Start: workerapi.StartOrder{Task: "00000000000000ff.0.0.0", Attempt: 3}}
	d.answerHold("w", running(stranger, 5), nil)
	require.Equal(t, 3, d.mustTakeCall(CallStop, "w").Stop.Attempt)
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	require.Zero(t, d.countCalls(CallStart))
	d.advance(earlyAnswerPause)
	d.answerHold("w", nil, finished(1, stranger, workerapi.HowStopped))
	d.commit()
	require.Equal(t, 1, d.countCalls(CallStart))
}
