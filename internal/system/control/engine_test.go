package control

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/replica"
	"gaugeslip/coord/view"
	"gaugeslip/coord/wal"
	"gaugeslip/coord/wal/simdisk"
	"gaugeslip/internal/system/state"
)

// engineRig is an engine on a simulated disk whose callbacks only take notes. Its disk works only when told to.
type engineRig struct {
	*engine
	t         *testing.T
	folder    *simdisk.Disk
	now       time.Duration
	posted    []func()
	sent      []*replica.Message
	results   []state.Result
	events    []replica.Event
	installs  int
	failures  []error
	faults    []error
	rewritten int
}

var engineSelf = view.Member{ID: "one", Address: "10.0.0.1:9001"}

// newEngineRig starts an engine that is the only replica of its system.
func newEngineRig(t *testing.T, folder *simdisk.Disk) *engineRig {
	r := &engineRig{t: t, folder: folder, now: time.Hour}
	file, records, err := wal.Open(folder, logName)
	require.NoError(t, err)
	genesis := view.View{Voters: []view.Member{engineSelf}, Chain: []view.Member{engineSelf}}
	r.engine, err = newEngine(engineOptions{config: replica.Config{Self: engineSelf, Genesis: &genesis, Seed: uint64(len(records)) + 1},
		log: file, records: records, now: func() time.Duration { return r.now },
		post:    func(work func()) { r.posted = append(r.posted, work) },
		send:    func(_ string, message *replica.Message) { r.sent = append(r.sent, message) },
		applied: func(result state.Result) { r.results = append(r.results, result) }, committed: func(time.Duration) {},
		installed: func() { r.installs++ }, event: func(event replica.Event) { r.events = append(r.events, event) },
		rewritten: func(int64, time.Duration) { r.rewritten++ },
		failed:    func(err error) { r.failures = append(r.failures, err) },
		fault:     func(err error) { r.faults = append(r.faults, err) }})
	require.NoError(t, err)
	return r
}

// work lets the disk do what it was given and the loop take in what comes of that, until there is nothing more.
func (r *engineRig) work() {
	for jobs := r.disk.take(); len(jobs) > 0 || len(r.posted) > 0; jobs = r.disk.take() {
		r.disk.work(jobs)
		posted := r.posted
		r.posted = nil
		for _, work := range posted {
			work()
		}
	}
}

// lead plays until this replica is the head.
func (r *engineRig) lead() {
	for range 1000 {
		if r.isHead() {
			return
		}
		r.now += 10 * time.Millisecond
		r.step(replica.Tick{})
		r.work()
	}
	r.t.Fatal("it doesn't become the head")
}

// onDisk is what the disk holds, read as after a loss of power.
func (r *engineRig) onDisk() replica.Persisted {
	r.folder.PowerLoss()
	_, records, err := wal.Open(r.folder, logName)
	require.NoError(r.t, err)
	persisted, err := restore(records)
	require.NoError(r.t, err)
	return persisted
}

func snapshotRecord(snapshot chain.Snapshot) replica.Record {
	return replica.Record{Kind: replica.KindSnapshot, Data: append([]byte{byte(snapshot.Index), byte(snapshot.Epoch)}, snapshot.Data...)}
}

// A snapshot that can't be read must not get to the disk: the replica would never start again.
func TestASnapshotThatCantBeReadIsNotStored(t *testing.T) {
	r := newEngineRig(t, simdisk.New(1))
	r.lead()
	before := r.machine.Snapshot()
	damaged := chain.Snapshot{Index: 100, Epoch: 9, Data: []byte("no state")}
	r.carryOut(replica.Output{Install: &damaged, Persist: []replica.Record{snapshotRecord(damaged)}, Token: 99})
	require.Len(t, r.failures, 1)
	assert.ErrorIs(t, r.failures[0], state.ErrCorrupt)
	assert.Zero(t, r.installs)
	assert.Equal(t, before, r.machine.Snapshot())
	r.work()
	assert.Nil(t, r.onDisk().Snapshot)
	newEngineRig(t, r.folder).lead()
}

// What a core asks for along with a fault comes from a state that contradicts itself.
func TestAfterAFaultNothingIsSentStoredOrApplied(t *testing.T) {
	r := newEngineRig(t, simdisk.New(1))
	r.lead()
	r.sent, r.results = nil, nil
	broken := errors.New("broken")
	command := state.Command{Kind: state.KindWorkerLost, WorkerLost: "w"}.Encode()
	last := r.replica.LastIndex()
	stored := replica.Record{Kind: replica.KindEntry, Data: append([]byte{byte(last + 1), 9}, command...)}
	r.carryOut(replica.Output{Fault: broken, Send: []replica.Envelope{{To: "x", Message: &replica.Message{}}}, Token: 99,
		Persist: []replica.Record{stored}, Committed: []chain.Entry{{Index: last + 1, Epoch: 9, Data: command}}})
	assert.Equal(t, []error{broken}, r.faults)
	assert.Empty(t, r.sent)
	assert.Empty(t, r.results)
	r.work()
	persisted := r.onDisk()
	assert.Equal(t, last, persisted.Log.Last())
}
