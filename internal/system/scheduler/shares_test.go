package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/state"
)

// randomTenant returns the tenant of a new job. In clusters without tenants it draws no random number, so that their random streams stay
// the same.
func (w *simCluster) randomTenant() string {
	if len(w.tenants) == 0 {
		return ""
	}
	return w.tenants[w.random.IntN(len(w.tenants))]
}

// checkShare compares the accelerators used by a tenant's existing runs with the ledger.
func (w *simCluster) checkShare(r *simRun) {
	if len(w.tenants) == 0 {
		return
	}
	tenant, running := r.task.job.accepted.Tenant, int64(0)
	for _, worker := range w.workers {
		for _, other := range worker.runs {
			if other.task.job.accepted.Tenant == tenant {
				running += other.task.stage.need.GPUs
			}
		}
	}
	if used := w.machine.Quotas().Used(tenant); running > used {
		w.violated("SHARE", "%d accelerators of %q are in use, but %d are counted", running, tenant, used)
	}
}

// changeShares commits a configuration with other shares.
func (w *simCluster) changeShares(most int64) {
	version := w.machine.Config().Version + 1
	body := ""
	for _, tenant := range w.tenants {
		body += fmt.Sprintf(`,{"name":%q,"accelerators":%d}`, tenant, 4+w.random.Int64N(most-3))
	}
	next := &state.ConfigReplaced{Base: version - 1, Version: version, Body: fmt.Appendf(nil, `{"version":%d,"tenants":[%s]}`, version, body[1:])}
	w.proposeUntilElected(state.Command{Kind: state.KindConfigReplaced, ConfigReplaced: next})
}

// randomAcceleratorSpec returns a random job that takes accelerators, at once no more than any share.
func (w *simCluster) randomAcceleratorSpec() *jobspec.Spec {
	spec := w.randomSpec()
	for i := range spec.Stages {
		stage := &spec.Stages[i]
		stage.GPUs = w.random.Int64N(3)
		stage.CPU = min(stage.CPU, 1500)
		stage.Requirements, stage.Colocation = nil, ""
		if stage.Gang {
			stage.Count = min(stage.Count, 2)
		}
	}
	return spec
}

func (w *simCluster) addAcceleratorFleet(workers int) {
	for i := range workers {
		w.addWorker("farm", Resources{CPU: 16000, MemoryMb: 64000, GPUs: 8}, w.chance(0.5), "a", fmt.Sprintf("rack-%d", i%3))
	}
}

func (w *simCluster) submitAcceleratorJobs(jobs int, span time.Duration) {
	for range jobs {
		w.schedule(w.between(0, span), func() {
			j := w.submit("farm", 3, w.randomAcceleratorSpec(), 0)
			if w.chance(0.1) {
				w.schedule(w.between(0, 4*time.Second), func() { w.cancel(j) })
			}
		})
	}
}

func newTenantCluster(seed uint64) *simCluster {
	w := newSimCluster(seed)
	w.random = rand.New(rand.NewPCG(seed, seed+1))
	w.tenants = []string{"teff", "rye", "oat"}
	w.addAcceleratorFleet(4)
	w.elect()
	w.changeShares(12)
	for second := range 20 {
		if w.chance(0.2) {
			w.schedule(time.Duration(second)*time.Second, func() { w.changeShares(12) })
		}
	}
	return w
}

func TestSharesAreKeptAndUsedWithoutFaults(t *testing.T) {
	for seed := range uint64(tenantSeeds) {
		w := newTenantCluster(seed)
		w.faultFree = true
		w.submitAcceleratorJobs(30, 10*time.Second)
		w.run(25 * time.Second)
		require.NoError(t, w.violation)
		require.NoError(t, w.runUntilAllOver(400*time.Second))
		require.Empty(t, w.sched.shares.proposed)
	}
}

func TestSharesAreKeptAndUsedWithFaults(t *testing.T) {
	for seed := range uint64(tenantSeeds) {
		w := newTenantCluster(seed)
		w.submitAcceleratorJobs(30, 15*time.Second)
		w.schedule(time.Second, func() { w.injectFaults(20 * time.Second) })
		w.run(35 * time.Second)
		require.NoError(t, w.violation)
		if w.sched == nil {
			w.elect()
		}
		require.NoError(t, w.runUntilAllOver(600*time.Second))
	}
}

// tenantSeeds is the number of simulations of either kind.
const tenantSeeds = 100

// Tasks beyond a used-up share are not proposed until the share is free again.
func TestStepOverItsShareIsNotProposed(t *testing.T) {
	w := newSimCluster(1)
	w.faultFree = true
	w.tenants = []string{"teff"}
	w.addAcceleratorFleet(2)
	w.elect()
	w.machine.Apply(state.Command{Kind: state.KindConfigReplaced, ConfigReplaced: &state.ConfigReplaced{Version: 1,
		Body: []byte(`{"version":1,"tenants":[{"name":"teff","accelerators":4}]}`)}})
	w.run(2 * time.Second)
	proposed := 0
	w.trace = func(command state.Command) { proposed += len(command.TasksStarting) }
	long := w.submit("farm", 3, &jobspec.Spec{Stages: []jobspec.Stage{{Count: 6, CPU: 100, GPUs: 1, Estimated: 5 * time.Second}}}, 0)
	w.run(3 * time.Second)
	assert.Equal(t, 4, proposed)
	why := w.sched.ExplainJob(long.id)
	require.Len(t, why, 6)
	assert.Equal(t, "its tenant's share of accelerators is used up", why[5].Reason)
	assert.Equal(t, map[string]TenantView{"teff": {WaitingTasks: 2, ShareBlocked: 2}}, w.sched.Tenants())
	require.NoError(t, w.runUntilAllOver(60*time.Second))
	assert.Equal(t, 6, proposed, "tasks that do not fit the share are never proposed")
}

func TestGangOverItsShareIsNotProposed(t *testing.T) {
	w := newSimCluster(1)
	w.faultFree = true
	w.tenants = []string{"teff"}
	w.addAcceleratorFleet(2)
	w.elect()
	w.machine.Apply(state.Command{Kind: state.KindConfigReplaced, ConfigReplaced: &state.ConfigReplaced{Version: 1,
		Body: []byte(`{"version":1,"tenants":[{"name":"teff","accelerators":4}]}`)}})
	w.run(2 * time.Second)
	proposed := 0
	w.trace = func(command state.Command) { proposed += len(command.TasksStarting) }
	gang := w.submit("farm", 3, &jobspec.Spec{Stages: []jobspec.Stage{{Count: 3, CPU: 100, GPUs: 2, Gang: true, Estimated: time.Second}}}, 0)
	w.run(5 * time.Second)
	assert.Zero(t, proposed)
	w.proposeUntilElected(state.Command{Kind: state.KindConfigReplaced, ConfigReplaced: &state.ConfigReplaced{Base: 1, Version: 2,
		Body: []byte(`{"version":2,"tenants":[{"name":"teff","accelerators":6}]}`)}})
	require.NoError(t, w.runUntilAllOver(60*time.Second))
	assert.Equal(t, 3, proposed)
	assert.Equal(t, state.Completed, gang.state)
}
