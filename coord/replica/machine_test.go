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

	process *Replica
	life    uint64 // of the process; what belongs to an earlier one is dropped
	frozen  time.Duration
	waiting []Input // while frozen
	applied uint64
	sum     uint64
	left    bool
	removed bool
	wrong   uint64 // what is wrong with the state, 0: nothing
	ended   []error
	keep    int
	compact int // records, or bytes of them, after which the log is rewritten
	takers  []func(index uint64, snapshot []byte)
	tick    uint64

	sync     time.Duration
	stalled  time.Duration // the disk does nothing until then
	records  []Record      // on disk, for good
	durable  Persisted     // what they say
	lostLog  chain.Log     // what a disk held that was lost, and when
	lostAt   time.Duration
	pending  []diskWrite
	writing  int // of pending, in the sync under way
	diskLife uint64
}

type diskWrite struct {
	records []Record
	rewrite bool
	token   uint64
}

// clock is the machine's steady clock.
func (m *machine) clock() time.Duration {
	return m.offset + time.Duration(float64(m.world.now)*m.rate)
}

// start starts the process with what the disk has.
func (m *machine) start() {
	if m.process != nil || m.removed {
		return
	}
	w := m.world
	w.lives++
	m.life = w.lives
	m.frozen, m.waiting, m.left, m.takers = 0, nil, false, nil
	m.keep = 40 + w.random.IntN(200)
	m.compact = 100 + w.random.IntN(400)
	if w.weight != nil {
		m.compact = leastCompaction
	}
	cfg := w.settings
	cfg.Self = view.Member{ID: view.ReplicaID(m.address), Address: m.address}
	cfg.Tolerance, cfg.Seed = w.tolerance, w.random.Uint64()
	if w.weight == nil {
		cfg.KeepEntries = m.keep
	}
	if w.hasty {
		cfg.DropAfter = w.between(50*time.Millisecond, DefaultDropAfter)
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
		m.durable = restored
	}
	m.wrong = 0
	m.genesis = nil
	m.applied, m.sum = restored.Log.Base(), 0
	if restored.Snapshot != nil {
		m.installed(restored.Snapshot)
	}
	w.trace("%v %s starts with %d of epoch %d", w.now, m.address, restored.Log.Last(), restored.View.Epoch)
	m.process = New(cfg, restored, m.clock())
	if restored.Snapshot != nil {
		m.freeze(w.weight.restoring(len(restored.Snapshot.Data)))
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

// input is one Step, later if the process is frozen.
func (m *machine) input(in Input) {
	if m.process == nil {
		return
	}
	if m.frozen > m.world.now {
		m.waiting = append(m.waiting, in)
		return
	}
	m.carryOut(m.process.Step(m.clock(), in))
}

func (m *machine) propose(data [][]byte) {
	_, out, _ := m.process.Propose(m.clock(), data)
	m.carryOut(out)
}

// freeze stops the process for a while.
func (m *machine) freeze(length time.Duration) {
	if m.process == nil {
		return
	}
	m.frozen = max(m.frozen, m.world.now+length)
	life := m.life
	m.world.after(length, func() {
		if m.process != nil && m.life == life && m.frozen <= m.world.now {
			m.thaw()
		}
	})
}

// thaw ends a freeze: what came meanwhile is taken in.
func (m *machine) thaw() {
	m.frozen = min(m.frozen, m.world.now)
	waiting := m.waiting
	m.waiting = nil
	for _, in := range waiting {
		m.input(in)
	}
}

func (m *machine) carryOut(out Output) {
	w := m.world
	if out.Fault != nil {
		m.fault(out.Fault)
		return
	}
	if len(out.Persist) > 0 {
		m.pending = append(m.pending, diskWrite{records: out.Persist, token: out.Token})
		m.startSync()
	}
	for _, envelope := range out.Send {
		w.deliver(m, envelope)
	}
	if out.Install != nil {
		m.installed(out.Install)
		m.freeze(w.weight.restoring(len(out.Install.Data)))
	}
	for _, e := range out.Committed {
		w.applied(m, e)
		m.audit()
	}
	for _, e := range out.Events {
		m.observe(e)
	}
	life := m.life
	if out.NeedSnapshot && w.weight != nil {
		m.capture(func(index uint64, data []byte) { m.input(SnapshotReady{Index: index, Data: data}) })
	} else if out.NeedSnapshot {
		w.after(time.Millisecond, func() { m.giveSnapshot(life) })
	}
	m.tick++
	tick := m.tick
	w.after(time.Duration(float64(out.Wake-m.clock())/m.rate)+time.Microsecond, func() {
		if m.life == life && m.tick == tick {
			m.input(Tick{})
		}
	})
}

// auditEvery is after how many entries a machine sums up its state.
const auditEvery = 16

// audit hands in the digest of the state where one is due.
func (m *machine) audit() {
	if m.applied%auditEvery != 0 {
		return
	}
	life, digest := m.life, view.Digest{Index: m.applied, Format: 1, Sum: m.sum ^ m.wrong}
	m.world.after(0, func() {
		if m.life == life {
			m.input(StateDigest{digest})
		}
	})
}

// fault ends the process; a state that was made wrong is told, everything else is a failure.
func (m *machine) fault(err error) {
	if m.wrong == 0 || !errors.Is(err, ErrStateDiverged) {
		m.world.fail("%s: %v", m.address, err)
		return
	}
	m.world.trace("%v %s: %v", m.world.now, m.address, err)
	m.ended = append(m.ended, err)
	m.end()
	m.world.after(m.world.between(100*time.Millisecond, time.Second), m.start)
}

func (m *machine) observe(e Event) {
	w := m.world
	w.trace("%v %s %T %v", w.now, m.address, e, e)
	switch e := e.(type) {
	case ViewChanged:
		w.sawView(m, e.View)
	case Left:
		m.left = true
	}
}

func (m *machine) giveSnapshot(life uint64) {
	if m.life == life && m.process != nil {
		m.input(SnapshotReady{Index: m.applied, Data: m.snapshot()})
	}
}

// snapshot is the state of the machine's state machine, long enough for some chunks at times.
func (m *machine) snapshot() []byte {
	data := binary.LittleEndian.AppendUint64(nil, m.applied)
	data = binary.LittleEndian.AppendUint64(data, m.sum)
	if weight := m.world.weight; weight != nil {
		return append(data, make([]byte, weight.bytes)...)
	}
	if m.applied%16 == 0 {
		return append(data, make([]byte, 900_000)...)
	}
	return append(data, make([]byte, m.applied%1000)...)
}

func (m *machine) installed(s *chain.Snapshot) {
	index, sum := binary.LittleEndian.Uint64(s.Data), binary.LittleEndian.Uint64(s.Data[8:])
	o := &m.world.oracle
	if index != s.Index || index > uint64(len(o.sums)) || index > 0 && o.sums[index-1] != sum {
		m.world.fail("%s installs a snapshot at %d that was never committed", m.address, index)
	}
	m.applied, m.sum = index, sum
}

// startSync writes what is pending, all that is there in one sync.
func (m *machine) startSync() {
	if m.writing > 0 || len(m.pending) == 0 {
		return
	}
	m.writing = len(m.pending)
	w := m.world
	length := m.sync + w.between(0, m.sync/2) + w.weight.writing(m.pending)
	if m.stalled > w.now {
		length += m.stalled - w.now
	}
	life := m.diskLife
	w.after(length, func() {
		if m.diskLife == life {
			m.endSync()
		}
	})
}

func (m *machine) endSync() {
	if m.stalled > m.world.now {
		life := m.diskLife
		m.world.after(m.stalled-m.world.now+m.sync, func() {
			if m.diskLife == life {
				m.endSync()
			}
		})
		return
	}
	done := m.pending[:m.writing]
	m.pending = m.pending[m.writing:]
	m.writing = 0
	token := uint64(0)
	for _, write := range done {
		m.keepWrite(write, len(write.records))
		token = max(token, write.token)
	}
	m.startSync()
	m.input(Synced{Token: token})
	m.rewriteIfLong()
}

// keepWrite puts the first records of a write on disk for good.
func (m *machine) keepWrite(write diskWrite, count int) {
	if write.rewrite {
		if count < len(write.records) {
			return
		}
		m.records = nil
		m.durable = Persisted{}
	}
	for _, record := range write.records[:count] {
		m.records = append(m.records, record)
		if err := m.durable.apply(record); err != nil {
			m.world.fail("%s writes: %v", m.address, err)
		}
	}
}

func (m *machine) rewriteIfLong() {
	if m.process == nil || len(m.pending) > 0 || !m.isLong() {
		return
	}
	if m.world.weight != nil {
		m.capture(m.rewrite)
		return
	}
	m.rewrite(m.applied, m.snapshot())
}

func (m *machine) rewrite(index uint64, snapshot []byte) {
	if records := m.process.Compact(snapshot, index); records != nil {
		m.pending = append(m.pending, diskWrite{records: records, rewrite: true})
		m.startSync()
	}
}

// isLong tells whether the log has to be rewritten, and how long it may get after that.
func (m *machine) isLong() bool {
	if m.world.weight == nil {
		return len(m.records) >= m.compact
	}
	bytes := 0
	for i := range m.records {
		bytes += len(m.records[i].Data)
	}
	if bytes < m.compact {
		return false
	}
	m.compact = max(leastCompaction, compactionGrowth*m.world.weight.bytes)
	return true
}

// end ends the process. What it had written without a sync outlasts it.
func (m *machine) end() {
	if m.process == nil {
		return
	}
	m.world.trace("%v %s ends", m.world.now, m.address)
	m.process = nil
	m.life = 0
	for _, write := range m.pending {
		m.keepWrite(write, len(write.records))
	}
	m.forgetPending()
}

func (m *machine) forgetPending() {
	m.pending, m.writing = nil, 0
	m.diskLife++
}

// losePower ends the process; of what wasn't synced a part from the start is kept.
func (m *machine) losePower() {
	w := m.world
	w.trace("%v %s loses power", w.now, m.address)
	m.process = nil
	m.life = 0
	for _, write := range m.pending {
		count := w.random.IntN(len(write.records) + 1)
		m.keepWrite(write, count)
		if count < len(write.records) {
			break
		}
	}
	m.forgetPending()
}

// loseDisk ends the process and empties the disk.
func (m *machine) loseDisk() {
	m.losePower()
	m.world.trace("%v %s loses its disk", m.world.now, m.address)
	m.lostLog, m.lostAt = m.durable.Log, m.world.now
	m.records = nil
	m.durable = Persisted{}
}
