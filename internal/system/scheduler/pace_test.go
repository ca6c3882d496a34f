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

// submitWideJobs takes jobs of one step into custody.
func (d *harness) submitWideJobs(jobs int) {
	for range jobs {
		d.submit(stage(limiterTasksPerJob, 100, time.Second))
	}
}

// submitUrgent takes a job of the most urgent queue into custody.
func (d *harness) submitUrgent() state.JobID {
	id := state.JobID(1 << 40)
	body, err := (&jobspec.Spec{Text: "text", Stages: []jobspec.Stage{stage(1, 100, time.Second)}}).Encode()
	require.NoError(d, err)
	d.apply(state.Command{Kind: state.KindJobAccepted, JobAccepted: &state.JobAccepted{ID: id, Route: "urgent", Service: "farm",
		MaxRetries: 3, Extension: 2, TargetLatencyMs: 1000, AcceptedMs: d.unixMs(), Body: body}})
	return id
}

// Of a thousand tasks that could start at once only so many are under way, and all of them are started in the end.
func TestStartsInFlightAreBounded(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", limiterWorkerCPU))
	d.submitWideJobs(limiterJobs)
	d.commit()
	started := map[string]bool{}
	for len(started) < limiterJobs*limiterTasksPerJob {
		out := d.countCalls(CallStart)
		require.NotZero(t, out, "after %d starts", len(started))
		require.LessOrEqual(t, out, maxStartsInFlight+limiterTasksPerJob)
		if len(started) == 0 {
			require.LessOrEqual(t, out, initialStartsInFlight+limiterTasksPerJob)
		}
		made := d.mustTakeCall(CallStart, "w")
		require.False(t, started[made.Start.Task], "started again: %s", made.Start.Task)
		started[made.Start.Task] = true
		d.answerCall(made, workerapi.Done)
		d.commit()
	}
}

// What is held back while enough starts are under way leaves in the order of urgency, whenever it came.
func TestUrgentWorkOvertakesPostponedSteps(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w", limiterWorkerCPU))
	d.submitWideJobs(limiterJobs)
	d.commit()
	urgent := d.submitUrgent()
	name := state.TaskName{Job: urgent}.String()
	for range 2 * limiterTasksPerJob {
		d.answerCall(d.mustTakeCall(CallStart, "w"), workerapi.Done)
		d.commit()
		if slices.ContainsFunc(d.calls, func(made Call) bool { return made.Start.Task == name }) {
			return
		}
	}
	t.Fatal("the urgent job waits behind the others")
}

// Slow answers narrow the window, prompt ones widen it again, within bounds.
func TestStartWindowAdaptsToAnswerTimes(t *testing.T) {
	pace := startLimiter{window: initialStartsInFlight}
	answers := callLatency{mean: 100 * time.Millisecond, baseline: 5 * time.Millisecond}
	now := time.Second
	for range 20 {
		pace.adapt(now, &answers)
		pace.adapt(now, &answers) // once in the time of an answer
		now += answers.mean
	}
	assert.Equal(t, minStartsInFlight, pace.window)
	answers.mean = 20 * time.Millisecond
	pace.adapt(now, &answers)
	assert.Equal(t, minStartsInFlight+1, pace.window)
	for range 2 * maxStartsInFlight {
		pace.adapt(now, &answers)
	}
	assert.Equal(t, maxStartsInFlight, pace.window)
	answers.mean = 100 * time.Millisecond
	pace.adapt(now, &answers)
	assert.Equal(t, maxStartsInFlight-maxStartsInFlight/windowCutDivisor, pace.window)
	pace.adapt(now, &answers)
	assert.Equal(t, maxStartsInFlight-maxStartsInFlight/windowCutDivisor, pace.window)
}

// A long way isn't slow: what counts is how much longer answers take than the quickest of late.
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
	assert.False(t, answers.slow(), "the way has become longer")
}

// While answers are slow altogether a start isn't sent a second time.
func TestStartIsNotResentWhileAnswersAreSlow(t *testing.T) {
	for _, slow := range []bool{false, true} {
		d := newHarness(t)
		d.list(listEntry("w", 4000))
		d.sched.latency = callLatency{mean: 12 * time.Millisecond, baseline: 2 * time.Millisecond}
		if slow {
			d.sched.latency.mean = 50 * time.Millisecond
		}
		d.submit(stage(1, 1000, time.Second))
		d.commit()
		d.advance(d.sched.latency.hedgeDelay() + 20*time.Millisecond)
		want := 2
		if slow {
			want = 1
		}
		assert.Equal(t, want, d.countCalls(CallStart))
	}
}
