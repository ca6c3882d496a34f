package control

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
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
	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/nodesettings"
	"gaugeslip/internal/system/workerapi"
)

const (
	// operatorsKeepEntries is how many entries replicas keep for members that come back. It is low, so that these need snapshots.
	operatorsKeepEntries = 6
	// operatorsCompaction is the log length that triggers the first compaction of a process.
	operatorsCompaction = 8 << 10
)

// operatorsSim simulates a few machines with replicas, inside a synctest bubble. Disks are in memory, and peers and operators are reached
// without sockets. Apart from the sockets the replicas are the real program.
type operatorsSim struct {
	t        testing.TB
	machines []*operatorsMachine
	trace    func(format string, args ...any)

	mutex  sync.Mutex
	random *rand.Rand
	cut    map[[2]int]bool // from, to
	lossy  float64         // probability that a message, call or answer is lost
	// confirmed is the highest version that was answered with 200.
	confirmed uint64
}

// operatorsMachine is a machine. Its process may be down.
type operatorsMachine struct {
	sim      *operatorsSim
	number   int
	settings *nodesettings.Settings
	disk     *simdisk.Disk
	mutex    sync.Mutex
	process  *operatorsProcess
}

// operatorsProcess is one run of a replica.
type operatorsProcess struct {
	*Node
	host   *operatorsMachine
	frozen time.Duration // length of the next pause
}

func newOperatorsSim(t testing.TB, seed uint64, replicas int) *operatorsSim {
	w := &operatorsSim{t: t, random: rand.New(rand.NewPCG(seed, 3)), cut: map[[2]int]bool{}, trace: func(string, ...any) {}}
	var seeds []string
	for i := range replicas {
		seeds = append(seeds, loopback(i)+":9000")
	}
	for i := range replicas {
		settings := nodesettings.Default()
		settings.NodeName, settings.IP, settings.Bind.ControlPlane = fmt.Sprint("core-", i), loopback(i), seeds[i]
		settings.EphemeralPorts = []int{9001, 9001}
		settings.SeedNodes, settings.Bootstrap, settings.FaultTolerance.Machines = seeds, true, (replicas-1)/2
		w.machines = append(w.machines, &operatorsMachine{sim: w, number: i, settings: settings, disk: simdisk.New(seed + uint64(i))})
	}
	for _, m := range w.machines {
		m.start()
	}
	return w
}

// noPlatform returns a list client whose platform cannot be reached.
func noPlatform() *workerapi.ListClient {
	return workerapi.NewListClient(func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED })
}

// start starts the machine's process if it is down.
func (m *operatorsMachine) start() {
	if m.running() != nil {
		return
	}
	p := &operatorsProcess{host: m, Node: &Node{settings: m.settings, logger: log.New(io.Discard),
		clock: time.Now, started: time.Now().Add(-time.Second), loop: newLoop(),
		wallClock: newWallClock(), client: transport.NewClient(transport.Options{}), listClient: noPlatform(), left: make(chan struct{})}}
	p.members = membership.New(p.client, membership.Options{Self: peersampling.Peer{Address: p.self().Address, Role: RoleName}})
	p.forward = p.callPeer
	file, records, err := wal.Open(m.disk.Process(), logName)
	require.NoError(m.sim.t, err)
	config := p.replicaConfig()
	config.KeepEntries, config.Seed = operatorsKeepEntries, m.sim.randomUint64()
	p.engine, err = newEngine(engineOptions{config: config, log: file, records: records, now: p.now, post: p.loop.post, send: p.send,
		applied: p.commandApplied, caughtUp: func(int, time.Duration) {}, postDeferred: p.loop.post, committed: p.counts.latency.Observe,
		snapshotInstalled: p.restoredFromSnapshot, event: p.handleEvent, diskFailed: p.diskFailed, fatal: p.fatal,
		logRewritten: func(int64, time.Duration) {}})
	require.NoError(m.sim.t, err)
	p.engine.compactAt = operatorsCompaction
	p.applyConfig()
	m.put(p)
	p.loop.post(p.engine.start)
	p.loop.post(func() { p.engine.step(replica.Contacts{Addresses: p.settings.SeedInternalAddresses()}) })
	go p.loop.run(p.flush)
}

func (m *operatorsMachine) running() *operatorsProcess {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.process
}

func (m *operatorsMachine) put(p *operatorsProcess) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.process = p
}

// kill ends the machine's process at once. With power set it simulates a loss of power, which loses or tears unsynced writes.
func (m *operatorsMachine) kill(power bool) {
	p := m.running()
	if p == nil {
		return
	}
	m.put(nil)
	if power {
		m.disk.PowerLoss()
	} else {
		m.disk.Restart()
	}
	p.loop.post(func() {
		p.engine.close()
		p.loop.stop()
	})
}

// freeze pauses the process for a while, between reading its clock and taking new input. Its clock goes on.
func (m *operatorsMachine) freeze(length time.Duration) {
	if p := m.running(); p != nil {
		p.loop.post(func() { p.frozen = length })
	}
}

// leave makes the process hand over its place, as on SIGTERM.
func (m *operatorsMachine) leave() {
	if p := m.running(); p != nil {
		p.loop.post(func() {
			p.leaving = true
			p.engine.step(replica.Leave{})
		})
	}
}

// alive reports whether this is still the machine's process.
func (p *operatorsProcess) alive() bool { return p.host.running() == p }

func (p *operatorsProcess) diskFailed(err error) {
	if p.alive() {
		p.host.sim.t.Errorf("machine %d: disk: %v", p.host.number, err)
	}
}

func (p *operatorsProcess) fatal(err error) {
	p.host.sim.t.Errorf("machine %d: %v", p.host.number, err)
}

func (p *operatorsProcess) restoredFromSnapshot() {
	p.host.sim.trace("machine %d has a snapshot", p.host.number)
	p.snapshotInstalled()
}

// flush does what the program does after each batch, except for the scheduler and the calls that need sockets.
func (p *operatorsProcess) flush() time.Duration {
	if p.engine.closed {
		return time.Hour
	}
	if p.now() >= p.engine.wakeAt {
		p.engine.step(replica.Tick{})
	}
	p.applyPendingConfig()
	p.checkState()
	for p.engine.flush() {
	}
	wake := max(p.engine.wakeAt-p.now(), time.Millisecond)
	time.Sleep(p.frozen)
	p.frozen = 0
	return wake
}

// checkState checks that a replica acting as the head has every configuration that was confirmed to an operator.
func (p *operatorsProcess) checkState() {
	if !p.alive() || !p.acting() {
		return
	}
	w := p.host.sim
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if version := p.engine.machine.Config().Version; version < w.confirmed {
		w.t.Errorf("machine %d acts as the head on version %d, confirmed is %d", p.host.number, version, w.confirmed)
	}
}

func (w *operatorsSim) confirm(version uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.confirmed = max(w.confirmed, version)
}

func (w *operatorsSim) randomUint64() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.random.Uint64()
}

func (w *operatorsSim) intn(n int) int { return int(w.randomUint64() % uint64(n)) }

func (w *operatorsSim) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.randomUint64()%uint64(high-low+1))
}

// heal ends all network faults and starts the machines that are down.
func (w *operatorsSim) heal() {
	w.mutex.Lock()
	clear(w.cut)
	w.lossy = 0
	w.mutex.Unlock()
	for _, m := range w.machines {
		m.start()
	}
}

func (w *operatorsSim) stop() {
	for _, m := range w.machines {
		m.kill(false)
	}
	time.Sleep(2 * operatorTimeout) // of the bubble's time, until all calls have ended
}

func put(reply, answer any) {
	switch reply := reply.(type) {
	case *internalapi.ReplaceReply:
		*reply = answer.(internalapi.ReplaceReply)
	case *internalapi.ReadReply:
		*reply = answer.(internalapi.ReadReply)
	}
}

// onProcess runs a question on a process's loop and waits for the answer.
func onProcess[T any](p *operatorsProcess, question func(n *Node) T) T {
	var none T
	return runOnLoop(p.Node, time.Second, none, func(answer func(T)) { answer(question(p.Node)) })
}

// completeHead returns the machine that acts as the head of a chain of all machines, or nil.
func (w *operatorsSim) completeHead() *operatorsMachine {
	for _, m := range w.machines {
		p := m.running()
		if p == nil {
			continue
		}
		if onProcess(p, func(n *Node) bool { return n.acting() && len(n.engine.view().Chain) == len(w.machines) }) {
			return m
		}
	}
	return nil
}

// head waits until completeHead returns a machine, and fails the test after 20 s.
func (w *operatorsSim) head() *operatorsMachine {
	for range 400 {
		if m := w.completeHead(); m != nil {
			return m
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, m := range w.machines {
		if p := m.running(); p != nil {
			w.t.Logf("machine %d: %+v", m.number, onProcess(p, func(n *Node) replica.Status { return n.engine.replica.Status(n.now()) }))
		}
	}
	w.stop() // goroutines left in the bubble would hide the failure
	w.t.Fatal("no head with a complete chain")
	return nil
}

// others returns all machines but one.
func (w *operatorsSim) others(but *operatorsMachine) []*operatorsMachine {
	var others []*operatorsMachine
	for _, m := range w.machines {
		if m != but {
			others = append(others, m)
		}
	}
	return others
}
