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

func (s *admissionSim) submit() {
	unfinished := 0
	for _, job := range s.machine.Jobs() {
		if !job.State.Finished() {
			unfinished++
		}
	}
	if unfinished >= maxUnfinishedJobs {
		return
	}
	s.jobs++
	stages := fmt.Sprintf(`{"count":%d,"gpus":%d,"gang":%v}`, 1+s.random.IntN(4), s.random.IntN(4), s.random.IntN(3) == 0)
	if s.random.IntN(3) == 0 {
		stages += fmt.Sprintf(`,{"count":%d,"gpus":%d,"speculative":%v,"dependsOn":[0]}`, 1+s.random.IntN(3), s.random.IntN(3), s.random.IntN(2) == 0)
	}
	job := &state.JobAccepted{ID: state.JobID(s.jobs), Route: "r", Service: "s", MaxRetries: 4, Body: []byte(`{"stages":[` + stages + `]}`),
		Tenant: tenantNames[s.random.IntN(len(tenantNames))]}
	s.commit(proposal{command: state.Command{Kind: state.KindJobAccepted, JobAccepted: job}})
}

// cancel cancels a random job. Its runs go on until they have ended.
func (s *admissionSim) cancel() {
	if s.jobs > 0 {
		id := state.JobID(1 + s.random.IntN(s.jobs))
		s.commit(proposal{command: state.Command{Kind: state.KindJobCancelled, JobCancelled: &state.JobCancelled{ID: id}}})
	}
}

// end ends a random run.
func (s *admissionSim) end() {
	worker := fmt.Sprint("w", s.random.IntN(workerCount))
	record := s.machine.Worker(worker)
	if record == nil || len(record.Runs) == 0 {
		return
	}
	runs := slices.SortedFunc(maps.Keys(record.Runs), func(a, b state.Run) int { return a.Task.Compare(b.Task) })
	how := []state.EndReason{state.Done, state.Done, state.Failed, state.Stopped, state.Lapsed}[s.random.IntN(5)]
	end := state.End{Run: runs[s.random.IntN(len(runs))], Number: record.LastSeen + 1, How: how}
	s.commit(proposal{command: state.Command{Kind: state.KindTasksEnded,
		TasksEnded: &state.TasksEnded{Worker: worker, Ends: []state.End{end}}}})
}

func (s *admissionSim) loseWorker() {
	s.commit(proposal{command: state.Command{Kind: state.KindWorkerLost, WorkerLost: fmt.Sprint("w", s.random.IntN(workerCount))}})
}

// reconfigure commits a configuration with random promises, or without tenants.
func (s *admissionSim) reconfigure() {
	plan := quota.Plan{Promised: map[string]int64{}, Pooled: s.random.IntN(2) == 0}
	body, sum := "", int64(0)
	for _, tenant := range tenantNames[1:] {
		if s.random.IntN(4) == 0 {
			continue
		}
		promised := s.random.Int64N(10)
		plan.Promised[tenant] = promised
		sum += promised
		body += fmt.Sprintf(`,{"name":%q,"accelerators":%d}`, tenant, promised)
	}
	plan.Pool = sum + s.random.Int64N(8)
	pool := ""
	if plan.Pooled {
		pool = fmt.Sprintf(`,"accelerators":%d`, plan.Pool)
	}
	if body != "" {
		body = body[1:]
	}
	version := s.machine.Config().Version + 1
	next := &state.ConfigReplaced{Base: version - 1, Version: version, Body: fmt.Appendf(nil, `{"version":%d%s,"tenants":[%s]}`, version, pool, body)}
	s.plan = plan
	result := s.commit(proposal{command: state.Command{Kind: state.KindConfigReplaced, ConfigReplaced: next}})
	require.Equal(s.t, state.Applied, result.Outcome)
}

// step performs one random action.
func (s *admissionSim) step() {
	r := s.replicas[s.random.IntN(replicaCount)]
	switch draw := s.random.IntN(100); {
	case draw < 10:
		s.submit()
	case draw < 35:
		s.admit(r)
	case draw < 60:
		s.deliver()
	case draw < 80:
		s.applyEntries(r, 1+s.random.IntN(8))
	case draw < 92:
		s.end()
	case draw < 94:
		s.cancel()
	case draw < 95:
		s.loseWorker()
	case draw < 98:
		s.reconfigure()
	default:
		s.replaceReplica(s.random.IntN(replicaCount))
	}
}

// drain lets everything in flight finish while all replicas keep admitting concurrently.
func (s *admissionSim) drain() {
	for range 1000 {
		for len(s.proposals) > 0 {
			s.deliver()
		}
		proposed := false
		for _, r := range s.replicas {
			s.applyEntries(r, len(s.chain))
		}
		for _, r := range s.replicas {
			proposed = s.admit(r) || proposed
		}
		if !proposed {
			return
		}
	}
	require.Fail(s.t, "replicas still propose starts after 1000 rounds")
}

// checkNothingStartable checks that no waiting task fits both the free capacity and its tenant's share.
func (s *admissionSim) checkNothingStartable() {
	used := usedByTenant(s.machine)
	eachTask(s.machine, func(job *state.Job, name state.TaskName, task *state.Task) {
		next := state.Start{Run: state.Run{Task: name, Attempt: 1}}
		if task != nil {
			next.Attempt = task.Attempt + 1
		}
		if !s.machine.MayStart(&next) || job.Spec.Stages[name.Step].Speculative && task != nil && len(task.Placements) > 0 {
			return
		}
		if stage := &job.Spec.Stages[name.Step]; stage.Gang && s.gangRuns(job, name) || !s.hasCapacityFor(job, name) {
			return
		}
		require.Greater(s.t, needOf(job, name), available(s.plan, used, job.Tenant), "%v of tenant %q fits but waits", name, job.Tenant)
	})
}

// gangRuns reports whether some member of a gang runs, so that the others must wait for its end.
func (s *admissionSim) gangRuns(job *state.Job, name state.TaskName) bool {
	for index := range job.Spec.Stages[name.Step].Count {
		name.Index = uint32(index)
		if task := job.Task(name); task != nil && len(task.Placements) > 0 {
			return true
		}
	}
	return false
}

func (s *admissionSim) hasCapacityFor(job *state.Job, name state.TaskName) bool {
	stage := &job.Spec.Stages[name.Step]
	wanted := 1
	if stage.Gang {
		wanted = stage.Count
	}
	for worker, room := range s.capacity {
		if stage.GPUs == 0 {
			return true
		}
		wanted -= int((room - s.usedOn(s.machine, worker)) / stage.GPUs)
	}
	return wanted <= 0
}

// run performs random actions, and drains and checks the system four times.
func (s *admissionSim) run() {
	s.reconfigure()
	for range 4 {
		for range 80 {
			s.step()
		}
		s.drain()
		s.checkNothingStartable()
	}
	for _, r := range s.replicas {
		require.Equal(s.t, s.machine.Snapshot(), r.machine.Snapshot())
	}
}

// seedCount is the number of random histories.
const seedCount = 150

// TestSharesHoldWithConcurrentAdmission has several replicas admit concurrently, each from its own lagging copy of the state, with
// takeovers, rejections by workers, worker losses, cancelled jobs and new configurations in between. No share may ever be exceeded, no
// start may be rejected while its share has room, and after draining no waiting task may fit.
func TestSharesHoldWithConcurrentAdmission(t *testing.T) {
	started, rejected := 0, 0
	for seed := range uint64(seedCount) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newAdmissionSim(t, seed)
			s.run()
			started += s.started
			rejected += s.rejected
		})
	}
	t.Logf("%d starts took effect, %d were rejected for their share", started, rejected)
	assert.Greater(t, started, 20*seedCount)
	assert.Greater(t, rejected, seedCount, "too few starts were rejected: the replicas hardly raced")
}
