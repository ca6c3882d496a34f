package simdisk_test

import (
	"io/fs"
	"testing"

	"github.com/stretchr/testify/require"

	"gaugeslip/coord/wal"
	"gaugeslip/coord/wal/simdisk"
)

const seeds = 300

func create(t *testing.T, disk *simdisk.Disk, name, content string) wal.File {
	t.Helper()
	file, err := disk.Process().Create(name)
	require.NoError(t, err)
	_, err = file.Write([]byte(content))
	require.NoError(t, err)
	return file
}

// outcomes runs a story on disks of many seeds and counts what is read of a file after a loss of power.
func outcomes(t *testing.T, name string, story func(disk *simdisk.Disk)) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for seed := range uint64(seeds) {
		disk := simdisk.New(seed)
		story(disk)
		disk.PowerLoss()
		content, err := disk.Process().ReadFile(name)
		if err != nil {
			require.ErrorIs(t, err, fs.ErrNotExist)
			counts["no file"]++
			continue
		}
		counts[string(content)]++
	}
	return counts
}

func TestSyncedFilesLastWithTheirNames(t *testing.T) {
	counts := outcomes(t, "a", func(disk *simdisk.Disk) {
		require.NoError(t, create(t, disk, "a", "synced").Sync())
	})
	require.Equal(t, map[string]int{"synced": seeds}, counts)
}

func TestLaterWritesAreThereMissingOrTorn(t *testing.T) {
	counts := outcomes(t, "a", func(disk *simdisk.Disk) {
		file := create(t, disk, "a", "synced")
		require.NoError(t, file.Sync())
		_, err := file.Write([]byte("XY"))
		require.NoError(t, err)
	})
	for _, content := range []string{"synced", "syncedXY", "syncedX", "synced\x00Y", "synced\x00\x00"} {
		require.Positive(t, counts[content], content)
	}
	require.Len(t, counts, 6, "and a torn one with its zeros: %q", counts)
}

func TestUnsyncedNamesAreKeptOrLost(t *testing.T) {
	made := outcomes(t, "a", func(disk *simdisk.Disk) {
		create(t, disk, "a", "")
	})
	require.Positive(t, made["no file"])
	require.Positive(t, made[""])

	removed := outcomes(t, "a", func(disk *simdisk.Disk) {
		require.NoError(t, create(t, disk, "a", "old").Sync())
		require.NoError(t, disk.Process().Remove("a"))
	})
	require.Positive(t, removed["no file"])
	require.Positive(t, removed["old"])

	renamed := outcomes(t, "a", func(disk *simdisk.Disk) {
		require.NoError(t, create(t, disk, "a", "old").Sync())
		require.NoError(t, create(t, disk, "b", "new").Sync())
		require.NoError(t, disk.Process().Rename("b", "a"))
	})
	require.Positive(t, renamed["old"])
	require.Positive(t, renamed["new"])
	require.Zero(t, renamed["no file"])
}

func TestSyncOfTheFolderMakesNamesLast(t *testing.T) {
	counts := outcomes(t, "a", func(disk *simdisk.Disk) {
		require.NoError(t, create(t, disk, "a", "old").Sync())
		require.NoError(t, create(t, disk, "b", "new").Sync())
		require.NoError(t, disk.Process().Rename("b", "a"))
		require.NoError(t, disk.Process().SyncDir())
	})
	require.Equal(t, map[string]int{"new": seeds}, counts)
}

func TestRestartKeepsAllThatWasWritten(t *testing.T) {
	disk := simdisk.New(1)
	file := create(t, disk, "a", "unsynced")
	disk.Restart()
	_, err := file.Write([]byte("late"))
	require.ErrorIs(t, err, simdisk.ErrNoPower)
	require.ErrorIs(t, file.Sync(), simdisk.ErrNoPower)
	content, err := disk.Process().ReadFile("a")
	require.NoError(t, err)
	require.Equal(t, "unsynced", string(content))
}

func TestWipeLeavesAnEmptyDisk(t *testing.T) {
	disk := simdisk.New(1)
	require.NoError(t, create(t, disk, "a", "x").Sync())
	disk.Wipe()
	disk.PowerLoss()
	names, err := disk.Process().List()
	require.NoError(t, err)
	require.Empty(t, names)
}

func TestAFullDiskTakesAPart(t *testing.T) {
	disk := simdisk.New(1)
	disk.SetCapacity(5)
	file := create(t, disk, "a", "123")
	written, err := file.Write([]byte("4567"))
	require.ErrorIs(t, err, simdisk.ErrNoSpace)
	require.Equal(t, 2, written)
	require.NoError(t, disk.Process().Remove("a"))
	create(t, disk, "b", "12345")
}

func TestStopAfterLetsThatManyCallsThrough(t *testing.T) {
	disk := simdisk.New(1)
	disk.StopAfter(2)
	create(t, disk, "a", "b")
	_, err := disk.Process().List()
	require.ErrorIs(t, err, simdisk.ErrNoPower)
	_, err = disk.Process().Create("c")
	require.ErrorIs(t, err, simdisk.ErrNoPower)
	disk.Restart()
	names, err := disk.Process().List()
	require.NoError(t, err)
	require.Equal(t, []string{"a"}, names)
}
