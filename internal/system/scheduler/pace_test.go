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
	pacedJobs   = 60
	pacedWidth  = 10
	pacedWorker = 1000 * 1000 // thousandths of a core
)

// submitMany takes jobs of one step into custody.
func (d *desk) submitMany(jobs int) {
	for range jobs {
		d.submit(stage(pacedWidth, 100, time.Second))
	}
}

// submitUrgent takes a job of the most urgent queue into custody.
func (d *desk) submitUrgent() state.JobID {
	id := state.JobID(1 << 40)
	body, err := (&jobspec.Spec{Text: "text", Stages: []jobspec.Stage{stage(1, 100, time.Second)}}).Encode()
	require.NoError(d, err)
	d.apply(state.Command{Kind: state.KindJobAccepted, JobAccepted: &state.JobAccepted{ID: id, Route: "urgent", Service: "farm",
		MaxRetries: 3, Extension: 2, TargetLatencyMs: 1000, AcceptedMs: d.unixMs(), Body: body}})
	return id
}

// Of a thousand tasks that could start at once only so many are under way, and all of them are started in the end.
func TestStartsUnderWayAreBounded(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", pacedWorker))
	d.submitMany(pacedJobs)
	d.commit()
	started := map[string]bool{}
	for len(started) < pacedJobs*pacedWidth {
		out := d.count(CallStart)
		require.NotZero(t, out, "after %d starts", len(started))
		require.LessOrEqual(t, out, mostStarts+pacedWidth)
		if len(started) == 0 {
			require.LessOrEqual(t, out, firstStarts+pacedWidth)
		}
		made := d.must(CallStart, "w")
		require.False(t, started[made.Start.Task], "started again: %s", made.Start.Task)
		started[made.Start.Task] = true
		d.answer(made, workerapi.Done)
		d.commit()
	}
}

// What is held back while enough starts are under way leaves in the order of urgency, whenever it came.
func TestUrgentWorkGoesBeforeWhatIsPutOff(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w", pacedWorker))
	d.submitMany(pacedJobs)
	d.commit()
	urgent := d.submitUrgent()
	name := state.TaskName{Job: urgent}.String()
	for range 2 * pacedWidth {
		d.answer(d.must(CallStart, "w"), workerapi.Done)
		d.commit()
		if slices.ContainsFunc(d.calls, func(made Call) bool { return made.Start.Task == name }) {
			return
		}
	}
	t.Fatal("the urgent job waits behind the others")
}

// Slow answers narrow the window, prompt ones widen it again, within bounds.
func TestTheWindowOfStartsFollowsTheAnswers(t *testing.T) {
	pace := startPace{window: firstStarts}
	answers := answerTimes{mean: 100 * time.Millisecond, prompt: 5 * time.Millisecond}
	now := time.Second
	for range 20 {
		pace.answered(now, &answers)
		pace.answered(now, &answers) // once in the time of an answer
		now += answers.mean
	}
	assert.Equal(t, leastStarts, pace.window)
	answers.mean = 20 * time.Millisecond
	pace.answered(now, &answers)
	assert.Equal(t, leastStarts+1, pace.window)
	for range 2 * mostStarts {
		pace.answered(now, &answers)
	}
	assert.Equal(t, mostStarts, pace.window)
	answers.mean = 100 * time.Millisecond
	pace.answered(now, &answers)
	assert.Equal(t, mostStarts-mostStarts/startsCutPart, pace.window)
	pace.answered(now, &answers)
	assert.Equal(t, mostStarts-mostStarts/startsCutPart, pace.window)
}

// A long way isn't slow: what counts is how much longer answers take than the quickest of late.
func TestALongWayIsNotSlow(t *testing.T) {
	var answers answerTimes
	for range 200 {
		answers.measured(80 * time.Millisecond)
	}
	assert.False(t, answers.slow())
	for range 200 {
		answers.measured(200 * time.Millisecond)
	}
	assert.True(t, answers.slow())
	for range 3 * promptMemory {
		answers.measured(200 * time.Millisecond)
	}
	assert.False(t, answers.slow(), "the way has become longer")
}

// While answers are slow altogether a start isn't sent a second time.
func TestNoSecondSendingWhileAnswersAreSlow(t *testing.T) {
	for _, slow := range []bool{false, true} {
		d := newDesk(t)
		d.list(entry("w", 4000))
		d.sched.answers = answerTimes{mean: 12 * time.Millisecond, prompt: 2 * time.Millisecond}
		if slow {
			d.sched.answers.mean = 50 * time.Millisecond
		}
		d.submit(stage(1, 1000, time.Second))
		d.commit()
		d.pass(d.sched.answers.hedge() + 20*time.Millisecond)
		want := 2
		if slow {
			want = 1
		}
		assert.Equal(t, want, d.count(CallStart))
	}
}
