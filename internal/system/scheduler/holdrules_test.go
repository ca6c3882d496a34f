package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

func TestHigherTokenEndsTheScheduler(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	d.answer(d.must(CallStart, "w"), workerapi.RefusedFence)
	output := d.sched.Drain()
	require.True(t, output.Superseded)
	require.Empty(t, output.Calls)
}

func TestEndsAreAcknowledgedOnlyOnceCommitted(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	made := d.start("w")
	d.hold("w", nil, finished(1, made, workerapi.HowDone))
	require.Zero(t, d.count(CallHold), "the next hold waits for the commit")
	d.pass(commitPatience)
	again := d.hold("w", nil, finished(1, made, workerapi.HowDone))
	require.Zero(t, again.Hold.LastSeen)
	require.Len(t, d.commands, 1, "proposed once")
	d.commit()
	require.Equal(t, state.Completed, d.machine.Job(1).State)
	d.pass(commitPatience)
	require.Equal(t, uint64(1), d.must(CallHold, "w").Hold.LastSeen)
}

func TestRoomIsFreeOnceTheEndIsListed(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	d.submit(stage(2, 4000, time.Second))
	d.commit()
	made := d.start("w")
	d.hold("w", nil, finished(1, made, workerapi.HowDone))
	kinds := []state.Kind{}
	for _, command := range d.commands {
		kinds = append(kinds, command.Kind)
	}
	require.Equal(t, []state.Kind{state.KindTasksEnded, state.KindTasksStarting}, kinds)
}

func TestLostWorkerIsGivenUpOnlyWhenItsHoldsHaveRunOut(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w1", 4000), entry("w2", 3000))
	d.submit(stage(1, 1000, 10*time.Second))
	d.commit()
	d.start("w2")
	d.answer(d.must(CallHold, "w2"), workerapi.Unknown)
	d.hold("w1", nil, nil)
	silentSince := d.now
	for len(d.commands) == 0 {
		if made, out := d.take(CallHold, "w2"); out {
			d.answer(made, workerapi.Unknown)
		}
		if made, out := d.take(CallHold, "w1"); out {
			d.end(made, workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: d.clockMs()})
		}
		d.pass(50 * time.Millisecond)
		require.Less(t, d.now, silentSince+8*time.Second)
	}
	require.Greater(t, d.now, silentSince+6*time.Second)
	require.Equal(t, "w2", d.commands[0].WorkerLost)
	d.commit()
	require.Equal(t, 2, d.must(CallStart, "w1").Start.Attempt)
}

func TestAnotherLifeAtTheAddressEndsTheFormerAtOnce(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w1", 4000), entry("w2", 3000))
	d.submit(stage(1, 1000, 10*time.Second))
	d.commit()
	d.start("w2")
	d.answer(d.must(CallHold, "w2"), workerapi.OtherLife)
	d.commit()
	require.Equal(t, 2, d.must(CallStart, "w1").Start.Attempt)
}

func TestSuccessorSettlesWhatItsPredecessorBegan(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	d.submit(stage(2, 1000, 10*time.Second))
	d.commit()
	present, absentOne := d.must(CallStart, "w"), d.must(CallStart, "w")
	d.elect(2)
	d.sched.Listed(d.now, []workerapi.Instance{entry("w", 4000)})
	d.drain()
	first := d.hold("w", running(present, 10), nil)
	require.Zero(t, first.Hold.DueAtMs, "its clock isn't known yet")
	d.commit()
	require.Zero(t, d.count(CallStart), "the predecessor may have ordered its stop, which lasts a while")
	d.pass(600 * time.Millisecond)
	for range d.count(CallHold) {
		d.hold("w", running(present, 15), nil)
	}
	d.commit()
	made := d.must(CallStart, "w")
	require.Equal(t, absentOne.Start.Task, made.Start.Task)
	require.Equal(t, 2, made.Start.Attempt)
	require.Equal(t, uint64(2), made.Start.FenceToken)
	require.Zero(t, d.count(CallStart))
}

func TestForeignRunsAreStoppedAndTakeRoomUntilGone(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	stranger := Call{Start: workerapi.StartOrder{Task: "00000000000000ff.0.0.0", Attempt: 3}}
	d.hold("w", running(stranger, 5), nil)
	require.Equal(t, 3, d.must(CallStop, "w").Stop.Attempt)
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	require.Zero(t, d.count(CallStart))
	d.pass(emptyInterval)
	d.hold("w", nil, finished(1, stranger, workerapi.HowStopped))
	d.commit()
	require.Equal(t, 1, d.count(CallStart))
}
