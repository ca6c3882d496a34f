package logfile

import (
	"fmt"
	"math"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/replica"
	"gaugeslip/coord/view"
	"gaugeslip/coord/wal"
	"gaugeslip/internal/system/state"
)

// checkInterval is the number of entries between two checks of the invariants of the whole state. The state is also checked after the last entry.
const checkInterval = 64

// Report summarizes a valid log.
type Report struct {
	Identity      view.ReplicaID
	Epoch         uint64
	Records       int
	SnapshotIndex uint64 // 0 without a snapshot
	LastIndex     uint64
	Entries       int
	ConfigVersion uint64
	Jobs, Runs    int
	// Torn reports that the file ends in bytes that are no record: an append was in progress, or was interrupted. This is harmless.
	Torn bool
}

// Check replays the log as a replica does at its start and checks the invariants. It treats all entries as committed, though the last
// few may not be. The error wraps ErrCorrupt and names the record or entry.
func Check(reading wal.ReadResult) (Report, error) {
	records := make([]replica.Record, len(reading.Records))
	for i, record := range reading.Records {
		records[i] = replica.Record{Kind: record.Kind, Data: record.Data}
	}
	persisted, err := replica.Restore(records)
	if err != nil {
		return Report{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	report := Report{Identity: persisted.Identity, Epoch: persisted.View.Epoch, Records: len(records), Torn: reading.Torn,
		LastIndex: persisted.Log.Last()}
	if err := checkView(&persisted); err != nil {
		return report, err
	}
	machine, err := replay(&persisted, &report)
	if err != nil {
		return report, err
	}
	report.ConfigVersion, report.Jobs = machine.Config().Version, len(machine.Jobs())
	for _, job := range machine.Jobs() {
		report.Runs += job.Runs
	}
	return report, nil
}

// checkView checks the identity of the disk and the stored view.
func checkView(persisted *replica.Persisted) error {
	switch {
	case persisted.Identity == "":
		return fmt.Errorf("%w: the disk has no identity", ErrCorrupt)
	case persisted.View.Known() && len(persisted.View.Chain) == 0:
		return fmt.Errorf("%w: the view of epoch %d has no chain", ErrCorrupt, persisted.View.Epoch)
	}
	for _, member := range persisted.View.Chain {
		if !persisted.View.IsVoter(member.ID) {
			return fmt.Errorf("%w: %s is in the chain of epoch %d but is not a voter", ErrCorrupt, member.ID, persisted.View.Epoch)
		}
	}
	return nil
}

// replay applies the snapshot and the entries to an empty state.
func replay(persisted *replica.Persisted, report *Report) (*state.Machine, error) {
	machine := state.New()
	if persisted.Snapshot != nil {
		report.SnapshotIndex = persisted.Snapshot.Index
		if err := machine.Restore(persisted.Snapshot.Data); err != nil {
			return nil, fmt.Errorf("%w: snapshot at %d: %w", ErrCorrupt, persisted.Snapshot.Index, err)
		}
	}
	if err := machine.Check(); err != nil {
		return nil, fmt.Errorf("%w: snapshot at %d: %w", ErrCorrupt, report.SnapshotIndex, err)
	}
	entries, _ := persisted.Log.Slice(persisted.Log.Base()+1, math.MaxInt)
	report.Entries = len(entries)
	epoch := uint64(0)
	for i, entry := range entries {
		if entry.Epoch < epoch {
			return nil, fmt.Errorf("%w: entry %d has epoch %d after %d", ErrCorrupt, entry.Index, entry.Epoch, epoch)
		}
		epoch = entry.Epoch
		if err := apply(machine, entry); err != nil {
			return nil, err
		}
		if i%checkInterval != checkInterval-1 && i != len(entries)-1 {
			continue
		}
		if err := machine.Check(); err != nil {
			return nil, fmt.Errorf("%w: at entry %d: %w", ErrCorrupt, entry.Index, err)
		}
	}
	return machine, nil
}

// apply applies one entry. A command without effect is valid; bytes that aren't a command are an error.
func apply(machine *state.Machine, entry chain.Entry) error {
	if len(entry.Data) == 0 {
		return nil
	}
	command, err := state.Decode(entry.Data)
	if err != nil {
		return fmt.Errorf("%w: entry %d: %w", ErrCorrupt, entry.Index, err)
	}
	machine.Apply(command)
	return nil
}
