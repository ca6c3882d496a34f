package localcluster

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A whole cluster of real processes survives that its head is killed: every job is done, none is lost, nothing runs twice, and all
// processes and the folder are gone afterwards.
func TestClusterSurvivesTheHead(t *testing.T) {
	programs := t.TempDir()
	require.NoError(t, Build(t.Context(), programs))
	trouble, err := ParseTrouble("kill head 1s 500ms")
	require.NoError(t, err)
	var table bytes.Buffer
	report, err := Run(t.Context(), Options{
		ProgramDir: programs, Workers: 6, Rate: 4, LoadDuration: 2 * time.Second, DrainTimeout: time.Minute, Seed: 3, Troubles: []Trouble{trouble}, Table: &table,
	})
	require.NoError(t, err)
	require.True(t, report.Passed(), "%+v\n%s", report, table.String())
	require.Positive(t, report.Jobs.Done)
	require.Equal(t, report.Jobs.Accepted, report.Jobs.Done)
	require.NotZero(t, report.Epoch, "the head was lost")
	require.Contains(t, table.String(), "trouble: kill head")
	require.Positive(t, report.Disk.LogBytes)
	require.Positive(t, report.Disk.Jobs)
	require.Positive(t, report.Latencies.Started.Count)
}

func TestStartCleansUpAfterAFault(t *testing.T) {
	temporary := t.TempDir()
	t.Setenv("TMPDIR", temporary)
	_, err := Start(Options{ProgramDir: "/nowhere"})
	require.Error(t, err)
	left, err := os.ReadDir(temporary)
	require.NoError(t, err)
	require.Empty(t, left)
}

func TestStartLeavesTheFolderOfAnotherCluster(t *testing.T) {
	folder := t.TempDir()
	require.NoError(t, os.Mkdir(filepath.Join(folder, replicaName(0)), folderMode))
	_, err := Start(Options{ProgramDir: "/nowhere", Dir: folder})
	require.ErrorIs(t, err, errFolderInUse)
}
