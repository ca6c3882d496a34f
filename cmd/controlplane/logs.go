package main

import (
	"errors"
	"fmt"

	"gaugeslip/internal/system/console"
	"gaugeslip/internal/system/control"
	"gaugeslip/internal/system/findings"
	"gaugeslip/internal/system/logfile"
)

type logCommands struct {
	Inspect logInspectCommand `cmd:"" help:"Show the records of a log: index, epoch, kind, summary."`
	Check   logCheckCommand   `cmd:"" help:"Replay a log and check its invariants (exit code 2 if one is violated)."`
	Restore logRestoreCommand `cmd:"" help:"Write a log for a restored system, after the loss of more disks than the system tolerates."`
}

// logFlags contains the arguments and flags of the commands that read a log.
type logFlags struct {
	Dir  string `arg:"" name:"dir" help:"Data directory of a replica: dataDir of its settings."`
	JSON bool   `help:"Print JSON in place of tables. Default: tables."`
}

func (f *logFlags) printer(printer *console.Printer) console.Printer {
	return console.Printer{Out: printer.Out, JSON: f.JSON}
}

type logInspectCommand struct {
	logFlags
	From  uint64 `default:"0" help:"First index of entries to show, with all records after it. Default: 0, all."`
	Limit int    `default:"0" help:"Maximum number of records to show, the last ones. Default: 0, all."`
}

func (c *logInspectCommand) Run(printer *console.Printer) error {
	reading, err := logfile.Read(c.Dir, control.LogName)
	if err != nil {
		return err
	}
	lines := lastLines(linesFrom(logfile.Describe(reading.Records), c.From), c.Limit)
	return c.printer(printer).Print(lines, func(t *console.Table) {
		t.Row("RECORD", "TYPE", "INDEX", "EPOCH", "KIND", "BYTES", "SUMMARY")
		for i := range lines {
			lineRow(t, &lines[i])
		}
		if reading.Torn {
			t.BlankLine()
			t.Row("the file ends in bytes that are no record: an append was in progress, or was interrupted")
		}
	})
}

func lineRow(t *console.Table, line *logfile.Line) {
	summary := line.Summary
	if line.Problem != "" {
		summary = "CAN'T BE READ: " + line.Problem
	}
	t.Row(line.Number, line.Record, line.Index, line.Epoch, console.OrDash(line.Kind), line.Bytes, summary)
}

// linesFrom returns the lines from the first one with at least that index on.
func linesFrom(lines []logfile.Line, index uint64) []logfile.Line {
	for i := range lines {
		if lines[i].Index >= index {
			return lines[i:]
		}
	}
	return lines[:0]
}

// lastLines returns the last limit lines, or all if limit is 0.
func lastLines(lines []logfile.Line, limit int) []logfile.Line {
	if limit <= 0 || len(lines) <= limit {
		return lines
	}
	return lines[len(lines)-limit:]
}

type logCheckCommand struct{ logFlags }

func (c *logCheckCommand) Run(printer *console.Printer) error {
	reading, err := logfile.Read(c.Dir, control.LogName)
	if err != nil {
		return err
	}
	report, err := logfile.Check(reading)
	if errors.Is(err, logfile.ErrCorrupt) {
		return findings.Findings{{Place: reading.File, Text: err.Error()}}
	}
	if err != nil {
		return err
	}
	return c.printer(printer).Print(report, func(t *console.Table) {
		t.Row("file", fmt.Sprintf("%s, %d bytes, %d records", reading.File, reading.Bytes, report.Records))
		t.Row("identity", report.Identity)
		t.Row("epoch", report.Epoch)
		t.Row("snapshot at", report.SnapshotIndex)
		t.Row("last index", fmt.Sprintf("%d, %d entries", report.LastIndex, report.Entries))
		t.Row("configuration", report.ConfigVersion)
		t.Row("jobs", fmt.Sprintf("%d, with %d runs", report.Jobs, report.Runs))
		t.Row("torn end", console.YesNo(report.Torn))
		t.Row("invariants", "hold")
	})
}

type logRestoreCommand struct {
	logFlags
	Target string `arg:"" name:"new-dir" help:"Directory for the new log; it must be empty or missing."`
}

func (c *logRestoreCommand) Run(printer *console.Printer) error {
	restored, err := logfile.Restore(c.Dir, control.LogName, c.Target)
	if errors.Is(err, logfile.ErrCorrupt) {
		return findings.Findings{{Place: c.Dir, Text: err.Error()}}
	}
	if err != nil {
		return err
	}
	return c.printer(printer).Print(restored, func(t *console.Table) {
		t.Row("new log", c.Target)
		t.Row("only member", restored.Member.Address)
		t.Row("identity", restored.Member.ID)
		t.Row("epoch", restored.Epoch)
		t.Row("last index", restored.LastIndex)
		t.Row("configuration", restored.ConfigVersion)
		t.Row("jobs", restored.Jobs)
		t.BlankLine()
		t.Row("start that member alone with this directory as its dataDir, then the others with empty ones and bootstrap false")
	})
}
