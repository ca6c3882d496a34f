package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/state"
)

// keepingWorld is a calm world with two workers of 8 accelerators each and a tenant that may take some of them.
func keepingWorld(t *testing.T, configuration string) *world {
	w := newWorld(1)
	w.calm = true
	w.tenants = []string{"teff"}
	w.heavyFleet(2)
	w.elect()
	w.demand(state.Command{Kind: state.KindConfigReplaced, ConfigReplaced: &state.ConfigReplaced{Version: 1, Body: []byte(configuration)}})
	w.run(2 * time.Second)
	require.NoError(t, w.fault)
	return w
}

// trickle hands small tasks in without a pause, more than the share can take.
func (w *world) trickle(span time.Duration) {
	for at := time.Duration(0); at < span; at += 200 * time.Millisecond {
		w.after(at, func() {
			w.submit("farm", 3, &jobspec.Spec{Stages: []jobspec.Stage{{Count: 2, CPU: 100, GPUs: 1, Estimated: time.Second}}}, 0)
		})
	}
}

func (w *world) jobOf(stage jobspec.Stage) *simJob {
	return w.submit("farm", 3, &jobspec.Spec{Stages: []jobspec.Stage{stage}}, 0)
}

// stateOf is a job's replicated state.
func (w *world) stateOf(j *simJob) state.JobState { return w.machine.Job(j.id).State }

const fourForTeff = `{"version":1,"tenants":[{"name":"teff","accelerators":4}]}`

// TestSmallTasksDontHoldTheirTenantsGangBack floods a share with small tasks: what needs much of it at once starts all the same.
func TestSmallTasksDontHoldTheirTenantsGangBack(t *testing.T) {
	for name, large := range map[string]jobspec.Stage{
		"gang":       {Count: 4, CPU: 100, GPUs: 1, Gang: true, Estimated: time.Second},
		"large task": {Count: 1, CPU: 100, GPUs: 4, Estimated: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			w := keepingWorld(t, fourForTeff)
			w.trickle(30 * time.Second)
			w.run(w.now + time.Second)
			job := w.jobOf(large)
			w.run(w.now + 8*time.Second)
			require.NoError(t, w.fault)
			assert.Equal(t, state.Completed, job.state)
			assert.Empty(t, w.sched.shares.keepings)
			require.NoError(t, w.finish(300*time.Second))
		})
	}
}

// TestNothingIsKeptForWhatCanNotStart lets a share's small tasks go on beside a gang that the lasting runs leave no room for, or no worker.
func TestNothingIsKeptForWhatCanNotStart(t *testing.T) {
	for name, gang := range map[string]jobspec.Stage{
		"lasting runs": {Count: 3, CPU: 100, GPUs: 1, Gang: true, Estimated: time.Second},
		"no worker":    {Count: 2, CPU: 100, GPUs: 1, Gang: true, Estimated: time.Second, Requirements: []string{"nowhere"}},
	} {
		t.Run(name, func(t *testing.T) {
			w := keepingWorld(t, fourForTeff)
			lasting := w.jobOf(jobspec.Stage{Count: 2, CPU: 100, GPUs: 1, LongRunning: true})
			w.run(w.now + time.Second)
			w.trickle(10 * time.Second)
			held := w.jobOf(gang)
			for until := w.now; until < 12*time.Second; until += 100 * time.Millisecond {
				w.run(until)
				require.NoError(t, w.fault)
				require.Empty(t, w.sched.shares.keepings)
			}
			assert.NotEqual(t, state.Completed, held.state)
			w.cancel(lasting)
			w.cancel(held)
			require.NoError(t, w.finish(300*time.Second))
		})
	}
}

// TestAShareIsKeptAfterAQuarterOfTheSlack looks at who may start before and after, and at what is told of those that wait.
func TestAShareIsKeptAfterAQuarterOfTheSlack(t *testing.T) {
	w := keepingWorld(t, fourForTeff)
	running := w.jobOf(jobspec.Stage{Count: 2, CPU: 100, GPUs: 1, Estimated: 20 * time.Second})
	w.run(w.now + 500*time.Millisecond)
	gang := w.jobOf(jobspec.Stage{Count: 4, CPU: 100, GPUs: 1, Gang: true, Estimated: 12 * time.Second})
	gangAt := w.now
	w.run(w.now + 500*time.Millisecond)
	early := w.jobOf(jobspec.Stage{Count: 1, CPU: 100, GPUs: 1, Estimated: 16 * time.Second})
	w.run(w.now + 500*time.Millisecond)
	assert.Equal(t, state.Running, w.stateOf(early))
	assert.Empty(t, w.sched.shares.keepings)

	st := w.sched.jobs[gang.id].times[0].steps[0]
	w.run(st.keepFrom() + time.Second)
	require.NotNil(t, w.sched.shares.keepingFor(st), "after %v", w.now-gangAt)
	later := w.jobOf(jobspec.Stage{Count: 1, CPU: 100, GPUs: 1, Estimated: 16 * time.Second})
	urgent := w.jobOf(jobspec.Stage{Count: 1, CPU: 100, GPUs: 1, Estimated: time.Second})
	plain := w.jobOf(jobspec.Stage{Count: 1, CPU: 100, Estimated: 16 * time.Second})
	w.run(w.now + 500*time.Millisecond)
	assert.Equal(t, state.Pending, w.stateOf(later))
	assert.Equal(t, state.Running, w.stateOf(urgent), "an earlier deadline")
	assert.Equal(t, state.Running, w.stateOf(plain), "no accelerators")
	why := w.sched.Why(later.id)
	require.Len(t, why, 1)
	assert.Contains(t, why[0].Why, "is kept for a gang")
	require.NoError(t, w.finish(300*time.Second))
	for _, job := range []*simJob{running, gang, early, later, urgent, plain} {
		assert.Equal(t, state.Completed, job.state)
	}
}

// TestACancelledGangKeepsNothing frees what was kept back when its step is over.
func TestACancelledGangKeepsNothing(t *testing.T) {
	w := keepingWorld(t, fourForTeff)
	w.jobOf(jobspec.Stage{Count: 3, CPU: 100, GPUs: 1, Estimated: 30 * time.Second})
	w.run(w.now + 500*time.Millisecond)
	gang := w.jobOf(jobspec.Stage{Count: 2, CPU: 100, GPUs: 1, Gang: true, Estimated: time.Second})
	w.run(w.now + 4*time.Second)
	require.Len(t, w.sched.shares.keepings, 1)
	later := w.jobOf(jobspec.Stage{Count: 1, CPU: 100, GPUs: 1, Estimated: 5 * time.Second})
	w.run(w.now + 500*time.Millisecond)
	assert.Equal(t, state.Pending, w.stateOf(later))
	w.cancel(gang)
	w.run(w.now + 500*time.Millisecond)
	assert.Equal(t, state.Running, w.stateOf(later))
	assert.Empty(t, w.sched.shares.keepings)
	require.NoError(t, w.finish(300*time.Second))
}
