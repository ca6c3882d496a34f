package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/workerapi"
)

func TestCancelledJobIsStoppedAgainAndAgain(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	id := d.submit(stage(1, 1000, 10*time.Second))
	d.commit()
	made := d.start("w")
	d.cancel(id)
	d.answer(d.must(CallStop, "w"), workerapi.Unknown)
	d.pass(longestRetry)
	d.answer(d.must(CallStop, "w"), workerapi.Done)
	d.hold("w", nil, finished(1, made, workerapi.HowStopped))
	d.commit()
	d.pass(2 * time.Second)
	require.Zero(t, d.count(CallStop))
	require.Zero(t, d.count(CallStart))
}

func TestNothingStartsOnADrainingWorker(t *testing.T) {
	d := newDesk(t)
	leaving := entry("w", 4000)
	d.list(leaving)
	leaving.State = workerapi.StateDraining
	d.sched.Listed(d.now, []workerapi.Instance{leaving})
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	require.Zero(t, d.count(CallStart))
}

func TestRunsThatCannotEndInTimeLeaveADrainingWorker(t *testing.T) {
	d := newDesk(t)
	leaving := entry("w1", 2000)
	d.list(leaving, entry("w2", 4000))
	long := stage(1, 1000, 20*time.Second)
	long.Checkpoints = true
	d.submit(long)
	d.submit(stage(1, 1000, 500*time.Millisecond))
	d.commit()
	first := d.start("w1")
	d.start("w1")
	leaving.State = workerapi.StateDraining
	d.sched.Listed(d.now, []workerapi.Instance{leaving, entry("w2", 4000)})
	d.drain()
	made := d.must(CallStop, "w1")
	require.Equal(t, first.Start.Task, made.Stop.Task)
	require.Zero(t, d.count(CallStop), "the short one ends in time")
	end := workerapi.FinishedTask{N: 1, Task: first.Start.Task, Attempt: 1, How: workerapi.HowStopped, Checkpoint: "saved"}
	d.hold("w1", nil, []workerapi.FinishedTask{end})
	d.commit()
	again := d.must(CallStart, "w2")
	require.Equal(t, "saved", again.Start.Checkpoint)
	require.Equal(t, 2, again.Start.Attempt)
}

func TestStepsWaitForThoseTheyDependOn(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 8000))
	later := stage(1, 1000, time.Second)
	later.DependsOn = []int{0}
	d.submit(stage(2, 1000, time.Second), later)
	d.commit()
	first, second := d.start("w"), d.start("w")
	d.hold("w", running(second, 5), finished(1, first, workerapi.HowDone))
	d.commit()
	require.Zero(t, d.count(CallStart))
	d.hold("w", nil, finished(2, second, workerapi.HowDone))
	d.commit()
	require.Equal(t, "0000000000000001.0.1.0", d.must(CallStart, "w").Start.Task)
}

func TestTimedJobsStartWhenTheyFallDue(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 8000))
	first := time.Duration(d.unixMs()+1000) * time.Millisecond
	d.submitSpec(&jobspec.Spec{
		Text: "text", Stages: []jobspec.Stage{stage(1, 1000, time.Second)}, Repetitions: 2, FirstRun: first, Interval: 500 * time.Millisecond,
	})
	d.pass(990 * time.Millisecond)
	require.Empty(t, d.commands)
	d.pass(20 * time.Millisecond)
	d.commit()
	require.Equal(t, "0000000000000001.0.0.0", d.start("w").Start.Task)
	d.pass(500 * time.Millisecond)
	d.commit()
	require.Equal(t, "0000000000000001.1.0.0", d.start("w").Start.Task)
}

func TestLastingTasksAreStartedAgain(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 8000))
	lasting := stage(1, 1000, 100*time.Millisecond)
	lasting.LongRunning = true
	d.submit(lasting)
	for n := range uint64(6) {
		d.commit()
		made := d.start("w")
		require.Equal(t, int(n+1), made.Start.Attempt)
		d.hold("w", nil, finished(n+1, made, workerapi.HowFailed))
		d.commit()
		d.pass(1100 * time.Millisecond)
	}
}

func TestCopiesRunOnlyWhereTheyMay(t *testing.T) {
	for _, allowed := range []bool{false, true} {
		d := newDesk(t)
		d.list(entry("w1", 4000), entry("w2", 3000))
		copied := stage(1, 1000, 10*time.Second)
		copied.Speculative = allowed
		d.submit(copied)
		d.commit()
		d.start("w2")
		for range failuresToSilence {
			d.answer(d.must(CallHold, "w2"), workerapi.Unknown)
			d.commit()
		}
		require.Equal(t, allowed, d.count(CallStart) == 1)
	}
}
