package state_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/quota"
	"gaugeslip/internal/system/state"
)

func (w *admissionSim) submit() {
	held := 0
	for _, job := range w.machine.Jobs() {
		if !job.State.Over() {
			held++
		}
	}
	if held >= maxUnfinishedJobs {
		return
	}
	w.jobs++
	stages := fmt.Sprintf(`{"count":%d,"gpus":%d,"gang":%v}`, 1+w.random.IntN(4), w.random.IntN(4), w.random.IntN(3) == 0)
	if w.random.IntN(3) == 0 {
		stages += fmt.Sprintf(`,{"count":%d,"gpus":%d,"speculative":%v,"dependsOn":[0]}`, 1+w.random.IntN(3), w.random.IntN(3), w.random.IntN(2) == 0)
	}
	job := &state.JobAccepted{ID: state.JobID(w.jobs), Route: "r", Service: "s", MaxRetries: 4, Body: []byte(`{"stages":[` + stages + `]}`),
		Tenant: tenantNames[w.random.IntN(len(tenantNames))]}
	w.commit(proposal{command: state.Command{Kind: state.KindJobAccepted, JobAccepted: job}})
}

// cancel cancels a random job. Its runs go on until they have ended.
func (w *admissionSim) cancel() {
	if w.jobs > 0 {
		id := state.JobID(1 + w.random.IntN(w.jobs))
		w.commit(proposal{command: state.Command{Kind: state.KindJobCancelled, JobCancelled: &state.JobCancelled{ID: id}}})
	}
}

// end ends a random run.
func (w *admissionSim) end() {
	worker := fmt.Sprint("w", w.random.IntN(workerCount))
	record := w.machine.Worker(worker)
	if record == nil || len(record.Runs) == 0 {
		return
	}
	runs := slices.SortedFunc(maps.Keys(record.Runs), func(a, b state.Run) int { return a.Task.Compare(b.Task) })
	how := []state.How{state.Done, state.Done, state.Failed, state.Stopped, state.Lapsed}[w.random.IntN(5)]
	end := state.End{Run: runs[w.random.IntN(len(runs))], Number: record.LastSeen + 1, How: how}
	w.commit(proposal{command: state.Command{Kind: state.KindTasksEnded,
		TasksEnded: &state.TasksEnded{Worker: worker, Ends: []state.End{end}}}})
}

func (w *admissionSim) loseWorker() {
	w.commit(proposal{command: state.Command{Kind: state.KindWorkerLost, WorkerLost: fmt.Sprint("w", w.random.IntN(workerCount))}})
}

// reconfigure commits a configuration with random promises, or without tenants.
func (w *admissionSim) reconfigure() {
	plan := quota.Plan{Promised: map[string]int64{}, Pooled: w.random.IntN(2) == 0}
	body, sum := "", int64(0)
	for _, tenant := range tenantNames[1:] {
		if w.random.IntN(4) == 0 {
			continue
		}
		promised := w.random.Int64N(10)
		plan.Promised[tenant] = promised
		sum += promised
		body += fmt.Sprintf(`,{"name":%q,"accelerators":%d}`, tenant, promised)
	}
	plan.Pool = sum + w.random.Int64N(8)
	pool := ""
	if plan.Pooled {
		pool = fmt.Sprintf(`,"accelerators":%d`, plan.Pool)
	}
	if body != "" {
		body = body[1:]
	}
	version := w.machine.Config().Version + 1
	next := &state.ConfigReplaced{Base: version - 1, Version: version, Body: fmt.Appendf(nil, `{"version":%d%s,"tenants":[%s]}`, version, pool, body)}
	w.plan = plan
	result := w.commit(proposal{command: state.Command{Kind: state.KindConfigReplaced, ConfigReplaced: next}})
	require.Equal(w.t, state.Applied, result.Outcome)
}

// step performs one random action.
func (w *admissionSim) step() {
	a := w.replicas[w.random.IntN(replicaCount)]
	switch draw := w.random.IntN(100); {
	case draw < 10:
		w.submit()
	case draw < 35:
		w.admit(a)
	case draw < 60:
		w.deliver()
	case draw < 80:
		w.applyEntries(a, 1+w.random.IntN(8))
	case draw < 92:
		w.end()
	case draw < 94:
		w.cancel()
	case draw < 95:
		w.loseWorker()
	case draw < 98:
		w.reconfigure()
	default:
		w.replaceReplica(w.random.IntN(replicaCount))
	}
}

// drain lets everything in flight finish while all replicas keep admitting concurrently.
func (w *admissionSim) drain() {
	for range 1000 {
		for len(w.proposals) > 0 {
			w.deliver()
		}
		proposed := false
		for _, a := range w.replicas {
			w.applyEntries(a, len(w.chain))
		}
		for _, a := range w.replicas {
			proposed = w.admit(a) || proposed
		}
		if !proposed {
			return
		}
	}
	require.Fail(w.t, "replicas still propose starts after 1000 rounds")
}

// checkNothingStartable checks that no waiting task fits both the free capacity and its tenant's share.
func (w *admissionSim) checkNothingStartable() {
	used := usedByTenant(w.machine)
	eachTask(w.machine, func(job *state.Job, name state.TaskName, task *state.Task) {
		next := state.Start{Run: state.Run{Task: name, Attempt: 1}}
		if task != nil {
			next.Attempt = task.Attempt + 1
		}
		if !w.machine.MayStart(&next) || job.Spec.Stages[name.Step].Speculative && task != nil && len(task.Placements) > 0 {
			return
		}
		if stage := &job.Spec.Stages[name.Step]; stage.Gang && w.gangRuns(job, name) || !w.hasCapacityFor(job, name) {
			return
		}
		require.Greater(w.t, needOf(job, name), available(w.plan, used, job.Tenant), "%v of tenant %q fits but waits", name, job.Tenant)
	})
}

// gangRuns reports whether some member of a gang runs, so that the others must wait for its end.
func (w *admissionSim) gangRuns(job *state.Job, name state.TaskName) bool {
	for index := range job.Spec.Stages[name.Step].Count {
		name.Index = uint32(index)
		if task := job.Task(name); task != nil && len(task.Placements) > 0 {
			return true
		}
	}
	return false
}

func (w *admissionSim) hasCapacityFor(job *state.Job, name state.TaskName) bool {
	stage := &job.Spec.Stages[name.Step]
	wanted := 1
	if stage.Gang {
		wanted = stage.Count
	}
	for worker, room := range w.capacity {
		if stage.GPUs == 0 {
			return true
		}
		wanted -= int((room - w.usedOn(w.machine, worker)) / stage.GPUs)
	}
	return wanted <= 0
}

// run performs random actions, and drains and checks the system four times.
func (w *admissionSim) run() {
	w.reconfigure()
	for range 4 {
		for range 80 {
			w.step()
		}
		w.drain()
		w.checkNothingStartable()
	}
	for _, a := range w.replicas {
		require.Equal(w.t, w.machine.Snapshot(), a.machine.Snapshot())
	}
}

// seedCount is the number of random histories.
const seedCount = 150

// TestSharesHoldWithConcurrentAdmission has several replicas admit concurrently, each from its own lagging copy of the state, with
// takeovers, rejections by workers, worker losses, cancelled jobs and new configurations in between. No share may ever be exceeded, no
// start may be rejected while its share has room, and after draining no waiting task may fit.
func TestSharesHoldWithConcurrentAdmission(t *testing.T) {
	started, refused := 0, 0
	for seed := range uint64(seedCount) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newAdmissionSim(t, seed)
			w.run()
			started += w.started
			refused += w.rejected
		})
	}
	t.Logf("%d starts took effect, %d were rejected for their share", started, refused)
	assert.Greater(t, started, 20*seedCount)
	assert.Greater(t, refused, seedCount, "too few starts were rejected: the replicas hardly raced")
}
