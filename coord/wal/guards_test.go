package wal_test

import (
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/require"

	"gaugeslip/coord/wal"
	"gaugeslip/coord/wal/simdisk"
)

// writeFile makes a file with a content.
func writeFile(t *testing.T, disk wal.Disk, name string, content []byte) {
	t.Helper()
	file, err := disk.Create(name)
	require.NoError(t, err)
	_, err = file.Write(content)
	require.NoError(t, err)
	require.NoError(t, file.Sync())
}

// rewrittenLogFile is the file of a log that was made with one record and got another later.
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

// A header whose numbers are damaged so that all else fits must not count.
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

// An incomplete generation may turn up again after a loss of power, so that its number must not be given to another.
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

// After a rewrite that failed the old content or the new one may be found: nothing may be appended to either.
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
