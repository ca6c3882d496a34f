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

func (w *admitters) submit() {
	held := 0
	for _, job := range w.machine.Jobs() {
		if !job.State.Finished() {
			held++
		}
	}
	if held >= mostHeldJobs {
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

// cancel cancels a job; what runs of it goes on until it has ended.
func (w *admitters) cancel() {
	if w.jobs > 0 {
		id := state.JobID(1 + w.random.IntN(w.jobs))
		w.commit(proposal{command: state.Command{Kind: state.KindJobCancelled, JobCancelled: &state.JobCancelled{ID: id}}})
	}
}

// end lets a run end.
func (w *admitters) end() {
	worker := fmt.Sprint("w", w.random.IntN(workerCount))
	record := w.machine.Worker(worker)
	if record == nil || len(record.Runs) == 0 {
		return
	}
	runs := slices.SortedFunc(maps.Keys(record.Runs), func(a, b state.Run) int { return a.Task.Compare(b.Task) })
	how := []state.EndReason{state.Done, state.Done, state.Failed, state.Stopped, state.Lapsed}[w.random.IntN(5)]
	end := state.End{Run: runs[w.random.IntN(len(runs))], Number: record.LastSeen + 1, How: how}
	w.commit(proposal{command: state.Command{Kind: state.KindTasksEnded,
		TasksEnded: &state.TasksEnded{Worker: worker, Ends: []state.End{end}}}})
}

func (w *admitters) loseWorker() {
	w.commit(proposal{command: state.Command{Kind: state.KindWorkerLost, WorkerLost: fmt.Sprint("w", w.random.IntN(workerCount))}})
}

// reconfigure promises other accelerators to other tenants, or none at all.
func (w *admitters) reconfigure() {
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

// act does one thing that may happen.
func (w *admitters) act() {
	a := w.each[w.random.IntN(admitterCount)]
	switch draw := w.random.IntN(100); {
	case draw < 10:
		w.submit()
	case draw < 35:
		w.admit(a)
	case draw < 60:
		w.deliver()
	case draw < 80:
		w.learn(a, 1+w.random.IntN(8))
	case draw < 92:
		w.end()
	case draw < 94:
		w.cancel()
	case draw < 95:
		w.loseWorker()
	case draw < 98:
		w.reconfigure()
	default:
		w.takeover(w.random.IntN(admitterCount))
	}
}

// settleDown lets all that is under way come to its end while all replicas admit at the same time.
func (w *admitters) settleDown() {
	for range 1000 {
		for len(w.sent) > 0 {
			w.deliver()
		}
		proposed := false
		for _, a := range w.each {
			w.learn(a, len(w.chain))
		}
		for _, a := range w.each {
			proposed = w.admit(a) || proposed
		}
		if !proposed {
			return
		}
	}
	require.Fail(w.t, "it doesn't settle")
}

// checkIdle looks for a held task that fits the free room and its tenant's share.
func (w *admitters) checkIdle() {
	used := use(w.machine)
	eachTask(w.machine, func(job *state.Job, name state.TaskName, task *state.Task) {
		next := state.Start{Run: state.Run{Task: name, Attempt: 1}}
		if task != nil {
			next.Attempt = task.Attempt + 1
		}
		if !w.machine.MayStart(&next) || job.Spec.Stages[name.Step].Speculative && task != nil && len(task.Placements) > 0 {
			return
		}
		if stage := &job.Spec.Stages[name.Step]; stage.Gang && w.gangRuns(job, name) || !w.roomFor(job, name) {
			return
		}
		require.Greater(w.t, needOf(job, name), free(w.plan, used, job.Tenant), "%v of tenant %q is held", name, job.Tenant)
	})
}

// gangRuns tells whether some member of a gang runs, so that the others must wait for its end.
func (w *admitters) gangRuns(job *state.Job, name state.TaskName) bool {
	for index := range job.Spec.Stages[name.Step].Count {
		name.Index = uint32(index)
		if task := job.Task(name); task != nil && len(task.Placements) > 0 {
			return true
		}
	}
	return false
}

func (w *admitters) roomFor(job *state.Job, name state.TaskName) bool {
	stage := &job.Spec.Stages[name.Step]
	wanted := 1
	if stage.Gang {
		wanted = stage.Count
	}
	for worker, room := range w.room {
		if stage.GPUs == 0 {
			return true
		}
		wanted -= int((room - w.taken(w.machine, worker)) / stage.GPUs)
	}
	return wanted <= 0
}

// play lets things happen, and looks four times at what there is when all has come to rest.
func (w *admitters) play() {
	w.reconfigure()
	for range 4 {
		for range 80 {
			w.act()
		}
		w.settleDown()
		w.checkIdle()
	}
	for _, a := range w.each {
		require.Equal(w.t, w.machine.Snapshot(), a.machine.Snapshot())
	}
}

// seeds is how many random histories are played.
const seeds = 150

// TestSharesHoldWhoeverAdmits has several replicas admit at the same time, each by a copy of the state that trails, with takeovers,
// refusals by workers, losses, cancelled jobs and other configurations in between: no share is ever exceeded, no start is refused
// while its share stands unused, and when all has come to rest nothing is held that fits.
func TestSharesHoldWhoeverAdmits(t *testing.T) {
	started, refused := 0, 0
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newAdmitters(t, seed)
			w.play()
			started += w.started
			refused += w.refused
		})
	}
	t.Logf("%d starts held, %d were refused for their share", started, refused)
	assert.Greater(t, started, 20*seeds)
	assert.Greater(t, refused, seeds, "the replicas have hardly raced")
}
