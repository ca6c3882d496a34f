package logfile

import (
	"errors"
	"fmt"
	"os"

	"gaugeslip/coord/replica"
	"gaugeslip/coord/view"
	"gaugeslip/coord/wal"
)

// restoredEpochIncrement is added to the last epoch on the disk, to exceed any epoch that the other replicas may have agreed on since.
const restoredEpochIncrement = 1000

// ErrIncomplete means that a system can't be restored from a log, because it may lack committed entries.
var ErrIncomplete = errors.New("this disk may lack what was committed")

// Restored summarizes a restored log.
type Restored struct {
	Report
	// Member is the only member of the new view.
	Member view.Member
}

// Restore writes a new log to target. It contains all records of the log of that name in dir but those of ballots, and a view whose only voter
// and member is the replica of that disk. It is for the loss of more disks than the system tolerates: without a majority of the voters the
// system can't continue by itself. Restore doesn't change dir; target must be empty or missing. The error wraps ErrIncomplete if the replica
// wasn't in the chain.
func Restore(dir, name, target string) (Restored, error) {
	reading, err := Read(dir, name)
	if err != nil {
		return Restored{}, err
	}
	report, err := Check(reading)
	if err != nil {
		return Restored{}, err
	}
	newest, member, err := singleMemberView(reading.Records)
	if err != nil {
		return Restored{}, err
	}
	if err := requireEmptyDir(target); err != nil {
		return Restored{}, err
	}
	report.Epoch = newest.Epoch
	viewRecord := wal.Record{Kind: replica.KindView, Data: view.AppendView(nil, newest)}
	return Restored{Report: report, Member: member}, writeLog(target, name, append(withoutBallots(reading.Records), viewRecord))
}

// singleMemberView returns the view of the restored system and its only member.
func singleMemberView(records []wal.Record) (view.View, view.Member, error) {
	converted := make([]replica.Record, len(records))
	for i, record := range records {
		converted[i] = replica.Record{Kind: record.Kind, Data: record.Data}
	}
	persisted, err := replica.Restore(converted)
	if err != nil {
		return view.View{}, view.Member{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	position := persisted.View.Position(persisted.Identity)
	if position < 0 {
		return view.View{}, view.Member{}, fmt.Errorf("%w: %s isn't in the chain of its newest view, epoch %d; take the disk of one that is",
			ErrIncomplete, persisted.Identity, persisted.View.Epoch)
	}
	member := persisted.View.Chain[position]
	only := []view.Member{member}
	return view.View{Epoch: persisted.View.Epoch + restoredEpochIncrement, Voters: only, Chain: only}, member, nil
}

// withoutBallots returns the records without those of ballots: they concern an epoch that the restored view skips.
func withoutBallots(records []wal.Record) []wal.Record {
	kept := make([]wal.Record, 0, len(records)+1)
	for _, record := range records {
		if record.Kind != replica.KindAcceptor {
			kept = append(kept, record)
		}
	}
	return kept
}

func requireEmptyDir(dir string) error {
	entries, err := os.ReadDir(dir)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("new folder: %w", err)
	}
	if len(entries) > 0 {
		return fmt.Errorf("new directory: %s isn't empty: name one that is, or that doesn't exist", dir)
	}
	return nil
}

// writeLog writes a durable log of the records.
func writeLog(dir, name string, records []wal.Record) (err error) {
	disk, err := wal.OSDisk(dir)
	if err != nil {
		return fmt.Errorf("new folder: %w", err)
	}
	log, _, err := wal.Open(disk, name)
	if err != nil {
		return fmt.Errorf("new folder: %w", err)
	}
	defer func() { err = errors.Join(err, log.Close()) }()
	if err := log.Rewrite(records); err != nil {
		return fmt.Errorf("new folder: %w", err)
	}
	return nil
}
