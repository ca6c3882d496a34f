package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/state"
)

// newShareCluster returns a cluster without faults that has two workers with 8 accelerators each and one tenant with a share of some of
// them.
func newShareCluster(t *testing.T, configuration string) *simCluster {
	w := newSimCluster(1)
	w.faultFree = true
	w.tenants = []string{"teff"}
	w.addAcceleratorFleet(2)
	w.elect()
	w.proposeUntilElected(state.Command{Kind: state.KindConfigReplaced, ConfigReplaced: &state.ConfigReplaced{Version: 1, Body: []byte(configuration)}})
	w.run(2 * time.Second)
	require.NoError(t, w.violation)
	return w
}

// submitSmallTasks submits small tasks at a steady rate, more than the share can take.
func (w *simCluster) submitSmallTasks(span time.Duration) {
	for at := time.Duration(0); at < span; at += 200 * time.Millisecond {
		w.schedule(at, func() {
			w.submit("farm", 3, &jobspec.Spec{Stages: []jobspec.Stage{{Count: 2, CPU: 100, GPUs: 1, Estimated: time.Second}}}, 0)
		})
	}
}

func (w *simCluster) submitStage(stage jobspec.Stage) *simJob {
	return w.submit("farm", 3, &jobspec.Spec{Stages: []jobspec.Stage{stage}}, 0)
}

// stateOf returns a job's replicated state.
func (w *simCluster) stateOf(j *simJob) state.JobState { return w.machine.Job(j.id).State }

const fourForTeff = `{"version":1,"tenants":[{"name":"teff","accelerators":4}]}`

// A step that needs much of a share at once starts although small tasks of its tenant flood the share.
func TestSmallTasksDoNotStarveALargeStepOfTheirTenant(t *testing.T) {
	for name, large := range map[string]jobspec.Stage{
		"gang":       {Count: 4, CPU: 100, GPUs: 1, Gang: true, Estimated: time.Second},
		"large task": {Count: 1, CPU: 100, GPUs: 4, Estimated: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			w := newShareCluster(t, fourForTeff)
			w.submitSmallTasks(30 * time.Second)
			w.run(w.now + time.Second)
			job := w.submitStage(large)
			w.run(w.now + 8*time.Second)
			require.NoError(t, w.violation)
			assert.Equal(t, state.Completed, job.state)
			assert.Empty(t, w.sched.shares.reservations)
			require.NoError(t, w.runUntilAllOver(300*time.Second))
		})
	}
}

// Small tasks of a tenant continue beside a gang that cannot start, because long-running tasks take too much of the share or because no
// worker has its labels.
func TestNoShareIsReservedForAStepThatCannotStart(t *testing.T) {
	for name, gang := range map[string]jobspec.Stage{
		"long-running tasks": {Count: 3, CPU: 100, GPUs: 1, Gang: true, Estimated: time.Second},
		"no worker":          {Count: 2, CPU: 100, GPUs: 1, Gang: true, Estimated: time.Second, Requirements: []string{"nowhere"}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newShareCluster(t, fourForTeff)
			longRunning := w.submitStage(jobspec.Stage{Count: 2, CPU: 100, GPUs: 1, LongRunning: true})
			w.run(w.now + time.Second)
			w.submitSmallTasks(10 * time.Second)
			blocked := w.submitStage(gang)
			for until := w.now; until < 12*time.Second; until += 100 * time.Millisecond {
				w.run(until)
				require.NoError(t, w.violation)
				require.Empty(t, w.sched.shares.reservations)
			}
			assert.NotEqual(t, state.Completed, blocked.state)
			w.cancel(longRunning)
			w.cancel(blocked)
			require.NoError(t, w.runUntilAllOver(300*time.Second))
		})
	}
}

// Before a quarter of a gang's slack has passed, other steps may use the share; after that, only steps with earlier deadlines or without
// accelerators start.
func TestShareIsReservedAfterAQuarterOfTheSlack(t *testing.T) {
	w := newShareCluster(t, fourForTeff)
	running := w.submitStage(jobspec.Stage{Count: 2, CPU: 100, GPUs: 1, Estimated: 20 * time.Second})
	w.run(w.now + 500*time.Millisecond)
	gang := w.submitStage(jobspec.Stage{Count: 4, CPU: 100, GPUs: 1, Gang: true, Estimated: 12 * time.Second})
	gangAt := w.now
	w.run(w.now + 500*time.Millisecond)
	early := w.submitStage(jobspec.Stage{Count: 1, CPU: 100, GPUs: 1, Estimated: 16 * time.Second})
	w.run(w.now + 500*time.Millisecond)
	assert.Equal(t, state.Running, w.stateOf(early))
	assert.Empty(t, w.sched.shares.reservations)

	st := w.sched.jobs[gang.id].occurrences[0].steps[0]
	w.run(st.shareReserveFrom() + time.Second)
	require.NotNil(t, w.sched.shares.reservationFor(st), "after %v", w.now-gangAt)
	later := w.submitStage(jobspec.Stage{Count: 1, CPU: 100, GPUs: 1, Estimated: 16 * time.Second})
	urgent := w.submitStage(jobspec.Stage{Count: 1, CPU: 100, GPUs: 1, Estimated: time.Second})
	plain := w.submitStage(jobspec.Stage{Count: 1, CPU: 100, Estimated: 16 * time.Second})
	w.run(w.now + 500*time.Millisecond)
	assert.Equal(t, state.Pending, w.stateOf(later))
	assert.Equal(t, state.Running, w.stateOf(urgent), "it has an earlier deadline")
	assert.Equal(t, state.Running, w.stateOf(plain), "it needs no accelerators")
	why := w.sched.ExplainJob(later.id)
	require.Len(t, why, 1)
	assert.Contains(t, why[0].Reason, "is reserved for a gang")
	require.NoError(t, w.runUntilAllOver(300*time.Second))
	for _, job := range []*simJob{running, gang, early, later, urgent, plain} {
		assert.Equal(t, state.Completed, job.state)
	}
}

// Cancelling a gang releases its share reservation.
func TestCancelledGangReleasesItsShareReservation(t *testing.T) {
	w := newShareCluster(t, fourForTeff)
	w.submitStage(jobspec.Stage{Count: 3, CPU: 100, GPUs: 1, Estimated: 30 * time.Second})
	w.run(w.now + 500*time.Millisecond)
	gang := w.submitStage(jobspec.Stage{Count: 2, CPU: 100, GPUs: 1, Gang: true, Estimated: time.Second})
	w.run(w.now + 4*time.Second)
	require.Len(t, w.sched.shares.reservations, 1)
	later := w.submitStage(jobspec.Stage{Count: 1, CPU: 100, GPUs: 1, Estimated: 5 * time.Second})
	w.run(w.now + 500*time.Millisecond)
	assert.Equal(t, state.Pending, w.stateOf(later))
	w.cancel(gang)
	w.run(w.now + 500*time.Millisecond)
	assert.Equal(t, state.Running, w.stateOf(later))
	assert.Empty(t, w.sched.shares.reservations)
	require.NoError(t, w.runUntilAllOver(300*time.Second))
}
