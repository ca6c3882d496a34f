package logfile

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/replica"
	"gaugeslip/coord/view"
	"gaugeslip/coord/wal"
	"gaugeslip/internal/system/state"
)

const logName = "replica"

// singleReplica is the only replica of its cluster. The test drives it step by step; its log is in dir.
type singleReplica struct {
	t    *testing.T
	core *replica.Replica
	log  *wal.Log
	now  time.Duration
	dir  string
}

// startSingleReplica starts a replica on an empty directory and steps it until it has the lease.
func startSingleReplica(t *testing.T) *singleReplica {
	l := &singleReplica{t: t, dir: t.TempDir(), now: time.Second}
	disk, err := wal.OSDisk(l.dir)
	require.NoError(t, err)
	l.log, _, err = wal.Open(disk, logName)
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.log.Close() })
	self := view.Member{ID: "127.0.0.1:7660", Address: "127.0.0.1:7660"}
	genesis := view.View{Voters: []view.Member{self}, Chain: []view.Member{self}}
	l.core = replica.New(replica.Config{Self: self, Genesis: &genesis, Seed: 1}, replica.Persisted{}, l.now)
	for range 10 {
		l.now += 100 * time.Millisecond
		l.store(l.core.Step(l.now, replica.Tick{}))
	}
	require.True(t, l.core.IsHead(l.now))
	return l
}

// store writes the records of the output to the log and reports the sync to the core.
func (l *singleReplica) store(output replica.Output) {
	for len(output.Persist) > 0 {
		for _, record := range output.Persist {
			require.NoError(l.t, l.log.Append(wal.Record{Kind: record.Kind, Data: record.Data}))
		}
		require.NoError(l.t, l.log.Sync())
		output = l.core.Step(l.now, replica.Synced{Token: output.Token})
	}
}

func (l *singleReplica) propose(data ...[]byte) {
	_, output, err := l.core.Propose(l.now, data)
	require.NoError(l.t, err)
	l.store(output)
}

const jobBody = `{"stages":[{"count":2,"cpu":500,"memMb":100,"estimatedMs":200}]}`

func jobAcceptedCommand(id state.JobID) []byte {
	return state.Command{Kind: state.KindJobAccepted, JobAccepted: &state.JobAccepted{ID: id, Route: "barn", Service: "farm",
		MaxRetries: 2, Body: []byte(jobBody)}}.Encode()
}

func taskStartingCommand(id state.JobID, index uint32) []byte {
	run := state.Run{Task: state.TaskName{Job: id, Index: index}, Attempt: 1}
	return state.Command{Kind: state.KindTasksStarting, TasksStarting: []state.Start{{Run: run, Worker: "w-1"}}}.Encode()
}

func TestLogIsDescribedAndChecked(t *testing.T) {
	replica := startSingleReplica(t)
	replica.propose(jobAcceptedCommand(7), jobAcceptedCommand(8))
	replica.propose(taskStartingCommand(7, 0), taskStartingCommand(7, 1))

	reading, err := Read(replica.dir, logName)
	require.NoError(t, err)
	assert.False(t, reading.Torn)
	kinds := map[string]int{}
	for _, line := range Describe(reading.Records) {
		assert.Empty(t, line.Problem)
		assert.NotContains(t, line.Record, "kind-")
		kinds[line.Record+" "+line.Kind]++
	}
	assert.Equal(t, 2, kinds["entry job-accepted"])
	assert.Equal(t, 2, kinds["entry tasks-starting"])
	assert.Equal(t, 1, kinds["identity "])
	assert.Positive(t, kinds["view "])

	report, err := Check(reading)
	require.NoError(t, err)
	assert.EqualValues(t, "127.0.0.1:7660", report.Identity)
	assert.Equal(t, 2, report.Jobs)
	assert.Equal(t, 2, report.Runs)
	assert.Positive(t, report.Entries)
	assert.EqualValues(t, report.Entries, report.LastIndex)
}

func TestReadAndCheckChangeNothing(t *testing.T) {
	replica := startSingleReplica(t)
	replica.propose(jobAcceptedCommand(7))
	before := readDirContents(t, replica.dir)
	for range 3 {
		reading, err := Read(replica.dir, logName)
		require.NoError(t, err)
		_, err = Check(reading)
		require.NoError(t, err)
	}
	assert.Equal(t, before, readDirContents(t, replica.dir))
}

func readDirContents(t *testing.T, dir string) map[string]string {
	files := map[string]string{}
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	for _, entry := range entries {
		content, err := os.ReadFile(filepath.Join(dir, entry.Name()))
		require.NoError(t, err)
		files[entry.Name()] = string(content)
	}
	return files
}

// A log that is truncated anywhere, or in which any byte is damaged, is read up to that place. It never yields records that weren't written.
func TestTornEndIsReportedAndHarmless(t *testing.T) {
	replica := startSingleReplica(t)
	for id := range state.JobID(20) {
		replica.propose(jobAcceptedCommand(id+1), taskStartingCommand(id+1, 0))
	}
	original, err := Read(replica.dir, logName)
	require.NoError(t, err)
	path := filepath.Join(replica.dir, original.File)
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	random := rand.New(rand.NewPCG(3, 4))
	for range 200 {
		cut := 100 + random.IntN(len(content)-100)
		damaged := append([]byte(nil), content[:cut]...)
		if random.IntN(2) == 0 {
			damaged = append([]byte(nil), content...)
			damaged[cut] ^= 0x40
		}
		require.NoError(t, os.WriteFile(path, damaged, 0o600))
		reading, err := Read(replica.dir, logName)
		require.NoError(t, err)
		require.LessOrEqual(t, len(reading.Records), len(original.Records))
		for i, record := range reading.Records {
			require.Equal(t, original.Records[i], record)
		}
		report, err := Check(reading)
		require.NoError(t, err)
		require.Equal(t, reading.Torn, report.Torn)
	}
}

func TestUnreadableDirectories(t *testing.T) {
	_, err := Read(filepath.Join(t.TempDir(), "none"), logName)
	assert.ErrorIs(t, err, os.ErrNotExist)
	_, err = Read(t.TempDir(), logName)
	assert.ErrorIs(t, err, wal.ErrNoLog)
	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	_, err = Read(file, logName)
	assert.ErrorContains(t, err, "is a file")
}

func TestCorruptLogsAreErrors(t *testing.T) {
	source := startSingleReplica(t)
	source.propose(jobAcceptedCommand(7))
	reading, err := Read(source.dir, logName)
	require.NoError(t, err)
	last := reading.Records[len(reading.Records)-1]

	cases := map[string][]wal.Record{
		"entry again after a gap":   append(reading.Records[:len(reading.Records):len(reading.Records)], wal.Record{Kind: last.Kind, Data: []byte{99, 0}}),
		"unknown kind of record":    append(reading.Records[:len(reading.Records):len(reading.Records)], wal.Record{Kind: 200}),
		"entry that is no command":  append(reading.Records[:len(reading.Records):len(reading.Records)], wal.Record{Kind: last.Kind, Data: []byte{2, 0, 250}}),
		"no identity at all":        reading.Records[1:],
		"a view that can't be read": append(reading.Records[:len(reading.Records):len(reading.Records)], wal.Record{Kind: replica.KindView, Data: []byte{1}}),
	}
	for name, records := range cases {
		_, err := Check(wal.ReadResult{Records: records})
		assert.ErrorIs(t, err, ErrCorrupt, name)
	}
	lines := Describe(cases["unknown kind of record"])
	assert.Equal(t, "kind-200", lines[len(lines)-1].Record)
	assert.NotEmpty(t, lines[len(lines)-1].Problem)
	lines = Describe(cases["entry that is no command"])
	assert.NotEmpty(t, lines[len(lines)-1].Problem)
}
