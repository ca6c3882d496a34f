// Package logfile looks at a replica's log on disk, for operators. It changes nothing, and may be used while the replica runs.
package logfile

import (
	"errors"
	"fmt"
	"os"

	"gaugeslip/coord/replica"
	"gaugeslip/coord/wal"
	"gaugeslip/internal/system/state"
)

// ErrCorrupt says that a log can't have been written by a sound replica.
var ErrCorrupt = errors.New("log broken")

// Line is one record of the log.
type Line struct {
	// Number counts the records of the file, from 1.
	Number int
	// Record is what the replica wrote: entry, truncate, snapshot, view, acceptor or identity.
	Record string
	// Index and Epoch are set for entries, snapshots and truncations (the index alone); Epoch for views too.
	Index, Epoch uint64
	// Kind names the command of an entry.
	Kind  string `json:",omitempty"`
	Bytes int
	// Summary tells in a few words what the record says.
	Summary string
	// Problem says why the record can't be read.
	Problem string `json:",omitempty"`
}

var recordNames = map[replica.RecordKind]string{
	replica.KindEntry: "entry", replica.KindTruncate: "truncate", replica.KindSnapshot: "snapshot", replica.KindView: "view",
	replica.KindAcceptor: "acceptor", replica.KindIdentity: "identity",
	replica.KindUnfit: "unfit", replica.KindSnapshotPart: "snapshot-part", replica.KindCommitted: "committed",
}

// Read reads the log of that name in a folder.
func Read(folder, name string) (wal.ReadResult, error) {
	if found, err := os.Stat(folder); err != nil {
		return wal.ReadResult{}, fmt.Errorf("data folder: %w", err)
	} else if !found.IsDir() {
		return wal.ReadResult{}, fmt.Errorf("data folder: %s is a file: give the folder, dataDir of the settings", folder)
	}
	disk, err := wal.OSDisk(folder)
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
	found, err := replica.Inspect(replica.Record{Kind: record.Kind, Data: record.Data})
	if err != nil {
		line.Problem = err.Error()
		return line
	}
	fill(&line, &found)
	return line
}

// fill tells what a readable record says.
func fill(line *Line, found *replica.RecordContent) {
	switch {
	case found.Entry != nil:
		line.Index, line.Epoch = found.Entry.Index, found.Entry.Epoch
		fillCommand(line, found.Entry.Data)
	case found.Snapshot != nil:
		line.Index, line.Epoch = found.Snapshot.Index, found.Snapshot.Epoch
		line.Summary = "the state after all entries up to the index"
	case found.View != nil:
		line.Epoch = found.View.Epoch
		line.Summary = fmt.Sprintf("%d voters, chain", len(found.View.Voters))
		for _, member := range found.View.Chain {
			line.Summary += " " + member.Address
		}
	case found.Acceptor != nil:
		line.Epoch = found.Acceptor.Instance
		line.Summary = fmt.Sprintf("voting on the view of that epoch, promised round %d to %q", found.Acceptor.Promised.Round,
			found.Acceptor.Promised.Owner)
	case found.Kind == replica.KindTruncate:
		line.Index, line.Summary = found.Truncate, "entries after the index dropped"
	case found.Kind == replica.KindCommitted:
		line.Index, line.Summary = found.Committed, "entries up to the index known to be committed"
	case found.Kind == replica.KindIdentity:
		line.Summary = string(found.Identity)
	case found.Kind == replica.KindUnfit:
		line.Summary = "not to be used again: " + found.Unfit
	}
}

func fillCommand(line *Line, data []byte) {
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
