package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/workerapi"
)

func TestStopOfACancelledJobIsResentUntilAnswered(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	id := d.submit(stage(1, 1000, 10*time.Second))
	d.commit()
	made := d.acceptStart("w")
	d.cancel(id)
	d.answerCall(d.mustTakeCall(CallStop, "w"), workerapi.Unknown)
	d.advance(maxRetry)
	d.answerCall(d.mustTakeCall(CallStop, "w"), workerapi.Done)
	d.answerHold("w", nil, finished(1, made, workerapi.HowStopped))
	d.commit()
	d.advance(2 * time.Second)
	require.Zero(t, d.countCalls(CallStop))
	require.Zero(t, d.countCalls(CallStart))
}

func TestNothingStartsOnADrainingWorker(t *testing.T) {
	d := newHarness(t)
	leaving := listEntry("w", 4000)
	d.list(leaving)
	leaving.State = workerapi.StateDraining
	d.sched.Listed(d.now, []workerapi.Instance{leaving})
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	require.Zero(t, d.countCalls(CallStart))
}

func TestRunsThatCannotEndInTimeAreMovedOffADrainingWorker(t *testing.T) {
	d := newHarness(t)
	leaving := listEntry("w1", 2000)
	d.list(leaving, listEntry("w2", 4000))
	long := stage(1, 1000, 20*time.Second)
	long.Checkpoints = true
	d.submit(long)
	d.submit(stage(1, 1000, 500*time.Millisecond))
	d.commit()
	first := d.acceptStart("w1")
	d.acceptStart("w1")
	leaving.State = workerapi.StateDraining
	d.sched.Listed(d.now, []workerapi.Instance{leaving, listEntry("w2", 4000)})
	d.drain()
	made := d.mustTakeCall(CallStop, "w1")
	require.Equal(t, first.Start.Task, made.Stop.Task)
	require.Zero(t, d.countCalls(CallStop), "the short one ends in time")
	end := workerapi.FinishedTask{N: 1, Task: first.Start.Task, Attempt: 1, How: workerapi.HowStopped, Checkpoint: "saved"}
	d.answerHold("w1", nil, []workerapi.FinishedTask{end})
	d.commit()
	again := d.mustTakeCall(CallStart, "w2")
	require.Equal(t, "saved", again.Start.Checkpoint)
	require.Equal(t, 2, again.Start.Attempt)
}

func TestStepWaitsForAllTasksOfItsDependency(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 8000))
	later := stage(1, 1000, time.Second)
	later.DependsOn = []int{0}
	d.submit(stage(2, 1000, time.Second), later)
	d.commit()
	first, second := d.acceptStart("w"), d.acceptStart("w")
	d.answerHold("w", running(second, 5), finished(1, first, workerapi.HowDone))
	d.commit()
	require.Zero(t, d.countCalls(CallStart))
	d.answerHold("w", nil, finished(2, second, workerapi.HowDone))
	d.commit()
	require.Equal(t, "0000000000000001.0.1.0", d.mustTakeCall(CallStart, "w").Start.Task)
}

func TestTimedJobsStartWhenDue(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 8000))
	first := time.Duration(d.unixMs()+1000) * time.Millisecond
	d.submitSpec(&jobspec.Spec{
		Text: "text", Stages: []jobspec.Stage{stage(1, 1000, time.Second)}, Repetitions: 2, FirstRun: first, Interval: 500 * time.Millisecond,
	})
	d.advance(990 * time.Millisecond)
	require.Empty(t, d.commands)
	d.advance(20 * time.Millisecond)
	d.commit()
	require.Equal(t, "0000000000000001.0.0.0", d.acceptStart("w").Start.Task)
	d.advance(500 * time.Millisecond)
	d.commit()
	require.Equal(t, "0000000000000001.1.0.0", d.acceptStart("w").Start.Task)
}

func TestLongRunningTasksAreRestarted(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 8000))
	lasting := stage(1, 1000, 100*time.Millisecond)
	lasting.LongRunning = true
	d.submit(lasting)
	for n := range uint64(6) {
		d.commit()
		made := d.acceptStart("w")
		require.Equal(t, int(n+1), made.Start.Attempt)
		d.answerHold("w", nil, finished(n+1, made, workerapi.HowFailed))
		d.commit()
		d.advance(1100 * time.Millisecond)
	}
}

func TestCopiesRunOnlyForSpeculativeSteps(t *testing.T) {
	for _, allowed := range []bool{false, true} {
		d := newHarness(t)
		d.list(listEntry("w1", 4000), listEntry("w2", 3000))
		copied := stage(1, 1000, 10*time.Second)
		copied.Speculative = allowed
		d.submit(copied)
		d.commit()
		d.acceptStart("w2")
		for range silentAfter {
			d.answerCall(d.mustTakeCall(CallHold, "w2"), workerapi.Unknown)
			d.commit()
		}
		require.Equal(t, allowed, d.countCalls(CallStart) == 1)
	}
}
