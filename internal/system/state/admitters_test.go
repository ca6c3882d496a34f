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

// proposal is a command on its way to the chain; from is nil when nobody waits for it any more.
type proposal struct {
	from    *admitter
	command state.Command
}

// admitter is a replica that admits: its copy of the state trails the chain, and it counts its own proposals.
type admitter struct {
	machine *state.Machine
	seen    int // entries of the chain that it has applied
	desk    *quota.ProposalTracker
	flying  map[state.TaskName]int64  // what its own proposals need: the chain may have ended their jobs meanwhile
	placed  map[string]int64          // accelerators of its own proposals, by worker
	held    map[state.TaskName]string // tasks that their share kept back, until that may have changed
}

// admitters is a chain with several replicas that all admit, and workers that refuse what they have no room for.
type admitters struct {
	t       *testing.T
	random  *rand.Rand
	chain   []proposal
	machine *state.Machine // with all of the chain applied
	sent    []proposal
	each    []*admitter
	room    map[string]int64
	plan    quota.Plan
	jobs    int
	refused int
	started int
}

const (
	admitterCount = 3
	workerCount   = 4
	workerRoom    = 6
	mostHeldJobs  = 12
)

var tenantNames = []string{"", "teff", "rye", "oat", "none"}

func newAdmitters(t *testing.T, seed uint64) *admitters {
	w := &admitters{t: t, random: rand.New(rand.NewPCG(seed, 1)), machine: state.New(), room: map[string]int64{}}
	for index := range workerCount {
		w.room[fmt.Sprint("w", index)] = workerRoom
	}
	for range admitterCount {
		w.each = append(w.each, newAdmitter(state.New(), 0))
	}
	return w
}

func newAdmitter(machine *state.Machine, seen int) *admitter {
	return &admitter{machine: machine, seen: seen, desk: quota.NewProposalTracker(machine.Quotas()), flying: map[state.TaskName]int64{},
		placed: map[string]int64{}, held: map[state.TaskName]string{}}
}

// use is what each tenant's runs take that may exist, counted from the tasks alone.
func use(m *state.Machine) map[string]int64 {
	used := map[string]int64{}
	eachTask(m, func(job *state.Job, name state.TaskName, task *state.Task) {
		if task != nil {
			used[job.Tenant] += int64(len(task.Placements)) * job.Spec.Stages[name.Step].GPUs
		}
	})
	return used
}

// eachTask visits all tasks of jobs of which something may run, in order.
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

// free is what a tenant may take more by the plan.
func free(plan quota.Plan, used map[string]int64, tenant string) int64 {
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

// commit appends a command to the chain and checks what it has done.
func (w *admitters) commit(sent proposal) state.Result {
	w.chain = append(w.chain, sent)
	result := w.machine.ApplyBytes(sent.command.Encode())
	require.NoError(w.t, w.machine.Check())
	if sent.command.Kind == state.KindTasksStarting {
		w.checkStarts(sent.command.TasksStarting, result.Started)
		w.refuseOverfull(result.Started)
	}
	return result
}

// checkStarts looks for a share that is exceeded, and for a start that was refused though its share stands unused.
func (w *admitters) checkStarts(starts, held []state.Start) {
	used := use(w.machine)
	w.started += len(held)
	for i := range held {
		job := w.machine.Job(held[i].Task.Job)
		if job.Spec.Stages[held[i].Task.Step].GPUs > 0 {
			require.GreaterOrEqual(w.t, free(w.plan, used, job.Tenant), int64(0), "tenant %q of %v", job.Tenant, w.plan)
		}
	}
	for i := range starts {
		if slices.Contains(held, starts[i]) || !w.machine.MayStart(&starts[i]) {
			continue
		}
		w.refused++
		job := w.machine.Job(starts[i].Task.Job)
		require.Greater(w.t, needOf(job, starts[i].Task), free(w.plan, used, job.Tenant), "tenant %q of %v", job.Tenant, w.plan)
	}
}

// needOf is what has to start at once with a task.
func needOf(job *state.Job, name state.TaskName) int64 {
	stage := &job.Spec.Stages[name.Step]
	if stage.Gang {
		return int64(stage.Count) * stage.GPUs
	}
	return stage.GPUs
}

// refuseOverfull has workers refuse what they have no room for.
func (w *admitters) refuseOverfull(held []state.Start) {
	for i := range held {
		if w.taken(w.machine, held[i].Worker) > w.room[held[i].Worker] {
			w.sent = append(w.sent, proposal{command: state.Command{Kind: state.KindStartsVoided, StartsVoided: []state.Run{held[i].Run}}})
		}
	}
}

func (w *admitters) taken(m *state.Machine, worker string) int64 {
	taken := int64(0)
	if record := m.Worker(worker); record != nil {
		for run := range record.Runs {
			taken += m.Job(run.Task.Job).Spec.Stages[run.Task.Step].GPUs
		}
	}
	return taken
}

// deliver commits one proposal: any that isn't behind another of its sender.
func (w *admitters) deliver() {
	if len(w.sent) == 0 {
		return
	}
	from := w.sent[w.random.IntN(len(w.sent))].from
	at := slices.IndexFunc(w.sent, func(p proposal) bool { return p.from == from })
	next := w.sent[at]
	w.sent = slices.Delete(w.sent, at, at+1)
	w.commit(next)
}

// learn lets a replica apply so many more entries.
func (w *admitters) learn(a *admitter, entries int) {
	for range min(entries, len(w.chain)-a.seen) {
		entry := w.chain[a.seen]
		a.seen++
		result := a.machine.ApplyBytes(entry.command.Encode())
		if entry.from == a {
			a.settle(entry.command.TasksStarting, result.Started)
		}
	}
}

func (a *admitter) settle(starts, held []state.Start) {
	for i := range starts {
		name := starts[i].Task
		job := a.machine.Job(name.Job)
		need := a.flying[name]
		delete(a.flying, name)
		a.desk.Settle(job.Tenant, need, slices.Contains(held, starts[i]))
		a.placed[starts[i].Worker] -= need
	}
}

// admit proposes what a replica thinks may start. A task that its share has kept back is tried again only when the desk says so.
func (w *admitters) admit(a *admitter) bool {
	if a.desk.CapacityFreed() {
		clear(a.held)
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
	w.sent = append(w.sent, proposal{from: a, command: state.Command{Kind: state.KindTasksStarting, TasksStarting: starts}})
	return true
}

// admitTask gives the starts of a task, or of its whole gang; none if it may not start or must wait.
func (w *admitters) admitTask(a *admitter, job *state.Job, name state.TaskName) []state.Start {
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
		a.held[name] = job.Tenant
		return nil
	}
	return w.propose(a, job, starts)
}

// nextStarts names the next run of each task; nil if one of them may not start now.
func (a *admitter) nextStarts(job *state.Job, names []state.TaskName) []state.Start {
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
		_, kept := a.held[name]
		_, flies := a.flying[name]
		if kept || flies || !a.machine.MayStart(&starts[i]) {
			return nil
		}
	}
	return starts
}

// propose sets room aside for the starts; nil if there is none.
func (w *admitters) propose(a *admitter, job *state.Job, starts []state.Start) []state.Start {
	need := job.Spec.Stages[starts[0].Task.Step].GPUs
	taken := map[string]int64{}
	for i := range starts {
		for _, worker := range slices.Sorted(maps.Keys(w.room)) {
			if w.taken(a.machine, worker)+a.placed[worker]+taken[worker]+need <= w.room[worker] {
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
		a.placed[worker] += amount
	}
	for i := range starts {
		a.flying[starts[i].Task] = need
		a.desk.Propose(job.Tenant, need)
	}
	return starts
}

// takeover puts another replica in the place of one that is gone. What that one had sent may still be committed, in part.
func (w *admitters) takeover(index int) {
	gone := w.each[index]
	kept := w.random.IntN(len(w.sent) + 1)
	var sent []proposal
	for i, p := range w.sent {
		if p.from != gone {
			sent = append(sent, p)
		} else if i < kept {
			sent = append(sent, proposal{command: p.command})
		}
	}
	w.sent = sent
	machine := state.New()
	require.NoError(w.t, machine.Restore(gone.machine.Snapshot()))
	require.Equal(w.t, gone.machine.Quotas().Accounts(), machine.Quotas().Accounts())
	w.each[index] = newAdmitter(machine, gone.seen)
}
