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

func entryOf(index, epoch uint64) Record { return encodeEntry(chain.Entry{Index: index, Epoch: epoch}) }

func restored(t *testing.T, records ...Record) Persisted {
	t.Helper()
	p, err := Restore(records)
	require.NoError(t, err)
	return p
}

// A snapshot may be longer than a log takes in one record: it is stored in parts, and counts once all are there.
func TestALongSnapshotIsStoredInParts(t *testing.T) {
	data := bytes.Repeat([]byte{1, 2, 3, 4, 5, 6, 7}, 10<<20)
	parts := encodeSnapshot(chain.Snapshot{Index: 9, Epoch: 3, Data: data})
	require.Len(t, parts, 3)
	for _, part := range parts {
		require.LessOrEqual(t, len(part.Data), wal.MaxRecordBytes)
	}
	before := []Record{encodeIdentity("a"), entryOf(1, 1), entryOf(2, 1)}
	p := restored(t, append(append(before, parts...), entryOf(10, 3))...)
	require.NotNil(t, p.Snapshot)
	assert.True(t, bytes.Equal(data, p.Snapshot.Data))
	assert.Equal(t, uint64(9), p.Snapshot.Index)
	assert.Equal(t, uint64(3), p.Snapshot.Epoch)
	assert.Equal(t, uint64(10), p.Log.Last())

	torn := append(append([]Record(nil), before...), parts[:2]...)
	p = restored(t, torn...)
	assert.Nil(t, p.Snapshot)
	assert.Equal(t, uint64(2), p.Log.Last())
	p = restored(t, append(torn, entryOf(3, 2))...)
	assert.Equal(t, uint64(3), p.Log.Last(), "the log goes on after parts that were cut off")
	p = restored(t, append(torn, parts...)...)
	assert.True(t, bytes.Equal(data, p.Snapshot.Data), "the parts come anew")

	other := encodeSnapshot(chain.Snapshot{Index: 10, Epoch: 3, Data: data})
	for _, broken := range [][]Record{
		{parts[1]}, {parts[0], parts[2]}, {parts[0], parts[1], parts[1]}, {parts[0], other[1]}, {parts[0], entryOf(1, 1), parts[1]},
	} {
		_, err := Restore(broken)
		assert.ErrorIs(t, err, view.ErrCorrupt)
	}
}

func TestRestoreTakesNoGap(t *testing.T) {
	for _, broken := range [][]Record{
		{entryOf(2, 1)}, {entryOf(1, 1), entryOf(3, 1)}, {encodeWholeSnapshot(chain.Snapshot{Index: 5, Epoch: 1}), entryOf(5, 1)},
		{encodeWholeSnapshot(chain.Snapshot{Index: 5, Epoch: 1}), entryOf(7, 1)},
	} {
		_, err := Restore(broken)
		assert.ErrorIs(t, err, view.ErrCorrupt)
	}
}

func TestAnEntryReplacesAllFromItsIndexOn(t *testing.T) {
	p := restored(t, entryOf(1, 1), entryOf(2, 1), entryOf(3, 1), entryOf(2, 2))
	assert.Equal(t, uint64(2), p.Log.Last())
	assert.Equal(t, uint64(2), p.Log.LastEpoch())
}

func TestACutIsRestored(t *testing.T) {
	p := restored(t, entryOf(1, 1), entryOf(2, 1), entryOf(3, 1), encodeTruncate(1))
	assert.Equal(t, uint64(1), p.Log.Last())
}

func TestASnapshotTakesThePlaceOfTheLogBefore(t *testing.T) {
	p := restored(t, entryOf(1, 1), entryOf(2, 1), encodeWholeSnapshot(chain.Snapshot{Index: 1, Epoch: 1, Data: []byte("s")}))
	assert.Equal(t, uint64(1), p.Log.Last(), "what the log held after it isn't known to be the same")
	assert.Equal(t, uint64(1), p.Log.Base())
}

// committedReplica is a replica by itself with three committed entries and one that isn't on disk yet.
func committedReplica(t *testing.T) *Replica {
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

func TestARewrittenLogHoldsAllThatWasHandedOut(t *testing.T) {
	r := committedReplica(t)
	r.acceptor.Prepare(view.Ballot{Round: 9, Owner: "a"})
	p := restored(t, r.Compact([]byte("state"), 2)...)
	assert.Equal(t, view.ReplicaID("a"), p.Identity)
	assert.True(t, r.View().Equal(p.View))
	assert.Equal(t, r.acceptor, p.Acceptor)
	assert.Equal(t, uint64(2), p.Snapshot.Index)
	assert.Equal(t, uint64(4), p.Log.Last(), "also what isn't committed")
	entries, _ := p.Log.Slice(3, 1<<20)
	assert.Equal(t, []byte{3}, entries[0].Data)
}

func TestALogIsNotRewrittenWithWhatIsNotCommitted(t *testing.T) {
	r := committedReplica(t)
	assert.Nil(t, r.Compact([]byte("state"), 4))
	assert.Nil(t, r.Compact([]byte("state"), 9))
	r.chain.Log().Drop(3)
	assert.Nil(t, r.Compact([]byte("state"), 2))
	assert.NotNil(t, r.Compact([]byte("state"), 3))
}

// What is committed before a snapshot in one step is in the snapshot.
func TestNothingIsDeliveredBeforeASnapshot(t *testing.T) {
	r := committedReplica(t)
	e := (*environment)(r)
	e.Deliver([]chain.Entry{{Index: 1}})
	e.Install(chain.Snapshot{Index: 5})
	e.Deliver([]chain.Entry{{Index: 6}})
	e.Deliver([]chain.Entry{{Index: 7}})
	assert.Equal(t, []chain.Entry{{Index: 6}, {Index: 7}}, r.out.Committed)
}

// What depends on the disk is said once the disk has it.
func TestWordOnWhatIsStoredWaitsForTheDisk(t *testing.T) {
	r := committedReplica(t)
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

// A broken disk keeps nothing, so that nothing that depends on it is said.
func TestABrokenDiskPromisesNothing(t *testing.T) {
	r := committedReplica(t)
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
