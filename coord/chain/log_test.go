package chain

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// appendRandomEntries appends up to 12 entries whose epochs never decrease.
func appendRandomEntries(t *rapid.T, l *Log, label string) {
	epoch := l.LastEpoch()
	for range rapid.IntRange(0, 12).Draw(t, label) {
		epoch += uint64(rapid.IntRange(0, 1).Draw(t, label+"-step"))
		l.Append(Entry{Index: l.Last() + 1, Epoch: epoch, Data: []byte{byte(epoch)}})
	}
}

// Match must find the last common index of two logs that diverge, unless it has been dropped.
func TestMatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a, b Log
		appendRandomEntries(t, &a, "common")
		common := a.Last()
		entries, _ := a.Slice(1, 1<<30)
		for _, e := range entries {
			b.Append(e)
		}
		appendRandomEntries(t, &a, "a")
		for i, last := 0, rapid.IntRange(0, 5).Draw(t, "b"); i < last; i++ {
			b.Append(Entry{Index: b.Last() + 1, Epoch: 1000}) // an epoch that log a does not contain
		}
		a.Drop(uint64(rapid.IntRange(0, int(a.Last())).Draw(t, "a-drop")))
		b.Drop(uint64(rapid.IntRange(0, int(common)).Draw(t, "b-drop")))
		match, ok := a.Match(b.Runs())
		if a.Base() <= common {
			require.True(t, ok)
			require.Equal(t, common, match)
		} else {
			require.False(t, ok)
		}
	})
}

func TestLogTracksSizeAndRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Log
		appendRandomEntries(t, &l, "grow")
		l.Truncate(uint64(rapid.IntRange(0, 15).Draw(t, "truncate")))
		l.Drop(uint64(rapid.IntRange(0, 15).Draw(t, "drop")))
		appendRandomEntries(t, &l, "more")
		bytes := 0
		for i := l.Base() + 1; i <= l.Last(); i++ {
			one, size := l.Slice(i, 1)
			require.Len(t, one, 1)
			require.Equal(t, i, one[0].Index)
			bytes += size
		}
		require.Equal(t, bytes, l.bytes)
		runs := l.Runs()
		require.Equal(t, l.Base(), runs[0].First)
		require.Equal(t, l.Last(), runs[len(runs)-1].Last)
	})
}

// Truncate followed by Append must not overwrite entries that Slice has returned.
func TestTruncateDoesNotChangeReturnedSlices(t *testing.T) {
	var l Log
	for i := uint64(1); i <= 4; i++ {
		l.Append(Entry{Index: i, Epoch: 1})
	}
	returned, _ := l.Slice(1, 1<<20)
	l.Truncate(2)
	l.Append(Entry{Index: 3, Epoch: 2})
	require.Equal(t, uint64(1), returned[2].Epoch)
	require.Equal(t, uint64(2), l.LastEpoch())
}
