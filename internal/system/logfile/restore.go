package logfile

import (
	"errors"
	"fmt"
	"os"

	"gaugeslip/coord/replica"
	"gaugeslip/coord/view"
	"gaugeslip/coord/wal"
)

// restoreLeap is by how much the restored epoch is above the last one on the disk: above all that the others may have agreed on since.
const restoreLeap = 1000

// ErrIncomplete says that a log can't be the start of a restored system.
var ErrIncomplete = errors.New("this disk may lack what was committed")

// Restored is what a restored log holds.
type Restored struct {
	Report
	// Member is the only member of the new view.
	Member view.Member
}

// Restore writes a new log that holds everything the log of that name in a folder does, under a view whose only voter and member is the
// replica of that disk. It is for the loss of more disks than are borne: without a majority of the voters nothing goes on by itself. The
// old folder isn't changed; the new one must be empty or missing. The error wraps ErrIncomplete if the replica wasn't in the chain.
func Restore(folder, name, target string) (Restored, error) {
	reading, err := Read(folder, name)
	if err != nil {
		return Restored{}, err
	}
	report, err := Check(reading)
	if err != nil {
		return Restored{}, err
	}
	newest, member, err := restoredView(reading.Records)
	if err != nil {
		return Restored{}, err
	}
	if err := requireEmpty(target); err != nil {
		return Restored{}, err
	}
	report.Epoch = newest.Epoch
	written := wal.Record{Kind: replica.KindView, Data: view.AppendView(nil, newest)}
	return Restored{Report: report, Member: member}, write(target, name, append(withoutBallots(reading.Records), written))
}

// restoredView is the view of the restored system, and its only member.
func restoredView(records []wal.Record) (view.View, view.Member, error) {
	converted := make([]replica.Record, len(records))
	for i, record := range records {
		converted[i] = replica.Record{Kind: record.Kind, Data: record.Data}
	}
	persisted, err := replica.Restore(converted)
	if err != nil {
		return view.View{}, view.Member{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	at := persisted.View.Position(persisted.Identity)
	if at < 0 {
		return view.View{}, view.Member{}, fmt.Errorf("%w: %s isn't in the chain of its newest view, epoch %d; take the disk of one that is",
			ErrIncomplete, persisted.Identity, persisted.View.Epoch)
	}
	member := persisted.View.Chain[at]
	only := []view.Member{member}
	return view.View{Epoch: persisted.View.Epoch + restoreLeap, Voters: only, Chain: only}, member, nil
}

// withoutBallots leaves out what was promised for the view that is passed over.
func withoutBallots(records []wal.Record) []wal.Record {
	kept := make([]wal.Record, 0, len(records)+1)
	for _, record := range records {
		if record.Kind != replica.KindAcceptor {
			kept = append(kept, record)
		}
	}
	return kept
}

func requireEmpty(folder string) error {
	entries, err := os.ReadDir(folder)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("new folder: %w", err)
	}
	if len(entries) > 0 {
		return fmt.Errorf("new folder: %s isn't empty: name one that is, or that doesn't exist", folder)
	}
	return nil
}

// write makes a log of the records that lasts.
func write(folder, name string, records []wal.Record) (err error) {
	disk, err := wal.OSDisk(folder)
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
