package replica

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// indexes returns the indexes of entries.
func indexes(entries []chain.Entry) []uint64 {
	var list []uint64
	for _, entry := range entries {
		list = append(list, entry.Index)
	}
	return list
}

// Entries that the disk records as committed are delivered at the first step, before another replica is contacted; the rest of the log
// isn't.
func TestStoredCommittedEntriesAreDeliveredAtOnce(t *testing.T) {
	s := newRestarted(t, testConfig("b"), Persisted{View: testView(testEpoch, "a", "b", "c"), Log: testLog(testEpoch, 5), Committed: 3})
	s.step(Tick{})
	assert.Equal(t, []uint64{1, 2, 3}, indexes(s.applied))
	s.step(Tick{})
	assert.Len(t, s.applied, 3)
	assert.Equal(t, uint64(3), s.core.Committed())
}

// A stored committed index beyond the end of the log doesn't commit entries that aren't there yet.
func TestStoredCommittedIndexIsLimitedToTheLog(t *testing.T) {
	s := newRestarted(t, testConfig("b"), Persisted{View: testView(testEpoch, "a", "b", "c"), Log: testLog(testEpoch, 2), Committed: 9})
	s.step(Tick{})
	assert.Equal(t, uint64(2), s.core.Committed())
}

// The committed index is written along with other records, after the entries that it covers, and never by itself.
func TestCommittedIndexIsStored(t *testing.T) {
	alone := view.Member{ID: "a", Address: "a"}
	genesis := view.View{Voters: []view.Member{alone}, Chain: []view.Member{alone}}
	r := New(Config{Self: alone, Genesis: &genesis, Seed: 1}, Persisted{}, 0)
	records := r.Step(0, Tick{}).Persist
	r.Step(0, Synced{Token: 1})
	propose := func(data ...byte) Output {
		_, out, err := r.Propose(0, [][]byte{data})
		require.NoError(t, err)
		records = append(records, out.Persist...)
		return out
	}
	first := propose(1)
	out := r.Step(0, Synced{Token: first.Token})
	require.Equal(t, uint64(1), r.Committed())
	assert.Empty(t, out.Persist)
	propose(2)
	p, err := Restore(records)
	require.NoError(t, err)
	assert.Equal(t, uint64(1), p.Committed)
	assert.Equal(t, uint64(2), p.Log.Last())
	assert.Equal(t, KindCommitted, records[len(records)-1].Kind)
	assert.Len(t, propose(3).Persist, 1, "nothing more is committed")
	assert.Equal(t, uint64(1), mustRestore(t, r.Compact(nil, 0)...).Committed, "a compacted log contains it too")
}

// A disk whose log was cut below its committed index has lost synced data.
func TestTruncationBelowCommittedIsCorrupt(t *testing.T) {
	held := []Record{entryRecord(1, 1), entryRecord(2, 1), entryRecord(3, 1), encodeCommitted(2)}
	for _, cut := range []Record{encodeTruncate(1), entryRecord(2, 2)} {
		_, err := Restore(append(append([]Record(nil), held...), cut))
		assert.ErrorIs(t, err, view.ErrCorrupt)
	}
	assert.Equal(t, uint64(2), mustRestore(t, append(held, encodeTruncate(2))...).Committed)
	_, err := Restore([]Record{entryRecord(1, 1), encodeCommitted(2)})
	assert.ErrorIs(t, err, view.ErrCorrupt, "entries that were committed are missing")
	_, err = Restore([]Record{{Kind: KindCommitted}})
	assert.ErrorIs(t, err, view.ErrCorrupt)
}

// A snapshot contains only committed entries.
func TestASnapshotIsCommitted(t *testing.T) {
	p := mustRestore(t, entryRecord(1, 1), encodeWholeSnapshot(chain.Snapshot{Index: 7, Epoch: 2, Data: []byte("s")}), entryRecord(8, 2))
	assert.Equal(t, uint64(7), p.Committed)
	_, err := Restore([]Record{encodeWholeSnapshot(chain.Snapshot{Index: 7, Epoch: 2}), encodeTruncate(6)})
	assert.ErrorIs(t, err, view.ErrCorrupt)
}
