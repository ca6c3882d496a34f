package control

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"gaugeslip/coord/replica"
	"gaugeslip/coord/view"
	"gaugeslip/coord/wal"
)

// UnfitLogName is the name of the log that keeps the records of a replica whose state had diverged, for later analysis.
const UnfitLogName = "unfit"

// replaceUnfitRecords returns the records that a replica may start from. A disk marked as unfit, because its state differs from the
// chain's, is not used: its records are saved under another name and a new identity replaces them, so that the replica comes back as a new
// one without entries.
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

// unfitReason returns why a disk must not be used again, and whether that is so.
func unfitReason(records []wal.Record) (string, bool) {
	if len(records) == 0 || records[len(records)-1].Kind != replica.KindUnfit {
		return "", false
	}
	return string(records[len(records)-1].Data), true
}

// saveUnfitRecords writes the records to the log UnfitLogName, replacing its content. If that fails, for example on a full disk, the
// partial log is removed and the replica still comes back.
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
