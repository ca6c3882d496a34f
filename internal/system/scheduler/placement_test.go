package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/workerapi"
)

func TestQueuedTasksStartEarliestDeadlineFirst(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 1000))
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	first := d.acceptStart("w")
	d.submit(stage(1, 1000, 5*time.Second))
	urgent := d.submit(stage(1, 1000, 2*time.Second))
	d.answerHold("w", nil, finished(1, first, workerapi.HowDone))
	d.commit()
	require.Equal(t, urgent.String()+".0.0.0", d.mustTakeCall(CallStart, "w").Start.Task)
}

func TestTaskThatFitsNowhereDoesNotBlockThoseBehindIt(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 1000))
	d.submit(stage(1, 2000, time.Second))
	d.submit(stage(1, 1000, 9*time.Second))
	d.commit()
	require.Equal(t, 1, d.countCalls(CallStart))
}

func TestLateTasksStartAfterTasksThatCanMeetTheirObjective(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 1000))
	d.submit(stage(1, 1000, 20*time.Second))
	d.commit()
	first := d.acceptStart("w")
	d.submit(stage(1, 1000, 100*time.Millisecond))
	d.advance(3 * time.Second) // its objective is over
	inTime := d.submit(stage(1, 1000, 5*time.Second))
	for {
		made, out := d.takeCall(CallHold, "w")
		if !out {
			d.advance(10 * time.Millisecond)
			continue
		}
		d.endCall(made, workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: d.clockMs(), Finished: finished(1, first, workerapi.HowDone)})
		break
	}
	d.commit()
	require.Equal(t, inTime.String()+".0.0.0", d.mustTakeCall(CallStart, "w").Start.Task)
}

func TestTasksWaitNearTheirDataForALimitedTime(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w1", 1000, "a", "near"), listEntry("w2", 9000, "a", "far"))
	near := stage(1, 1000, 5*time.Second)
	near.Colocation = "near"
	d.submit(near)
	d.commit()
	d.acceptStart("w1")
	d.advance(time.Second)
	near.Count = 2
	d.submit(near)
	d.commit()
	require.Zero(t, d.countCalls(CallStart), "the others wait for room near their data")
	d.advance(maxNearWait)
	d.commit()
	require.Equal(t, 2, d.countCalls(CallStart))
}

func TestPlacementHonorsLabelsAndAntiAffinity(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w1", 9000, "a"), listEntry("w2", 9000, "b"), listEntry("w3", 9000, "b"))
	bound := stage(4, 1000, time.Second)
	bound.Requirements = []string{"b"}
	bound.AntiAffinity = 1
	d.submit(bound)
	d.commit()
	require.Equal(t, 2, d.countCalls(CallStart))
	d.mustTakeCall(CallStart, "w2")
	d.mustTakeCall(CallStart, "w3")
}

func TestTasksWithoutGPUsAvoidGPUWorkers(t *testing.T) {
	d := newHarness(t)
	rich := listEntry("w1", 4000)
	rich.Allocatable.GPUs = 8
	d.list(rich, listEntry("w2", 4000))
	d.submit(stage(2, 1000, time.Second))
	d.commit()
	d.mustTakeCall(CallStart, "w2")
	d.mustTakeCall(CallStart, "w2")
}

func TestGangStartsAllMembersOrNone(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w1", 1000), listEntry("w2", 1000))
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	blocker := d.calls[len(d.calls)-1].Worker.Instance
	first := d.acceptStart(blocker)
	gang := stage(2, 1000, 2*time.Second)
	gang.Gang = true
	d.submit(gang)
	d.advance(100 * time.Millisecond)
	require.Empty(t, d.commands)
	d.answerHold(blocker, nil, finished(1, first, workerapi.HowDone))
	d.advance(gangRetryInterval)
	d.commit()
	one, two := d.mustTakeCall(CallStart, "w1"), d.mustTakeCall(CallStart, "w2")
	require.Equal(t, one.Start.Attempt, two.Start.Attempt)
}

func TestGangIsStoppedAndRetriedWhenAMemberIsRefused(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w1", 1000), listEntry("w2", 1000), listEntry("w3", 1000))
	gang := stage(2, 1000, 2*time.Second)
	gang.Gang = true
	d.submit(gang)
	d.commit()
	require.Len(t, d.startWorkers(), 2)
	placed := d.startWorkers()
	one := d.acceptStart(placed[0])
	d.answerCall(d.mustTakeCall(CallStart, placed[1]), workerapi.Busy)
	d.commit()
	d.answerCall(d.mustTakeCall(CallStop, placed[0]), workerapi.Done)
	require.Zero(t, d.countCalls(CallStart))
	d.answerHold(placed[0], nil, finished(1, one, workerapi.HowStopped))
	d.commit()
	again := d.startWorkers()
	require.Len(t, again, 2)
	require.NotContains(t, again, placed[1])
	require.Equal(t, 2, d.mustTakeCall(CallStart, again[0]).Start.Attempt)
	require.Equal(t, 2, d.mustTakeCall(CallStart, again[1]).Start.Attempt)
}

// startWorkers gives the workers to which starts are to be sent.
func (d *harness) startWorkers() []string {
	var workers []string
	for _, made := range d.calls {
		if made.Kind == CallStart {
			workers = append(workers, made.Worker.Instance)
		}
	}
	return workers
}

func TestGangPrefersOneRack(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w1", 1000, "a", "r1"), listEntry("w2", 1000, "a", "r2"), listEntry("w3", 1000, "a", "r2"))
	gang := stage(2, 1000, 2*time.Second)
	gang.Gang, gang.SameRack = true, true
	d.submit(gang)
	d.commit()
	require.ElementsMatch(t, []string{"w2", "w3"}, d.startWorkers())
}

func TestWorkersAreReservedForAWaitingGang(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w1", 1000), listEntry("w2", 1000))
	d.submit(stage(2, 1000, 10*time.Second))
	d.commit()
	one, two := d.acceptStart("w1"), d.acceptStart("w2")
	gang := stage(2, 1000, time.Second)
	gang.Gang = true
	id := d.submit(gang)
	d.submit(stage(4, 1000, 30*time.Second))
	d.advance(1200 * time.Millisecond)
	d.answerHold("w1", nil, finished(1, one, workerapi.HowDone))
	d.commit()
	require.Zero(t, d.countCalls(CallStart), "w1 is kept")
	d.answerHold("w2", nil, finished(1, two, workerapi.HowDone))
	d.advance(gangRetryInterval)
	d.commit()
	require.Len(t, d.startWorkers(), 2)
	require.Equal(t, id.String()+".0.0.0", d.mustTakeCall(CallStart, "w1").Start.Task)
}

func TestWorkerWithFailuresOfSeveralJobsIsQuarantined(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w1", 4000))
	d.submit(stage(1, 1000, time.Second))
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	one, two := d.acceptStart("w1"), d.acceptStart("w1")
	ends := append(finished(1, one, workerapi.HowFailed), finished(2, two, workerapi.HowFailed)...)
	d.answerHold("w1", nil, ends)
	d.commit()
	d.submit(stage(3, 1000, time.Second))
	d.commit()
	require.Zero(t, d.countCalls(CallStart))
	d.advance(minQuarantine)
	d.commit()
	require.Equal(t, 1, d.countCalls(CallStart), "one trial")
}

func TestTaskThatFailsOnTwoWorkersDoesNotCountAgainstThem(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w1", 4000), listEntry("w2", 3000))
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	d.answerHold("w2", nil, finished(1, d.acceptStart("w2"), workerapi.HowFailed))
	d.commit()
	require.Positive(t, d.sched.workers["w2"].health.suspicion(d.now))
	d.answerHold("w1", nil, finished(1, d.acceptStart("w1"), workerapi.HowFailed))
	d.commit()
	require.Zero(t, d.sched.workers["w2"].health.suspicion(d.now))
	require.Zero(t, d.sched.workers["w1"].health.suspicion(d.now))
}

func TestStalledRunIsMoved(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w1", 4000), listEntry("w2", 3000))
	d.sched.progressingRuns = minProgressingRuns
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	made := d.acceptStart("w2")
	d.answerHold("w2", running(made, 0), nil)
	d.advance(stallAfter + 300*time.Millisecond)
	d.answerHold("w2", running(made, 0), nil)
	d.answerCall(d.mustTakeCall(CallStop, "w2"), workerapi.Done)
	d.answerHold("w2", nil, finished(1, made, workerapi.HowStopped))
	d.commit()
	d.mustTakeCall(CallStart, "w1")
}

// What a replica is late to take in says nothing of a run: the worker's own clock tells how long it has stood still.
func TestListProcessedLateIsNotAStall(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	d.sched.progressingRuns = minProgressingRuns
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	made := d.acceptStart("w")
	d.answerHold("w", running(made, 10), nil)
	clock := d.clockMs() + stallAfter.Milliseconds()
	d.advance(3 * stallAfter)
	for _, late := range []int64{0, 1} {
		require.Zero(t, d.countCalls(CallStop))
		reply := workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: clock + late, Running: running(made, 10)}
		d.endCall(d.mustTakeCall(CallHold, "w"), reply)
	}
	d.mustTakeCall(CallStop, "w")
}

// The tasks of a step go to one worker where it has room for them, rather than each to the fullest.
func TestTasksOfAStepSharePreferredWorker(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("small", 2000), listEntry("large", 8000), listEntry("other", 3000))
	d.submit(stage(4, 1000, time.Second))
	d.commit()
	for range 4 {
		d.mustTakeCall(CallStart, "large")
	}
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	d.mustTakeCall(CallStart, "large") // one that goes alone fills it best
}
