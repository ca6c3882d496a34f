package state_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/quota"
	"gaugeslip/internal/system/state"
)

// proposal is a command on its way to the chain. from is nil if its sender no longer waits for it.
type proposal struct {
	from    *simReplica
	command state.Command
}

// simReplica is an admitting replica. Its copy of the state lags behind the chain, and it tracks its own proposals.
type simReplica struct {
	machine          *state.Machine
	applied          int // number of chain entries that it has applied
	tracker          *quota.ProposalTracker
	inFlight         map[state.TaskName]int64  // needs of its own proposals; the chain may have ended their jobs meanwhile
	reservedOnWorker map[string]int64          // accelerators of its own proposals, by worker
	blocked          map[state.TaskName]string // tasks held back by their tenant's share until that may have changed
}

// admissionSim is a chain with several replicas that all admit, and workers that reject starts beyond their capacity.
type admissionSim struct {
	t         *testing.T
	random    *rand.Rand
	chain     []proposal
	machine   *state.Machine // state after the whole chain
	proposals []proposal
	replicas  []*simReplica
	capacity  map[string]int64
	plan      quota.Plan
	jobs      int
	rejected  int
	started   int
}

const (
	replicaCount      = 3
	workerCount       = 4
	workerCapacity    = 6
	maxUnfinishedJobs = 12
)

var tenantNames = []string{"", "teff", "rye", "oat", "none"}

func newAdmissionSim(t *testing.T, seed uint64) *admissionSim {
	s := &admissionSim{t: t, random: rand.New(rand.NewPCG(seed, 1)), machine: state.New(), capacity: map[string]int64{}}
	for index := range workerCount {
		s.capacity[fmt.Sprint("w", index)] = workerCapacity
	}
	for range replicaCount {
		s.replicas = append(s.replicas, newSimReplica(state.New(), 0))
	}
	return s
}

func newSimReplica(machine *state.Machine, applied int) *simReplica {
	return &simReplica{machine: machine, applied: applied, tracker: quota.NewProposalTracker(machine.Quotas()), inFlight: map[state.TaskName]int64{},
		reservedOnWorker: map[string]int64{}, blocked: map[state.TaskName]string{}}
}

// usedByTenant counts, from the tasks alone, the accelerators of each tenant's runs that may exist.
func usedByTenant(m *state.Machine) map[string]int64 {
	used := map[string]int64{}
	eachTask(m, func(job *state.Job, name state.TaskName, task *state.Task) {
		if task != nil {
			used[job.Tenant] += int64(len(task.Placements)) * job.Spec.Stages[name.Step].GPUs
		}
	})
	return used
}

// eachTask visits the tasks of all jobs that still have a spec, in order.
func eachTask(m *state.Machine, visit func(*state.Job, state.TaskName, *state.Task)) {
	for _, id := range slices.SortedFunc(maps.Keys(m.Jobs()), cmp.Compare[state.JobID]) {
		job := m.Job(id)
		if job.Spec == nil {
			continue
		}
		for step := range job.Spec.Stages {
			for index := range job.Spec.Stages[step].Count {
				name := state.TaskName{Job: id, Step: uint32(step), Index: uint32(index)}
				visit(job, name, job.Task(name))
			}
		}
	}
}

// available returns how many more accelerators a tenant may take under the plan.
func available(plan quota.Plan, used map[string]int64, tenant string) int64 {
	if !plan.InForce() {
		return quota.Unlimited
	}
	if promised, named := plan.Promised[tenant]; named {
		return promised - used[tenant]
	}
	rest := plan.Remainder()
	if rest == quota.Unlimited {
		return rest
	}
	for other, count := range used {
		if _, named := plan.Promised[other]; !named {
			rest -= count
		}
	}
	return rest
}

// commit appends a command to the chain, applies it, and checks its effect.
func (s *admissionSim) commit(next proposal) state.Result {
	s.chain = append(s.chain, next)
	result := s.machine.ApplyBytes(next.command.Encode())
	require.NoError(s.t, s.machine.Check())
	if next.command.Kind == state.KindTasksStarting {
		s.checkStarts(next.command.TasksStarting, result.Started)
		s.rejectOverCapacity(result.Started)
	}
	return result
}

// checkStarts checks that no share is exceeded and that no start was rejected while its share had room.
func (s *admissionSim) checkStarts(starts, started []state.Start) {
	used := usedByTenant(s.machine)
	s.started += len(started)
	for i := range started {
		job := s.machine.Job(started[i].Task.Job)
		if job.Spec.Stages[started[i].Task.Step].GPUs > 0 {
			require.GreaterOrEqual(s.t, available(s.plan, used, job.Tenant), int64(0), "tenant %q of %v", job.Tenant, s.plan)
		}
	}
	for i := range starts {
		if slices.Contains(started, starts[i]) || !s.machine.MayStart(&starts[i]) {
			continue
		}
		s.rejected++
		job := s.machine.Job(starts[i].Task.Job)
		require.Greater(s.t, needOf(job, starts[i].Task), available(s.plan, used, job.Tenant), "tenant %q of %v", job.Tenant, s.plan)
	}
}

// needOf returns the number of accelerators that must start together with a task.
func needOf(job *state.Job, name state.TaskName) int64 {
	stage := &job.Spec.Stages[name.Step]
	if stage.Gang {
		return int64(stage.Count) * stage.GPUs
	}
	return stage.GPUs
}

// rejectOverCapacity proposes to void the starts for which their worker has no capacity.
func (s *admissionSim) rejectOverCapacity(started []state.Start) {
	for i := range started {
		if s.usedOn(s.machine, started[i].Worker) > s.capacity[started[i].Worker] {
			s.proposals = append(s.proposals, proposal{command: state.Command{Kind: state.KindStartsVoided, StartsVoided: []state.Run{started[i].Run}}})
		}
	}
}

func (s *admissionSim) usedOn(m *state.Machine, worker string) int64 {
	used := int64(0)
	if record := m.Worker(worker); record != nil {
		for run := range record.Runs {
			used += m.Job(run.Task.Job).Spec.Stages[run.Task.Step].GPUs
		}
	}
	return used
}

// deliver commits one random proposal. Proposals of one sender stay in order.
func (s *admissionSim) deliver() {
	if len(s.proposals) == 0 {
		return
	}
	from := s.proposals[s.random.IntN(len(s.proposals))].from
	at := slices.IndexFunc(s.proposals, func(p proposal) bool { return p.from == from })
	next := s.proposals[at]
	s.proposals = slices.Delete(s.proposals, at, at+1)
	s.commit(next)
}

// applyEntries has a replica apply the given number of further entries.
func (s *admissionSim) applyEntries(r *simReplica, entries int) {
	for range min(entries, len(s.chain)-r.applied) {
		entry := s.chain[r.applied]
		r.applied++
		result := r.machine.ApplyBytes(entry.command.Encode())
		if entry.from == r {
			r.settle(entry.command.TasksStarting, result.Started)
		}
	}
}

func (r *simReplica) settle(starts, started []state.Start) {
	for i := range starts {
		name := starts[i].Task
		job := r.machine.Job(name.Job)
		need := r.inFlight[name]
		delete(r.inFlight, name)
		r.tracker.Settle(job.Tenant, need, slices.Contains(started, starts[i]))
		r.reservedOnWorker[starts[i].Worker] -= need
	}
}

// admit proposes the starts that a replica considers valid. Tasks that their share held back are retried after CapacityFreed returned true.
func (s *admissionSim) admit(r *simReplica) bool {
	if r.tracker.CapacityFreed() {
		clear(r.blocked)
	}
	var starts []state.Start
	eachTask(r.machine, func(job *state.Job, name state.TaskName, task *state.Task) {
		if stage := &job.Spec.Stages[name.Step]; stage.Gang && name.Index > 0 {
			return
		}
		starts = append(starts, s.admitTask(r, job, name)...)
	})
	if len(starts) == 0 {
		return false
	}
	s.proposals = append(s.proposals, proposal{from: r, command: state.Command{Kind: state.KindTasksStarting, TasksStarting: starts}})
	return true
}

// admitTask returns the starts of a task or of its whole gang, or nil if it may not start or must wait.
func (s *admissionSim) admitTask(r *simReplica, job *state.Job, name state.TaskName) []state.Start {
	names := []state.TaskName{name}
	if stage := &job.Spec.Stages[name.Step]; stage.Gang {
		for index := 1; index < stage.Count; index++ {
			names = append(names, state.TaskName{Job: name.Job, Time: name.Time, Step: name.Step, Index: uint32(index)})
		}
	}
	starts := r.nextStarts(job, names)
	if starts == nil {
		return nil
	}
	if need := needOf(job, name); !r.tracker.Fits(job.Tenant, need) {
		r.blocked[name] = job.Tenant
		return nil
	}
	return s.propose(r, job, starts)
}

// nextStarts returns the next start of each task, or nil if one of them may not start now.
func (r *simReplica) nextStarts(job *state.Job, names []state.TaskName) []state.Start {
	attempt := uint32(0)
	for _, name := range names {
		task := job.Task(name)
		if task == nil {
			continue
		}
		if len(task.Placements) > 0 {
			return nil
		}
		attempt = max(attempt, task.Attempt)
	}
	starts := make([]state.Start, len(names))
	for i, name := range names {
		starts[i] = state.Start{Run: state.Run{Task: name, Attempt: attempt + 1}}
		_, blocked := r.blocked[name]
		_, inFlight := r.inFlight[name]
		if blocked || inFlight || !r.machine.MayStart(&starts[i]) {
			return nil
		}
	}
	return starts
}

// propose assigns the starts to workers and reserves capacity, or returns nil if there isn't enough.
func (s *admissionSim) propose(r *simReplica, job *state.Job, starts []state.Start) []state.Start {
	need := job.Spec.Stages[starts[0].Task.Step].GPUs
	reserved := map[string]int64{}
	for i := range starts {
		for _, worker := range slices.Sorted(maps.Keys(s.capacity)) {
			if s.usedOn(r.machine, worker)+r.reservedOnWorker[worker]+reserved[worker]+need <= s.capacity[worker] {
				starts[i].Worker = worker
				reserved[worker] += need
				break
			}
		}
		if starts[i].Worker == "" {
			return nil
		}
	}
	for worker, amount := range reserved {
		r.reservedOnWorker[worker] += amount
	}
	for i := range starts {
		r.inFlight[starts[i].Task] = need
		r.tracker.Propose(job.Tenant, need)
	}
	return starts
}

// replaceReplica replaces a replica by a new one. Part of the proposals of the old one may still be committed.
func (s *admissionSim) replaceReplica(index int) {
	old := s.replicas[index]
	keptCount := s.random.IntN(len(s.proposals) + 1)
	var remaining []proposal
	for i, p := range s.proposals {
		if p.from != old {
			remaining = append(remaining, p)
		} else if i < keptCount {
			remaining = append(remaining, proposal{command: p.command})
		}
	}
	s.proposals = remaining
	machine := state.New()
	require.NoError(s.t, machine.Restore(old.machine.Snapshot()))
	require.Equal(s.t, old.machine.Quotas().Accounts(), machine.Quotas().Accounts())
	s.replicas[index] = newSimReplica(machine, old.applied)
}
