package replica

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// machine is a simulated machine: one process, one disk, one clock.
type machine struct {
	world   *world
	address string
	genesis *view.View // until the first start
	rate    float64
	offset  time.Duration

	process         *Replica
	incarnation     uint64 // of the process, 0 while it is stopped; events of earlier ones are dropped
	frozenUntil     time.Duration
	queuedInputs    []Input // received while frozen
	applied         uint64
	stateSum        uint64
	left            bool
	removed         bool
	corruption      uint64 // what is wrong with the state; 0: nothing
	stateErrors     []error
	keepEntries     int
	compactAt       int // records, or their bytes, at which the log is compacted
	snapshotWaiters []func(index uint64, snapshot []byte)
	tickNumber      uint64

	syncTime        time.Duration
	stalledUntil    time.Duration // the disk does nothing until then
	records         []Record      // durably on disk
	durableState    Persisted     // the state in records
	lostLog         chain.Log     // the log of a disk that was lost, and when it was lost
	lostAt          time.Duration
	pendingWrites   []diskWrite
	syncingWrites   int // number of pendingWrites in the sync under way
	diskIncarnation uint64
}

type diskWrite struct {
	records []Record
	rewrite bool
	token   uint64
}

// clock returns the machine's monotonic clock.
func (m *machine) clock() time.Duration {
	return m.offset + time.Duration(float64(m.world.now)*m.rate)
}

// start starts the process with the content of the disk.
func (m *machine) start() {
	if m.process != nil || m.removed {
		return
	}
	w := m.world
	w.incarnations++
	m.incarnation = w.incarnations
	m.frozenUntil, m.queuedInputs, m.left, m.snapshotWaiters = 0, nil, false, nil
	m.keepEntries = 40 + w.random.IntN(200)
	m.compactAt = 100 + w.random.IntN(400)
	if w.costs != nil {
		m.compactAt = minCompactionBytes
	}
	cfg := w.config
	cfg.Self = view.Member{ID: view.ReplicaID(m.address), Address: m.address}
	cfg.Tolerance, cfg.Seed = w.tolerance, w.random.Uint64()
	if w.costs == nil {
		cfg.KeepEntries = m.keepEntries
	}
	if w.earlyDrops {
		cfg.DropAfter = w.randomDuration(50*time.Millisecond, DefaultDropAfter)
	}
	if m.genesis == nil {
		cfg.Self.ID = view.ReplicaID(fmt.Sprintf("%x", w.random.Uint64()))
	} else {
		cfg.Genesis = m.genesis
	}
	restored, err := Restore(m.records)
	if err != nil {
		w.fail("%s restores: %v", m.address, err)
		return
	}
	if restored.Unfit != "" {
		m.records = BlankDisk(view.ReplicaID(fmt.Sprintf("%x", w.random.Uint64())))
		restored, _ = Restore(m.records)
		m.durableState = restored
	}
	m.corruption = 0
	m.genesis = nil
	m.applied, m.stateSum = restored.Log.Base(), 0
	if restored.Snapshot != nil {
		m.checkInstalled(restored.Snapshot)
	}
	w.trace("%v %s starts with %d of epoch %d", w.now, m.address, restored.Log.Last(), restored.View.Epoch)
	m.process = New(cfg, restored, m.clock())
	if restored.Snapshot != nil {
		m.freeze(w.costs.restoreTime(len(restored.Snapshot.Data)))
	}
	m.input(Contacts{Addresses: w.contacts(m)})
}

func (w *world) contacts(of *machine) []string {
	var addresses []string
	for _, m := range w.machines {
		if m != of && !m.removed {
			addresses = append(addresses, m.address)
		}
	}
	return addresses
}

// input performs one Step, or queues the input while the process is frozen.
func (m *machine) input(in Input) {
	if m.process == nil {
		return
	}
	if m.frozenUntil > m.world.now {
		m.queuedInputs = append(m.queuedInputs, in)
		return
	}
	m.handleOutput(m.process.Step(m.clock(), in))
}

func (m *machine) propose(data [][]byte) {
	_, out, _ := m.process.Propose(m.clock(), data)
	m.handleOutput(out)
}

// freeze suspends the process for a while.
func (m *machine) freeze(length time.Duration) {
	if m.process == nil {
		return
	}
	m.frozenUntil = max(m.frozenUntil, m.world.now+length)
	life := m.incarnation
	m.world.after(length, func() {
		if m.process != nil && m.incarnation == life && m.frozenUntil <= m.world.now {
			m.unfreeze()
		}
	})
}

// unfreeze ends a freeze and handles the inputs that arrived meanwhile.
func (m *machine) unfreeze() {
	m.frozenUntil = min(m.frozenUntil, m.world.now)
	waiting := m.queuedInputs
	m.queuedInputs = nil
	for _, in := range waiting {
		m.input(in)
	}
}

func (m *machine) handleOutput(out Output) {
	w := m.world
	if out.Fault != nil {
		m.handleFault(out.Fault)
		return
	}
	if len(out.Persist) > 0 {
		m.pendingWrites = append(m.pendingWrites, diskWrite{records: out.Persist, token: out.Token})
		m.startSync()
	}
	for _, envelope := range out.Send {
		w.transmit(m, envelope)
	}
	if out.Install != nil {
		m.checkInstalled(out.Install)
		m.freeze(w.costs.restoreTime(len(out.Install.Data)))
	}
	for _, e := range out.Committed {
		w.checkApplied(m, e)
		m.reportDigest()
	}
	for _, e := range out.Events {
		m.observe(e)
	}
	life := m.incarnation
	if out.NeedSnapshot && w.costs != nil {
		m.captureSnapshot(func(index uint64, data []byte) { m.input(SnapshotReady{Index: index, Data: data}) })
	} else if out.NeedSnapshot {
		w.after(time.Millisecond, func() { m.provideSnapshot(life) })
	}
	m.tickNumber++
	tick := m.tickNumber
	w.after(time.Duration(float64(out.Wake-m.clock())/m.rate)+time.Microsecond, func() {
		if m.incarnation == life && m.tickNumber == tick {
			m.input(Tick{})
		}
	})
}

// digestInterval is the number of entries between two digests of the state.
const digestInterval = 16

// reportDigest hands in the digest of the state if one is due.
func (m *machine) reportDigest() {
	if m.applied%digestInterval != 0 {
		return
	}
	life, digest := m.incarnation, view.Digest{Index: m.applied, Format: 1, Sum: m.stateSum ^ m.corruption}
	m.world.after(0, func() {
		if m.incarnation == life {
			m.input(StateDigest{digest})
		}
	})
}

// handleFault ends the process. A divergence of a state that the test corrupted is expected; any other fault is a failure.
func (m *machine) handleFault(err error) {
	if m.corruption == 0 || !errors.Is(err, ErrStateDiverged) {
		m.world.fail("%s: %v", m.address, err)
		return
	}
	m.world.trace("%v %s: %v", m.world.now, m.address, err)
	m.stateErrors = append(m.stateErrors, err)
	m.kill()
	m.world.after(m.world.randomDuration(100*time.Millisecond, time.Second), m.start)
}

func (m *machine) observe(e Event) {
	w := m.world
	w.trace("%v %s %T %v", w.now, m.address, e, e)
	switch e := e.(type) {
	case ViewChanged:
		w.checkView(m, e.View)
	case Left:
		m.left = true
	}
}

func (m *machine) provideSnapshot(life uint64) {
	if m.incarnation == life && m.process != nil {
		m.input(SnapshotReady{Index: m.applied, Data: m.snapshot()})
	}
}

// snapshot returns the state of the machine's state machine, sometimes long enough for several chunks.
func (m *machine) snapshot() []byte {
	data := binary.LittleEndian.AppendUint64(nil, m.applied)
	data = binary.LittleEndian.AppendUint64(data, m.stateSum)
	if weight := m.world.costs; weight != nil {
		return append(data, make([]byte, weight.bytes)...)
	}
	if m.applied%16 == 0 {
		return append(data, make([]byte, 900_000)...)
	}
	return append(data, make([]byte, m.applied%1000)...)
}

func (m *machine) checkInstalled(s *chain.Snapshot) {
	index, sum := binary.LittleEndian.Uint64(s.Data), binary.LittleEndian.Uint64(s.Data[8:])
	o := &m.world.oracle
	if index != s.Index || index > uint64(len(o.sums)) || index > 0 && o.sums[index-1] != sum {
		m.world.fail("%s installs a snapshot at %d that was never committed", m.address, index)
	}
	m.applied, m.stateSum = index, sum
}

// startSync writes all pending writes in one sync.
func (m *machine) startSync() {
	if m.syncingWrites > 0 || len(m.pendingWrites) == 0 {
		return
	}
	m.syncingWrites = len(m.pendingWrites)
	w := m.world
	length := m.syncTime + w.randomDuration(0, m.syncTime/2) + w.costs.writeTime(m.pendingWrites)
	if m.stalledUntil > w.now {
		length += m.stalledUntil - w.now
	}
	life := m.diskIncarnation
	w.after(length, func() {
		if m.diskIncarnation == life {
			m.endSync()
		}
	})
}

func (m *machine) endSync() {
	if m.stalledUntil > m.world.now {
		life := m.diskIncarnation
		m.world.after(m.stalledUntil-m.world.now+m.syncTime, func() {
			if m.diskIncarnation == life {
				m.endSync()
			}
		})
		return
	}
	done := m.pendingWrites[:m.syncingWrites]
	m.pendingWrites = m.pendingWrites[m.syncingWrites:]
	m.syncingWrites = 0
	token := uint64(0)
	for _, write := range done {
		m.writeDurably(write, len(write.records))
		token = max(token, write.token)
	}
	m.startSync()
	m.input(Synced{Token: token})
	m.compactIfNeeded()
}

// writeDurably puts the first records of a write on disk durably.
func (m *machine) writeDurably(write diskWrite, count int) {
	if write.rewrite {
		if count < len(write.records) {
			return
		}
		m.records = nil
		m.durableState = Persisted{}
	}
	for _, record := range write.records[:count] {
		m.records = append(m.records, record)
		if err := m.durableState.apply(record); err != nil {
			m.world.fail("%s writes: %v", m.address, err)
		}
	}
}

func (m *machine) compactIfNeeded() {
	if m.process == nil || len(m.pendingWrites) > 0 || !m.needsCompaction() {
		return
	}
	if m.world.costs != nil {
		m.captureSnapshot(m.compactLog)
		return
	}
	m.compactLog(m.applied, m.snapshot())
}

func (m *machine) compactLog(index uint64, snapshot []byte) {
	if records := m.process.Compact(snapshot, index); records != nil {
		m.pendingWrites = append(m.pendingWrites, diskWrite{records: records, rewrite: true})
		m.startSync()
	}
}

// needsCompaction reports whether the log has to be compacted, and sets the length for the next compaction.
func (m *machine) needsCompaction() bool {
	if m.world.costs == nil {
		return len(m.records) >= m.compactAt
	}
	bytes := 0
	for i := range m.records {
		bytes += len(m.records[i].Data)
	}
	if bytes < m.compactAt {
		return false
	}
	m.compactAt = max(minCompactionBytes, compactionGrowth*m.world.costs.bytes)
	return true
}

// kill ends the process. Its unsynced writes survive.
func (m *machine) kill() {
	if m.process == nil {
		return
	}
	m.world.trace("%v %s ends", m.world.now, m.address)
	m.process = nil
	m.incarnation = 0
	for _, write := range m.pendingWrites {
		m.writeDurably(write, len(write.records))
	}
	m.dropPending()
}

func (m *machine) dropPending() {
	m.pendingWrites, m.syncingWrites = nil, 0
	m.diskIncarnation++
}

// losePower ends the process. A random prefix of its unsynced writes survives.
func (m *machine) losePower() {
	w := m.world
	w.trace("%v %s loses power", w.now, m.address)
	m.process = nil
	m.incarnation = 0
	for _, write := range m.pendingWrites {
		count := w.random.IntN(len(write.records) + 1)
		m.writeDurably(write, count)
		if count < len(write.records) {
			break
		}
	}
	m.dropPending()
}

// loseDisk ends the process and erases the disk.
func (m *machine) loseDisk() {
	m.losePower()
	m.world.trace("%v %s loses its disk", m.world.now, m.address)
	m.lostLog, m.lostAt = m.durableState.Log, m.world.now
	m.records = nil
	m.durableState = Persisted{}
}
