package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/workerapi"
)

func TestStopOfACancelledJobIsResentUntilAnswered(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	id := h.submit(stage(1, 1000, 10*time.Second))
	h.commit()
	call := h.acceptStart("w")
	h.cancel(id)
	h.answerCall(h.mustTakeCall(CallStop, "w"), workerapi.Unknown)
	h.advance(maxRetry)
	h.answerCall(h.mustTakeCall(CallStop, "w"), workerapi.Done)
	h.answerHold("w", nil, finished(1, call, workerapi.EndStopped))
	h.commit()
	h.advance(2 * time.Second)
	require.Zero(t, h.countCalls(CallStop))
	require.Zero(t, h.countCalls(CallStart))
}

func TestNothingStartsOnADrainingWorker(t *testing.T) {
	h := newHarness(t)
	leaving := listEntry("w", 4000)
	h.list(leaving)
	leaving.State = workerapi.StateDraining
	h.sched.Listed(h.now, []workerapi.Instance{leaving})
	h.submit(stage(1, 1000, time.Second))
	h.commit()
	require.Zero(t, h.countCalls(CallStart))
}

func TestRunsThatCannotEndInTimeAreMovedOffADrainingWorker(t *testing.T) {
	h := newHarness(t)
	leaving := listEntry("w1", 2000)
	h.list(leaving, listEntry("w2", 4000))
	long := stage(1, 1000, 20*time.Second)
	long.Checkpoints = true
	h.submit(long)
	h.submit(stage(1, 1000, 500*time.Millisecond))
	h.commit()
	first := h.acceptStart("w1")
	h.acceptStart("w1")
	leaving.State = workerapi.StateDraining
	h.sched.Listed(h.now, []workerapi.Instance{leaving, listEntry("w2", 4000)})
	h.drain()
	call := h.mustTakeCall(CallStop, "w1")
	require.Equal(t, first.Start.Task, call.Stop.Task)
	require.Zero(t, h.countCalls(CallStop), "the short run ends in time")
	end := workerapi.FinishedTask{N: 1, Task: first.Start.Task, Attempt: 1, How: workerapi.EndStopped, Checkpoint: "saved"}
	h.answerHold("w1", nil, []workerapi.FinishedTask{end})
	h.commit()
	again := h.mustTakeCall(CallStart, "w2")
	require.Equal(t, "saved", again.Start.Checkpoint)
	require.Equal(t, 2, again.Start.Attempt)
}

func TestStepWaitsForAllTasksOfItsDependency(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 8000))
	later := stage(1, 1000, time.Second)
	later.DependsOn = []int{0}
	h.submit(stage(2, 1000, time.Second), later)
	h.commit()
	first, second := h.acceptStart("w"), h.acceptStart("w")
	h.answerHold("w", running(second, 5), finished(1, first, workerapi.EndDone))
	h.commit()
	require.Zero(t, h.countCalls(CallStart))
	h.answerHold("w", nil, finished(2, second, workerapi.EndDone))
	h.commit()
	require.Equal(t, "0000000000000001.0.1.0", h.mustTakeCall(CallStart, "w").Start.Task)
}

func TestTimedJobsStartWhenDue(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 8000))
	first := time.Duration(h.unixMs()+1000) * time.Millisecond
	h.submitSpec(&jobspec.Spec{
		Text: "text", Stages: []jobspec.Stage{stage(1, 1000, time.Second)}, Repetitions: 2, FirstRun: first, Interval: 500 * time.Millisecond,
	})
	h.advance(990 * time.Millisecond)
	require.Empty(t, h.commands)
	h.advance(20 * time.Millisecond)
	h.commit()
	require.Equal(t, "0000000000000001.0.0.0", h.acceptStart("w").Start.Task)
	h.advance(500 * time.Millisecond)
	h.commit()
	require.Equal(t, "0000000000000001.1.0.0", h.acceptStart("w").Start.Task)
}

func TestLongRunningTasksAreRestarted(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 8000))
	longRunning := stage(1, 1000, 100*time.Millisecond)
	longRunning.LongRunning = true
	h.submit(longRunning)
	for n := range uint64(6) {
		h.commit()
		call := h.acceptStart("w")
		require.Equal(t, int(n+1), call.Start.Attempt)
		h.answerHold("w", nil, finished(n+1, call, workerapi.EndFailed))
		h.commit()
		h.advance(1100 * time.Millisecond)
	}
}

func TestCopiesRunOnlyForSpeculativeSteps(t *testing.T) {
	for _, allowed := range []bool{false, true} {
		h := newHarness(t)
		h.list(listEntry("w1", 4000), listEntry("w2", 3000))
		copied := stage(1, 1000, 10*time.Second)
		copied.Speculative = allowed
		h.submit(copied)
		h.commit()
		h.acceptStart("w2")
		for range silentAfter {
			h.answerCall(h.mustTakeCall(CallHold, "w2"), workerapi.Unknown)
			h.commit()
		}
		require.Equal(t, allowed, h.countCalls(CallStart) == 1)
	}
}
