package wal_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"gaugeslip/coord/wal"
	"gaugeslip/coord/wal/simdisk"
)

func record(text string) wal.Record {
	return wal.Record{Kind: byte(len(text)), Data: []byte(text)}
}

func recordTexts(records []wal.Record) []string {
	found := []string{}
	for _, entry := range records {
		found = append(found, string(entry.Data))
	}
	return found
}

func openLog(t *testing.T, disk wal.Disk) (*wal.Log, []string) {
	t.Helper()
	log, records, err := wal.Open(disk, "test")
	require.NoError(t, err)
	return log, recordTexts(records)
}

func TestRecordsAreReadBackFromARealDisk(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "made", "here")
	disk, err := wal.OSDisk(dir)
	require.NoError(t, err)

	log, found := openLog(t, disk)
	require.Empty(t, found)
	require.NoError(t, log.Append(record("a"), record(""), record("ccc")))
	require.NoError(t, log.Sync())
	require.NoError(t, log.Close())

	log, found = openLog(t, disk)
	require.Equal(t, []string{"a", "", "ccc"}, found)
	require.NoError(t, log.Rewrite([]wal.Record{record("whole")}))
	require.NoError(t, log.Append(record("more")))
	size := log.Size()
	require.NoError(t, log.Close())

	files, err := disk.List()
	require.NoError(t, err)
	require.Equal(t, []string{"test-000002.log"}, files)
	information, err := os.Stat(filepath.Join(dir, files[0]))
	require.NoError(t, err)
	require.Equal(t, information.Size(), size)

	log, records, err := wal.Open(disk, "test")
	require.NoError(t, err)
	require.Equal(t, []wal.Record{record("whole"), record("more")}, records)
	require.Equal(t, size, log.Size())
	require.NoError(t, log.Close())
}

func TestLogsInOneDirectoryAreSeparate(t *testing.T) {
	disk := simdisk.New(1)
	first, _, err := wal.Open(disk.Process(), "a")
	require.NoError(t, err)
	second, _, err := wal.Open(disk.Process(), "a-000001")
	require.NoError(t, err)
	require.NoError(t, first.Append(record("first")))
	require.NoError(t, second.Append(record("second")))
	require.NoError(t, second.Rewrite(nil))

	_, records, err := wal.Open(disk.Process(), "a")
	require.NoError(t, err)
	require.Equal(t, []string{"first"}, recordTexts(records))
}

func TestAnyTruncationOrFlippedByteLeavesAPrefix(t *testing.T) {
	disk := simdisk.New(1)
	log, _ := openLog(t, disk.Process())
	all := []string{"one", "two", "three", "four"}
	for _, text := range all {
		require.NoError(t, log.Append(record(text)))
	}
	whole, err := disk.Process().ReadFile("test-000001.log")
	require.NoError(t, err)

	for at := range whole {
		requirePrefix(t, all, whole[:at])
		flipped := bytes.Clone(whole)
		flipped[at] ^= 0x10
		requirePrefix(t, all, flipped)
	}
}

// requirePrefix checks that a log whose file has the given content opens with a prefix of all records, and that it can be appended to.
func requirePrefix(t *testing.T, all []string, content []byte) {
	t.Helper()
	disk := simdisk.New(1)
	file, err := disk.Process().Create("test-000001.log")
	require.NoError(t, err)
	_, err = file.Write(content)
	require.NoError(t, err)

	log, found := openLog(t, disk.Process())
	require.Less(t, len(found), len(all))
	require.Equal(t, all[:len(found)], found)
	require.NoError(t, log.Append(record("after")))
	_, again := openLog(t, disk.Process())
	require.Equal(t, append(found, "after"), again)
}

func TestStaleBytesOfAnOlderFileAreNotRead(t *testing.T) {
	disk := simdisk.New(1)
	log, _ := openLog(t, disk.Process())
	empty := log.Size()
	require.NoError(t, log.Append(record("stale")))
	old, err := disk.Process().ReadFile("test-000001.log")
	require.NoError(t, err)
	require.NoError(t, log.Rewrite(nil))

	file, err := disk.Process().OpenAppend("test-000002.log")
	require.NoError(t, err)
	_, err = file.Write(old[empty:])
	require.NoError(t, err)
	_, found := openLog(t, disk.Process())
	require.Empty(t, found)
}

func TestFailedLogRefusesCallsUntilRewritten(t *testing.T) {
	disk := simdisk.New(3)
	log, _ := openLog(t, disk.Process())
	require.NoError(t, log.Append(record("kept")))
	disk.SetCapacity(int(log.Size()) + 12)
	err := log.Append(record("does not fit"))
	require.ErrorIs(t, err, wal.ErrFailed)
	require.ErrorIs(t, err, simdisk.ErrNoSpace)
	require.ErrorIs(t, log.Append(record("x")), wal.ErrFailed)
	require.ErrorIs(t, log.Sync(), wal.ErrFailed)
	require.ErrorIs(t, log.Rewrite([]wal.Record{record("no room either")}), wal.ErrFailed)

	disk.SetCapacity(-1)
	require.ErrorIs(t, log.Append(record("x")), wal.ErrFailed)
	require.NoError(t, log.Rewrite([]wal.Record{record("new")}))
	require.NoError(t, log.Append(record("next")))
	require.NoError(t, log.Sync())
	disk.PowerLoss()
	_, found := openLog(t, disk.Process())
	require.Equal(t, []string{"new", "next"}, found)
}

func TestAFailedSyncFailsTheLog(t *testing.T) {
	disk := simdisk.New(1)
	log, _ := openLog(t, disk.Process())
	require.NoError(t, log.Append(record("a")))
	disk.SetFaults(simdisk.Faults{Sync: 1})
	require.ErrorIs(t, log.Sync(), simdisk.ErrStalled)
	disk.SetFaults(simdisk.Faults{})
	require.ErrorIs(t, log.Sync(), wal.ErrFailed)
	require.ErrorIs(t, log.Append(record("b")), wal.ErrFailed)
}

func TestClosedLogAndOversizeRecordsAreRefused(t *testing.T) {
	log, _ := openLog(t, simdisk.New(1).Process())
	huge := wal.Record{Data: make([]byte, wal.MaxRecordBytes+1)}
	require.ErrorIs(t, log.Append(huge), wal.ErrTooLarge)
	require.ErrorIs(t, log.Rewrite([]wal.Record{huge}), wal.ErrTooLarge)
	require.NoError(t, log.Append())
	require.NoError(t, log.Close())
	require.NoError(t, log.Close())
	require.ErrorIs(t, log.Append(record("a")), wal.ErrClosed)
	require.ErrorIs(t, log.Sync(), wal.ErrClosed)
	require.ErrorIs(t, log.Rewrite(nil), wal.ErrClosed)
}

func TestARewriteOfManyChunksIsReadBack(t *testing.T) {
	disk := simdisk.New(1)
	log, _ := openLog(t, disk.Process())
	const count, size = 40, 100_000
	var records []wal.Record
	for number := range count {
		records = append(records, wal.Record{Kind: byte(number), Data: bytes.Repeat([]byte{byte(number)}, size)})
	}
	require.NoError(t, log.Rewrite(records))
	disk.PowerLoss()
	_, found, err := wal.Open(disk.Process(), "test")
	require.NoError(t, err)
	require.Equal(t, records, found)
}

func TestConcurrentAppendsAndSyncs(t *testing.T) {
	disk := simdisk.New(1)
	log, _ := openLog(t, disk.Process())
	const writers, each = 4, 100
	var group sync.WaitGroup
	for writer := range writers {
		group.Go(func() {
			for number := range each {
				if log.Append(record(fmt.Sprint(writer, number))) != nil || log.Sync() != nil {
					t.Error("append or sync failed")
				}
			}
		})
	}
	group.Go(func() {
		for range each {
			_ = log.Size()
		}
	})
	group.Wait()
	disk.PowerLoss()
	_, found := openLog(t, disk.Process())
	require.Len(t, found, writers*each)
}

func TestRemoveDeletesOnlyTheNamedLog(t *testing.T) {
	disk := simdisk.New(1)
	for _, name := range []string{"test", "other"} {
		log, _, err := wal.Open(disk.Process(), name)
		require.NoError(t, err)
		require.NoError(t, log.Rewrite([]wal.Record{record(name)}))
		require.NoError(t, log.Close())
	}
	require.NoError(t, wal.Remove(disk.Process(), "test"))
	_, found := openLog(t, disk.Process())
	require.Empty(t, found)
	_, records, err := wal.Open(disk.Process(), "other")
	require.NoError(t, err)
	require.Equal(t, []string{"other"}, recordTexts(records))
	disk.StopAfter(1)
	require.ErrorIs(t, wal.Remove(disk.Process(), "other"), simdisk.ErrNoPower)
	require.ErrorIs(t, wal.Remove(disk.Process(), "other"), simdisk.ErrNoPower)
}
