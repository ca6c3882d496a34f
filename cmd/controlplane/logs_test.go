package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/replica"
	"gaugeslip/coord/view"
	"gaugeslip/coord/wal"
	"gaugeslip/internal/system/console"
	"gaugeslip/internal/system/control"
	"gaugeslip/internal/system/logfile"
)

// writeTestLog writes a log of the records and returns its data directory.
func writeTestLog(t *testing.T, records ...wal.Record) string {
	dir := t.TempDir()
	disk, err := wal.OSDisk(dir)
	require.NoError(t, err)
	file, _, err := wal.Open(disk, control.LogName)
	require.NoError(t, err)
	require.NoError(t, file.Append(records...))
	require.NoError(t, file.Sync())
	require.NoError(t, file.Close())
	return dir
}

var (
	identity = wal.Record{Kind: replica.KindIdentity, Data: []byte("10.0.0.1:7660")}
	entry    = wal.Record{Kind: replica.KindEntry, Data: []byte{1, 0}}
	gap      = wal.Record{Kind: replica.KindEntry, Data: []byte{9, 0}}
)

func TestLogOfAStoppedReplica(t *testing.T) {
	dir := writeTestLog(t, identity, entry)
	assert.Contains(t, mustExecute(t, "log", "check", dir), "10.0.0.1:7660")
	assert.NotContains(t, mustExecute(t, "log", "inspect", dir, "--from=1"), "identity")
	var lines []logfile.Line
	mustExecuteJSON(t, &lines, "log", "inspect", dir)
	require.Len(t, lines, 2)
	assert.EqualValues(t, 1, lines[1].Index)
	var report logfile.Report
	mustExecuteJSON(t, &report, "log", "check", dir)
	assert.EqualValues(t, 1, report.LastIndex)
}

func TestCorruptLogHasFindings(t *testing.T) {
	_, err := execute(t, "log", "check", writeTestLog(t, identity, entry, gap))
	assert.Equal(t, console.ExitFindings, exitCode(err))
	assert.ErrorContains(t, err, "entry 9 after 1")
	assert.Contains(t, mustExecute(t, "log", "inspect", writeTestLog(t, identity, wal.Record{Kind: 99})), "CAN'T BE READ")
}

func TestDirectoriesWithoutALog(t *testing.T) {
	for _, command := range []string{"inspect", "check"} {
		_, err := execute(t, "log", command, t.TempDir())
		assert.ErrorIs(t, err, wal.ErrNoLog)
		_, err = execute(t, "log", command, filepath.Join(t.TempDir(), "none"))
		assert.ErrorIs(t, err, os.ErrNotExist)
		assert.Equal(t, console.ExitFault, exitCode(err))
	}
}

func TestRestoredLog(t *testing.T) {
	member := []view.Member{{ID: "10.0.0.1:7660", Address: "10.0.0.1:7660"}}
	onlyView := view.View{Epoch: 3, Voters: member, Chain: member}
	viewRecord := wal.Record{Kind: replica.KindView, Data: view.AppendView(nil, onlyView)}
	target := filepath.Join(t.TempDir(), "new")
	assert.Contains(t, mustExecute(t, "log", "restore", writeTestLog(t, identity, viewRecord, entry), target), "start that member alone")
	assert.Contains(t, mustExecute(t, "log", "check", target), "10.0.0.1:7660")

	_, err := execute(t, "log", "restore", writeTestLog(t, identity, viewRecord, entry), target)
	assert.ErrorContains(t, err, "isn't empty")
	_, err = execute(t, "log", "restore", writeTestLog(t, identity, entry), filepath.Join(t.TempDir(), "new"))
	assert.ErrorIs(t, err, logfile.ErrIncomplete)
	_, err = execute(t, "log", "restore", writeTestLog(t, identity, viewRecord, entry, gap), filepath.Join(t.TempDir(), "new"))
	assert.Equal(t, console.ExitFindings, exitCode(err))
}
