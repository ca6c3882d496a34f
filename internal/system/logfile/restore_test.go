package logfile

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/replica"
	"gaugeslip/coord/view"
	"gaugeslip/coord/wal"
)

func TestRestoredLogHasAllEntriesAndASingleMemberView(t *testing.T) {
	source := startSingleReplica(t)
	source.propose(jobAcceptedCommand(7), taskStartingCommand(7, 0))
	before := readDirContents(t, source.dir)
	target := filepath.Join(t.TempDir(), "new")
	restored, err := Restore(source.dir, logName, target)
	require.NoError(t, err)
	assert.Equal(t, before, readDirContents(t, source.dir))

	reading, err := Read(target, logName)
	require.NoError(t, err)
	report, err := Check(reading)
	require.NoError(t, err)
	assert.Equal(t, restored.Report.Jobs, report.Jobs)
	assert.Equal(t, 1, report.Runs)
	assert.GreaterOrEqual(t, report.Epoch, uint64(restoredEpochIncrement))
	assert.EqualValues(t, "127.0.0.1:7660", restored.Member.ID)
}

func TestRestoreRefusals(t *testing.T) {
	source := startSingleReplica(t)
	source.propose(jobAcceptedCommand(7))
	full := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(full, "x"), nil, 0o600))
	_, err := Restore(source.dir, logName, full)
	assert.ErrorContains(t, err, "isn't empty")
	_, err = Restore(t.TempDir(), logName, filepath.Join(t.TempDir(), "new"))
	assert.ErrorIs(t, err, wal.ErrNoLog)

	others := []view.Member{{ID: "other", Address: "127.0.0.2:7660"}}
	without := view.View{Epoch: 5, Voters: others, Chain: others}
	require.NoError(t, source.log.Append(wal.Record{Kind: replica.KindView, Data: view.AppendView(nil, without)}))
	target := filepath.Join(t.TempDir(), "new")
	_, err = Restore(source.dir, logName, target)
	assert.ErrorIs(t, err, ErrIncomplete)
	_, err = os.Stat(target)
	assert.ErrorIs(t, err, os.ErrNotExist)
}
