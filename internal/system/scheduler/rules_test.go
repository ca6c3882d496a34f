package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

func TestStartIsOrderedOnlyOnceItsIntentIsCommitted(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	d.submit(stage(1, 1000, time.Second))
	require.Len(t, d.commands, 1)
	require.Equal(t, state.KindTasksStarting, d.commands[0].Kind)
	d.pass(time.Second)
	require.Zero(t, d.count(CallStart))
	d.commit()
	made := d.must(CallStart, "w")
	require.Equal(t, 1, made.Start.Attempt)
	require.Equal(t, uint64(1), made.Start.FenceToken)
	require.Equal(t, "text", made.Start.Spec)
	d.pass(500 * time.Millisecond)
	require.Equal(t, 1, d.count(CallStart), "a start without an answer is sent once more, and no more")
	require.Equal(t, made.Start, d.must(CallStart, "w").Start, "the same order")
}

func TestStartThatIsAnsweredIsSentOnce(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	d.answer(d.must(CallStart, "w"), workerapi.Done)
	d.pass(500 * time.Millisecond)
	require.Zero(t, d.count(CallStart))
}

func TestStartIsDoubtfulWhileOneSendingHasNoClearAnswer(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	d.submit(stage(1, 4000, time.Second))
	d.commit()
	first := d.must(CallStart, "w")
	d.pass(100 * time.Millisecond)
	second := d.must(CallStart, "w")
	d.answer(first, workerapi.Unknown)
	d.answer(second, workerapi.RefusedRoom)
	d.commit()
	require.Zero(t, d.count(CallStart), "the first sending may still be carried out")
	require.Equal(t, int64(4000), d.sched.workers["w"].used.CPU)
	d.hold("w", nil, nil)
	d.commit()
	require.Zero(t, d.count(CallStart), "its due time isn't over by the worker's clock")
	d.pass(startWindow + 50*time.Millisecond)
	d.hold("w", nil, nil)
	d.commit()
	require.Equal(t, 2, d.must(CallStart, "w").Start.Attempt)
}

// A worker may list a run nowhere while it stops it, for as long as a stop lasts. The bench showed a second run beside one that was being
// stopped: TWICE, mensagem-comum-grown, quiet-1.
func TestRunThatIsBeingStoppedIsNotTakenForGone(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w1", 4000), entry("w2", 4000))
	id := d.submit(stage(1, 4000, time.Second))
	d.commit()
	made := d.calls[0]
	for _, call := range d.calls {
		if call.Kind == CallStart {
			made = call
		}
	}
	worker := made.Worker.Instance
	d.start(worker)
	name, _ := jobspec.ParseTask(made.Start.Task)
	r := d.sched.workers[worker].runs[state.Run{Task: name, Attempt: 1}]
	d.sched.wantStop(r)
	d.drain()
	d.answer(d.must(CallStop, worker), workerapi.Done)
	d.pass(5 * time.Millisecond)
	for range d.count(CallHold) {
		if call, found := d.take(CallHold, worker); found {
			d.end(call, workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: d.clockMs(), Running: running(made, 5)})
		}
	}
	d.pass(300 * time.Millisecond) // a stop lasts up to 400 ms
	looked := false
	for range d.count(CallHold) {
		if call, found := d.take(CallHold, worker); found {
			looked = true
			d.end(call, workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: d.clockMs()})
		}
	}
	require.True(t, looked)
	d.commit()
	require.Zero(t, d.count(CallStart), "it may still run")
	require.Equal(t, int64(4000), d.sched.workers[worker].used.CPU)
	require.NotNil(t, d.machine.Job(id).Task(name).Placements)
}

func TestIntentThatDoesNotHoldIsNotOrdered(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	id := d.submit(stage(1, 1000, time.Second))
	proposed := d.commands
	d.commands = nil
	d.cancel(id)
	for _, command := range proposed {
		d.apply(command)
	}
	require.Zero(t, d.count(CallStart))
	require.Zero(t, d.sched.workers["w"].used.CPU)
}

func TestNothingIsStartedBeforeAWorkerHasAnsweredAHold(t *testing.T) {
	d := newDesk(t)
	d.sched.Listed(d.now, []workerapi.Instance{entry("w", 4000)})
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	require.Zero(t, d.count(CallStart))
	d.hold("w", nil, nil)
	d.commit()
	require.Equal(t, 1, d.count(CallStart))
}

func TestOrdersCarryLowerBoundsOfTheWorkersClock(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	read := d.clockMs()
	d.pass(time.Second)
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	require.Equal(t, read+970+startWindow.Milliseconds(), d.must(CallStart, "w").Start.DueAtMs)
	made := d.must(CallHold, "w")
	require.Equal(t, read+6000, made.Hold.DueAtMs)
	require.LessOrEqual(t, made.Hold.WaitMs, int64(2000))
}

func TestDoubtfulStartIsSettledByTheWorkersClockAlone(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	d.submit(stage(1, 4000, time.Second))
	d.commit()
	made := d.must(CallStart, "w")
	d.answer(made, workerapi.Unknown)
	d.hold("w", nil, nil) // the start may still come
	d.commit()
	require.Equal(t, int64(4000), d.sched.workers["w"].used.CPU)
	require.Zero(t, d.count(CallStart))
	d.pass(1100 * time.Millisecond)
	d.hold("w", nil, nil) // its due time is over
	d.commit()
	require.Equal(t, 2, d.must(CallStart, "w").Start.Attempt)
}

func TestDoubtfulStartThatIsListedExists(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	d.submit(stage(1, 4000, time.Second))
	d.commit()
	made := d.must(CallStart, "w")
	d.answer(made, workerapi.Unknown)
	d.pass(1100 * time.Millisecond)
	d.hold("w", running(made, 50), nil)
	d.commit()
	require.Zero(t, d.count(CallStart))
	d.hold("w", nil, finished(1, made, workerapi.HowDone))
	d.commit()
	require.Equal(t, state.Completed, d.machine.Job(1).State)
}

func TestRefusedStartsAreVoidAtOnce(t *testing.T) {
	for _, outcome := range []workerapi.Outcome{
		workerapi.RefusedRoom, workerapi.RefusedOld, workerapi.RefusedLate, workerapi.Busy, workerapi.NotSent, workerapi.BadRequest,
	} {
		t.Run(outcome.String(), func(t *testing.T) {
			d := newDesk(t)
			d.list(entry("w1", 4000), entry("w2", 3000))
			d.submit(stage(1, 1000, time.Second))
			d.commit()
			d.answer(d.must(CallStart, "w2"), outcome)
			d.commit()
			require.Equal(t, 2, d.must(CallStart, "w1").Start.Attempt)
			require.Zero(t, d.sched.workers["w2"].used.CPU)
		})
	}
}

func TestFullCostsALaneUntilACleanFinish(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	d.submit(stage(4, 1000, time.Second))
	d.commit()
	first := d.start("w")
	d.start("w")
	d.start("w")
	d.answer(d.must(CallStart, "w"), workerapi.RefusedRoom)
	d.commit()
	require.Equal(t, int64(0), d.sched.workers["w"].free().CPU)
	d.hold("w", nil, finished(1, first, workerapi.HowDone))
	d.pass(2 * time.Second)
	d.commit()
	require.Equal(t, 2, d.must(CallStart, "w").Start.Attempt)
}

// A worker that holds nothing any more has all of its room, however its runs ended.
func TestRoomThatARefusalCostIsBackOnceNothingRuns(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w1", 4000))
	cancelled := d.submit(stage(1, 1000, time.Second))
	d.commit()
	first := d.start("w1")
	d.submit(stage(1, 3000, time.Second))
	d.commit()
	d.answer(d.must(CallStart, "w1"), workerapi.RefusedRoom)
	d.commit()
	require.Zero(t, d.count(CallStart), "its room is withheld")
	d.cancel(cancelled)
	d.hold("w1", nil, finished(1, first, workerapi.HowStopped))
	d.commit()
	d.pass(carefulFor)
	d.commit()
	d.must(CallStart, "w1")
}

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
