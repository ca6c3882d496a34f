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

// drawTenant draws whose a job is. Worlds without tenants draw nothing, and stay as they are.
func (w *world) drawTenant() string {
	if len(w.tenants) == 0 {
		return ""
	}
	return w.tenants[w.random.IntN(len(w.tenants))]
}

// checkShare compares what really runs of a tenant with the ledger.
func (w *world) checkShare(r *simRun) {
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
		w.violated("SHARE", "%d accelerators of %q run, counted are %d", running, tenant, used)
	}
}

// promise puts other shares in force.
func (w *world) promise(most int64) {
	version := w.machine.Config().Version + 1
	body := ""
	for _, tenant := range w.tenants {
		body += fmt.Sprintf(`,{"name":%q,"accelerators":%d}`, tenant, 4+w.random.Int64N(most-3))
	}
	next := &state.ConfigReplaced{Base: version - 1, Version: version, Body: fmt.Appendf(nil, `{"version":%d,"tenants":[%s]}`, version, body[1:])}
	w.demand(state.Command{Kind: state.KindConfigReplaced, ConfigReplaced: next})
}

// heavy draws a job that takes accelerators, no more than any share at once.
func (w *world) heavy() *jobspec.Spec {
	spec := w.mixture()
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

func (w *world) heavyFleet(workers int) {
	for i := range workers {
		w.addWorker("farm", Resources{CPU: 16000, MemoryMb: 64000, GPUs: 8}, w.chance(0.5), "a", fmt.Sprintf("rack-%d", i%3))
	}
}

func (w *world) heavyLoad(jobs int, span time.Duration) {
	for range jobs {
		w.after(w.between(0, span), func() {
			j := w.submit("farm", 3, w.heavy(), 0)
			if w.chance(0.1) {
				w.after(w.between(0, 4*time.Second), func() { w.cancel(j) })
			}
		})
	}
}

func tenantWorld(seed uint64) *world {
	w := newWorld(seed)
	w.random = rand.New(rand.NewPCG(seed, seed+1))
	w.tenants = []string{"teff", "rye", "oat"}
	w.heavyFleet(4)
	w.elect()
	w.promise(12)
	for second := range 20 {
		if w.chance(0.2) {
			w.after(time.Duration(second)*time.Second, func() { w.promise(12) })
		}
	}
	return w
}

func TestSharesAreHeldAndUsedInACalmWorld(t *testing.T) {
	for seed := range uint64(tenantSeeds) {
		w := tenantWorld(seed)
		w.calm = true
		w.heavyLoad(30, 10*time.Second)
		w.run(25 * time.Second)
		require.NoError(t, w.fault)
		require.NoError(t, w.finish(400*time.Second))
		require.Empty(t, w.sched.shares.proposed)
	}
}

func TestSharesAreHeldAndUsedInATroubledWorld(t *testing.T) {
	for seed := range uint64(tenantSeeds) {
		w := tenantWorld(seed)
		w.heavyLoad(30, 15*time.Second)
		w.after(time.Second, func() { w.trouble(20 * time.Second) })
		w.run(35 * time.Second)
		require.NoError(t, w.fault)
		if w.sched == nil {
			w.elect()
		}
		require.NoError(t, w.finish(600*time.Second))
	}
}

// tenantSeeds is how many worlds of either kind are played.
const tenantSeeds = 100

// TestAStepThatItsShareKeepsBackWaitsForItAlone looks at what is proposed while a share is used up, and once it is free again.
func TestAStepThatItsShareKeepsBackWaitsForItAlone(t *testing.T) {
	w := newWorld(1)
	w.calm = true
	w.tenants = []string{"teff"}
	w.heavyFleet(2)
	w.elect()
	w.machine.Apply(state.Command{Kind: state.KindConfigReplaced, ConfigReplaced: &state.ConfigReplaced{Version: 1,
		Body: []byte(`{"version":1,"tenants":[{"name":"teff","accelerators":4}]}`)}})
	w.run(2 * time.Second)
	proposed := 0
	w.trace = func(command state.Command) { proposed += len(command.TasksStarting) }
	long := w.submit("farm", 3, &jobspec.Spec{Stages: []jobspec.Stage{{Count: 6, CPU: 100, GPUs: 1, Estimated: 5 * time.Second}}}, 0)
	w.run(3 * time.Second)
	assert.Equal(t, 4, proposed)
	why := w.sched.Why(long.id)
	require.Len(t, why, 6)
	assert.Equal(t, "its tenant's share of accelerators is used up", why[5].Why)
	assert.Equal(t, map[string]TenantView{"teff": {Held: 2, KeptBack: 2}}, w.sched.Tenants())
	require.NoError(t, w.finish(60*time.Second))
	assert.Equal(t, 6, proposed, "what doesn't fit is never proposed")
}

func TestAGangThatItsShareHasNoRoomForIsNeverProposed(t *testing.T) {
	w := newWorld(1)
	w.calm = true
	w.tenants = []string{"teff"}
	w.heavyFleet(2)
	w.elect()
	w.machine.Apply(state.Command{Kind: state.KindConfigReplaced, ConfigReplaced: &state.ConfigReplaced{Version: 1,
		Body: []byte(`{"version":1,"tenants":[{"name":"teff","accelerators":4}]}`)}})
	w.run(2 * time.Second)
	proposed := 0
	w.trace = func(command state.Command) { proposed += len(command.TasksStarting) }
	gang := w.submit("farm", 3, &jobspec.Spec{Stages: []jobspec.Stage{{Count: 3, CPU: 100, GPUs: 2, Gang: true, Estimated: time.Second}}}, 0)
	w.run(5 * time.Second)
	assert.Zero(t, proposed)
	w.demand(state.Command{Kind: state.KindConfigReplaced, ConfigReplaced: &state.ConfigReplaced{Base: 1, Version: 2,
		Body: []byte(`{"version":2,"tenants":[{"name":"teff","accelerators":6}]}`)}})
	require.NoError(t, w.finish(60*time.Second))
	assert.Equal(t, 3, proposed)
	assert.Equal(t, state.Completed, gang.state)
}
