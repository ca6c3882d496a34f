package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

// proposed counts the proposed commands of a kind.
func (d *desk) proposed(kind state.Kind) int {
	count := 0
	for _, command := range d.commands {
		if command.Kind == kind {
			count++
		}
	}
	return count
}

// look answers the hold that is out to a worker, if any is, with its lists.
func (d *desk) look(worker string, running []workerapi.RunningTask, finished []workerapi.FinishedTask) {
	if made, out := d.take(CallHold, worker); out {
		d.end(made, workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: d.clockMs(), Running: running, Finished: finished})
	}
}

func gangOf(count int) jobspec.Stage {
	gang := stage(count, 1000, 2*time.Second)
	gang.Gang = true
	return gang
}

func TestStartOnAWorkerThatLeavesMeanwhileIsNotSent(t *testing.T) {
	d := newDesk(t)
	leaving := entry("w", 4000)
	d.list(leaving)
	d.submit(stage(1, 1000, time.Second))
	leaving.State = workerapi.StateDraining
	d.sched.Listed(d.now, []workerapi.Instance{leaving})
	d.commit()
	require.Zero(t, d.count(CallStart))
	require.Empty(t, d.machine.Worker("w").Runs, "it is voided")
}

// Whatever was asked of a worker before it fell silent has to be over when its runs are given up.
func TestLossComesAfterAllThatWasEverAsked(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	d.submit(stage(1, 1000, time.Hour))
	d.commit()
	made := d.start("w")
	due := made.Start.DueAtMs
	for range 40 {
		d.pass(400 * time.Millisecond)
		if hold, out := d.take(CallHold, "w"); out {
			due = max(due, hold.Hold.DueAtMs)
			d.end(hold, workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: d.clockMs(), Running: running(made, 1)})
		}
	}
	for d.proposed(state.KindWorkerLost) == 0 {
		if hold, out := d.take(CallHold, "w"); out {
			due = max(due, hold.Hold.DueAtMs)
			d.answer(hold, workerapi.Unknown)
		}
		d.pass(10 * time.Millisecond)
	}
	require.Greater(t, d.clockMs(), due)
}

func TestNewHeadWaitsForTheHoldsOfItsPredecessor(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	d.submit(stage(1, 1000, time.Hour))
	d.commit()
	d.start("w")
	d.elect(2)
	elected := d.now
	d.sched.Listed(d.now, []workerapi.Instance{entry("w", 4000)})
	for d.proposed(state.KindWorkerLost) == 0 {
		if hold, out := d.take(CallHold, "w"); out {
			d.answer(hold, workerapi.Unknown)
		}
		d.pass(10 * time.Millisecond)
	}
	require.Greater(t, d.now-elected, d.sched.bounds.MaxHold())
}

func TestRefusalSaysNothingOfAnotherSendingThatIsOut(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	d.pass(d.sched.answers.hedge() + 10*time.Millisecond)
	require.Equal(t, 2, d.count(CallStart))
	d.answer(d.must(CallStart, "w"), workerapi.NotSent)
	require.Zero(t, d.proposed(state.KindStartsVoided))
	d.answer(d.must(CallStart, "w"), workerapi.Done)
	d.commit()
	require.Zero(t, d.count(CallStart))
}

func TestRunThatIsListedAgainIsNotHalfGone(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	d.submit(stage(1, 1000, time.Minute))
	d.commit()
	made := d.start("w")
	for _, there := range []bool{true, false, true, false} {
		d.pass(time.Second)
		if there {
			d.look("w", running(made, 1), nil)
		} else {
			d.look("w", nil, nil)
		}
	}
	require.Zero(t, d.proposed(state.KindStartsVoided))
}

func TestListOfEndsThatIsCutShortProvesNothing(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	d.submit(stage(1, 1000, time.Minute))
	d.commit()
	d.start("w")
	var ends []workerapi.FinishedTask
	for n := range workerapi.MaxFinished {
		task := fmt.Sprintf("00000000000000ff.0.0.%d", n)
		ends = append(ends, workerapi.FinishedTask{N: uint64(n + 1), Task: task, Attempt: 1, How: workerapi.HowStopped})
	}
	for range 5 {
		d.pass(time.Second)
		d.look("w", nil, ends)
	}
	require.Zero(t, d.proposed(state.KindStartsVoided))
}

func TestOlderListThatComesLaterIsPassedOver(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	d.submit(stage(1, 1000, time.Minute))
	d.commit()
	made := d.start("w")
	d.sched.answers.lossyUntil = d.now + time.Hour
	d.pass(quickAnswer)
	d.look("w", running(made, 1), nil)
	require.Equal(t, 2, d.count(CallHold))
	older := d.clockMs()
	d.pass(quickAnswer)
	d.look("w", nil, finished(1, made, workerapi.HowDone))
	d.commit()
	d.end(d.must(CallHold, "w"), workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: older, Running: running(made, 1)})
	require.Empty(t, d.sched.workers["w"].runs)
	require.Zero(t, d.count(CallStop))
}

func TestNothingStartsOnAWorkerThatIsBeingGivenUp(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	d.sched.lose(d.sched.workers["w"])
	d.submit(stage(1, 1000, time.Second))
	require.Zero(t, d.proposed(state.KindTasksStarting))
}

// gangOnTwo has a gang of two started on two workers.
func (d *desk) gangOnTwo() {
	d.list(entry("w1", 1000), entry("w2", 1000))
	d.submit(gangOf(2))
	d.commit()
	require.Len(d, d.startsOut(), 2)
}

func TestGangOfWhichAMemberIsLostIsStopped(t *testing.T) {
	d := newDesk(t)
	d.gangOnTwo()
	d.start("w1")
	d.start("w2")
	d.answer(d.must(CallHold, "w2"), workerapi.OtherLife)
	d.commit()
	d.must(CallStop, "w1")
	require.Zero(t, d.proposed(state.KindTasksStarting))
}

func TestGangOfWhichAStartIsInDoubtIsStoppedAtOnce(t *testing.T) {
	d := newDesk(t)
	d.gangOnTwo()
	d.start("w1")
	d.answer(d.must(CallStart, "w2"), workerapi.Unknown)
	d.must(CallStop, "w1")
}

func TestGangStartsUnderAnAttemptThatNoMemberHad(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w1", 1000), entry("w2", 1000), entry("w3", 1000), entry("w4", 1000))
	d.submit(gangOf(2))
	d.commit()
	for _, worker := range d.startsOut() {
		d.answer(d.must(CallStart, worker), workerapi.NotSent)
	}
	for range 20 { // not to the end, which a gang that is refused again and again has none of
		d.drain()
		if len(d.commands) > 0 {
			command := d.commands[0]
			d.commands = d.commands[1:]
			d.sched.Applied(d.now, d.machine.Apply(command))
		}
	}
	starts := d.startsOut()
	require.Len(t, starts, 2)
	for _, worker := range starts {
		require.Equal(t, 2, d.must(CallStart, worker).Start.Attempt)
	}
}

func TestStepWaitsForEachThatItDependsOn(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	last := stage(1, 1000, time.Second)
	last.DependsOn = []int{0, 1}
	d.submit(stage(1, 1000, time.Second), stage(1, 1000, time.Minute), last)
	d.commit()
	require.Equal(t, 2, d.count(CallStart))
	first := d.start("w")
	d.look("w", nil, finished(1, first, workerapi.HowDone))
	d.drain()
	require.Equal(t, 1, d.proposed(state.KindTasksEnded))
	command := d.commands[0]
	d.commands = nil
	d.sched.Applied(d.now, d.machine.Apply(command))
	d.drain()
	require.Zero(t, d.proposed(state.KindTasksStarting))
}

func TestStopIsSentAgainUntilTheRunIsGone(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	id := d.submit(stage(1, 1000, time.Minute))
	d.commit()
	made := d.start("w")
	d.cancel(id)
	for range 3 {
		d.answer(d.must(CallStop, "w"), workerapi.Done)
		d.look("w", running(made, 1), nil)
		d.pass(d.sched.bounds.Stop() + longestRetry + 10*time.Millisecond)
	}
}

func TestNothingIsAskedOfALifeThatIsOver(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	d.pass(time.Second)
	d.answer(d.must(CallHold, "w"), workerapi.OtherLife)
	d.pass(10 * time.Second)
	require.Zero(t, d.count(CallHold))
}

func TestAllOrdersCarryTheTokenOfTheirScheduler(t *testing.T) {
	d := newDesk(t)
	d.elect(9)
	d.list(entry("w", 4000))
	id := d.submit(stage(1, 1000, time.Minute))
	d.commit()
	require.EqualValues(t, 9, d.start("w").Start.FenceToken)
	d.cancel(id)
	require.EqualValues(t, 9, d.must(CallStop, "w").Stop.FenceToken)
	d.pass(time.Second)
	require.EqualValues(t, 9, d.must(CallHold, "w").Hold.FenceToken)
}

// A look that was sent before the worker told of a run isn't the first of the two that show that it is gone.
func TestLookFromBeforeARunSaysNothingOfIt(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", 4000))
	d.pass(time.Second)
	d.submit(stage(1, 1000, time.Minute))
	d.pass(10 * time.Millisecond)
	d.commit()
	d.pass(10 * time.Millisecond)
	d.start("w")
	d.look("w", nil, nil)
	d.pass(time.Second)
	for range d.count(CallHold) {
		d.look("w", nil, nil)
	}
	require.Zero(t, d.proposed(state.KindStartsVoided))
}
