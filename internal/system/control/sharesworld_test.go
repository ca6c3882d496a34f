package control

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/membership"
	"gaugeslip/coord/peersampling"
	"gaugeslip/coord/replica"
	"gaugeslip/coord/transport"
	"gaugeslip/coord/wal"
	"gaugeslip/coord/wal/simdisk"
	"gaugeslip/internal/system/nodesettings"
	"gaugeslip/internal/system/scheduler"
	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

const (
	shareReplicas         = 3
	shareWorkers          = 40
	acceleratorsPerWorker = 8
	shareListEvery        = 900 * time.Millisecond
	maxLatency            = 3 * time.Millisecond
)

// shareSim simulates a few replicas inside a synctest bubble. Disks are in memory, and peers and workers are reached without sockets.
type shareSim struct {
	t        *testing.T
	replicas []*shareReplica
	workers  []*shareWorker
	started  time.Time
	limits   map[string]int64

	mutex   sync.Mutex
	random  *rand.Rand
	cut     [shareReplicas]bool
	tasks   map[string]shareTask
	atLimit map[string]bool // tenants that have used their whole share
	starts  int
}

// shareTask is what a worker must know about a task.
type shareTask struct {
	tenant       string
	accelerators int64
	length       time.Duration
}

// shareReplica is a replica that is the real program apart from the sockets.
type shareReplica struct {
	*Node
	sim    *shareSim
	number int
	listed *scheduler.Scheduler
	nextAt time.Duration
}

func newShareSim(t *testing.T, seed uint64, limits map[string]int64) *shareSim {
	w := &shareSim{t: t, random: rand.New(rand.NewPCG(seed, 2)), started: time.Now(), limits: limits, tasks: map[string]shareTask{},
		atLimit: map[string]bool{}}
	for i := range shareWorkers {
		w.workers = append(w.workers, &shareWorker{sim: w, instance: fmt.Sprintf("i-%02d", i),
			service: shareServices[i%len(shareServices)], running: map[string]workerapi.RunningTask{}})
	}
	var seeds []string
	for i := range shareReplicas {
		seeds = append(seeds, loopback(i)+":9000")
	}
	for i := range shareReplicas {
		w.replicas = append(w.replicas, w.newReplica(i, seeds))
	}
	for _, r := range w.replicas {
		r.loop.post(r.engine.start)
		go r.loop.run(r.flush)
	}
	return w
}

func (w *shareSim) newReplica(number int, seeds []string) *shareReplica {
	settings := nodesettings.Default()
	settings.NodeName, settings.IP, settings.Bind.ControlPlane = fmt.Sprint("core-", number), loopback(number), seeds[number]
	settings.EphemeralPorts = []int{9001, 9001}
	settings.SeedNodes, settings.Bootstrap, settings.FaultTolerance.Machines = seeds, true, 1
	r := &shareReplica{sim: w, number: number, Node: &Node{settings: settings, logger: log.New(io.Discard), clock: time.Now, started: time.Now(),
		loop: newLoop(), wallClock: newWallClock(), client: transport.NewClient(transport.Options{}), listClient: noPlatform(), left: make(chan struct{})}}
	r.members = membership.New(r.client, membership.Options{Self: peersampling.Peer{Address: r.self().Address, Role: RoleName}})
	file, records, err := wal.Open(simdisk.New(uint64(number)).Process(), logName)
	require.NoError(w.t, err)
	r.engine, err = newEngine(engineOptions{config: r.replicaConfig(), log: file, records: records, now: r.now, post: r.loop.post,
		send: r.send, applied: r.applyAndCheckShares, caughtUp: func(int, time.Duration) {}, postDeferred: r.loop.post, committed: r.counts.latency.Observe,
		snapshotInstalled: r.snapshotInstalled, event: r.handleEvent,
		diskFailed: r.fault, fatal: r.fault})
	require.NoError(w.t, err)
	return r
}

func (r *shareReplica) fault(err error) { r.sim.t.Errorf("replica %d: %v", r.number, err) }

func (w *shareSim) stop() {
	for _, r := range w.replicas {
		r.loop.post(r.engine.close)
	}
	time.Sleep(time.Second) // of the bubble's time, until all loops have run the posted close
	for _, r := range w.replicas {
		r.loop.stop()
	}
}

// latency returns a random network latency.
func (w *shareSim) latency() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return time.Duration(1 + w.random.Int64N(int64(maxLatency)))
}

func (w *shareSim) separated(a, b int) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.cut[a] || w.cut[b]
}

func (w *shareSim) setCut(number int, cut bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.cut[number] = cut
}

func (r *shareReplica) send(to string, message *replica.Message) {
	for _, other := range r.sim.replicas {
		if other.self().Address != to || r.sim.separated(r.number, other.number) {
			continue
		}
		time.AfterFunc(r.sim.latency(), func() {
			other.loop.post(func() { other.engine.step(replica.Receive{Message: message}) })
		})
	}
}

// applyAndCheckShares handles a commit as the program does, and checks all shares.
func (r *shareReplica) applyAndCheckShares(result state.Result) {
	r.commandApplied(result)
	if len(result.Started) > 0 {
		r.checkShares()
	}
}

// checkShares computes what each tenant uses from the tasks alone and checks it against the limits.
func (r *shareReplica) checkShares() {
	used := map[string]int64{}
	for _, job := range r.engine.machine.Jobs() {
		if job.Runs == 0 {
			continue
		}
		for step := range job.Spec.Stages {
			for index := range job.Spec.Stages[step].Count {
				if task := job.Task(state.TaskName{Job: job.ID, Step: uint32(step), Index: uint32(index)}); task != nil {
					used[job.Tenant] += int64(len(task.Placements)) * job.Spec.Stages[step].GPUs
				}
			}
		}
	}
	r.sim.mutex.Lock()
	defer r.sim.mutex.Unlock()
	for tenant, count := range used {
		if count > r.sim.limits[tenant] {
			r.sim.t.Errorf("tenant %s has %d accelerators of %d at index %d", tenant, count, r.sim.limits[tenant], r.engine.appliedIndex)
		}
		if count == r.sim.limits[tenant] {
			r.sim.atLimit[tenant] = true
		}
	}
}

// flush does what the program does after each batch, except for the calls that need sockets.
func (r *shareReplica) flush() time.Duration {
	if r.engine.closed {
		return time.Hour
	}
	if r.now() >= r.engine.wakeAt {
		r.engine.step(replica.Tick{})
	}
	r.applyPendingConfig()
	r.updateScheduler()
	for range 8 {
		ordered := r.runSchedulerStep()
		if !r.engine.flush() && !ordered {
			break
		}
	}
	wake := r.engine.wakeAt
	if r.schedulerActive && r.schedulerWakeAt > 0 {
		wake = min(wake, r.schedulerWakeAt)
	}
	return max(wake-r.now(), time.Millisecond)
}

// updateScheduler passes the list of workers and the time of day to the scheduler.
func (r *shareReplica) updateScheduler() {
	now := r.now()
	if r.scheduler == nil || r.scheduler == r.listed && now < r.nextAt {
		return
	}
	r.listed, r.nextAt = r.scheduler, now+shareListEvery
	r.updateSchedulerClock(now)
	instances := make([]workerapi.Instance, 0, len(r.sim.workers))
	for _, worker := range r.sim.workers {
		instances = append(instances, workerapi.Instance{ID: worker.instance, Backend: worker.service, Address: worker.instance,
			State: workerapi.StateReady, Allocatable: workerapi.Allocatable{CPU: 64000, MemoryMB: 64000, GPUs: acceleratorsPerWorker}})
	}
	r.scheduler.Listed(now, instances)
}

// runSchedulerStep carries out the scheduler's output and reports whether there were commands or calls.
func (r *shareReplica) runSchedulerStep() bool {
	if r.scheduler == nil || !r.acting() {
		return false
	}
	if now := r.now(); r.schedulerWakeAt > 0 && now >= r.schedulerWakeAt {
		r.scheduler.Tick(now)
	}
	output := r.scheduler.Drain()
	r.schedulerWakeAt = output.Wake
	if output.Superseded {
		r.schedulerActive = false
		return false
	}
	for _, command := range output.Commands {
		r.engine.propose(command, func(state.Result, commitStatus) {})
	}
	for i := range output.Calls {
		r.callWorker(&output.Calls[i])
	}
	return len(output.Commands)+len(output.Calls) > 0
}

func (r *shareReplica) callWorker(made *scheduler.Call) {
	from := r.scheduler
	answer := func(reply workerapi.HoldReply) {
		time.AfterFunc(r.sim.latency(), func() {
			r.loop.post(func() {
				if r.scheduler == from {
					from.CallEnded(r.now(), scheduler.CallResult{ID: made.ID, Reply: reply})
				}
			})
		})
	}
	for _, worker := range r.sim.workers {
		if worker.instance == made.Worker.Instance {
			time.AfterFunc(r.sim.latency(), func() { worker.handleCall(made, answer) })
		}
	}
}
