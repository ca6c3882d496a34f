package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/state"
)

// checkLate checks reported late jobs: each missed its objective, and its parts are not negative and add up to its time.
func (w *simCluster) checkLate(late []LateJob) {
	for i := range late {
		job := &late[i]
		w.stats.late++
		if job.Took <= job.Objective {
			w.violated("LATE", "%v is reported late after %v of %v", job.ID, job.Took, job.Objective)
		}
		if job.Spent.total() != job.Took {
			w.violated("LATE", "%v took %v, but its parts %v add up to %v", job.ID, job.Took, job.Spent, job.Spent.total())
		}
		for part, length := range job.Spent {
			if length < 0 {
				w.violated("LATE", "%v: negative time %v for %v", job.ID, length, Part(part))
			}
		}
	}
}

func TestSpentString(t *testing.T) {
	spent := Spent{PartCapacity: 120 * time.Millisecond, PartRun: time.Second, PartStart: time.Microsecond}
	assert.Equal(t, "room 120ms, run 1000ms", spent.String())
	for part := range PartCount {
		assert.NotEmpty(t, part.String())
	}
}

// newLateRun returns a run 100 ms after it was proposed; its task had waited 50 ms for capacity.
func newLateRun() (*Scheduler, *run) {
	s := &Scheduler{now: time.Second}
	st := &step{tasks: make([]task, 1)}
	st.tasks[0].startAccount(s.now)
	s.now += 50 * time.Millisecond
	st.tasks[0].account.enter(s.now, PartStart)
	r := &run{step: st, name: state.Run{}, spentBefore: st.tasks[0].account.spent}
	s.now += 100 * time.Millisecond
	return s, r
}

func TestTimeOfAFailedRunCountsAsFailed(t *testing.T) {
	s, r := newLateRun()
	s.enterPart(r, PartRun)
	s.now += 900 * time.Millisecond
	s.enterPart(r, PartSilent)
	s.now += 200 * time.Millisecond
	s.markWasted(r, wastedPart(state.Failed))
	s.now += 30 * time.Millisecond
	spent := r.step.spentUpTo(s.now)
	require.Equal(t, Spent{PartCapacity: 50 * time.Millisecond, PartFailed: 1200 * time.Millisecond, PartEndCommit: 30 * time.Millisecond}, spent)
}

func TestRunsThatEndWithoutFailureCountAsStopped(t *testing.T) {
	for _, how := range []state.EndReason{state.Stopped, state.Lapsed, state.GangBroken, state.GangIncomplete} {
		assert.Equal(t, PartStopped, wastedPart(how))
	}
}

func TestTimeOfADoneTaskDoesNotChange(t *testing.T) {
	s, r := newLateRun()
	r.step.tasks[0].state = taskDone
	before := r.step.tasks[0].account
	s.enterPart(r, PartSlow)
	s.markWasted(r, PartLost)
	assert.Equal(t, before, r.step.tasks[0].account)
}

// A step's time continues that of the step that it depended on.
func TestStepTimeIncludesItsUpstreamSteps(t *testing.T) {
	s, r := newLateRun()
	s.enterPart(r, PartEndCommit)
	next := &step{tasks: make([]task, 2), upstreamSpent: r.step.spentUpTo(s.now)}
	next.tasks[0].startAccount(s.now)
	next.tasks[1].startAccount(s.now)
	s.now += time.Second
	next.tasks[1].account.enter(s.now, PartEndCommit)
	assert.Equal(t, Spent{PartCapacity: 50*time.Millisecond + time.Second, PartStart: 100 * time.Millisecond}, next.spentUpTo(s.now))
}
