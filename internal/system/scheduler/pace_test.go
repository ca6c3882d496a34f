package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

const (
	limiterJobs        = 60
	limiterTasksPerJob = 10
	limiterWorkerCPU   = 1000 * 1000 // thousandths of a core
)

// submitWideJobs commits the acceptance of jobs with one step of many tasks.
func (h *harness) submitWideJobs(jobs int) {
	for range jobs {
		h.submit(stage(limiterTasksPerJob, 100, time.Second))
	}
}

// submitUrgent commits the acceptance of a job in the most urgent queue.
func (h *harness) submitUrgent() state.JobID {
	id := state.JobID(1 << 40)
	body, err := (&jobspec.Spec{Text: "text", Stages: []jobspec.Stage{stage(1, 100, time.Second)}}).Encode()
	require.NoError(h, err)
	h.apply(state.Command{Kind: state.KindJobAccepted, JobAccepted: &state.JobAccepted{ID: id, Route: "urgent", Service: "farm",
		MaxRetries: 3, Extension: 2, TargetLatencyMs: 1000, AcceptedMs: h.unixMs(), Body: body}})
	return id
}

// If hundreds of tasks could start at once, only a limited number of starts are in flight, and all tasks are started in the end.
func TestStartsInFlightAreBounded(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", limiterWorkerCPU))
	h.submitWideJobs(limiterJobs)
	h.commit()
	started := map[string]bool{}
	for len(started) < limiterJobs*limiterTasksPerJob {
		out := h.countCalls(CallStart)
		require.NotZero(t, out, "after %d starts", len(started))
		require.LessOrEqual(t, out, maxStartsInFlight+limiterTasksPerJob)
		if len(started) == 0 {
			require.LessOrEqual(t, out, initialStartsInFlight+limiterTasksPerJob)
		}
		call := h.mustTakeCall(CallStart, "w")
		require.False(t, started[call.Start.Task], "started again: %s", call.Start.Task)
		started[call.Start.Task] = true
		h.answerCall(call, workerapi.Done)
		h.commit()
	}
}

// Steps postponed by the limit of starts in flight start in the order of urgency, whenever they arrived.
func TestUrgentWorkOvertakesPostponedSteps(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w", limiterWorkerCPU))
	h.submitWideJobs(limiterJobs)
	h.commit()
	urgent := h.submitUrgent()
	name := state.TaskName{Job: urgent}.String()
	for range 2 * limiterTasksPerJob {
		h.answerCall(h.mustTakeCall(CallStart, "w"), workerapi.Done)
		h.commit()
		if slices.ContainsFunc(h.calls, func(call Call) bool { return call.Start.Task == name }) {
			return
		}
	}
	t.Fatal("the urgent job was not started before the postponed ones")
}

// Slow answers narrow the window, prompt ones widen it again, within bounds.
func TestStartWindowAdaptsToAnswerTimes(t *testing.T) {
	limiter := startLimiter{window: initialStartsInFlight}
	answers := callLatency{mean: 100 * time.Millisecond, baseline: 5 * time.Millisecond}
	now := time.Second
	for range 20 {
		limiter.adapt(now, &answers)
		limiter.adapt(now, &answers) // no second cut within a mean answer time
		now += answers.mean
	}
	assert.Equal(t, minStartsInFlight, limiter.window)
	answers.mean = 20 * time.Millisecond
	limiter.adapt(now, &answers)
	assert.Equal(t, minStartsInFlight+1, limiter.window)
	for range 2 * maxStartsInFlight {
		limiter.adapt(now, &answers)
	}
	assert.Equal(t, maxStartsInFlight, limiter.window)
	answers.mean = 100 * time.Millisecond
	limiter.adapt(now, &answers)
	assert.Equal(t, maxStartsInFlight-maxStartsInFlight/windowCutDivisor, limiter.window)
	limiter.adapt(now, &answers)
	assert.Equal(t, maxStartsInFlight-maxStartsInFlight/windowCutDivisor, limiter.window)
}

// A long round trip does not count as slow: what counts is the excess over the recent baseline.
func TestHighBaselineLatencyIsNotSlow(t *testing.T) {
	var answers callLatency
	for range 200 {
		answers.observe(80 * time.Millisecond)
	}
	assert.False(t, answers.slow())
	for range 200 {
		answers.observe(200 * time.Millisecond)
	}
	assert.True(t, answers.slow())
	for range 3 * baselineSamples {
		answers.observe(200 * time.Millisecond)
	}
	assert.False(t, answers.slow(), "the baseline has risen")
}

// While answers are slow in general, a start is not resent.
func TestStartIsNotResentWhileAnswersAreSlow(t *testing.T) {
	for _, slow := range []bool{false, true} {
		h := newHarness(t)
		h.list(listEntry("w", 4000))
		h.sched.latency = callLatency{mean: 12 * time.Millisecond, baseline: 2 * time.Millisecond}
		if slow {
			h.sched.latency.mean = 50 * time.Millisecond
		}
		h.submit(stage(1, 1000, time.Second))
		h.commit()
		h.advance(h.sched.latency.hedgeDelay() + 20*time.Millisecond)
		want := 2
		if slow {
			want = 1
		}
		assert.Equal(t, want, h.countCalls(CallStart))
	}
}
