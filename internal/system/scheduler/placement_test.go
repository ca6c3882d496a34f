package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/workerapi"
)

func TestQueuedTasksStartEarliestDeadlineFirst(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 1000))
	h.submit(stage(1, 1000, time.Second))
	h.commit()
	first := h.acceptStart("w")
	h.submit(stage(1, 1000, 5*time.Second))
	urgent := h.submit(stage(1, 1000, 2*time.Second))
	h.answerHold("w", nil, finished(1, first, workerapi.EndDone))
	h.commit()
	require.Equal(t, urgent.String()+".0.0.0", h.mustTakeCall(CallStart, "w").Start.Task)
}

func TestTaskThatFitsNowhereDoesNotBlockThoseBehindIt(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 1000))
	h.submit(stage(1, 2000, time.Second))
	h.submit(stage(1, 1000, 9*time.Second))
	h.commit()
	require.Equal(t, 1, h.countCalls(CallStart))
}

func TestLateTasksStartAfterTasksThatCanMeetTheirObjective(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 1000))
	h.submit(stage(1, 1000, 20*time.Second))
	h.commit()
	first := h.acceptStart("w")
	h.submit(stage(1, 1000, 100*time.Millisecond))
	h.advance(3 * time.Second) // its objective has passed
	inTime := h.submit(stage(1, 1000, 5*time.Second))
	for {
		call, out := h.takeCall(CallHold, "w")
		if !out {
			h.advance(10 * time.Millisecond)
			continue
		}
		h.endCall(call, workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: h.clockMs(), Finished: finished(1, first, workerapi.EndDone)})
		break
	}
	h.commit()
	require.Equal(t, inTime.String()+".0.0.0", h.mustTakeCall(CallStart, "w").Start.Task)
}

func TestTasksWaitNearTheirDataForALimitedTime(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w1", 1000, "a", "near"), listEntry("w2", 9000, "a", "far"))
	near := stage(1, 1000, 5*time.Second)
	near.Colocation = "near"
	h.submit(near)
	h.commit()
	h.acceptStart("w1")
	h.advance(time.Second)
	near.Count = 2
	h.submit(near)
	h.commit()
	require.Zero(t, h.countCalls(CallStart), "the others wait for capacity near their data")
	h.advance(maxNearWait)
	h.commit()
	require.Equal(t, 2, h.countCalls(CallStart))
}

func TestPlacementHonorsLabelsAndAntiAffinity(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w1", 9000, "a"), listEntry("w2", 9000, "b"), listEntry("w3", 9000, "b"))
	bound := stage(4, 1000, time.Second)
	bound.Requirements = []string{"b"}
	bound.AntiAffinity = 1
	h.submit(bound)
	h.commit()
	require.Equal(t, 2, h.countCalls(CallStart))
	h.mustTakeCall(CallStart, "w2")
	h.mustTakeCall(CallStart, "w3")
}

func TestTasksWithoutGPUsAvoidGPUWorkers(t *testing.T) {
	h := newHarness(t)
	rich := listEntry("w1", 4000)
	rich.Allocatable.GPUs = 8
	h.list(rich, listEntry("w2", 4000))
	h.submit(stage(2, 1000, time.Second))
	h.commit()
	h.mustTakeCall(CallStart, "w2")
	h.mustTakeCall(CallStart, "w2")
}

func TestGangStartsAllMembersOrNone(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w1", 1000), listEntry("w2", 1000))
	h.submit(stage(1, 1000, time.Second))
	h.commit()
	blocker := h.calls[len(h.calls)-1].Worker.Instance
	first := h.acceptStart(blocker)
	gang := stage(2, 1000, 2*time.Second)
	gang.Gang = true
	h.submit(gang)
	h.advance(100 * time.Millisecond)
	require.Empty(t, h.commands)
	h.answerHold(blocker, nil, finished(1, first, workerapi.EndDone))
	h.advance(gangRetryInterval)
	h.commit()
	one, two := h.mustTakeCall(CallStart, "w1"), h.mustTakeCall(CallStart, "w2")
	require.Equal(t, one.Start.Attempt, two.Start.Attempt)
}

func TestGangIsStoppedAndRetriedWhenAMemberIsRefused(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w1", 1000), listEntry("w2", 1000), listEntry("w3", 1000))
	gang := stage(2, 1000, 2*time.Second)
	gang.Gang = true
	h.submit(gang)
	h.commit()
	require.Len(t, h.startWorkers(), 2)
	placed := h.startWorkers()
	one := h.acceptStart(placed[0])
	h.answerCall(h.mustTakeCall(CallStart, placed[1]), workerapi.Busy)
	h.commit()
	h.answerCall(h.mustTakeCall(CallStop, placed[0]), workerapi.Done)
	require.Zero(t, h.countCalls(CallStart))
	h.answerHold(placed[0], nil, finished(1, one, workerapi.EndStopped))
	h.commit()
	again := h.startWorkers()
	require.Len(t, again, 2)
	require.NotContains(t, again, placed[1])
	require.Equal(t, 2, h.mustTakeCall(CallStart, again[0]).Start.Attempt)
	require.Equal(t, 2, h.mustTakeCall(CallStart, again[1]).Start.Attempt)
}

// startWorkers returns the workers to which starts are queued.
func (h *harness) startWorkers() []string {
	var workers []string
	for _, call := range h.calls {
		if call.Kind == CallStart {
			workers = append(workers, call.Worker.Instance)
		}
	}
	return workers
}

func TestGangPrefersOneRack(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w1", 1000, "a", "r1"), listEntry("w2", 1000, "a", "r2"), listEntry("w3", 1000, "a", "r2"))
	gang := stage(2, 1000, 2*time.Second)
	gang.Gang, gang.SameRack = true, true
	h.submit(gang)
	h.commit()
	require.ElementsMatch(t, []string{"w2", "w3"}, h.startWorkers())
}

func TestWorkersAreReservedForAWaitingGang(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w1", 1000), listEntry("w2", 1000))
	h.submit(stage(2, 1000, 10*time.Second))
	h.commit()
	one, two := h.acceptStart("w1"), h.acceptStart("w2")
	gang := stage(2, 1000, time.Second)
	gang.Gang = true
	id := h.submit(gang)
	h.submit(stage(4, 1000, 30*time.Second))
	h.advance(1200 * time.Millisecond)
	h.answerHold("w1", nil, finished(1, one, workerapi.EndDone))
	h.commit()
	require.Zero(t, h.countCalls(CallStart), "w1 is reserved")
	h.answerHold("w2", nil, finished(1, two, workerapi.EndDone))
	h.advance(gangRetryInterval)
	h.commit()
	require.Len(t, h.startWorkers(), 2)
	require.Equal(t, id.String()+".0.0.0", h.mustTakeCall(CallStart, "w1").Start.Task)
}

func TestWorkerWithFailuresOfSeveralJobsIsQuarantined(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w1", 4000))
	h.submit(stage(1, 1000, time.Second))
	h.submit(stage(1, 1000, time.Second))
	h.commit()
	one, two := h.acceptStart("w1"), h.acceptStart("w1")
	ends := append(finished(1, one, workerapi.EndFailed), finished(2, two, workerapi.EndFailed)...)
	h.answerHold("w1", nil, ends)
	h.commit()
	h.submit(stage(3, 1000, time.Second))
	h.commit()
	require.Zero(t, h.countCalls(CallStart))
	h.advance(minQuarantine)
	h.commit()
	require.Equal(t, 1, h.countCalls(CallStart), "one trial")
}

func TestTaskThatFailsOnTwoWorkersDoesNotCountAgainstThem(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w1", 4000), listEntry("w2", 3000))
	h.submit(stage(1, 1000, time.Second))
	h.commit()
	h.answerHold("w2", nil, finished(1, h.acceptStart("w2"), workerapi.EndFailed))
	h.commit()
	require.Positive(t, h.sched.workers["w2"].health.suspicion(h.now))
	h.answerHold("w1", nil, finished(1, h.acceptStart("w1"), workerapi.EndFailed))
	h.commit()
	require.Zero(t, h.sched.workers["w2"].health.suspicion(h.now))
	require.Zero(t, h.sched.workers["w1"].health.suspicion(h.now))
}

func TestStalledRunIsMoved(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w1", 4000), listEntry("w2", 3000))
	h.sched.progressingRuns = minProgressingRuns
	h.submit(stage(1, 1000, time.Second))
	h.commit()
	call := h.acceptStart("w2")
	h.answerHold("w2", running(call, 0), nil)
	h.advance(stallAfter + 300*time.Millisecond)
	h.answerHold("w2", running(call, 0), nil)
	h.answerCall(h.mustTakeCall(CallStop, "w2"), workerapi.Done)
	h.answerHold("w2", nil, finished(1, call, workerapi.EndStopped))
	h.commit()
	h.mustTakeCall(CallStart, "w1")
}

// A list that this replica processes late says nothing about a run: the worker's own clock shows how long it has made no progress.
func TestListProcessedLateIsNotAStall(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	h.sched.progressingRuns = minProgressingRuns
	h.submit(stage(1, 1000, time.Second))
	h.commit()
	call := h.acceptStart("w")
	h.answerHold("w", running(call, 10), nil)
	clock := h.clockMs() + stallAfter.Milliseconds()
	h.advance(3 * stallAfter)
	for _, late := range []int64{0, 1} {
		require.Zero(t, h.countCalls(CallStop))
		reply := workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: clock + late, Running: running(call, 10)}
		h.endCall(h.mustTakeCall(CallHold, "w"), reply)
	}
	h.mustTakeCall(CallStop, "w")
}

// The tasks of a step go to one worker if it has capacity for them, rather than each to the worker that it fills best.
func TestTasksOfAStepSharePreferredWorker(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("small", 2000), listEntry("large", 8000), listEntry("other", 3000))
	h.submit(stage(4, 1000, time.Second))
	h.commit()
	for range 4 {
		h.mustTakeCall(CallStart, "large")
	}
	h.submit(stage(1, 1000, time.Second))
	h.commit()
	h.mustTakeCall(CallStart, "large") // a single task fits it best
}
