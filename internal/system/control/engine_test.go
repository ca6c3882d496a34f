package control

import (
	"errors"
	"fmt"
	"io"
	"math"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/replica"
	"gaugeslip/coord/view"
	"gaugeslip/coord/wal"
	"gaugeslip/coord/wal/simdisk"
	"gaugeslip/internal/system/nodesettings"
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
	file, records, err := wal.Open(folder.Process(), logName)
	require.NoError(t, err)
	genesis := view.View{Voters: []view.Member{engineSelf}, Chain: []view.Member{engineSelf}}
	r.engine, err = newEngine(engineOptions{config: replica.Config{Self: engineSelf, Genesis: &genesis, Seed: uint64(len(records)) + 1},
		log: file, records: records, now: func() time.Duration { return r.now },
		post:    func(work func()) { r.posted = append(r.posted, work) },
		send:    func(_ string, message *replica.Message) { r.sent = append(r.sent, message) },
		applied: func(result state.Result) { r.results = append(r.results, result) }, committed: func(time.Duration) {}, caughtUp: func(int, time.Duration) {},
		yield:     func(work func()) { r.posted = append(r.posted, work) },
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
	_, records, err := wal.Open(r.folder.Process(), logName)
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

func workerLost(name string) state.Command {
	return state.Command{Kind: state.KindWorkerLost, WorkerLost: name}
}

// put proposes a command and gives where its fate will stand.
func (r *engineRig) put(command state.Command) *[]fate {
	fates := &[]fate{}
	r.propose(command, func(_ state.Result, f fate) { *fates = append(*fates, f) })
	r.flush()
	return fates
}

func TestAnEntryIsAppliedOnce(t *testing.T) {
	r := newEngineRig(t, simdisk.New(1))
	r.lead()
	r.put(workerLost("a"))
	r.work()
	require.Len(t, r.results, 1)
	at := r.appliedTo
	r.carryOut(replica.Output{Committed: []chain.Entry{{Index: at, Epoch: 1, Data: workerLost("b").Encode()}}})
	assert.Len(t, r.results, 1)
	assert.Equal(t, at, r.appliedTo)
}

// Another head's entry may stand where a proposal was put: then the proposal never will be.
func TestAProposalWhosePlaceIsTakenIsRefused(t *testing.T) {
	r := newEngineRig(t, simdisk.New(1))
	r.lead()
	fates := r.put(workerLost("a"))
	require.Empty(t, *fates)
	index, epoch := r.replica.LastIndex(), r.view().Epoch
	r.carryOut(replica.Output{Committed: []chain.Entry{{Index: index, Epoch: epoch + 1, Data: workerLost("b").Encode()}}})
	assert.Equal(t, []fate{fateRefused}, *fates)
}

// Whether a proposal is in a snapshot that takes the place of the state isn't known.
func TestASnapshotLeavesProposalsInDoubt(t *testing.T) {
	r := newEngineRig(t, simdisk.New(1))
	r.lead()
	first, second := r.put(workerLost("a")), r.put(workerLost("b"))
	at := r.replica.LastIndex() - 1
	r.carryOut(replica.Output{Install: &chain.Snapshot{Index: at, Epoch: 9, Data: state.New().Snapshot()}})
	assert.Equal(t, []fate{fateInDoubt}, *first)
	assert.Empty(t, *second)
	assert.Equal(t, at, r.appliedTo)
	r.close()
	assert.Equal(t, []fate{fateInDoubt}, *second)
}

// What is told as committed outlasts a loss of power, whatever the disk loses.
func TestACommitIsToldOnceItIsSynced(t *testing.T) {
	for seed := range uint64(20) {
		r := newEngineRig(t, simdisk.New(seed))
		r.lead()
		fates := r.put(workerLost("a"))
		assert.Empty(t, *fates)
		r.work()
		require.Equal(t, []fate{fateCommitted}, *fates)
		index := r.appliedTo
		persisted := r.onDisk()
		require.GreaterOrEqual(t, persisted.Log.Last(), index, "seed %d", seed)
	}
}

func TestADiskThatRefusesIsTold(t *testing.T) {
	for _, rewrite := range []bool{false, true} {
		r := newEngineRig(t, simdisk.New(1))
		r.lead()
		if rewrite {
			r.compactAt = 0
			r.put(workerLost("a"))
			r.disk.work(r.disk.take())
			r.folder.SetFaults(simdisk.Faults{Sync: 1})
		} else {
			r.folder.SetFaults(simdisk.Faults{Sync: 1})
			r.put(workerLost("a"))
		}
		r.work()
		assert.Len(t, r.failures, 1, "rewrite %v", rewrite)
		assert.Zero(t, r.rewritten)
	}
}

// A closed engine takes no word any more, not even from its own disk.
func TestAClosedEngineIsSilent(t *testing.T) {
	r := newEngineRig(t, simdisk.New(1))
	r.lead()
	fates := r.put(workerLost("a"))
	jobs := r.disk.take()
	r.close()
	assert.Equal(t, []fate{fateInDoubt}, *fates)
	r.sent, r.events = nil, nil
	r.folder.SetFaults(simdisk.Faults{Sync: 1})
	r.disk.work(jobs)
	r.work()
	r.step(replica.Tick{})
	assert.Empty(t, r.results)
	assert.Empty(t, r.sent)
	assert.Empty(t, r.failures)
	assert.False(t, r.isHead())
}

// A rewritten log holds the state and all that came after it, and a restart goes on from there.
func TestARewrittenLogIsStartedFrom(t *testing.T) {
	for seed := range uint64(10) {
		r := newEngineRig(t, simdisk.New(seed))
		r.lead()
		accepted := state.Command{Kind: state.KindJobAccepted, JobAccepted: &state.JobAccepted{ID: 7, Route: "r", Body: []byte(testJob)}}
		r.put(accepted)
		r.work()
		r.compactAt = 0
		r.put(workerLost("a"))
		r.work()
		require.Equal(t, 1, r.rewritten)
		require.GreaterOrEqual(t, r.compactAt, int64(leastCompaction))
		fates := r.put(state.Command{Kind: state.KindJobCancelled, JobCancelled: &state.JobCancelled{ID: 7}})
		r.work()
		require.Equal(t, []fate{fateCommitted}, *fates)
		want, at := r.machine.Snapshot(), r.appliedTo
		r.folder.PowerLoss()
		r = newEngineRig(t, r.folder)
		assert.Positive(t, r.appliedTo, "it starts from the snapshot")
		r.lead()
		assert.Equal(t, want, r.machine.Snapshot(), "seed %d", seed)
		assert.GreaterOrEqual(t, r.appliedTo, at)
	}
}

func TestLogsOfTheSameLengthAreRewrittenApart(t *testing.T) {
	lengths := map[int64]bool{}
	for seed := range uint64(64) {
		length := apart(1000, seed)
		lengths[length] = true
		assert.GreaterOrEqual(t, length, int64(1000))
		assert.Less(t, length, int64(1500))
	}
	assert.Greater(t, len(lengths), 50)
}

func TestTheDiskWorksInOrder(t *testing.T) {
	folder := simdisk.New(1)
	file, _, err := wal.Open(folder.Process(), logName)
	require.NoError(t, err)
	d := newDisk(file)
	var order []string
	job := func(name string, rewrite bool) diskJob {
		return diskJob{records: []wal.Record{{Kind: 1, Data: []byte(name)}}, rewrite: rewrite, done: func(err error) {
			require.NoError(t, err)
			order = append(order, name)
		}}
	}
	d.work([]diskJob{job("a", false), job("b", false), job("c", true), job("d", false), job("e", false)})
	assert.Equal(t, []string{"a", "b", "c", "d", "e"}, order)
	assert.Equal(t, file.Size(), d.bytes())
	folder.PowerLoss()
	_, records, err := wal.Open(folder.Process(), logName)
	require.NoError(t, err)
	var found []string
	for _, record := range records {
		found = append(found, string(record.Data))
	}
	assert.Equal(t, []string{"c", "d", "e"}, found)
}

// A disk that was marked as unfit comes back with another identity and nothing else, and what it held is kept beside.
func TestAnUnfitDiskIsGivenUp(t *testing.T) {
	for seed := range uint64(10) {
		folder := simdisk.New(seed)
		file, _, err := wal.Open(folder.Process(), logName)
		require.NoError(t, err)
		held := append(toLog(replica.BlankDisk("old")), wal.Record{Kind: replica.KindUnfit, Data: []byte("why")})
		require.NoError(t, file.Append(held...))
		require.NoError(t, file.Sync())
		node := testNode()
		records, err := node.fitRecords(folder.Process(), file, held)
		require.NoError(t, err)
		persisted, err := restore(records)
		require.NoError(t, err)
		assert.NotEqual(t, view.ReplicaID("old"), persisted.Identity)
		assert.Empty(t, persisted.Unfit)
		folder.PowerLoss()
		_, again, err := wal.Open(folder.Process(), logName)
		require.NoError(t, err)
		assert.Equal(t, records, again, "the same identity at the next start")
		kept, err := wal.Read(folder.Process(), UnfitName)
		require.NoError(t, err)
		assert.Equal(t, held, kept.Records)
		same, err := node.fitRecords(folder.Process(), file, again)
		require.NoError(t, err)
		assert.Equal(t, again, same, "a disk that is fit stays")
	}
}

// A full disk has no room for what is kept; the replica comes back all the same.
func TestAnUnfitDiskThatIsFullIsGivenUp(t *testing.T) {
	folder := simdisk.New(1)
	file, _, err := wal.Open(folder.Process(), logName)
	require.NoError(t, err)
	held := []wal.Record{{Kind: replica.KindEntry, Data: make([]byte, 4000)}, {Kind: replica.KindUnfit, Data: []byte("why")}}
	require.NoError(t, file.Append(held...))
	folder.SetCapacity(int(file.Size()) + 300)
	records, err := testNode().fitRecords(folder.Process(), file, held)
	require.NoError(t, err)
	assert.Len(t, records, 1)
}

func testNode() *Node {
	settings := nodesettings.Default()
	settings.IP, settings.EphemeralPorts = loopback(0), []int{9001, 9001}
	return &Node{settings: settings, logger: log.New(io.Discard)}
}

// A state that takes the place of the one before ends the snapshot that is being made of that.
func TestASnapshotThatComesEndsTheOneUnderWay(t *testing.T) {
	r := newEngineRig(t, simdisk.New(1))
	r.lead()
	for id := range state.JobID(4) {
		body := fmt.Appendf(nil, `{"spec":"x","note":"%0*d","stages":[{"count":1,"cpu":100}]}`, captureSlice, 0)
		r.put(state.Command{Kind: state.KindJobAccepted, JobAccepted: &state.JobAccepted{ID: id + 1, Route: "r", Body: body}})
	}
	r.work()
	require.Len(t, r.machine.Jobs(), 4)
	r.compactAt = 0
	r.compact()
	require.NotNil(t, r.capturing.capture, "it takes several turns")
	r.carryOut(replica.Output{Install: &chain.Snapshot{Index: r.appliedTo, Epoch: 9, Data: state.New().Snapshot()}})
	r.compactAt = math.MaxInt64
	r.work()
	assert.Zero(t, r.rewritten)
	assert.False(t, r.rewriting, "the next one may begin")
	assert.Nil(t, r.capturing.capture)
}
