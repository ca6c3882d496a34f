package replica

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
	"gaugeslip/coord/wal"
)

func entryRecord(index, epoch uint64) Record {
	return encodeEntry(chain.Entry{Index: index, Epoch: epoch})
}

func mustRestore(t *testing.T, records ...Record) Persisted {
	t.Helper()
	p, err := Restore(records)
	require.NoError(t, err)
	return p
}

// A snapshot may be longer than one record of the log may be. It is stored in parts, which take effect once all of them are there.
func TestALongSnapshotIsStoredInParts(t *testing.T) {
	data := bytes.Repeat([]byte{1, 2, 3, 4, 5, 6, 7}, 10<<20)
	parts := encodeSnapshot(chain.Snapshot{Index: 9, Epoch: 3, Data: data})
	require.Len(t, parts, 3)
	for _, part := range parts {
		require.LessOrEqual(t, len(part.Data), wal.MaxRecordBytes)
	}
	before := []Record{encodeIdentity("a"), entryRecord(1, 1), entryRecord(2, 1)}
	p := mustRestore(t, append(append(before, parts...), entryRecord(10, 3))...)
	require.NotNil(t, p.Snapshot)
	assert.True(t, bytes.Equal(data, p.Snapshot.Data))
	assert.Equal(t, uint64(9), p.Snapshot.Index)
	assert.Equal(t, uint64(3), p.Snapshot.Epoch)
	assert.Equal(t, uint64(10), p.Log.Last())

	torn := append(append([]Record(nil), before...), parts[:2]...)
	p = mustRestore(t, torn...)
	assert.Nil(t, p.Snapshot)
	assert.Equal(t, uint64(2), p.Log.Last())
	p = mustRestore(t, append(torn, entryRecord(3, 2))...)
	assert.Equal(t, uint64(3), p.Log.Last(), "the log goes on after parts that were cut off")
	p = mustRestore(t, append(torn, parts...)...)
	assert.True(t, bytes.Equal(data, p.Snapshot.Data), "the parts were written again")

	other := encodeSnapshot(chain.Snapshot{Index: 10, Epoch: 3, Data: data})
	for _, broken := range [][]Record{
		{parts[1]}, {parts[0], parts[2]}, {parts[0], parts[1], parts[1]}, {parts[0], other[1]}, {parts[0], entryRecord(1, 1), parts[1]},
	} {
		_, err := Restore(broken)
		assert.ErrorIs(t, err, view.ErrCorrupt)
	}
}

func TestRestoreRejectsGaps(t *testing.T) {
	for _, broken := range [][]Record{
		{entryRecord(2, 1)}, {entryRecord(1, 1), entryRecord(3, 1)}, {encodeWholeSnapshot(chain.Snapshot{Index: 5, Epoch: 1}), entryRecord(5, 1)},
		{encodeWholeSnapshot(chain.Snapshot{Index: 5, Epoch: 1}), entryRecord(7, 1)},
	} {
		_, err := Restore(broken)
		assert.ErrorIs(t, err, view.ErrCorrupt)
	}
}

func TestEntryReplacesAllFromItsIndex(t *testing.T) {
	p := mustRestore(t, entryRecord(1, 1), entryRecord(2, 1), entryRecord(3, 1), entryRecord(2, 2))
	assert.Equal(t, uint64(2), p.Log.Last())
	assert.Equal(t, uint64(2), p.Log.LastEpoch())
}

func TestTruncationIsRestored(t *testing.T) {
	p := mustRestore(t, entryRecord(1, 1), entryRecord(2, 1), entryRecord(3, 1), encodeTruncate(1))
	assert.Equal(t, uint64(1), p.Log.Last())
}

func TestSnapshotReplacesTheLog(t *testing.T) {
	p := mustRestore(t, entryRecord(1, 1), entryRecord(2, 1), encodeWholeSnapshot(chain.Snapshot{Index: 1, Epoch: 1, Data: []byte("s")}))
	assert.Equal(t, uint64(1), p.Log.Last(), "the entries after it aren't known to be the same")
	assert.Equal(t, uint64(1), p.Log.Base())
}

// newCommittedReplica returns a single replica with three committed entries and one that isn't on disk yet.
func newCommittedReplica(t *testing.T) *Replica {
	alone := view.Member{ID: "a", Address: "a"}
	genesis := view.View{Voters: []view.Member{alone}, Chain: []view.Member{alone}}
	r := New(Config{Self: alone, Genesis: &genesis, Seed: 1}, Persisted{}, 0)
	out := r.Step(0, Tick{})
	r.Step(0, Synced{Token: out.Token})
	require.True(t, r.IsHead(0))
	_, out, err := r.Propose(0, [][]byte{{1}, {2}, {3}})
	require.NoError(t, err)
	r.Step(0, Synced{Token: out.Token})
	require.Equal(t, uint64(3), r.Committed())
	_, _, err = r.Propose(0, [][]byte{{4}})
	require.NoError(t, err)
	return r
}

func TestCompactedLogHoldsAllRecords(t *testing.T) {
	r := newCommittedReplica(t)
	r.acceptor.Prepare(view.Ballot{Round: 9, Owner: "a"})
	p := mustRestore(t, r.Compact([]byte("state"), 2)...)
	assert.Equal(t, view.ReplicaID("a"), p.Identity)
	assert.True(t, r.View().Equal(p.View))
	assert.Equal(t, r.acceptor, p.Acceptor)
	assert.Equal(t, uint64(2), p.Snapshot.Index)
	assert.Equal(t, uint64(4), p.Log.Last(), "uncommitted entries are kept too")
	entries, _ := p.Log.Slice(3, 1<<20)
	assert.Equal(t, []byte{3}, entries[0].Data)
}

func TestCompactRejectsUncommittedIndex(t *testing.T) {
	r := newCommittedReplica(t)
	assert.Nil(t, r.Compact([]byte("state"), 4))
	assert.Nil(t, r.Compact([]byte("state"), 9))
	r.chain.Log().Drop(3)
	assert.Nil(t, r.Compact([]byte("state"), 2))
	assert.NotNil(t, r.Compact([]byte("state"), 3))
}

// Entries that are committed before a snapshot in the same step are contained in the snapshot.
func TestNothingIsDeliveredBeforeASnapshot(t *testing.T) {
	r := newCommittedReplica(t)
	e := (*environment)(r)
	e.Deliver([]chain.Entry{{Index: 1}})
	e.Install(chain.Snapshot{Index: 5})
	e.Deliver([]chain.Entry{{Index: 6}})
	e.Deliver([]chain.Entry{{Index: 7}})
	assert.Equal(t, []chain.Entry{{Index: 6}, {Index: 7}}, r.out.Committed)
}

// A message that depends on a record is sent once the record is on disk.
func TestMessagesWaitForTheSyncTheyDependOn(t *testing.T) {
	r := newCommittedReplica(t)
	other := view.Member{ID: "b", Address: "b"}
	r.store(encodeTruncate(9))
	r.sendAfterSync(other, &Message{Promise: &view.Promise{}})
	out := r.finish(0)
	assert.Empty(t, promises(out))
	r.store(encodeTruncate(9))
	later := r.finish(0)
	assert.Empty(t, promises(r.Step(0, Synced{Token: out.Token - 1})))
	assert.Len(t, promises(r.Step(0, Synced{Token: out.Token})), 1)
	assert.Empty(t, promises(r.Step(0, Synced{Token: later.Token})))
}

// A failed disk stores nothing, so messages that depend on it are never sent.
func TestFailedDiskPromisesNothing(t *testing.T) {
	r := newCommittedReplica(t)
	r.Step(0, Synced{Token: 1000})
	r.Step(0, DiskFailed{})
	r.store(encodeTruncate(9))
	r.sendAfterSync(view.Member{ID: "b", Address: "b"}, &Message{Promise: &view.Promise{}})
	out := r.finish(0)
	assert.Empty(t, out.Persist)
	assert.Empty(t, promises(out))
	assert.Empty(t, promises(r.Step(0, Synced{Token: 1000})))
}

func promises(out Output) []*view.Promise {
	var found []*view.Promise
	for _, envelope := range out.Send {
		if envelope.Message.Promise != nil {
			found = append(found, envelope.Message.Promise)
		}
	}
	return found
}
