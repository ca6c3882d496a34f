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

// engineHarness is an engine on a simulated disk whose callbacks only record their arguments. The disk performs its jobs only in drain or
// runJobs.
type engineHarness struct {
	*engine
	t         *testing.T
	simDisk   *simdisk.Disk
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

// newEngineHarness creates an engine that is the only replica of its system.
func newEngineHarness(t *testing.T, disk *simdisk.Disk) *engineHarness {
	r := &engineHarness{t: t, simDisk: disk, now: time.Hour}
	file, records, err := wal.Open(disk.Process(), logName)
	require.NoError(t, err)
	genesis := view.View{Voters: []view.Member{engineSelf}, Chain: []view.Member{engineSelf}}
	r.engine, err = newEngine(engineOptions{config: replica.Config{Self: engineSelf, Genesis: &genesis, Seed: uint64(len(records)) + 1},
		log: file, records: records, now: func() time.Duration { return r.now },
		post:    func(work func()) { r.posted = append(r.posted, work) },
		send:    func(_ string, message *replica.Message) { r.sent = append(r.sent, message) },
		applied: func(result state.Result) { r.results = append(r.results, result) }, committed: func(time.Duration) {}, caughtUp: func(int, time.Duration) {},
		postDeferred:      func(work func()) { r.posted = append(r.posted, work) },
		snapshotInstalled: func() { r.installs++ }, event: func(event replica.Event) { r.events = append(r.events, event) },
		logRewritten: func(int64, time.Duration) { r.rewritten++ },
		diskFailed:   func(err error) { r.failures = append(r.failures, err) },
		fatal:        func(err error) { r.faults = append(r.faults, err) }})
	require.NoError(t, err)
	return r
}

// drain runs the disk's jobs and the functions posted to the loop until there are none left.
func (r *engineHarness) drain() {
	for jobs := r.disk.takeJobs(); len(jobs) > 0 || len(r.posted) > 0; jobs = r.disk.takeJobs() {
		r.disk.runJobs(jobs)
		posted := r.posted
		r.posted = nil
		for _, work := range posted {
			work()
		}
	}
}

// becomeHead advances the time until this replica is the head.
func (r *engineHarness) becomeHead() {
	for range 1000 {
		if r.isHead() {
			return
		}
		r.now += 10 * time.Millisecond
		r.step(replica.Tick{})
		r.drain()
	}
	r.t.Fatal("the replica does not become the head")
}

// onDisk returns what the disk holds after a loss of power.
func (r *engineHarness) onDisk() replica.Persisted {
	r.simDisk.PowerLoss()
	_, records, err := wal.Open(r.simDisk.Process(), logName)
	require.NoError(r.t, err)
	persisted, err := restoreRecords(records)
	require.NoError(r.t, err)
	return persisted
}

func snapshotRecord(snapshot chain.Snapshot) replica.Record {
	return replica.Record{Kind: replica.KindSnapshot, Data: append([]byte{byte(snapshot.Index), byte(snapshot.Epoch)}, snapshot.Data...)}
}

// A snapshot that cannot be decoded must not reach the disk: the replica would never start again.
func TestCorruptSnapshotIsNotStored(t *testing.T) {
	r := newEngineHarness(t, simdisk.New(1))
	r.becomeHead()
	before := r.machine.Snapshot()
	damaged := chain.Snapshot{Index: 100, Epoch: 9, Data: []byte("no state")}
	r.handleOutput(replica.Output{Install: &damaged, Persist: []replica.Record{snapshotRecord(damaged)}, Token: 99})
	require.Len(t, r.failures, 1)
	assert.ErrorIs(t, r.failures[0], state.ErrCorrupt)
	assert.Zero(t, r.installs)
	assert.Equal(t, before, r.machine.Snapshot())
	r.drain()
	assert.Nil(t, r.onDisk().Snapshot)
	newEngineHarness(t, r.simDisk).becomeHead()
}

// Output that comes with a fault derives from an inconsistent state and must not be carried out.
func TestAfterAFaultNothingIsSentStoredOrApplied(t *testing.T) {
	r := newEngineHarness(t, simdisk.New(1))
	r.becomeHead()
	r.sent, r.results = nil, nil
	broken := errors.New("broken")
	command := state.Command{Kind: state.KindWorkerLost, WorkerLost: "w"}.Encode()
	last := r.replica.LastIndex()
	stored := replica.Record{Kind: replica.KindEntry, Data: append([]byte{byte(last + 1), 9}, command...)}
	r.handleOutput(replica.Output{Fault: broken, Send: []replica.Envelope{{To: "x", Message: &replica.Message{}}}, Token: 99,
		Persist: []replica.Record{stored}, Committed: []chain.Entry{{Index: last + 1, Epoch: 9, Data: command}}})
	assert.Equal(t, []error{broken}, r.faults)
	assert.Empty(t, r.sent)
	assert.Empty(t, r.results)
	r.drain()
	persisted := r.onDisk()
	assert.Equal(t, last, persisted.Log.Last())
}

func workerLost(name string) state.Command {
	return state.Command{Kind: state.KindWorkerLost, WorkerLost: name}
}

// submit proposes a command and returns the slice that receives its status.
func (r *engineHarness) submit(command state.Command) *[]commitStatus {
	statuses := &[]commitStatus{}
	r.propose(command, func(_ state.Result, status commitStatus) { *statuses = append(*statuses, status) })
	r.flush()
	return statuses
}

func TestAnEntryIsAppliedOnce(t *testing.T) {
	r := newEngineHarness(t, simdisk.New(1))
	r.becomeHead()
	r.submit(workerLost("a"))
	r.drain()
	require.Len(t, r.results, 1)
	at := r.appliedIndex
	r.handleOutput(replica.Output{Committed: []chain.Entry{{Index: at, Epoch: 1, Data: workerLost("b").Encode()}}})
	assert.Len(t, r.results, 1)
	assert.Equal(t, at, r.appliedIndex)
}

// An entry of another head may take the index of a proposal. The proposal will then never be committed.
func TestProposalIsRejectedWhenAnotherEntryTakesItsIndex(t *testing.T) {
	r := newEngineHarness(t, simdisk.New(1))
	r.becomeHead()
	statuses := r.submit(workerLost("a"))
	require.Empty(t, *statuses)
	index, epoch := r.replica.LastIndex(), r.view().Epoch
	r.handleOutput(replica.Output{Committed: []chain.Entry{{Index: index, Epoch: epoch + 1, Data: workerLost("b").Encode()}}})
	assert.Equal(t, []commitStatus{statusRejected}, *statuses)
}

// It is unknown whether a snapshot that replaces the state contains a proposal.
func TestASnapshotLeavesProposalsInDoubt(t *testing.T) {
	r := newEngineHarness(t, simdisk.New(1))
	r.becomeHead()
	first, second := r.submit(workerLost("a")), r.submit(workerLost("b"))
	at := r.replica.LastIndex() - 1
	r.handleOutput(replica.Output{Install: &chain.Snapshot{Index: at, Epoch: 9, Data: state.New().Snapshot()}})
	assert.Equal(t, []commitStatus{statusInDoubt}, *first)
	assert.Empty(t, *second)
	assert.Equal(t, at, r.appliedIndex)
	r.close()
	assert.Equal(t, []commitStatus{statusInDoubt}, *second)
}

// A command reported as committed survives a loss of power, whatever unsynced writes the disk loses.
func TestCommitIsReportedOnlyAfterSync(t *testing.T) {
	for seed := range uint64(20) {
		r := newEngineHarness(t, simdisk.New(seed))
		r.becomeHead()
		statuses := r.submit(workerLost("a"))
		assert.Empty(t, *statuses)
		r.drain()
		require.Equal(t, []commitStatus{statusCommitted}, *statuses)
		index := r.appliedIndex
		persisted := r.onDisk()
		require.GreaterOrEqual(t, persisted.Log.Last(), index, "seed %d", seed)
	}
}

func TestDiskErrorsAreReported(t *testing.T) {
	for _, rewrite := range []bool{false, true} {
		r := newEngineHarness(t, simdisk.New(1))
		r.becomeHead()
		if rewrite {
			r.compactAt = 0
			r.submit(workerLost("a"))
			r.disk.runJobs(r.disk.takeJobs())
			r.simDisk.SetFaults(simdisk.Faults{Sync: 1})
		} else {
			r.simDisk.SetFaults(simdisk.Faults{Sync: 1})
			r.submit(workerLost("a"))
		}
		r.drain()
		assert.Len(t, r.failures, 1, "rewrite %v", rewrite)
		assert.Zero(t, r.rewritten)
	}
}

// A closed engine ignores all input, including completions of its own disk.
func TestClosedEngineReportsNothing(t *testing.T) {
	r := newEngineHarness(t, simdisk.New(1))
	r.becomeHead()
	statuses := r.submit(workerLost("a"))
	jobs := r.disk.takeJobs()
	r.close()
	assert.Equal(t, []commitStatus{statusInDoubt}, *statuses)
	r.sent, r.events = nil, nil
	r.simDisk.SetFaults(simdisk.Faults{Sync: 1})
	r.disk.runJobs(jobs)
	r.drain()
	r.step(replica.Tick{})
	assert.Empty(t, r.results)
	assert.Empty(t, r.sent)
	assert.Empty(t, r.failures)
	assert.False(t, r.isHead())
}

// A compacted log holds the state and all later entries, and a restart continues from there.
func TestRestartUsesCompactedLog(t *testing.T) {
	for seed := range uint64(10) {
		r := newEngineHarness(t, simdisk.New(seed))
		r.becomeHead()
		accepted := state.Command{Kind: state.KindJobAccepted, JobAccepted: &state.JobAccepted{ID: 7, Route: "r", Body: []byte(testJob)}}
		r.submit(accepted)
		r.drain()
		r.compactAt = 0
		r.submit(workerLost("a"))
		r.drain()
		require.Equal(t, 1, r.rewritten)
		require.GreaterOrEqual(t, r.compactAt, int64(minCompactionSize))
		statuses := r.submit(state.Command{Kind: state.KindJobCancelled, JobCancelled: &state.JobCancelled{ID: 7}})
		r.drain()
		require.Equal(t, []commitStatus{statusCommitted}, *statuses)
		want, at := r.machine.Snapshot(), r.appliedIndex
		r.simDisk.PowerLoss()
		r = newEngineHarness(t, r.simDisk)
		assert.Positive(t, r.appliedIndex, "the engine starts from the snapshot")
		r.becomeHead()
		assert.Equal(t, want, r.machine.Snapshot(), "seed %d", seed)
		assert.GreaterOrEqual(t, r.appliedIndex, at)
	}
}

func TestCompactionThresholdsAreJittered(t *testing.T) {
	lengths := map[int64]bool{}
	for seed := range uint64(64) {
		length := jitterThreshold(1000, seed)
		lengths[length] = true
		assert.GreaterOrEqual(t, length, int64(1000))
		assert.Less(t, length, int64(1500))
	}
	assert.Greater(t, len(lengths), 50)
}

func TestTheDiskWorksInOrder(t *testing.T) {
	disk := simdisk.New(1)
	file, _, err := wal.Open(disk.Process(), logName)
	require.NoError(t, err)
	d := newDisk(file)
	var order []string
	job := func(name string, rewrite bool) diskJob {
		return diskJob{records: []wal.Record{{Kind: 1, Data: []byte(name)}}, rewrite: rewrite, done: func(err error) {
			require.NoError(t, err)
			order = append(order, name)
		}}
	}
	d.runJobs([]diskJob{job("a", false), job("b", false), job("c", true), job("d", false), job("e", false)})
	assert.Equal(t, []string{"a", "b", "c", "d", "e"}, order)
	assert.Equal(t, file.Size(), d.logSize())
	disk.PowerLoss()
	_, records, err := wal.Open(disk.Process(), logName)
	require.NoError(t, err)
	var found []string
	for _, record := range records {
		found = append(found, string(record.Data))
	}
	assert.Equal(t, []string{"c", "d", "e"}, found)
}

// A disk marked as unfit comes back with a new identity and nothing else. Its records are kept in another log.
func TestUnfitDiskIsReplaced(t *testing.T) {
	for seed := range uint64(10) {
		disk := simdisk.New(seed)
		file, _, err := wal.Open(disk.Process(), logName)
		require.NoError(t, err)
		held := append(toWALRecords(replica.BlankDisk("old")), wal.Record{Kind: replica.KindUnfit, Data: []byte("why")})
		require.NoError(t, file.Append(held...))
		require.NoError(t, file.Sync())
		node := testNode()
		records, err := node.replaceUnfitRecords(disk.Process(), file, held)
		require.NoError(t, err)
		persisted, err := restoreRecords(records)
		require.NoError(t, err)
		assert.NotEqual(t, view.ReplicaID("old"), persisted.Identity)
		assert.Empty(t, persisted.Unfit)
		disk.PowerLoss()
		_, again, err := wal.Open(disk.Process(), logName)
		require.NoError(t, err)
		assert.Equal(t, records, again, "the same identity at the next start")
		kept, err := wal.Read(disk.Process(), UnfitLogName)
		require.NoError(t, err)
		assert.Equal(t, held, kept.Records)
		same, err := node.replaceUnfitRecords(disk.Process(), file, again)
		require.NoError(t, err)
		assert.Equal(t, again, same, "a fit disk is left as it is")
	}
}

// On a full disk the records cannot be kept. The replica comes back all the same.
func TestFullUnfitDiskIsReplaced(t *testing.T) {
	disk := simdisk.New(1)
	file, _, err := wal.Open(disk.Process(), logName)
	require.NoError(t, err)
	held := []wal.Record{{Kind: replica.KindEntry, Data: make([]byte, 4000)}, {Kind: replica.KindUnfit, Data: []byte("why")}}
	require.NoError(t, file.Append(held...))
	disk.SetCapacity(int(file.Size()) + 300)
	records, err := testNode().replaceUnfitRecords(disk.Process(), file, held)
	require.NoError(t, err)
	assert.Len(t, records, 1)
}

func testNode() *Node {
	settings := nodesettings.Default()
	settings.IP, settings.EphemeralPorts = loopback(0), []int{9001, 9001}
	return &Node{settings: settings, logger: log.New(io.Discard)}
}

// A snapshot that replaces the state cancels the capture of the old state.
func TestInstalledSnapshotCancelsPendingCapture(t *testing.T) {
	r := newEngineHarness(t, simdisk.New(1))
	r.becomeHead()
	for id := range state.JobID(4) {
		body := fmt.Appendf(nil, `{"spec":"x","note":"%0*d","stages":[{"count":1,"cpu":100}]}`, captureChunkSize, 0)
		r.submit(state.Command{Kind: state.KindJobAccepted, JobAccepted: &state.JobAccepted{ID: id + 1, Route: "r", Body: body}})
	}
	r.drain()
	require.Len(t, r.machine.Jobs(), 4)
	r.compactAt = 0
	r.compactIfDue()
	require.NotNil(t, r.pendingCapture.capture, "the capture takes several turns")
	r.handleOutput(replica.Output{Install: &chain.Snapshot{Index: r.appliedIndex, Epoch: 9, Data: state.New().Snapshot()}})
	r.compactAt = math.MaxInt64
	r.drain()
	assert.Zero(t, r.rewritten)
	assert.False(t, r.rewriting, "the next compaction may begin")
	assert.Nil(t, r.pendingCapture.capture)
}
