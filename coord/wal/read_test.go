package wal_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gaugeslip/coord/wal"
	"gaugeslip/coord/wal/simdisk"
)

func TestReadReturnsWhatOpenWouldAndChangesNothing(t *testing.T) {
	disk := simdisk.New(1)
	_, err := wal.Read(disk.Process(), "test")
	require.ErrorIs(t, err, wal.ErrNoLog)
	names, err := disk.Process().List()
	require.NoError(t, err)
	require.Empty(t, names)

	log, _, err := wal.Open(disk.Process(), "test")
	require.NoError(t, err)
	require.NoError(t, log.Append(record("a"), record("bb")))
	reading, err := wal.Read(disk.Process(), "test")
	require.NoError(t, err)
	require.Equal(t, []string{"a", "bb"}, recordTexts(reading.Records))
	require.Equal(t, log.Size(), reading.Bytes)
	require.False(t, reading.Torn)

	require.NoError(t, log.Rewrite([]wal.Record{record("whole")}))
	rewritten, err := wal.Read(disk.Process(), "test")
	require.NoError(t, err)
	require.Equal(t, []string{"whole"}, recordTexts(rewritten.Records))
	require.Greater(t, rewritten.Generation, reading.Generation)
	require.NotEqual(t, reading.File, rewritten.File)
}

func TestReadReportsATornEnd(t *testing.T) {
	disk := simdisk.New(2)
	log, _, err := wal.Open(disk.Process(), "test")
	require.NoError(t, err)
	require.NoError(t, log.Append(record("a")))
	require.NoError(t, log.Close())
	found, err := wal.Read(disk.Process(), "test")
	require.NoError(t, err)
	file, err := disk.Process().OpenAppend(found.File)
	require.NoError(t, err)
	_, err = file.Write([]byte{7, 0})
	require.NoError(t, err)
	torn, err := wal.Read(disk.Process(), "test")
	require.NoError(t, err)
	require.True(t, torn.Torn)
	require.Equal(t, []string{"a"}, recordTexts(torn.Records))
}
