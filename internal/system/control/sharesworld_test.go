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
	shareReplicas    = 3
	shareWorkers     = 40
	acceleratorsEach = 8
	shareListEvery   = 900 * time.Millisecond
	mostLatency      = 3 * time.Millisecond
)

// shareWorld is a few replicas with their disks in memory, their peers and workers reached without sockets, inside a synctest bubble.
type shareWorld struct {
	t        *testing.T
	replicas []*shareReplica
	workers  []*shareWorker
	started  time.Time
	limits   map[string]int64

	mutex   sync.Mutex
	random  *rand.Rand
	cut     [shareReplicas]bool
	tasks   map[string]shareTask
	atLimit map[string]bool // tenants that have had their whole share
	starts  int
}

// shareTask is what a worker has to know of a task.
type shareTask struct {
	tenant       string
	accelerators int64
	length       time.Duration
}

// shareReplica is a replica of which all but the sockets is the program's own.
type shareReplica struct {
	*Node
	world  *shareWorld
	number int
	listed *scheduler.Scheduler
	nextAt time.Duration
}

func newShareWorld(t *testing.T, seed uint64, limits map[string]int64) *shareWorld {
	w := &shareWorld{t: t, random: rand.New(rand.NewPCG(seed, 2)), started: time.Now(), limits: limits, tasks: map[string]shareTask{},
		atLimit: map[string]bool{}}
	for i := range shareWorkers {
		w.workers = append(w.workers, &shareWorker{world: w, instance: fmt.Sprintf("i-%02d", i),
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
		r.loop.post(r.engine.begin)
		go r.loop.run(r.flush)
	}
	return w
}

func (w *shareWorld) newReplica(number int, seeds []string) *shareReplica {
	settings := nodesettings.Default()
	settings.NodeName, settings.IP, settings.Bind.ControlPlane = fmt.Sprint("core-", number), loopback(number), seeds[number]
	settings.EphemeralPorts = []int{9001, 9001}
	settings.SeedNodes, settings.Bootstrap, settings.FaultTolerance.Machines = seeds, true, 1
	r := &shareReplica{world: w, number: number, Node: &Node{settings: settings, logger: log.New(io.Discard), clock: time.Now, started: time.Now(),
		loop: newLoop(), wall: newWallClock(), client: transport.NewClient(transport.Options{}), list: noPlatform(), left: make(chan struct{})}}
	r.members = membership.New(r.client, membership.Options{Self: peersampling.Peer{Address: r.self().Address, Role: RoleName}})
	file, records, err := wal.Open(simdisk.New(uint64(number)).Process(), logName)
	require.NoError(w.t, err)
	r.engine, err = newEngine(engineOptions{config: r.replicaConfig(), log: file, records: records, now: r.now, post: r.loop.post,
		send: r.send, applied: r.take, caughtUp: func(int, time.Duration) {}, yield: r.loop.post, committed: r.counts.latency.Observe, installed: r.installed, event: r.event,
		failed: r.fault, fault: r.fault})
	require.NoError(w.t, err)
	return r
}

func (r *shareReplica) fault(err error) { r.world.t.Errorf("replica %d: %v", r.number, err) }

func (w *shareWorld) stop() {
	for _, r := range w.replicas {
		r.loop.post(r.engine.close)
	}
	time.Sleep(time.Second) // of the bubble: all loops have gone round
	for _, r := range w.replicas {
		r.loop.stop()
	}
}

// latency is how long something is on its way.
func (w *shareWorld) latency() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return time.Duration(1 + w.random.Int64N(int64(mostLatency)))
}

func (w *shareWorld) separated(a, b int) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.cut[a] || w.cut[b]
}

func (w *shareWorld) setCut(number int, cut bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.cut[number] = cut
}

func (r *shareReplica) send(to string, message *replica.Message) {
	for _, other := range r.world.replicas {
		if other.self().Address != to || r.world.separated(r.number, other.number) {
			continue
		}
		time.AfterFunc(r.world.latency(), func() {
			other.loop.post(func() { other.engine.step(replica.Receive{Message: message}) })
		})
	}
}

// take takes in a commit as the program does, and looks at all shares.
func (r *shareReplica) take(result state.Result) {
	r.applied(result)
	if len(result.Started) > 0 {
		r.checkShares()
	}
}

// checkShares counts from the tasks alone what each tenant uses.
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
	r.world.mutex.Lock()
	defer r.world.mutex.Unlock()
	for tenant, count := range used {
		if count > r.world.limits[tenant] {
			r.world.t.Errorf("tenant %s has %d accelerators of %d at index %d", tenant, count, r.world.limits[tenant], r.engine.appliedTo)
		}
		if count == r.world.limits[tenant] {
			r.world.atLimit[tenant] = true
		}
	}
}

// flush is what the program does after each batch, but for the calls that need sockets.
func (r *shareReplica) flush() time.Duration {
	if r.engine.closed {
		return time.Hour
	}
	if r.now() >= r.engine.wake {
		r.engine.step(replica.Tick{})
	}
	r.takeConfig()
	r.tellScheduler()
	for range 8 {
		ordered := r.order()
		if !r.engine.flush() && !ordered {
			break
		}
	}
	wake := r.engine.wake
	if r.schedulerActive && r.schedulerWake > 0 {
		wake = min(wake, r.schedulerWake)
	}
	return max(wake-r.now(), time.Millisecond)
}

// tellScheduler shows a scheduler the list and the time.
func (r *shareReplica) tellScheduler() {
	now := r.now()
	if r.scheduler == nil || r.scheduler == r.listed && now < r.nextAt {
		return
	}
	r.listed, r.nextAt = r.scheduler, now+shareListEvery
	r.tellWallClock(now)
	instances := make([]workerapi.Instance, 0, len(r.world.workers))
	for _, worker := range r.world.workers {
		instances = append(instances, workerapi.Instance{ID: worker.instance, Backend: worker.service, Address: worker.instance,
			State: workerapi.StateReady, Allocatable: workerapi.Allocatable{CPU: 64000, MemoryMB: 64000, GPUs: acceleratorsEach}})
	}
	r.scheduler.Listed(now, instances)
}

// order carries out what the scheduler wants and tells whether there was anything.
func (r *shareReplica) order() bool {
	if r.scheduler == nil || !r.acting() {
		return false
	}
	if now := r.now(); r.schedulerWake > 0 && now >= r.schedulerWake {
		r.scheduler.Tick(now)
	}
	output := r.scheduler.Drain()
	r.schedulerWake = output.Wake
	if output.Superseded {
		r.schedulerActive = false
		return false
	}
	for _, command := range output.Commands {
		r.engine.propose(command, func(state.Result, fate) {})
	}
	for i := range output.Calls {
		r.callWorker(&output.Calls[i])
	}
	return len(output.Commands)+len(output.Calls) > 0
}

func (r *shareReplica) callWorker(made *scheduler.Call) {
	from := r.scheduler
	answer := func(reply workerapi.HoldReply) {
		time.AfterFunc(r.world.latency(), func() {
			r.loop.post(func() {
				if r.scheduler == from {
					from.CallEnded(r.now(), scheduler.CallResult{ID: made.ID, Reply: reply})
				}
			})
		})
	}
	for _, worker := range r.world.workers {
		if worker.instance == made.Worker.Instance {
			time.AfterFunc(r.world.latency(), func() { worker.take(made, answer) })
		}
	}
}
