package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/state"
)

// newShareCluster is a calm world with two workers of 8 accelerators each and a tenant that may take some of them.
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

// submitSmallTasks hands small tasks in without a pause, more than the share can take.
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

// stateOf is a job's replicated state.
func (w *simCluster) stateOf(j *simJob) state.JobState { return w.machine.Job(j.id).State }

const fourForTeff = `{"version":1,"tenants":[{"name":"teff","accelerators":4}]}`

// TestSmallTasksDoNotStarveALargeStepOfTheirTenant floods a share with small tasks: what needs much of it at once starts all the same.
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

// TestNoShareIsReservedForAStepThatCannotStart lets a share's small tasks go on beside a gang that the lasting runs leave no room for, or no worker.
func TestNoShareIsReservedForAStepThatCannotStart(t *testing.T) {
	for name, gang := range map[string]jobspec.Stage{
		"lasting runs": {Count: 3, CPU: 100, GPUs: 1, Gang: true, Estimated: time.Second},
		"no worker":    {Count: 2, CPU: 100, GPUs: 1, Gang: true, Estimated: time.Second, Requirements: []string{"nowhere"}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newShareCluster(t, fourForTeff)
			lasting := w.submitStage(jobspec.Stage{Count: 2, CPU: 100, GPUs: 1, LongRunning: true})
			w.run(w.now + time.Second)
			w.submitSmallTasks(10 * time.Second)
			held := w.submitStage(gang)
			for until := w.now; until < 12*time.Second; until += 100 * time.Millisecond {
				w.run(until)
				require.NoError(t, w.violation)
				require.Empty(t, w.sched.shares.reservations)
			}
			assert.NotEqual(t, state.Completed, held.state)
			w.cancel(lasting)
			w.cancel(held)
			require.NoError(t, w.runUntilAllOver(300*time.Second))
		})
	}
}

// TestShareIsReservedAfterAQuarterOfTheSlack looks at who may start before and after, and at what is told of those that wait.
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
	assert.Equal(t, state.Running, w.stateOf(urgent), "an earlier deadline")
	assert.Equal(t, state.Running, w.stateOf(plain), "no accelerators")
	why := w.sched.Why(later.id)
	require.Len(t, why, 1)
	assert.Contains(t, why[0].Why, "is reserved for a gang")
	require.NoError(t, w.runUntilAllOver(300*time.Second))
	for _, job := range []*simJob{running, gang, early, later, urgent, plain} {
		assert.Equal(t, state.Completed, job.state)
	}
}

// TestCancelledGangReleasesItsShareReservation frees what was kept back when its step is over.
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
