package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

func TestStartIsSentOnlyAfterItsCommit(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	d.submit(stage(1, 1000, time.Second))
	require.Len(t, d.commands, 1)
	require.Equal(t, state.KindTasksStarting, d.commands[0].Kind)
	d.advance(time.Second)
	require.Zero(t, d.countCalls(CallStart))
	d.commit()
	made := d.mustTakeCall(CallStart, "w")
	require.Equal(t, 1, made.Start.Attempt)
	require.Equal(t, uint64(1), made.Start.FenceToken)
	require.Equal(t, "text", made.Start.Spec)
	d.advance(500 * time.Millisecond)
	require.Equal(t, 1, d.countCalls(CallStart), "a start without an answer is sent once more, and no more")
	require.Equal(t, made.Start, d.mustTakeCall(CallStart, "w").Start, "the same order")
}

func TestAnsweredStartIsSentOnce(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	d.answerCall(d.mustTakeCall(CallStart, "w"), workerapi.Done)
	d.advance(500 * time.Millisecond)
	require.Zero(t, d.countCalls(CallStart))
}

func TestStartIsInDoubtWhileOneSendingIsUnanswered(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	d.submit(stage(1, 4000, time.Second))
	d.commit()
	first := d.mustTakeCall(CallStart, "w")
	d.advance(100 * time.Millisecond)
	second := d.mustTakeCall(CallStart, "w")
	d.answerCall(first, workerapi.Unknown)
	d.answerCall(second, workerapi.RefusedRoom)
	d.commit()
	require.Zero(t, d.countCalls(CallStart), "the first sending may still be carried out")
	require.Equal(t, int64(4000), d.sched.workers["w"].used.CPU)
	d.answerHold("w", nil, nil)
	d.commit()
	require.Zero(t, d.countCalls(CallStart), "its due time isn't over by the worker's clock")
	d.advance(maxStartWindow + 50*time.Millisecond)
	d.answerHold("w", nil, nil)
	d.commit()
	require.Equal(t, 2, d.mustTakeCall(CallStart, "w").Start.Attempt)
}

// A worker may list a run nowhere while it stops it, for as long as a stop lasts. The bench showed a second run beside one that was being
// stopped: TWICE, mensagem-comum-grown, quiet-1.
func TestUnlistedRunBeingStoppedIsNotVoided(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w1", 4000), listEntry("w2", 4000))
	id := d.submit(stage(1, 4000, time.Second))
	d.commit()
	made := d.calls[0]
	for _, call := range d.calls {
		if call.Kind == CallStart {
			made = call
		}
	}
	worker := made.Worker.Instance
	d.acceptStart(worker)
	name, _ := jobspec.ParseTask(made.Start.Task)
	r := d.sched.workers[worker].runs[state.Run{Task: name, Attempt: 1}]
	d.sched.requestStop(r)
	d.drain()
	d.answerCall(d.mustTakeCall(CallStop, worker), workerapi.Done)
	d.advance(5 * time.Millisecond)
	for range d.countCalls(CallHold) {
		if call, found := d.takeCall(CallHold, worker); found {
			d.endCall(call, workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: d.clockMs(), Running: running(made, 5)})
		}
	}
	d.advance(300 * time.Millisecond) // a stop lasts up to 400 ms
	looked := false
	for range d.countCalls(CallHold) {
		if call, found := d.takeCall(CallHold, worker); found {
			looked = true
			d.endCall(call, workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: d.clockMs()})
		}
	}
	require.True(t, looked)
	d.commit()
	require.Zero(t, d.countCalls(CallStart), "it may still run")
	require.Equal(t, int64(4000), d.sched.workers[worker].used.CPU)
	require.NotNil(t, d.machine.Job(id).Task(name).Placements)
}

func TestStartRejectedByTheStateIsNotSent(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	id := d.submit(stage(1, 1000, time.Second))
	proposed := d.commands
	d.commands = nil
	d.cancel(id)
	for _, command := range proposed {
		d.apply(command)
	}
	require.Zero(t, d.countCalls(CallStart))
	require.Zero(t, d.sched.workers["w"].used.CPU)
}

func TestNothingStartsBeforeAWorkerAnsweredAHold(t *testing.T) {
	d := newHarness(t)
	d.sched.Listed(d.now, []workerapi.Instance{listEntry("w", 4000)})
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	require.Zero(t, d.countCalls(CallStart))
	d.answerHold("w", nil, nil)
	d.commit()
	require.Equal(t, 1, d.countCalls(CallStart))
}

// Where workers answer quickly a start is due soon, so that one without an answer is soon known to be over.
func TestStartWindowFollowsAnswerTimes(t *testing.T) {
	for mean, window := range map[time.Duration]time.Duration{
		time.Millisecond:       minStartWindow,
		20 * time.Millisecond:  200 * time.Millisecond,
		500 * time.Millisecond: maxStartWindow,
	} {
		d := newHarness(t)
		d.list(listEntry("w", 4000))
		d.sched.latency.mean = mean
		read := d.clockMs()
		d.submit(stage(1, 1000, time.Second))
		d.commit()
		require.Equal(t, read+window.Milliseconds(), d.mustTakeCall(CallStart, "w").Start.DueAtMs, mean)
	}
}

func TestDueTimesCountFromALowerBoundOfTheWorkersClock(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	read := d.clockMs()
	d.advance(time.Second)
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	require.Equal(t, read+1000+maxStartWindow.Milliseconds(), d.mustTakeCall(CallStart, "w").Start.DueAtMs)
	made := d.mustTakeCall(CallHold, "w")
	require.Equal(t, read+6000, made.Hold.DueAtMs)
	require.LessOrEqual(t, made.Hold.WaitMs, int64(2000))
}

func TestDoubtfulStartIsResolvedByTheWorkersClock(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	d.submit(stage(1, 4000, time.Second))
	d.commit()
	made := d.mustTakeCall(CallStart, "w")
	d.answerCall(made, workerapi.Unknown)
	d.answerHold("w", nil, nil) // the start may still come
	d.commit()
	require.Equal(t, int64(4000), d.sched.workers["w"].used.CPU)
	require.Zero(t, d.countCalls(CallStart))
	d.advance(1100 * time.Millisecond)
	d.answerHold("w", nil, nil) // its due time is over
	d.commit()
	require.Equal(t, 2, d.mustTakeCall(CallStart, "w").Start.Attempt)
}

func TestDoubtfulStartThatIsListedCountsAsRunning(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	d.submit(stage(1, 4000, time.Second))
	d.commit()
	made := d.mustTakeCall(CallStart, "w")
	d.answerCall(made, workerapi.Unknown)
	d.advance(1100 * time.Millisecond)
	d.answerHold("w", running(made, 50), nil)
	d.commit()
	require.Zero(t, d.countCalls(CallStart))
	d.answerHold("w", nil, finished(1, made, workerapi.HowDone))
	d.commit()
	require.Equal(t, state.Completed, d.machine.Job(1).State)
}

func TestRefusedStartsAreVoidedAtOnce(t *testing.T) {
	for _, outcome := range []workerapi.Outcome{
		workerapi.RefusedRoom, workerapi.RefusedOld, workerapi.RefusedLate, workerapi.Busy, workerapi.NotSent, workerapi.BadRequest,
	} {
		t.Run(outcome.String(), func(t *testing.T) {
			d := newHarness(t)
			d.list(listEntry("w1", 4000), listEntry("w2", 3000))
			d.submit(stage(1, 1000, time.Second))
			d.commit()
			d.answerCall(d.mustTakeCall(CallStart, "w2"), outcome)
			d.commit()
			require.Equal(t, 2, d.mustTakeCall(CallStart, "w1").Start.Attempt)
			require.Zero(t, d.sched.workers["w2"].used.CPU)
		})
	}
}

func TestCapacityRefusalWithholdsOneTaskUntilASuccess(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", 4000))
	d.submit(stage(4, 1000, time.Second))
	d.commit()
	first := d.acceptStart("w")
	d.acceptStart("w")
	d.acceptStart("w")
	d.answerCall(d.mustTakeCall(CallStart, "w"), workerapi.RefusedRoom)
	d.commit()
	require.Equal(t, int64(0), d.sched.workers["w"].free().CPU)
	d.answerHold("w", nil, finished(1, first, workerapi.HowDone))
	d.advance(2 * time.Second)
	d.commit()
	require.Equal(t, 2, d.mustTakeCall(CallStart, "w").Start.Attempt)
}

// A worker that holds nothing any more has all of its room, however its runs ended.
func TestWithheldCapacityReturnsWhenNothingRuns(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w1", 4000))
	cancelled := d.submit(stage(1, 1000, time.Second))
	d.commit()
	first := d.acceptStart("w1")
	d.submit(stage(1, 3000, time.Second))
	d.commit()
	d.answerCall(d.mustTakeCall(CallStart, "w1"), workerapi.RefusedRoom)
	d.commit()
	require.Zero(t, d.countCalls(CallStart), "its room is withheld")
	d.cancel(cancelled)
	d.answerHold("w1", nil, finished(1, first, workerapi.HowStopped))
	d.commit()
	d.advance(restrictFor)
	d.commit()
	d.mustTakeCall(CallStart, "w1")
}
