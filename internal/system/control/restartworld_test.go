package control

import (
	"errors"
	"fmt"
	"hash/crc64"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/replica"
	"gaugeslip/coord/wal"
	"gaugeslip/coord/wal/simdisk"
	"gaugeslip/internal/system/nodesettings"
	"gaugeslip/internal/system/state"
)

const (
	restartReplicas = 3
	// restartKeepEntries is how many entries replicas keep for members that come back. It is low, so that these need snapshots.
	restartKeepEntries = 20
	restartCompaction  = 64 << 10
	// restartNoteBytes is the size that is added to each job in simulations with a large state, so that a snapshot takes several chunks.
	restartNoteBytes = 6000
	// restartCompareInterval is the number of entries between two comparisons of the whole states.
	restartCompareInterval = 16
)

var restartSums = crc64.MakeTable(crc64.ECMA)

// restartSim simulates a few machines, inside a synctest bubble. Their replicas are the real program apart from sockets and scheduler.
// Writes go on during faults. All replicas' states are compared with each other and with a reference.
type restartSim struct {
	t        testing.TB
	machines []*restartMachine
	trace    func(format string, args ...any)

	mutex           sync.Mutex
	random          *rand.Rand
	cut             map[[2]int]bool // from, to
	maxAppliedIndex uint64          // highest index that any replica has applied
	commands        map[uint64][]byte
	sums            map[uint64]uint64 // checksums of the whole state, at some indexes
	snapshots       int
	unfit           int
	heads           int
	diskFailures    int // number of disk errors
	noteBytes       int // additional bytes of each job
}

// restartMachine is a machine. Its process may be down.
type restartMachine struct {
	sim            *restartSim
	number         int
	settings       *nodesettings.Settings
	disk           *simdisk.Disk
	mutex          sync.Mutex
	process        *restartProcess
	stateCorrupted bool // the test has corrupted its state, which may differ until the process stops
	diskMayFail    bool // its disk may return errors
}

// restartProcess is one run of a replica.
type restartProcess struct {
	*Node
	machine *restartMachine
}

func newRestartSim(t testing.TB, seed uint64) *restartSim {
	w := &restartSim{t: t, random: rand.New(rand.NewPCG(seed, 4)), cut: map[[2]int]bool{}, commands: map[uint64][]byte{},
		sums: map[uint64]uint64{}, trace: func(string, ...any) {}}
	var seeds []string
	for i := range restartReplicas {
		seeds = append(seeds, loopback(i)+":9000")
	}
	for i := range restartReplicas {
		settings := nodesettings.Default()
		settings.NodeName, settings.IP, settings.Bind.ControlPlane = fmt.Sprint("core-", i), loopback(i), seeds[i]
		settings.EphemeralPorts = []int{9001, 9001}
		settings.SeedNodes, settings.Bootstrap, settings.FaultTolerance.Machines = seeds, true, 1
		w.machines = append(w.machines, &restartMachine{sim: w, number: i, settings: settings, disk: simdisk.New(seed<<8 + uint64(i))})
	}
	if seed%2 == 1 {
		w.noteBytes = restartNoteBytes
	}
	for _, m := range w.machines {
		m.start()
		m.settings.Bootstrap = false
	}
	return w
}

// start starts the machine's process if it is down.
func (m *restartMachine) start() {
	if m.running() != nil {
		return
	}
	w := m.sim
	p := &restartProcess{machine: m, Node: &Node{settings: m.settings, logger: log.New(io.Discard), clock: time.Now,
		started: time.Now().Add(-time.Second), loop: newLoop(), wallClock: newWallClock(), listClient: noPlatform(), left: make(chan struct{})}}
	disk := m.disk.Process()
	file, records, err := wal.Open(disk, logName)
	require.NoError(w.t, err)
	records, err = p.replaceUnfitRecords(disk, file, records)
	require.NoError(w.t, err)
	config := p.replicaConfig()
	config.KeepEntries, config.Seed = restartKeepEntries, w.randomUint64()
	p.engine, err = newEngine(engineOptions{config: config, log: file, records: records, now: p.now, post: p.loop.post, send: p.send,
		applied: p.applied, caughtUp: func(int, time.Duration) {}, postDeferred: p.loop.post, committed: func(time.Duration) {},
		snapshotInstalled: p.installed, event: p.event, diskFailed: p.diskFailed, fatal: p.fatal,
		logRewritten: func(int64, time.Duration) {}})
	require.NoError(w.t, err)
	p.engine.compactAt = restartCompaction
	w.trace("%d starts at %d as %s", m.number, p.engine.appliedIndex, p.engine.replica.Self().ID)
	m.put(p)
	p.loop.post(p.engine.start)
	p.loop.post(func() { p.engine.step(replica.Contacts{Addresses: p.settings.SeedInternalAddresses()}) })
	go p.loop.run(p.flush)
}

func (m *restartMachine) running() *restartProcess {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.process
}

func (m *restartMachine) put(p *restartProcess) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.process = p
}

// kill ends the machine's process at once. end is applied to its disk.
func (m *restartMachine) kill(end func(*simdisk.Disk)) {
	p := m.running()
	if p == nil {
		return
	}
	m.put(nil)
	end(m.disk)
	p.loop.post(func() {
		p.engine.close()
		p.loop.stop()
	})
}

// alive reports whether this is still the machine's process.
func (p *restartProcess) alive() bool { return p.machine.running() == p }

func (p *restartProcess) diskFailed(err error) {
	m, w := p.machine, p.machine.sim
	if !p.alive() {
		return
	}
	if !m.diskMayFail {
		w.t.Errorf("machine %d: %v", m.number, err)
		return
	}
	w.trace("%d: %v", m.number, err)
	w.mutex.Lock()
	w.diskFailures++
	w.mutex.Unlock()
	m.kill((*simdisk.Disk).Restart)
}

// failDisk makes the machine's disk fail from some moment on: it is full, or its operations fail at random.
func (m *restartMachine) failDisk() {
	m.diskMayFail = true
	if m.sim.intn(2) == 0 {
		m.disk.SetCapacity(m.sim.intn(1 << 17))
		return
	}
	m.disk.SetFaults(simdisk.Faults{Write: 0.02, Sync: 0.1, Folder: 0.1})
}

// repairDisk ends the disk's faults and restarts the process.
func (m *restartMachine) repairDisk() {
	m.disk.SetCapacity(-1)
	m.disk.SetFaults(simdisk.Faults{})
	if m.running() != nil { // an error may not have been reported yet
		m.kill((*simdisk.Disk).PowerLoss)
	}
	m.diskMayFail = false
	m.start()
}

// fatal ends the process as the program does. Only a state corrupted by the test may be the reason.
func (p *restartProcess) fatal(err error) {
	m, w := p.machine, p.machine.sim
	if !p.alive() {
		return
	}
	if !m.stateCorrupted || !errors.Is(err, replica.ErrStateDiverged) {
		w.t.Errorf("machine %d: %v", m.number, err)
		return
	}
	w.trace("%d stops: %v", m.number, err)
	w.mutex.Lock()
	w.unfit++
	w.mutex.Unlock()
	m.stateCorrupted = false
	m.kill((*simdisk.Disk).PowerLoss)
	time.AfterFunc(w.randomDuration(100*time.Millisecond, time.Second), m.start)
}

func (p *restartProcess) installed() {
	w := p.machine.sim
	w.mutex.Lock()
	w.snapshots++
	w.mutex.Unlock()
	w.trace("%d has a snapshot at %d", p.machine.number, p.engine.appliedIndex)
	p.compare()
}

// event checks that a head has applied everything that any replica has applied.
func (p *restartProcess) event(event replica.Event) {
	became, ok := event.(replica.BecameHead)
	if !ok || !p.alive() {
		return
	}
	w := p.machine.sim
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.heads++
	w.trace("%d is the head of epoch %d at %d", p.machine.number, became.Epoch, p.engine.appliedIndex)
	if p.engine.appliedIndex < w.maxAppliedIndex {
		w.t.Errorf("machine %d is the head of epoch %d with %d, committed is %d", p.machine.number, became.Epoch, p.engine.appliedIndex,
			w.maxAppliedIndex)
	}
}

// applied checks that all replicas apply the same commands and reach the same state.
func (p *restartProcess) applied(result state.Result) {
	w, index, data := p.machine.sim, p.engine.appliedIndex, result.Command.Encode()
	w.mutex.Lock()
	w.maxAppliedIndex = max(w.maxAppliedIndex, index)
	known, ok := w.commands[index]
	w.commands[index] = data
	w.mutex.Unlock()
	if ok && !slices.Equal(known, data) {
		w.t.Errorf("machine %d applies another command at %d", p.machine.number, index)
	}
	if index%restartCompareInterval == 0 {
		p.compare()
	}
}

// compare compares the whole state with that of the replica that reached the index first.
func (p *restartProcess) compare() {
	w, index := p.machine.sim, p.engine.appliedIndex
	if p.machine.stateCorrupted {
		return
	}
	sum := crc64.Checksum(p.engine.machine.Snapshot(), restartSums)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if known, ok := w.sums[index]; ok && known != sum {
		w.t.Errorf("machine %d has another state at %d", p.machine.number, index)
	}
	w.sums[index] = sum
}

func (p *restartProcess) flush() time.Duration {
	if p.engine.closed {
		return time.Hour
	}
	if p.now() >= p.engine.wakeAt {
		p.engine.step(replica.Tick{})
	}
	for p.engine.flush() {
	}
	return max(p.engine.wakeAt-p.now(), time.Millisecond)
}

func (p *restartProcess) send(to string, message *replica.Message) {
	w := p.machine.sim
	for _, target := range w.machines {
		if target.settings.InternalAddress() != to || !p.alive() || w.separated(p.machine.number, target.number) {
			continue
		}
		delay := w.randomDuration(time.Millisecond, 3*time.Millisecond)
		if message.Chain != nil && (message.Chain.Chunk != nil || message.Chain.ChunkAck != nil) {
			delay *= 30 // so that a transfer takes a while
		}
		time.AfterFunc(delay, func() {
			if other := target.running(); other != nil {
				other.loop.post(func() { other.engine.step(replica.Receive{Message: message}) })
			}
		})
	}
}

func (w *restartSim) randomUint64() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.random.Uint64()
}

func (w *restartSim) intn(n int) int { return int(w.randomUint64() % uint64(n)) }

func (w *restartSim) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.randomUint64()%uint64(high-low+1))
}

func (w *restartSim) separated(from, to int) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.cut[[2]int{from, to}]
}

// isolate cuts a machine off from all others, or joins it again.
func (w *restartSim) isolate(m *restartMachine, cut bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, other := range w.machines {
		w.cut[[2]int{m.number, other.number}] = cut && other != m
		w.cut[[2]int{other.number, m.number}] = cut && other != m
	}
}

// onLoop runs a question on a process's loop. Without an answer within a second it returns the zero value.
func onLoop[T any](p *restartProcess, question func() T) T {
	answers := make(chan T, 1)
	p.loop.post(func() { answers <- question() })
	select {
	case answer := <-answers:
		return answer
	case <-time.After(time.Second):
		var none T
		return none
	}
}

// head returns the machine that acts as the head, or nil.
func (w *restartSim) head() *restartMachine {
	for _, m := range w.machines {
		if p := m.running(); p != nil && onLoop(p, p.engine.isHead) {
			return m
		}
	}
	return nil
}

// isComplete reports whether all machines are in the chain and have applied everything that any replica has applied.
func (w *restartSim) isComplete() bool {
	head := w.head()
	if head == nil {
		return false
	}
	for _, m := range w.machines {
		p := m.running()
		if p == nil {
			return false
		}
		in := onLoop(p, func() bool {
			view := p.engine.view()
			return len(view.Chain) == restartReplicas && view.InChain(p.engine.replica.Self().ID) && p.engine.appliedIndex >= w.maxApplied()
		})
		if !in {
			return false
		}
	}
	return true
}

func (w *restartSim) maxApplied() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.maxAppliedIndex
}

// reference returns the state that results from all commands in order.
func (w *restartSim) reference() []byte {
	machine := state.New()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, index := range slices.Sorted(maps.Keys(w.commands)) {
		machine.ApplyBytes(w.commands[index])
	}
	return machine.Snapshot()
}

func (w *restartSim) stop() {
	for _, m := range w.machines {
		m.kill((*simdisk.Disk).Restart)
	}
	time.Sleep(2 * time.Second) // of the bubble's time, until all loops have stopped
}
