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

// lone is the only replica of its cluster, driven by hand, with its log in a folder.
type lone struct {
	t      *testing.T
	core   *replica.Replica
	log    *wal.Log
	now    time.Duration
	folder string
}

// startLone starts a replica on an empty folder, up to its lease.
func startLone(t *testing.T) *lone {
	l := &lone{t: t, folder: t.TempDir(), now: time.Second}
	disk, err := wal.OSDisk(l.folder)
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

// store writes what the core wants on disk, and tells it so.
func (l *lone) store(output replica.Output) {
	for len(output.Persist) > 0 {
		for _, record := range output.Persist {
			require.NoError(l.t, l.log.Append(wal.Record{Kind: record.Kind, Data: record.Data}))
		}
		require.NoError(l.t, l.log.Sync())
		output = l.core.Step(l.now, replica.Synced{Token: output.Token})
	}
}

func (l *lone) propose(data ...[]byte) {
	_, output, err := l.core.Propose(l.now, data)
	require.NoError(l.t, err)
	l.store(output)
}

const body = `{"stages":[{"count":2,"cpu":500,"memMb":100,"estimatedMs":200}]}`

func accepted(id state.JobID) []byte {
	return state.Command{Kind: state.KindJobAccepted, JobAccepted: &state.JobAccepted{ID: id, Route: "barn", Service: "farm",
		MaxRetries: 2, Body: []byte(body)}}.Encode()
}

func started(id state.JobID, index uint32) []byte {
	run := state.Run{Task: state.TaskName{Job: id, Index: index}, Attempt: 1}
	return state.Command{Kind: state.KindTasksStarting, TasksStarting: []state.Start{{Run: run, Worker: "w-1"}}}.Encode()
}

func TestALogIsDescribedAndChecked(t *testing.T) {
	replica := startLone(t)
	replica.propose(accepted(7), accepted(8))
	replica.propose(started(7, 0), started(7, 1))

	reading, err := Read(replica.folder, logName)
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

func TestLookingChangesNothing(t *testing.T) {
	replica := startLone(t)
	replica.propose(accepted(7))
	before := contents(t, replica.folder)
	for range 3 {
		reading, err := Read(replica.folder, logName)
		require.NoError(t, err)
		_, err = Check(reading)
		require.NoError(t, err)
	}
	assert.Equal(t, before, contents(t, replica.folder))
}

func contents(t *testing.T, folder string) map[string]string {
	files := map[string]string{}
	entries, err := os.ReadDir(folder)
	require.NoError(t, err)
	for _, entry := range entries {
		content, err := os.ReadFile(filepath.Join(folder, entry.Name()))
		require.NoError(t, err)
		files[entry.Name()] = string(content)
	}
	return files
}

// A log that is cut off anywhere, or of which any byte is turned, is read up to there: it never shows records that weren't written.
func TestATornEndIsToldAndHarmless(t *testing.T) {
	replica := startLone(t)
	for id := range state.JobID(20) {
		replica.propose(accepted(id+1), started(id+1, 0))
	}
	whole, err := Read(replica.folder, logName)
	require.NoError(t, err)
	path := filepath.Join(replica.folder, whole.File)
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
		reading, err := Read(replica.folder, logName)
		require.NoError(t, err)
		require.LessOrEqual(t, len(reading.Records), len(whole.Records))
		for i, record := range reading.Records {
			require.Equal(t, whole.Records[i], record)
		}
		report, err := Check(reading)
		require.NoError(t, err)
		require.Equal(t, reading.Torn, report.Torn)
	}
}

func TestWhatCannotBeRead(t *testing.T) {
	_, err := Read(filepath.Join(t.TempDir(), "none"), logName)
	assert.ErrorIs(t, err, os.ErrNotExist)
	_, err = Read(t.TempDir(), logName)
	assert.ErrorIs(t, err, wal.ErrNoLog)
	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	_, err = Read(file, logName)
	assert.ErrorContains(t, err, "is a file")
}

func TestBrokenLogsAreNamed(t *testing.T) {
	sound := startLone(t)
	sound.propose(accepted(7))
	reading, err := Read(sound.folder, logName)
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
