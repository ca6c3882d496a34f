package wal_test

import (
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/require"

	"gaugeslip/coord/wal"
	"gaugeslip/coord/wal/simdisk"
)

// writeFile creates a synced file with the given content.
func writeFile(t *testing.T, disk wal.Disk, name string, content []byte) {
	t.Helper()
	file, err := disk.Create(name)
	require.NoError(t, err)
	_, err = file.Write(content)
	require.NoError(t, err)
	require.NoError(t, file.Sync())
}

// rewrittenLogFile returns the file of a log that was rewritten with one record and then appended to.
func rewrittenLogFile(t *testing.T) []byte {
	t.Helper()
	disk := simdisk.New(1)
	log, _ := openLog(t, disk.Process())
	require.NoError(t, log.Rewrite([]wal.Record{record("base")}))
	require.NoError(t, log.Append(record("more")))
	content, err := disk.Process().ReadFile("test-000002.log")
	require.NoError(t, err)
	return content
}

// A header must be rejected even if its damaged numbers make the file look complete.
func TestDamagedHeaderIsRejected(t *testing.T) {
	const baseBytesAt = 8 + 8 + 8
	content := rewrittenLogFile(t)
	binary.LittleEndian.PutUint64(content[baseBytesAt:], 0)
	disk := simdisk.New(1)
	writeFile(t, disk.Process(), "test-000002.log", content)
	_, found := openLog(t, disk.Process())
	require.Empty(t, found)
}

func TestFileOfAnotherGenerationIsRejected(t *testing.T) {
	disk := simdisk.New(1)
	writeFile(t, disk.Process(), "test-000007.log", rewrittenLogFile(t))
	_, found := openLog(t, disk.Process())
	require.Empty(t, found)
}

// An incomplete generation may reappear after a loss of power, so its number must not be reused.
func TestGenerationNumbersAreNeverReused(t *testing.T) {
	disk := simdisk.New(1)
	content := rewrittenLogFile(t)
	writeFile(t, disk.Process(), "test-000002.log", content[:len(content)/3])
	log, _ := openLog(t, disk.Process())
	require.NoError(t, log.Append(record("new")))
	require.NoError(t, log.Sync())
	files, err := disk.Process().List()
	require.NoError(t, err)
	require.Equal(t, []string{"test-000003.log"}, files)
}

// After a failed rewrite a later Open may find the old content or the new one, so nothing may be appended to either.
func TestAFailedRewriteFailsTheLog(t *testing.T) {
	disk := simdisk.New(1)
	log, _ := openLog(t, disk.Process())
	disk.SetFaults(simdisk.Faults{Sync: 1})
	require.ErrorIs(t, log.Rewrite([]wal.Record{record("a")}), wal.ErrFailed)
	disk.SetFaults(simdisk.Faults{})
	require.ErrorIs(t, log.Append(record("b")), wal.ErrFailed)
	require.ErrorIs(t, log.Sync(), wal.ErrFailed)
	require.NoError(t, log.Rewrite([]wal.Record{record("c")}))
	require.NoError(t, log.Append(record("d")))
	_, found := openLog(t, disk.Process())
	require.Equal(t, []string{"c", "d"}, found)
}
