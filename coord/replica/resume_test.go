package replica

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// indexes gives the indexes of entries.
func indexes(entries []chain.Entry) []uint64 {
	var list []uint64
	for _, entry := range entries {
		list = append(list, entry.Index)
	}
	return list
}

// What the disk knows to be committed comes out at the first step, before anybody is asked; the rest of the log doesn't.
func TestWhatTheDiskKnowsToBeCommittedComesOutAtOnce(t *testing.T) {
	s := resumed(t, standConfig("b"), Persisted{View: standView(standEpoch, "a", "b", "c"), Log: logOf(standEpoch, 5), Committed: 3})
	s.step(Tick{})
	assert.Equal(t, []uint64{1, 2, 3}, indexes(s.applied))
	s.step(Tick{})
	assert.Len(t, s.applied, 3)
	assert.Equal(t, uint64(3), s.core.Committed())
}

// A word on what is committed that goes beyond the log is no reason to take entries for committed that aren't there yet.
func TestWhatIsNotHeldIsNotCommittedByTheDisksWord(t *testing.T) {
	s := resumed(t, standConfig("b"), Persisted{View: standView(standEpoch, "a", "b", "c"), Log: logOf(standEpoch, 2), Committed: 9})
	s.step(Tick{})
	assert.Equal(t, uint64(2), s.core.Committed())
}

// How far the log is committed is written along with other records, behind the entries that it tells of, and never by itself.
func TestTheDiskIsToldWhatIsCommitted(t *testing.T) {
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
	assert.Equal(t, uint64(1), restored(t, r.Compact(nil, 0)...).Committed, "a rewritten log knows it too")
}

// A disk whose log was cut below what it knows to be committed has lost what it had synced.
func TestACutBelowWhatTheDiskKnowsToBeCommittedIsCorrupt(t *testing.T) {
	held := []Record{entryOf(1, 1), entryOf(2, 1), entryOf(3, 1), encodeCommitted(2)}
	for _, cut := range []Record{encodeTruncate(1), entryOf(2, 2)} {
		_, err := Restore(append(append([]Record(nil), held...), cut))
		assert.ErrorIs(t, err, view.ErrCorrupt)
	}
	assert.Equal(t, uint64(2), restored(t, append(held, encodeTruncate(2))...).Committed)
	_, err := Restore([]Record{entryOf(1, 1), encodeCommitted(2)})
	assert.ErrorIs(t, err, view.ErrCorrupt, "entries that were committed are missing")
	_, err = Restore([]Record{{Kind: KindCommitted}})
	assert.ErrorIs(t, err, view.ErrCorrupt)
}

// A snapshot is of committed entries only.
func TestASnapshotIsCommitted(t *testing.T) {
	p := restored(t, entryOf(1, 1), encodeWholeSnapshot(chain.Snapshot{Index: 7, Epoch: 2, Data: []byte("s")}), entryOf(8, 2))
	assert.Equal(t, uint64(7), p.Committed)
	_, err := Restore([]Record{encodeWholeSnapshot(chain.Snapshot{Index: 7, Epoch: 2}), encodeTruncate(6)})
	assert.ErrorIs(t, err, view.ErrCorrupt)
}
