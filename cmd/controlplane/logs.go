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
	Check   logCheckCommand   `cmd:"" help:"Replay a log and check its invariants (exit code 2 if one is broken)."`
	Restore logRestoreCommand `cmd:"" help:"Write a log for a restored system, after the loss of more disks than are borne."`
}

// logFolder is the flags of the commands that read a log.
type logFolder struct {
	Folder string `arg:"" name:"dir" help:"Data folder of a replica: dataDir of its settings."`
	JSON   bool   `help:"Print JSON in place of tables. Default: tables."`
}

func (f *logFolder) printer(printer *console.Printer) console.Printer {
	return console.Printer{Out: printer.Out, JSON: f.JSON}
}

type logInspectCommand struct {
	logFolder
	From  uint64 `default:"0" help:"First index of entries to show; other records are shown from there on too. Default: 0, all."`
	Limit int    `default:"0" help:"Most records to show, the last ones, in records. Default: 0, all."`
}

func (c *logInspectCommand) Run(printer *console.Printer) error {
	reading, err := logfile.Read(c.Folder, control.LogName)
	if err != nil {
		return err
	}
	lines := lastOf(linesFrom(logfile.Describe(reading.Records), c.From), c.Limit)
	return c.printer(printer).Print(lines, func(t *console.Table) {
		t.Row("RECORD", "TYPE", "INDEX", "EPOCH", "KIND", "BYTES", "SUMMARY")
		for i := range lines {
			lineRow(t, &lines[i])
		}
		if reading.Torn {
			t.BlankLine()
			t.Row("the file ends in something that is no record: an append was under way, or was cut off")
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

// linesFrom leaves out what stands before the first entry of the index.
func linesFrom(lines []logfile.Line, index uint64) []logfile.Line {
	for i := range lines {
		if lines[i].Index >= index {
			return lines[i:]
		}
	}
	return lines[:0]
}

// lastOf is the last lines, a number of them at most; 0: all.
func lastOf(lines []logfile.Line, most int) []logfile.Line {
	if most <= 0 || len(lines) <= most {
		return lines
	}
	return lines[len(lines)-most:]
}

type logCheckCommand struct{ logFolder }

func (c *logCheckCommand) Run(printer *console.Printer) error {
	reading, err := logfile.Read(c.Folder, control.LogName)
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
	logFolder
	Target string `arg:"" name:"new-dir" help:"Folder for the new log; it must be empty or missing."`
}

func (c *logRestoreCommand) Run(printer *console.Printer) error {
	restored, err := logfile.Restore(c.Folder, control.LogName, c.Target)
	if errors.Is(err, logfile.ErrCorrupt) {
		return findings.Findings{{Place: c.Folder, Text: err.Error()}}
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
		t.Row("start that member alone with this folder as its dataDir, then the others with empty ones and bootstrap false")
	})
}
