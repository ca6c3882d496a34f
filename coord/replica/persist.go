package replica

import (
	"encoding/binary"
	"fmt"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// RecordKind tells what a record holds.
type RecordKind = byte

// The kinds of records.
const (
	KindEntry RecordKind = iota + 1
	KindTruncate
	KindSnapshot
	KindView
	KindAcceptor
	KindIdentity
	KindUnfit        // the state that comes of this disk is wrong: it must not be used again
	KindSnapshotPart // of a snapshot that is too long for one record
	KindCommitted    // all entries up to an index are committed
)

// snapshotPartBytes bounds the data of one record of a snapshot; a log takes records of twice that.
const snapshotPartBytes = 32 << 20

// Record is one record of a replica's log on disk.
type Record struct {
	Kind RecordKind
	Data []byte
}

// Persisted is what a replica's disk holds.
type Persisted struct {
	Identity view.ReplicaID
	View     view.View
	Acceptor view.Acceptor
	Snapshot *chain.Snapshot // to be installed before anything is delivered
	Log      chain.Log
	// Committed is the last index known to be committed: all up to it may be applied before anybody is asked.
	Committed uint64
	Unfit     string // why the disk must not be used again, see Blank; empty: it may
	parts     *snapshotPart
}

// snapshotPart is a record of a snapshot that is too long for one: the parts follow each other, and count once the last is there.
type snapshotPart struct {
	index, epoch  uint64
	total, offset uint64
	data          []byte
}

// Restore reads records in the order in which they were written. They all have to be safe on disk before.
func Restore(records []Record) (Persisted, error) {
	var p Persisted
	for i, record := range records {
		if err := p.apply(record); err != nil {
			return Persisted{}, fmt.Errorf("record %d of kind %d: %w", i, record.Kind, err)
		}
	}
	return p, nil
}

func (p *Persisted) apply(record Record) (err error) {
	if record.Kind != KindSnapshotPart {
		p.parts = nil // the rest of a snapshot was never written
	}
	switch record.Kind {
	case KindEntry:
		return p.applyEntry(record.Data)
	case KindTruncate:
		return p.applyTruncate(record.Data)
	case KindCommitted:
		return p.applyCommitted(record.Data)
	case KindSnapshot:
		return p.applySnapshot(record.Data)
	case KindSnapshotPart:
		return p.applyPart(record.Data)
	case KindView:
		p.View, err = view.DecodeView(record.Data)
	case KindAcceptor:
		p.Acceptor, err = view.DecodeAcceptor(record.Data)
	case KindIdentity:
		p.Identity = view.ReplicaID(record.Data)
	case KindUnfit:
		p.Unfit = string(record.Data)
	default:
		err = fmt.Errorf("unknown kind: %w", view.ErrCorrupt)
	}
	return err
}

func (p *Persisted) applyEntry(data []byte) error {
	entry, err := decodeEntry(data)
	if err != nil {
		return err
	}
	if entry.Index <= p.Log.Base() || entry.Index > p.Log.Last()+1 {
		return fmt.Errorf("entry %d after %d: %w", entry.Index, p.Log.Last(), view.ErrCorrupt)
	}
	if err := p.truncate(entry.Index - 1); err != nil {
		return err
	}
	p.Log.Append(entry)
	return nil
}

func (p *Persisted) applyTruncate(data []byte) error {
	index, _, err := uvarint(data)
	if err != nil {
		return err
	}
	return p.truncate(index)
}

// truncate drops all after index, which must not lie below what is committed.
func (p *Persisted) truncate(index uint64) error {
	if index < p.Committed {
		return fmt.Errorf("cut to %d below committed %d: %w", index, p.Committed, view.ErrCorrupt)
	}
	p.Log.Truncate(index)
	return nil
}

// applyCommitted takes word of what is committed. It is written behind the entries that it tells of.
func (p *Persisted) applyCommitted(data []byte) error {
	index, _, err := uvarint(data)
	if err != nil {
		return err
	}
	if index > p.Log.Last() {
		return fmt.Errorf("committed %d after %d: %w", index, p.Log.Last(), view.ErrCorrupt)
	}
	p.Committed = max(p.Committed, index)
	return nil
}

func (p *Persisted) applySnapshot(data []byte) error {
	index, rest, err := uvarint(data)
	if err != nil {
		return err
	}
	epoch, rest, err := uvarint(rest)
	if err != nil {
		return err
	}
	p.install(chain.Snapshot{Index: index, Epoch: epoch, Data: rest})
	return nil
}

func (p *Persisted) install(snapshot chain.Snapshot) {
	p.Snapshot = &snapshot
	p.Committed = snapshot.Index
	p.Log.Reset(snapshot.Index, snapshot.Epoch)
}

// applyPart takes the next part of a snapshot. The log before it counts until the last part is there.
func (p *Persisted) applyPart(data []byte) error {
	part, err := decodePart(data)
	if err != nil {
		return err
	}
	if part.offset == 0 {
		p.parts = &snapshotPart{index: part.index, epoch: part.epoch, total: part.total}
	}
	whole := p.parts
	if whole == nil || whole.index != part.index || whole.epoch != part.epoch || whole.total != part.total ||
		uint64(len(whole.data)) != part.offset {
		return fmt.Errorf("part at %d of the snapshot at %d follows nothing: %w", part.offset, part.index, view.ErrCorrupt)
	}
	whole.data = append(whole.data, part.data...)
	if uint64(len(whole.data)) == whole.total {
		p.install(chain.Snapshot{Index: whole.index, Epoch: whole.epoch, Data: whole.data})
		p.parts = nil
	}
	return nil
}

func encodeEntry(e chain.Entry) Record {
	data := make([]byte, 0, len(e.Data)+2*binary.MaxVarintLen64)
	data = binary.AppendUvarint(data, e.Index)
	data = binary.AppendUvarint(data, e.Epoch)
	return Record{Kind: KindEntry, Data: append(data, e.Data...)}
}

func decodeEntry(data []byte) (chain.Entry, error) {
	index, rest, err := uvarint(data)
	if err != nil {
		return chain.Entry{}, err
	}
	epoch, rest, err := uvarint(rest)
	return chain.Entry{Index: index, Epoch: epoch, Data: rest}, err
}

func encodeTruncate(index uint64) Record {
	return Record{Kind: KindTruncate, Data: binary.AppendUvarint(nil, index)}
}

func encodeCommitted(index uint64) Record {
	return Record{Kind: KindCommitted, Data: binary.AppendUvarint(nil, index)}
}

// encodeSnapshot gives one record, or the parts of a long snapshot.
func encodeSnapshot(s chain.Snapshot) []Record {
	if len(s.Data) <= snapshotPartBytes {
		return []Record{encodeWhole(s)}
	}
	var records []Record
	for from := 0; from < len(s.Data); from += snapshotPartBytes {
		part := s.Data[from:min(from+snapshotPartBytes, len(s.Data))]
		data := make([]byte, 0, len(part)+4*binary.MaxVarintLen64)
		for _, number := range []uint64{s.Index, s.Epoch, uint64(len(s.Data)), uint64(from)} {
			data = binary.AppendUvarint(data, number)
		}
		records = append(records, Record{Kind: KindSnapshotPart, Data: append(data, part...)})
	}
	return records
}

func decodePart(data []byte) (part snapshotPart, err error) {
	for _, number := range []*uint64{&part.index, &part.epoch, &part.total, &part.offset} {
		if *number, data, err = uvarint(data); err != nil {
			return snapshotPart{}, err
		}
	}
	part.data = data
	return part, nil
}

func encodeWhole(s chain.Snapshot) Record {
	data := make([]byte, 0, len(s.Data)+2*binary.MaxVarintLen64)
	data = binary.AppendUvarint(data, s.Index)
	data = binary.AppendUvarint(data, s.Epoch)
	return Record{Kind: KindSnapshot, Data: append(data, s.Data...)}
}

func encodeView(v view.View) Record {
	return Record{Kind: KindView, Data: view.AppendView(nil, v)}
}

func encodeAcceptor(a view.Acceptor) Record {
	return Record{Kind: KindAcceptor, Data: view.AppendAcceptor(nil, a)}
}

func encodeIdentity(id view.ReplicaID) Record {
	return Record{Kind: KindIdentity, Data: []byte(id)}
}

func encodeUnfit(err error) Record {
	return Record{Kind: KindUnfit, Data: []byte(err.Error())}
}

// BlankDisk gives the records of a disk that holds nothing but a new identity. They take the place of those of a disk that is unfit. The
// identity must never have been used.
func BlankDisk(id view.ReplicaID) []Record { return []Record{encodeIdentity(id)} }

func uvarint(data []byte) (uint64, []byte, error) {
	value, n := binary.Uvarint(data)
	if n <= 0 {
		return 0, nil, fmt.Errorf("number: %w", view.ErrCorrupt)
	}
	return value, data[n:], nil
}
