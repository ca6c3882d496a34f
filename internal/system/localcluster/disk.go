package localcluster

import (
	"fmt"
	"io/fs"
	"path/filepath"

	"gaugeslip/coord/replica"
	"gaugeslip/coord/wal"
	"gaugeslip/internal/system/state"
)

// DiskState describes the data directory of a stopped replica.
type DiskState struct {
	LogBytes      int64 `json:"log_bytes"`
	Entries       int   `json:"log_entries"`    // after the snapshot
	SnapshotBytes int   `json:"snapshot_bytes"` // of a new snapshot of the whole state
	Jobs          int   `json:"jobs"`
	Workers       int   `json:"workers"`
	Runs          int   `json:"runs"` // runs that may exist
}

// logName is the name of a replica's log.
const logName = "replica"

// readDisk replays a replica's log and describes the result. The replica must not be running.
func readDisk(dir string) (DiskState, error) {
	size, err := dirBytes(dir)
	if err != nil {
		return DiskState{}, fmt.Errorf("disk: %w", err)
	}
	disk, err := wal.OSDisk(dir)
	if err != nil {
		return DiskState{}, fmt.Errorf("disk: %w", err)
	}
	log, records, err := wal.Open(disk, logName)
	if err != nil {
		return DiskState{}, fmt.Errorf("disk: %w", err)
	}
	defer log.Close()
	machine, entries, err := replay(records)
	if err != nil {
		return DiskState{}, fmt.Errorf("disk: %w", err)
	}
	contents := DiskState{LogBytes: size, Entries: entries, SnapshotBytes: len(machine.Snapshot()), Jobs: len(machine.Jobs()),
		Workers: len(machine.Workers())}
	for _, worker := range machine.Workers() {
		contents.Runs += len(worker.Runs)
	}
	return contents, nil
}

func dirBytes(dir string) (total int64, err error) {
	err = filepath.WalkDir(dir, func(_ string, item fs.DirEntry, err error) error {
		if err != nil || item.IsDir() {
			return err
		}
		info, err := item.Info()
		if err == nil {
			total += info.Size()
		}
		return err
	})
	return total, err
}

// replay rebuilds the state from the records of a log. It also returns the number of entries after the snapshot.
func replay(records []wal.Record) (*state.Machine, int, error) {
	converted := make([]replica.Record, len(records))
	for i, record := range records {
		converted[i] = replica.Record{Kind: record.Kind, Data: record.Data}
	}
	persisted, err := replica.Restore(converted)
	if err != nil {
		return nil, 0, err
	}
	machine := state.New()
	if persisted.Snapshot != nil {
		if err := machine.Restore(persisted.Snapshot.Data); err != nil {
			return nil, 0, err
		}
	}
	entries := 0
	for next := persisted.Log.Base(); next < persisted.Log.Last(); {
		slice, _ := persisted.Log.Slice(next+1, megabyte)
		for _, entry := range slice {
			next = entry.Index
			entries++
			if len(entry.Data) > 0 {
				machine.ApplyBytes(entry.Data)
			}
		}
	}
	return machine, entries, nil
}
