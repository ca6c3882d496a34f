package control

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/state"
)

const (
	shareSeeds    = 2
	shareTenants  = 160
	jobsPerTenant = 6
	pollInterval  = 250 * time.Millisecond
	// maxIdleTime is how long a task may wait although capacity that it could use is free. Reservations and back-offs end within that time.
	maxIdleTime = 5 * time.Second
	cutLength   = 1500 * time.Millisecond
	cutEvery    = 4 * time.Second
	cuts        = 5
)

// shareServices are the services of every tenant, which share the tenant's one quota.
var shareServices = []string{"farm", "mill"}

func tenantName(number int) string { return fmt.Sprintf("tenant-%03d", number) }

func routeName(number int, service string) string { return tenantName(number) + "-" + service }

// shareConfig gives each tenant a share of a few accelerators. The sum exceeds the capacity, so that capacity is scarce at times too.
func shareConfig(random *rand.Rand) (body []byte, limits map[string]int64) {
	limits = map[string]int64{}
	tenants, routes := "", ""
	for i := range shareTenants {
		limits[tenantName(i)] = 2 + random.Int64N(6)
		tenants += fmt.Sprintf(`,{"name":%q,"accelerators":%d}`, tenantName(i), limits[tenantName(i)])
		for _, service := range shareServices {
			routes += fmt.Sprintf(`,{"name":%q,"tenant":%q,"host":"%s.example","pathPrefix":"/%d/","type":"idempotent","timeoutMs":2000,`+
				`"targetLatencyMs":500,"backend":%q,"maxRetries":2,"extension":2}`, routeName(i, service), tenantName(i), service, i, service)
		}
	}
	return fmt.Appendf(nil, `{"version":1,"tenants":[%s],"routes":[%s],"services":[{"name":"farm"},{"name":"mill"}]}`, tenants[1:],
		routes[1:]), limits
}

// randomJob returns a random job that fits into its tenant's share, and registers its tasks for the workers.
func (w *shareSim) randomJob(id uint64, tenant string) []byte {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	stage := jobspec.Stage{Count: 1 + w.random.IntN(3), GPUs: 1 + w.random.Int64N(2), CPU: 100, MemoryMb: 10, Gang: w.random.IntN(4) == 0,
		Estimated: time.Duration(200+w.random.IntN(1200)) * time.Millisecond}
	if stage.Gang && int64(stage.Count)*stage.GPUs > w.limits[tenant] {
		stage.Count = 1
	}
	for index := range stage.Count {
		name := state.TaskName{Job: state.JobID(id), Index: uint32(index)}.String()
		w.tasks[name] = shareTask{tenant: tenant, accelerators: stage.GPUs, length: stage.Estimated}
	}
	body, err := (&jobspec.Spec{Text: "text", Stages: []jobspec.Stage{stage}}).Encode()
	if err != nil {
		w.t.Error(err)
	}
	return body
}

func (w *shareSim) pause(most time.Duration) {
	w.mutex.Lock()
	pause := time.Duration(w.random.Int64N(int64(most)))
	w.mutex.Unlock()
	time.Sleep(pause) // of the bubble's time
}

// submitJobs submits all jobs of a tenant, each until it is accepted.
func (w *shareSim) submitJobs(number int) {
	w.pause(15 * time.Second)
	for i := range jobsPerTenant {
		id := uint64(number*jobsPerTenant + i + 1)
		args := internalapi.SubmitArgs{ID: id, Route: routeName(number, shareServices[i%len(shareServices)]),
			Body: w.randomJob(id, tenantName(number))}
		for replica := i; ; replica++ {
			service := &Service{node: w.replicas[replica%shareReplicas].Node}
			var reply internalapi.JobReply
			if err := service.Submit(args, &reply); err == nil && reply.Verdict == internalapi.Done {
				break
			}
			w.pause(200 * time.Millisecond)
		}
		w.pause(400 * time.Millisecond)
	}
}

// onReplica runs a question on a replica's loop.
func onReplica[T any](r *shareReplica, question func() T) T {
	answers := make(chan T, 1)
	r.loop.post(func() { answers <- question() })
	return <-answers
}

// head returns the replica that acts as the head, or nil.
func (w *shareSim) head() *shareReplica {
	for _, r := range w.replicas {
		if onReplica(r, func() bool { return r.acting() && r.scheduler != nil }) {
			return r
		}
	}
	return nil
}

// cutHeadRepeatedly cuts the head off several times, so that another replica takes over while the old head still acts for a moment.
func (w *shareSim) cutHeadRepeatedly() {
	for range cuts {
		time.Sleep(cutEvery)
		if head := w.head(); head != nil {
			w.setCut(head.number, true)
			time.Sleep(cutLength)
			w.setCut(head.number, false)
		}
	}
}

// watchIdle polls for tasks that wait although workers and their tenant's share have free capacity, until all jobs are finished.
func (w *shareSim) watchIdle(deadline time.Duration) {
	var since map[state.TaskName]time.Time
	epoch := uint64(0)
	for time.Since(w.started) < deadline {
		time.Sleep(pollInterval)
		head := w.head()
		if head == nil {
			since = nil
			continue
		}
		view := onReplica(head, head.idleTasks)
		if view.over == shareTenants*jobsPerTenant {
			return
		}
		if view.epoch != epoch {
			since, epoch = nil, view.epoch
		}
		since = w.updateIdleSince(since, view.idle)
	}
	w.t.Error("not all jobs are finished in time")
}

// updateIdleSince records since when each task has been idle, and reports tasks that have been idle for too long.
func (w *shareSim) updateIdleSince(since map[state.TaskName]time.Time, idle []state.TaskName) map[state.TaskName]time.Time {
	next := make(map[state.TaskName]time.Time, len(idle))
	for _, name := range idle {
		next[name] = time.Now()
		if from, known := since[name]; known {
			next[name] = from
		}
		if time.Since(next[name]) > maxIdleTime {
			w.t.Errorf("%v has waited since %v although its share and capacity are free", name, next[name])
		}
	}
	return next
}

// idleView is the result of one poll of the head.
type idleView struct {
	epoch uint64
	over  int
	idle  []state.TaskName
}

// idleTasks returns tasks, and first members of gangs, that wait although share and workers have capacity. Tasks that wait because their
// tenant's share is reserved for a larger step are not idle.
func (r *shareReplica) idleTasks() idleView {
	view := idleView{epoch: r.schedulerEpoch}
	free := r.freeAccelerators()
	wanted := map[string]int64{} // the largest request for accelerators at once, by tenant
	waiting := map[state.TaskName]*state.Job{}
	for _, job := range r.engine.machine.Jobs() {
		if job.State.Finished() {
			view.over++
			continue
		}
		for _, name := range waitingTasks(job) {
			waiting[name] = job
			wanted[job.Tenant] = max(wanted[job.Tenant], acceleratorsAtOnce(job))
		}
	}
	for name, job := range waiting {
		need := acceleratorsAtOnce(job)
		if need <= r.engine.machine.Quotas().Available(job.Tenant) && need == wanted[job.Tenant] && hasCapacity(free[job.Service], job) {
			view.idle = append(view.idle, name)
		}
	}
	return view
}

// freeAccelerators returns the free accelerators of each worker, by service.
func (r *shareReplica) freeAccelerators() map[string][]int64 {
	free := map[string][]int64{}
	for _, worker := range r.sim.workers {
		left := int64(acceleratorsPerWorker)
		if record := r.engine.machine.Worker(worker.instance); record != nil {
			for run := range record.Runs {
				left -= r.engine.machine.Job(run.Task.Job).Spec.Stages[0].GPUs
			}
		}
		free[worker.service] = append(free[worker.service], left)
	}
	return free
}

// waitingTasks returns the tasks of a job's only step that are neither done nor running; for a gang its first member, if none runs.
func waitingTasks(job *state.Job) []state.TaskName {
	var names []state.TaskName
	stage := &job.Spec.Stages[0]
	for index := range stage.Count {
		name := state.TaskName{Job: job.ID, Index: uint32(index)}
		task := job.Task(name)
		if task == nil || !task.Done && len(task.Placements) == 0 {
			names = append(names, name)
		}
	}
	if stage.Gang && len(names) < stage.Count {
		return nil
	}
	if stage.Gang {
		return names[:1]
	}
	return names
}

func acceleratorsAtOnce(job *state.Job) int64 {
	stage := &job.Spec.Stages[0]
	if stage.Gang {
		return int64(stage.Count) * stage.GPUs
	}
	return stage.GPUs
}

func hasCapacity(free []int64, job *state.Job) bool {
	stage := &job.Spec.Stages[0]
	fits := int64(0)
	for _, left := range free {
		fits += max(left, 0) / stage.GPUs
	}
	if stage.Gang {
		return fits >= int64(stage.Count)
	}
	return fits > 0
}

// TestSharesHoldWhileReplicasTakeOver has 160 tenants submit jobs at the same time, at all replicas, while the head is cut off repeatedly.
// No tenant exceeds its share, neither at any commit of any replica nor on the workers, and no task waits for long beside free capacity.
func TestSharesHoldWhileReplicasTakeOver(t *testing.T) {
	for seed := range uint64(shareSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { runShares(t, seed) }) })
	}
}

func runShares(t *testing.T, seed uint64) {
	body, limits := shareConfig(rand.New(rand.NewPCG(seed, 1)))
	w := newShareSim(t, seed, limits)
	defer w.stop()
	for w.head() == nil {
		time.Sleep(pollInterval)
	}
	reply := w.head().replaceLocally(internalapi.ReplaceArgs{Body: body}, operatorTimeout)
	require.Equal(t, internalapi.Done, reply.Verdict, reply.Text)

	var clients sync.WaitGroup
	for number := range shareTenants {
		clients.Go(func() { w.submitJobs(number) })
	}
	clients.Go(w.cutHeadRepeatedly)
	w.watchIdle(3 * time.Minute)
	clients.Wait()
	w.checkEnd()
}

// checkEnd checks the states after all jobs are finished.
func (w *shareSim) checkEnd() {
	for _, r := range w.replicas {
		onReplica(r, func() bool { return assert.NoError(w.t, r.engine.machine.Check()) })
	}
	head := w.head()
	require.NotNil(w.t, head)
	completed := onReplica(head, func() int {
		count := 0
		for _, job := range head.engine.machine.Jobs() {
			if job.State == state.Completed {
				count++
			}
		}
		return count
	})
	epoch := onReplica(head, func() uint64 { return head.schedulerEpoch })
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.t.Logf("%d jobs completed, %d starts, %d tenants had their whole share, epoch %d, %v", completed, w.starts, len(w.atLimit), epoch,
		time.Since(w.started))
	assert.Equal(w.t, shareTenants*jobsPerTenant, completed)
	assert.GreaterOrEqual(w.t, epoch, uint64(3), "too few changes of head for a meaningful run")
	assert.Greater(w.t, len(w.atLimit), shareTenants/2, "too few tenants reached their share")
}
