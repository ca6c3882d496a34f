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
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	h.submit(stage(1, 1000, time.Second))
	require.Len(t, h.commands, 1)
	require.Equal(t, state.KindTasksStarting, h.commands[0].Kind)
	h.advance(time.Second)
	require.Zero(t, h.countCalls(CallStart))
	h.commit()
	call := h.mustTakeCall(CallStart, "w")
	require.Equal(t, 1, call.Start.Attempt)
	require.Equal(t, uint64(1), call.Start.FenceToken)
	require.Equal(t, "text", call.Start.Spec)
	h.advance(500 * time.Millisecond)
	require.Equal(t, 1, h.countCalls(CallStart), "an unanswered start is resent exactly once")
	require.Equal(t, call.Start, h.mustTakeCall(CallStart, "w").Start, "the same order")
}

func TestAnsweredStartIsSentOnce(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	h.submit(stage(1, 1000, time.Second))
	h.commit()
	h.answerCall(h.mustTakeCall(CallStart, "w"), workerapi.Done)
	h.advance(500 * time.Millisecond)
	require.Zero(t, h.countCalls(CallStart))
}

func TestStartIsInDoubtWhileOneSendingIsUnanswered(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	h.submit(stage(1, 4000, time.Second))
	h.commit()
	first := h.mustTakeCall(CallStart, "w")
	h.advance(100 * time.Millisecond)
	second := h.mustTakeCall(CallStart, "w")
	h.answerCall(first, workerapi.Unknown)
	h.answerCall(second, workerapi.RefusedCapacity)
	h.commit()
	require.Zero(t, h.countCalls(CallStart), "the first sending may still be carried out")
	require.Equal(t, int64(4000), h.sched.workers["w"].used.CPU)
	h.answerHold("w", nil, nil)
	h.commit()
	require.Zero(t, h.countCalls(CallStart), "its due time has not passed on the worker's clock")
	h.advance(maxStartWindow + 50*time.Millisecond)
	h.answerHold("w", nil, nil)
	h.commit()
	require.Equal(t, 2, h.mustTakeCall(CallStart, "w").Start.Attempt)
}

// A worker may omit a run from its lists while stopping it, for as long as a stop lasts. On the benchmark (mensagem-comum-grown, quiet-1,
// invariant TWICE) a second run was started beside one that was being stopped.
func TestUnlistedRunBeingStoppedIsNotVoided(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w1", 4000), listEntry("w2", 4000))
	id := h.submit(stage(1, 4000, time.Second))
	h.commit()
	call := h.calls[0]
	for _, other := range h.calls {
		if other.Kind == CallStart {
			call = other
		}
	}
	worker := call.Worker.Instance
	h.acceptStart(worker)
	name, _ := jobspec.ParseTask(call.Start.Task)
	r := h.sched.workers[worker].runs[state.Run{Task: name, Attempt: 1}]
	h.sched.requestStop(r)
	h.drain()
	h.answerCall(h.mustTakeCall(CallStop, worker), workerapi.Done)
	h.advance(5 * time.Millisecond)
	for range h.countCalls(CallHold) {
		if hold, found := h.takeCall(CallHold, worker); found {
			h.endCall(hold, workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: h.clockMs(), Running: running(call, 5)})
		}
	}
	h.advance(300 * time.Millisecond) // a stop lasts up to 400 ms
	answered := false
	for range h.countCalls(CallHold) {
		if hold, found := h.takeCall(CallHold, worker); found {
			answered = true
			h.endCall(hold, workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: h.clockMs()})
		}
	}
	require.True(t, answered)
	h.commit()
	require.Zero(t, h.countCalls(CallStart), "it may still run")
	require.Equal(t, int64(4000), h.sched.workers[worker].used.CPU)
	require.NotNil(t, h.machine.Job(id).Task(name).Placements)
}

func TestStartRejectedByTheStateIsNotSent(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	id := h.submit(stage(1, 1000, time.Second))
	proposed := h.commands
	h.commands = nil
	h.cancel(id)
	for _, command := range proposed {
		h.apply(command)
	}
	require.Zero(t, h.countCalls(CallStart))
	require.Zero(t, h.sched.workers["w"].used.CPU)
}

func TestNothingStartsBeforeAWorkerAnsweredAHold(t *testing.T) {
	h := newHarness(t)
	h.sched.Listed(h.now, []workerapi.Instance{listEntry("w", 4000)})
	h.submit(stage(1, 1000, time.Second))
	h.commit()
	require.Zero(t, h.countCalls(CallStart))
	h.answerHold("w", nil, nil)
	h.commit()
	require.Equal(t, 1, h.countCalls(CallStart))
}

// If workers answer quickly, a start falls due soon, so that an unanswered one is soon known not to run.
func TestStartWindowFollowsAnswerTimes(t *testing.T) {
	for mean, window := range map[time.Duration]time.Duration{
		time.Millisecond:       minStartWindow,
		20 * time.Millisecond:  200 * time.Millisecond,
		500 * time.Millisecond: maxStartWindow,
	} {
		h := newHarness(t)
		h.list(listEntry("w", 4000))
		h.sched.latency.mean = mean
		read := h.clockMs()
		h.submit(stage(1, 1000, time.Second))
		h.commit()
		require.Equal(t, read+window.Milliseconds(), h.mustTakeCall(CallStart, "w").Start.DueAtMs, mean)
	}
}

func TestDueTimesCountFromALowerBoundOfTheWorkersClock(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	read := h.clockMs()
	h.advance(time.Second)
	h.submit(stage(1, 1000, time.Second))
	h.commit()
	require.Equal(t, read+1000+maxStartWindow.Milliseconds(), h.mustTakeCall(CallStart, "w").Start.DueAtMs)
	call := h.mustTakeCall(CallHold, "w")
	require.Equal(t, read+6000, call.Hold.DueAtMs)
	require.LessOrEqual(t, call.Hold.WaitMs, int64(2000))
}

func TestDoubtfulStartIsResolvedByTheWorkersClock(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	h.submit(stage(1, 4000, time.Second))
	h.commit()
	call := h.mustTakeCall(CallStart, "w")
	h.answerCall(call, workerapi.Unknown)
	h.answerHold("w", nil, nil) // the start may still be carried out
	h.commit()
	require.Equal(t, int64(4000), h.sched.workers["w"].used.CPU)
	require.Zero(t, h.countCalls(CallStart))
	h.advance(1100 * time.Millisecond)
	h.answerHold("w", nil, nil) // its due time has passed
	h.commit()
	require.Equal(t, 2, h.mustTakeCall(CallStart, "w").Start.Attempt)
}

func TestDoubtfulStartThatIsListedCountsAsRunning(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	h.submit(stage(1, 4000, time.Second))
	h.commit()
	call := h.mustTakeCall(CallStart, "w")
	h.answerCall(call, workerapi.Unknown)
	h.advance(1100 * time.Millisecond)
	h.answerHold("w", running(call, 50), nil)
	h.commit()
	require.Zero(t, h.countCalls(CallStart))
	h.answerHold("w", nil, finished(1, call, workerapi.EndDone))
	h.commit()
	require.Equal(t, state.Completed, h.machine.Job(1).State)
}

func TestRefusedStartsAreVoidedAtOnce(t *testing.T) {
	for _, outcome := range []workerapi.Outcome{
		workerapi.RefusedCapacity, workerapi.RefusedStale, workerapi.RefusedLate, workerapi.Busy, workerapi.NotSent, workerapi.BadRequest,
	} {
		t.Run(outcome.String(), func(t *testing.T) {
			h := newHarness(t)
			h.list(listEntry("w1", 4000), listEntry("w2", 3000))
			h.submit(stage(1, 1000, time.Second))
			h.commit()
			h.answerCall(h.mustTakeCall(CallStart, "w2"), outcome)
			h.commit()
			require.Equal(t, 2, h.mustTakeCall(CallStart, "w1").Start.Attempt)
			require.Zero(t, h.sched.workers["w2"].used.CPU)
		})
	}
}

func TestCapacityRefusalWithholdsOneTaskUntilASuccess(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", 4000))
	h.submit(stage(4, 1000, time.Second))
	h.commit()
	first := h.acceptStart("w")
	h.acceptStart("w")
	h.acceptStart("w")
	h.answerCall(h.mustTakeCall(CallStart, "w"), workerapi.RefusedCapacity)
	h.commit()
	require.Equal(t, int64(0), h.sched.workers["w"].free().CPU)
	h.answerHold("w", nil, finished(1, first, workerapi.EndDone))
	h.advance(2 * time.Second)
	h.commit()
	require.Equal(t, 2, h.mustTakeCall(CallStart, "w").Start.Attempt)
}

// A worker without runs has all of its capacity again, however its runs ended.
func TestWithheldCapacityReturnsWhenNothingRuns(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w1", 4000))
	cancelled := h.submit(stage(1, 1000, time.Second))
	h.commit()
	first := h.acceptStart("w1")
	h.submit(stage(1, 3000, time.Second))
	h.commit()
	h.answerCall(h.mustTakeCall(CallStart, "w1"), workerapi.RefusedCapacity)
	h.commit()
	require.Zero(t, h.countCalls(CallStart), "the refused task's capacity is withheld")
	h.cancel(cancelled)
	h.answerHold("w1", nil, finished(1, first, workerapi.EndStopped))
	h.commit()
	h.advance(restrictFor)
	h.commit()
	h.mustTakeCall(CallStart, "w1")
}
