// Package logfile inspects a replica's log on disk, for operators. Read, Lines and Check change nothing and may be used while the replica runs.
// Restore writes a new log to another directory.
package logfile

import (
	"errors"
	"fmt"
	"os"

	"gaugeslip/coord/replica"
	"gaugeslip/coord/wal"
	"gaugeslip/internal/system/state"
)

// ErrCorrupt means that a correct replica can't have written the log.
var ErrCorrupt = errors.New("log broken")

// Line is one record of the log.
type Line struct {
	// Number is the record's position in the file, from 1.
	Number int
	// Record is the type of the record: entry, truncate, snapshot, view, acceptor, identity and so on.
	Record string
	// Index and Epoch are set for entries and snapshots. Truncate and committed records have the index only, view
	// and acceptor records the epoch only.
	Index, Epoch uint64
	// Kind is the name of an entry's command.
	Kind  string `json:",omitempty"`
	Bytes int
	// Summary describes the content of the record.
	Summary string
	// Problem states why the record can't be decoded.
	Problem string `json:",omitempty"`
}

var recordNames = map[replica.RecordKind]string{
	replica.KindEntry: "entry", replica.KindTruncate: "truncate", replica.KindSnapshot: "snapshot", replica.KindView: "view",
	replica.KindAcceptor: "acceptor", replica.KindIdentity: "identity",
	replica.KindUnfit: "unfit", replica.KindSnapshotPart: "snapshot-part", replica.KindCommitted: "committed",
}

// Read reads the log of that name in a directory.
func Read(dir, name string) (wal.ReadResult, error) {
	if info, err := os.Stat(dir); err != nil {
		return wal.ReadResult{}, fmt.Errorf("data folder: %w", err)
	} else if !info.IsDir() {
		return wal.ReadResult{}, fmt.Errorf("data directory: %s is a file: give the directory, dataDir of the settings", dir)
	}
	disk, err := wal.OSDisk(dir)
	if err != nil {
		return wal.ReadResult{}, fmt.Errorf("data folder: %w", err)
	}
	return wal.Read(disk, name)
}

// Describe describes each record.
func Describe(records []wal.Record) []Line {
	lines := make([]Line, len(records))
	for i, record := range records {
		lines[i] = describe(record)
		lines[i].Number, lines[i].Bytes = i+1, len(record.Data)
	}
	return lines
}

func describe(record wal.Record) Line {
	line := Line{Record: recordNames[record.Kind]}
	if line.Record == "" {
		line.Record = fmt.Sprintf("kind-%d", record.Kind)
	}
	content, err := replica.Inspect(replica.Record{Kind: record.Kind, Data: record.Data})
	if err != nil {
		line.Problem = err.Error()
		return line
	}
	describeContent(&line, &content)
	return line
}

// describeContent fills the line from the content of a record.
func describeContent(line *Line, content *replica.RecordContent) {
	switch {
	case content.Entry != nil:
		line.Index, line.Epoch = content.Entry.Index, content.Entry.Epoch
		describeCommand(line, content.Entry.Data)
	case content.Snapshot != nil:
		line.Index, line.Epoch = content.Snapshot.Index, content.Snapshot.Epoch
		line.Summary = "the state after all entries up to the index"
	case content.View != nil:
		line.Epoch = content.View.Epoch
		line.Summary = fmt.Sprintf("%d voters, chain", len(content.View.Voters))
		for _, member := range content.View.Chain {
			line.Summary += " " + member.Address
		}
	case content.Acceptor != nil:
		line.Epoch = content.Acceptor.Instance
		line.Summary = fmt.Sprintf("voting on the view of that epoch, promised round %d to %q", content.Acceptor.Promised.Round,
			content.Acceptor.Promised.Owner)
	case content.Kind == replica.KindTruncate:
		line.Index, line.Summary = content.Truncate, "entries after the index dropped"
	case content.Kind == replica.KindCommitted:
		line.Index, line.Summary = content.Committed, "entries up to the index known to be committed"
	case content.Kind == replica.KindIdentity:
		line.Summary = string(content.Identity)
	case content.Kind == replica.KindUnfit:
		line.Summary = "not to be used again: " + content.Unfit
	}
}

func describeCommand(line *Line, data []byte) {
	if len(data) == 0 {
		line.Kind = "empty"
		return
	}
	command, err := state.Decode(data)
	if err != nil {
		line.Problem = err.Error()
		return
	}
	line.Kind, line.Summary = command.Kind.String(), command.Summary()
}
