package console

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/charmbracelet/log"

	"gaugeslip/internal/system/clusterconfig"
	"gaugeslip/internal/system/nodesettings"
)

const (
	// gcPercent makes garbage collections less frequent than the default of 100, because they cost processor time.
	gcPercent = 200
	// memoryLimitShare is the fraction of the machine's memory above which the garbage collector runs more often.
	memoryLimitShare = 0.6
	megabyte         = 1 << 20
)

// ErrNoSettings means that no settings file was named.
var ErrNoSettings = errors.New("no settings file: set " + nodesettings.FileVariable)

// Program is the name and version of a program, for the commands that all programs have.
type Program struct{ Name, Version string }

// CheckConfig is the command that checks an operator's configuration file.
type CheckConfig struct {
	File string `arg:"" help:"Configuration (JSON)."`
}

// Run checks the file. The error wraps findings.Findings with all findings.
func (c *CheckConfig) Run() error {
	body, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if _, err := clusterconfig.Parse(body); err != nil {
		return fmt.Errorf("configuration %s: %w", c.File, err)
	}
	return nil
}

// ShowVersion is the command that prints the version.
type ShowVersion struct{}

// Run prints the program's name and version.
func (ShowVersion) Run(printer *Printer, program Program) error {
	_, err := fmt.Fprintln(printer.Out, "gaugeslip", program.Name, program.Version)
	return err
}

// NewLogger returns a program's logger, which writes to standard error.
func NewLogger(debugLevel bool) *log.Logger {
	logger := log.NewWithOptions(os.Stderr, log.Options{ReportTimestamp: true})
	if debugLevel {
		logger.SetLevel(log.DebugLevel)
	}
	return logger
}

// LimitMemory configures the garbage collector to keep the process well below the machine's memory, given in megabytes.
func LimitMemory(memoryMb float64) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryMb * memoryLimitShare * megabyte))
}
