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
	KindUnfit // the state that comes of this disk is wrong: it must not be used again
)

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
	Unfit    string // why the disk must not be used again, see Blank; empty: it may
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
	switch record.Kind {
	case KindEntry:
		return p.applyEntry(record.Data)
	case KindTruncate:
		var index uint64
		index, _, err = uvarint(record.Data)
		p.Log.Truncate(index)
	case KindSnapshot:
		return p.applySnapshot(record.Data)
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
	p.Log.Truncate(entry.Index - 1)
	p.Log.Append(entry)
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
	p.Snapshot = &chain.Snapshot{Index: index, Epoch: epoch, Data: rest}
	p.Log.Reset(index, epoch)
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

func encodeSnapshot(s chain.Snapshot) Record {
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

// Blank gives the records of a disk that holds nothing but a new identity. They take the place of those of a disk that is unfit. The
// identity must never have been used.
func Blank(id view.ReplicaID) []Record { return []Record{encodeIdentity(id)} }

func uvarint(data []byte) (uint64, []byte, error) {
	value, n := binary.Uvarint(data)
	if n <= 0 {
		return 0, nil, fmt.Errorf("number: %w", view.ErrCorrupt)
	}
	return value, data[n:], nil
}
