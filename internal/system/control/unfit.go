package control

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"gaugeslip/coord/replica"
	"gaugeslip/coord/view"
	"gaugeslip/coord/wal"
)

// UnfitLogName is the name of the log that keeps what a replica held whose state was found to be wrong, for whoever looks into it.
const UnfitLogName = "unfit"

// replaceUnfitRecords gives what a replica may start from. A disk that was marked as unfit, as its state differs from the chain's, is given up: its
// records are kept under another name and a new identity takes their place, so that the replica comes back as one that knows nothing.
func (n *Node) replaceUnfitRecords(disk wal.Disk, file *wal.Log, records []wal.Record) ([]wal.Record, error) {
	reason, unfit := unfitReason(records)
	if !unfit {
		return records, nil
	}
	kept := saveUnfitRecords(disk, records)
	id := view.ReplicaID(fmt.Sprintf("%s#%016x", n.self().Address, rand.Uint64()))
	blank := toWALRecords(replica.BlankDisk(id))
	if err := file.Rewrite(blank); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	n.logger.Error("disk was unfit, joining as a new replica", "why", reason, "id", id, "kept", kept == nil, "error", kept)
	return blank, nil
}

// unfitReason tells why a disk must not be used again, if it mustn't.
func unfitReason(records []wal.Record) (string, bool) {
	if len(records) == 0 || records[len(records)-1].Kind != replica.KindUnfit {
		return "", false
	}
	return string(records[len(records)-1].Data), true
}

// saveUnfitRecords writes the records to a log of another name, in the place of what it held. Where there is no room the replica comes back all
// the same.
func saveUnfitRecords(disk wal.Disk, records []wal.Record) error {
	kept, _, err := wal.Open(disk, UnfitLogName)
	if err != nil {
		return errors.Join(err, wal.Remove(disk, UnfitLogName))
	}
	if err := errors.Join(kept.Rewrite(records), kept.Close()); err != nil {
		return errors.Join(err, wal.Remove(disk, UnfitLogName))
	}
	return nil
}
