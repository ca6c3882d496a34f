package faultydisk

import (
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/wal"
)

type testDisk struct {
	*Disk
	inner     wal.Disk
	faultFile string
}

func newTestDisk(t *testing.T) *testDisk {
	folder, err := wal.OSDisk(filepath.Join(t.TempDir(), "data"))
	require.NoError(t, err)
	orders := filepath.Join(t.TempDir(), "orders")
	return &testDisk{Disk: New(folder, orders), inner: folder, faultFile: orders}
}

func record(content string) wal.Record { return wal.Record{Kind: 1, Data: []byte(content)} }

// Data that a killed process has synced survives, and data that it has not synced is lost.
func TestOnlySyncedDataSurvivesKill(t *testing.T) {
	disk := newTestDisk(t)
	log, _, err := wal.Open(disk, "log")
	require.NoError(t, err)
	require.NoError(t, log.Append(record("synced")))
	require.NoError(t, log.Sync())
	require.NoError(t, log.Append(record("not synced")))
	_, records, err := wal.Open(New(disk.inner, disk.faultFile), "log")
	require.NoError(t, err)
	assert.Equal(t, []wal.Record{record("synced")}, records)
}

func TestFullDiskRejectsWrites(t *testing.T) {
	disk := newTestDisk(t)
	log, _, err := wal.Open(disk, "log")
	require.NoError(t, err)
	require.NoError(t, SetFault(disk.faultFile, Full))
	require.ErrorIs(t, log.Append(record("refused")), syscall.ENOSPC)
	require.NoError(t, SetFault(disk.faultFile, None))
	_, records, err := wal.Open(New(disk.inner, disk.faultFile), "log")
	require.NoError(t, err)
	assert.Empty(t, records)
}

// A stalled call continues when the fault ends, and not before.
func TestStalledCallsResumeAfterFault(t *testing.T) {
	disk := newTestDisk(t)
	log, _, err := wal.Open(disk, "log")
	require.NoError(t, err)
	require.NoError(t, SetFault(disk.faultFile, Stalled))
	done := make(chan error, 1)
	go func() { done <- log.Append(record("late")) }()
	select {
	case <-done:
		t.Fatal("write to a stalled disk returned")
	case <-time.After(5 * pollInterval):
	}
	require.NoError(t, SetFault(disk.faultFile, None))
	require.NoError(t, <-done)
}
