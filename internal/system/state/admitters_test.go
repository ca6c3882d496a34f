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
	desk             *quota.Desk
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
	w := &admissionSim{t: t, random: rand.New(rand.NewPCG(seed, 1)), machine: state.New(), capacity: map[string]int64{}}
	for index := range workerCount {
		w.capacity[fmt.Sprint("w", index)] = workerCapacity
	}
	for range replicaCount {
		w.replicas = append(w.replicas, newSimReplica(state.New(), 0))
	}
	return w
}

func newSimReplica(machine *state.Machine, seen int) *simReplica {
	return &simReplica{machine: machine, applied: seen, desk: quota.NewDesk(machine.Quotas()), inFlight: map[state.TaskName]int64{},
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
	rest := plan.Rest()
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
func (w *admissionSim) commit(sent proposal) state.Result {
	w.chain = append(w.chain, sent)
	result := w.machine.ApplyBytes(sent.command.Encode())
	require.NoError(w.t, w.machine.Check())
	if sent.command.Kind == state.KindTasksStarting {
		w.checkStarts(sent.command.TasksStarting, result.Started)
		w.rejectOverCapacity(result.Started)
	}
	return result
}

// checkStarts checks that no share is exceeded and that no start was rejected while its share had room.
func (w *admissionSim) checkStarts(starts, held []state.Start) {
	used := usedByTenant(w.machine)
	w.started += len(held)
	for i := range held {
		job := w.machine.Job(held[i].Task.Job)
		if job.Spec.Stages[held[i].Task.Step].GPUs > 0 {
			require.GreaterOrEqual(w.t, available(w.plan, used, job.Tenant), int64(0), "tenant %q of %v", job.Tenant, w.plan)
		}
	}
	for i := range starts {
		if slices.Contains(held, starts[i]) || !w.machine.MayStart(&starts[i]) {
			continue
		}
		w.rejected++
		job := w.machine.Job(starts[i].Task.Job)
		require.Greater(w.t, needOf(job, starts[i].Task), available(w.plan, used, job.Tenant), "tenant %q of %v", job.Tenant, w.plan)
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
func (w *admissionSim) rejectOverCapacity(held []state.Start) {
	for i := range held {
		if w.usedOn(w.machine, held[i].Worker) > w.capacity[held[i].Worker] {
			w.proposals = append(w.proposals, proposal{command: state.Command{Kind: state.KindStartsVoided, StartsVoided: []state.Run{held[i].Run}}})
		}
	}
}

func (w *admissionSim) usedOn(m *state.Machine, worker string) int64 {
	taken := int64(0)
	if record := m.Worker(worker); record != nil {
		for run := range record.Runs {
			taken += m.Job(run.Task.Job).Spec.Stages[run.Task.Step].GPUs
		}
	}
	return taken
}

// deliver commits one random proposal. Proposals of one sender stay in order.
func (w *admissionSim) deliver() {
	if len(w.proposals) == 0 {
		return
	}
	from := w.proposals[w.random.IntN(len(w.proposals))].from
	at := slices.IndexFunc(w.proposals, func(p proposal) bool { return p.from == from })
	next := w.proposals[at]
	w.proposals = slices.Delete(w.proposals, at, at+1)
	w.commit(next)
}

// applyEntries has a replica apply the given number of further entries.
func (w *admissionSim) applyEntries(a *simReplica, entries int) {
	for range min(entries, len(w.chain)-a.applied) {
		entry := w.chain[a.applied]
		a.applied++
		result := a.machine.ApplyBytes(entry.command.Encode())
		if entry.from == a {
			a.settle(entry.command.TasksStarting, result.Started)
		}
	}
}

func (a *simReplica) settle(starts, held []state.Start) {
	for i := range starts {
		name := starts[i].Task
		job := a.machine.Job(name.Job)
		need := a.inFlight[name]
		delete(a.inFlight, name)
		a.desk.Settle(job.Tenant, need, slices.Contains(held, starts[i]))
		a.reservedOnWorker[starts[i].Worker] -= need
	}
}

// admit proposes the starts that a replica considers valid. A task that its share held back is retried only after Moved returned true.
func (w *admissionSim) admit(a *simReplica) bool {
	if a.desk.Moved() {
		clear(a.blocked)
	}
	var starts []state.Start
	eachTask(a.machine, func(job *state.Job, name state.TaskName, task *state.Task) {
		if stage := &job.Spec.Stages[name.Step]; stage.Gang && name.Index > 0 {
			return
		}
		starts = append(starts, w.admitTask(a, job, name)...)
	})
	if len(starts) == 0 {
		return false
	}
	w.proposals = append(w.proposals, proposal{from: a, command: state.Command{Kind: state.KindTasksStarting, TasksStarting: starts}})
	return true
}

// admitTask returns the starts of a task or of its whole gang, or nil if it may not start or must wait.
func (w *admissionSim) admitTask(a *simReplica, job *state.Job, name state.TaskName) []state.Start {
	names := []state.TaskName{name}
	if stage := &job.Spec.Stages[name.Step]; stage.Gang {
		for index := 1; index < stage.Count; index++ {
			names = append(names, state.TaskName{Job: name.Job, Time: name.Time, Step: name.Step, Index: uint32(index)})
		}
	}
	starts := a.nextStarts(job, names)
	if starts == nil {
		return nil
	}
	if need := needOf(job, name); !a.desk.Fits(job.Tenant, need) {
		a.blocked[name] = job.Tenant
		return nil
	}
	return w.propose(a, job, starts)
}

// nextStarts returns the next start of each task, or nil if one of them may not start now.
func (a *simReplica) nextStarts(job *state.Job, names []state.TaskName) []state.Start {
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
		_, kept := a.blocked[name]
		_, flies := a.inFlight[name]
		if kept || flies || !a.machine.MayStart(&starts[i]) {
			return nil
		}
	}
	return starts
}

// propose assigns the starts to workers and reserves capacity, or returns nil if there isn't enough.
func (w *admissionSim) propose(a *simReplica, job *state.Job, starts []state.Start) []state.Start {
	need := job.Spec.Stages[starts[0].Task.Step].GPUs
	taken := map[string]int64{}
	for i := range starts {
		for _, worker := range slices.Sorted(maps.Keys(w.capacity)) {
			if w.usedOn(a.machine, worker)+a.reservedOnWorker[worker]+taken[worker]+need <= w.capacity[worker] {
				starts[i].Worker = worker
				taken[worker] += need
				break
			}
		}
		if starts[i].Worker == "" {
			return nil
		}
	}
	for worker, amount := range taken {
		a.reservedOnWorker[worker] += amount
	}
	for i := range starts {
		a.inFlight[starts[i].Task] = need
		a.desk.Propose(job.Tenant, need)
	}
	return starts
}

// replaceReplica replaces a replica by a new one. Part of the proposals of the old one may still be committed.
func (w *admissionSim) replaceReplica(index int) {
	gone := w.replicas[index]
	kept := w.random.IntN(len(w.proposals) + 1)
	var sent []proposal
	for i, p := range w.proposals {
		if p.from != gone {
			sent = append(sent, p)
		} else if i < kept {
			sent = append(sent, proposal{command: p.command})
		}
	}
	w.proposals = sent
	machine := state.New()
	require.NoError(w.t, machine.Restore(gone.machine.Snapshot()))
	require.Equal(w.t, gone.machine.Quotas().Accounts(), machine.Quotas().Accounts())
	w.replicas[index] = newSimReplica(machine, gone.applied)
}
