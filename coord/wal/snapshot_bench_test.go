package wal_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gaugeslip/coord/wal"
)

// BenchmarkLargeRecord appends and syncs one record of 50 MB, the size of a snapshot that a learner receives.
func BenchmarkLargeRecord(b *testing.B) {
	dir, err := wal.OSDisk(b.TempDir())
	require.NoError(b, err)
	log, _, err := wal.Open(dir, "log")
	require.NoError(b, err)
	defer log.Close()
	record := wal.Record{Kind: 3, Data: make([]byte, 50<<20)}
	b.SetBytes(int64(len(record.Data)))
	for b.Loop() {
		require.NoError(b, log.Append(record))
		require.NoError(b, log.Sync())
	}
}
