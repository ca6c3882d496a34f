package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/workerapi"
)

func TestHeldTasksLeaveEarliestDeadlineFirst(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 1000))
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	first := d.start("w")
	d.submit(stage(1, 1000, 5*time.Second))
	urgent := d.submit(stage(1, 1000, 2*time.Second))
	d.hold("w", nil, finished(1, first, workerapi.HowDone))
	d.commit()
	require.Equal(t, urgent.String()+".0.0.0", d.must(CallStart, "w").Start.Task)
}

func TestTaskThatFitsNowhereDoesNotBlockThoseBehindIt(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 1000))
	d.submit(stage(1, 2000, time.Second))
	d.submit(stage(1, 1000, 9*time.Second))
	d.commit()
	require.Equal(t, 1, d.count(CallStart))
}

func TestLateTasksLeaveAfterThoseThatCanBeInTime(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 1000))
	d.submit(stage(1, 1000, 20*time.Second))
	d.commit()
	first := d.start("w")
	d.submit(stage(1, 1000, 100*time.Millisecond))
	d.pass(3 * time.Second) // its objective is over
	inTime := d.submit(stage(1, 1000, 5*time.Second))
	for {
		made, out := d.take(CallHold, "w")
		if !out {
			d.pass(10 * time.Millisecond)
			continue
		}
		d.end(made, workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: d.clockMs(), Finished: finished(1, first, workerapi.HowDone)})
		break
	}
	d.commit()
	require.Equal(t, inTime.String()+".0.0.0", d.must(CallStart, "w").Start.Task)
}

func TestDataDecidesTheRackUntilWaitingCostsMore(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w1", 1000, "a", "near"), entry("w2", 9000, "a", "far"))
	near := stage(1, 1000, 5*time.Second)
	near.Colocation = "near"
	d.submit(near)
	d.commit()
	d.start("w1")
	d.pass(time.Second)
	near.Count = 2
	d.submit(near)
	d.commit()
	require.Zero(t, d.count(CallStart), "the others wait for room near their data")
	d.pass(nearPatience)
	d.commit()
	require.Equal(t, 2, d.count(CallStart))
}

func TestLabelsAndAntiAffinityBindPlacement(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w1", 9000, "a"), entry("w2", 9000, "b"), entry("w3", 9000, "b"))
	bound := stage(4, 1000, time.Second)
	bound.Requirements = []string{"b"}
	bound.AntiAffinity = 1
	d.submit(bound)
	d.commit()
	require.Equal(t, 2, d.count(CallStart))
	d.must(CallStart, "w2")
	d.must(CallStart, "w3")
}

func TestTasksWithoutGPUsLeaveThemToOthers(t *testing.T) {
	d := newDesk(t)
	rich := entry("w1", 4000)
	rich.Allocatable.GPUs = 8
	d.list(rich, entry("w2", 4000))
	d.submit(stage(2, 1000, time.Second))
	d.commit()
	d.must(CallStart, "w2")
	d.must(CallStart, "w2")
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w1", 1000), entry("w2", 1000))
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	blocker := d.calls[len(d.calls)-1].Worker.Instance
	first := d.start(blocker)
	gang := stage(2, 1000, 2*time.Second)
	gang.Gang = true
	d.submit(gang)
	d.pass(100 * time.Millisecond)
	require.Empty(t, d.commands)
	d.hold(blocker, nil, finished(1, first, workerapi.HowDone))
	d.pass(gangRetry)
	d.commit()
	one, two := d.must(CallStart, "w1"), d.must(CallStart, "w2")
	require.Equal(t, one.Start.Attempt, two.Start.Attempt)
}

func TestGangOfWhichOneIsRefusedIsStoppedAndTriedAgainTogether(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w1", 1000), entry("w2", 1000), entry("w3", 1000))
	gang := stage(2, 1000, 2*time.Second)
	gang.Gang = true
	d.submit(gang)
	d.commit()
	require.Len(t, d.startsOut(), 2)
	placed := d.startsOut()
	one := d.start(placed[0])
	d.answer(d.must(CallStart, placed[1]), workerapi.Busy)
	d.commit()
	d.answer(d.must(CallStop, placed[0]), workerapi.Done)
	require.Zero(t, d.count(CallStart))
	d.hold(placed[0], nil, finished(1, one, workerapi.HowStopped))
	d.commit()
	again := d.startsOut()
	require.Len(t, again, 2)
	require.NotContains(t, again, placed[1])
	require.Equal(t, 2, d.must(CallStart, again[0]).Start.Attempt)
	require.Equal(t, 2, d.must(CallStart, again[1]).Start.Attempt)
}

// startsOut gives the workers to which starts are to be sent.
func (d *desk) startsOut() []string {
	var workers []string
	for _, made := range d.calls {
		if made.Kind == CallStart {
			workers = append(workers, made.Worker.Instance)
		}
	}
	return workers
}

func TestGangPrefersOneRack(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w1", 1000, "a", "r1"), entry("w2", 1000, "a", "r2"), entry("w3", 1000, "a", "r2"))
	gang := stage(2, 1000, 2*time.Second)
	gang.Gang, gang.SameRack = true, true
	d.submit(gang)
	d.commit()
	require.ElementsMatch(t, []string{"w2", "w3"}, d.startsOut())
}

func TestRoomIsKeptForAGangThatWaits(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w1", 1000), entry("w2", 1000))
	d.submit(stage(2, 1000, 10*time.Second))
	d.commit()
	one, two := d.start("w1"), d.start("w2")
	gang := stage(2, 1000, time.Second)
	gang.Gang = true
	id := d.submit(gang)
	d.submit(stage(4, 1000, 30*time.Second))
	d.pass(1200 * time.Millisecond)
	d.hold("w1", nil, finished(1, one, workerapi.HowDone))
	d.commit()
	require.Zero(t, d.count(CallStart), "w1 is kept")
	d.hold("w2", nil, finished(1, two, workerapi.HowDone))
	d.pass(gangRetry)
	d.commit()
	require.Len(t, d.startsOut(), 2)
	require.Equal(t, id.String()+".0.0.0", d.must(CallStart, "w1").Start.Task)
}

func TestWorkerOnWhichSeveralJobsFailIsShutOut(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w1", 4000))
	d.submit(stage(1, 1000, time.Second))
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	one, two := d.start("w1"), d.start("w1")
	ends := append(finished(1, one, workerapi.HowFailed), finished(2, two, workerapi.HowFailed)...)
	d.hold("w1", nil, ends)
	d.commit()
	d.submit(stage(3, 1000, time.Second))
	d.commit()
	require.Zero(t, d.count(CallStart))
	d.pass(firstShut)
	d.commit()
	require.Equal(t, 1, d.count(CallStart), "one trial")
}

func TestFailureThatFollowsItsTaskIsNotHeldAgainstTheWorker(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w1", 4000), entry("w2", 3000))
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	d.hold("w2", nil, finished(1, d.start("w2"), workerapi.HowFailed))
	d.commit()
	require.Positive(t, d.sched.workers["w2"].health.suspicion(d.now))
	d.hold("w1", nil, finished(1, d.start("w1"), workerapi.HowFailed))
	d.commit()
	require.Zero(t, d.sched.workers["w2"].health.suspicion(d.now))
	require.Zero(t, d.sched.workers["w1"].health.suspicion(d.now))
}

func TestRunThatStandsStillIsMoved(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w1", 4000), entry("w2", 3000))
	d.sched.movingRuns = movingRuns
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	made := d.start("w2")
	d.hold("w2", running(made, 0), nil)
	d.pass(hangAfter + 300*time.Millisecond)
	d.hold("w2", running(made, 0), nil)
	d.answer(d.must(CallStop, "w2"), workerapi.Done)
	d.hold("w2", nil, finished(1, made, workerapi.HowStopped))
	d.commit()
	d.must(CallStart, "w1")
}

// What a replica is late to take in says nothing of a run: the worker's own clock tells how long it has stood still.
func TestALateListIsNoStandstill(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	d.sched.movingRuns = movingRuns
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	made := d.start("w")
	d.hold("w", running(made, 10), nil)
	clock := d.clockMs() + hangAfter.Milliseconds()
	d.pass(3 * hangAfter)
	for _, late := range []int64{0, 1} {
		require.Zero(t, d.count(CallStop))
		reply := workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: clock + late, Running: running(made, 10)}
		d.end(d.must(CallHold, "w"), reply)
	}
	d.must(CallStop, "w")
}

// The tasks of a step go to one worker where it has room for them, rather than each to the fullest.
func TestTasksOfAStepGoTogether(t *testing.T) {
	d := newDesk(t)
	d.list(entry("small", 2000), entry("large", 8000), entry("other", 3000))
	d.submit(stage(4, 1000, time.Second))
	d.commit()
	for range 4 {
		d.must(CallStart, "large")
	}
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	d.must(CallStart, "large") // one that goes alone fills it best
}
