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

// prepared is a data folder with a log of these records.
func prepared(t *testing.T, records ...wal.Record) string {
	folder := t.TempDir()
	disk, err := wal.OSDisk(folder)
	require.NoError(t, err)
	file, _, err := wal.Open(disk, control.LogName)
	require.NoError(t, err)
	require.NoError(t, file.Append(records...))
	require.NoError(t, file.Sync())
	require.NoError(t, file.Close())
	return folder
}

var (
	identity = wal.Record{Kind: replica.KindIdentity, Data: []byte("10.0.0.1:7660")}
	entry    = wal.Record{Kind: replica.KindEntry, Data: []byte{1, 0}}
	gap      = wal.Record{Kind: replica.KindEntry, Data: []byte{9, 0}}
)

func TestALogOfAStoppedReplica(t *testing.T) {
	folder := prepared(t, identity, entry)
	assert.Contains(t, shows(t, "log", "check", folder), "10.0.0.1:7660")
	assert.NotContains(t, shows(t, "log", "inspect", folder, "--from=1"), "identity")
	var lines []logfile.Line
	showsJSON(t, &lines, "log", "inspect", folder)
	require.Len(t, lines, 2)
	assert.EqualValues(t, 1, lines[1].Index)
	var report logfile.Report
	showsJSON(t, &report, "log", "check", folder)
	assert.EqualValues(t, 1, report.LastIndex)
}

func TestABrokenLogHasFindings(t *testing.T) {
	_, err := execute(t, "log", "check", prepared(t, identity, entry, gap))
	assert.Equal(t, console.ExitFindings, exitCode(err))
	assert.ErrorContains(t, err, "entry 9 after 1")
	assert.Contains(t, shows(t, "log", "inspect", prepared(t, identity, wal.Record{Kind: 99})), "CAN'T BE READ")
}

func TestFoldersWithoutALog(t *testing.T) {
	for _, command := range []string{"inspect", "check"} {
		_, err := execute(t, "log", command, t.TempDir())
		assert.ErrorIs(t, err, wal.ErrNoLog)
		_, err = execute(t, "log", command, filepath.Join(t.TempDir(), "none"))
		assert.ErrorIs(t, err, os.ErrNotExist)
		assert.Equal(t, console.ExitFault, exitCode(err))
	}
}

func TestARestoredLog(t *testing.T) {
	member := []view.Member{{ID: "10.0.0.1:7660", Address: "10.0.0.1:7660"}}
	whole := view.View{Epoch: 3, Voters: member, Chain: member}
	agreed := wal.Record{Kind: replica.KindView, Data: view.AppendView(nil, whole)}
	target := filepath.Join(t.TempDir(), "new")
	assert.Contains(t, shows(t, "log", "restore", prepared(t, identity, agreed, entry), target), "start that member alone")
	assert.Contains(t, shows(t, "log", "check", target), "10.0.0.1:7660")

	_, err := execute(t, "log", "restore", prepared(t, identity, agreed, entry), target)
	assert.ErrorContains(t, err, "isn't empty")
	_, err = execute(t, "log", "restore", prepared(t, identity, entry), filepath.Join(t.TempDir(), "new"))
	assert.ErrorIs(t, err, logfile.ErrIncomplete)
	_, err = execute(t, "log", "restore", prepared(t, identity, agreed, entry, gap), filepath.Join(t.TempDir(), "new"))
	assert.Equal(t, console.ExitFindings, exitCode(err))
}
