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
	// gcPercent makes collections rare: they cost processor time.
	gcPercent = 200
	// memoryLimitShare is the part of the machine's memory from which on the collector works harder.
	memoryLimitShare = 0.6
	megabyte         = 1 << 20
)

// ErrNoSettings says that no settings file was named.
var ErrNoSettings = errors.New("no settings file: set " + nodesettings.FileVariable)

// Program names one of the system's programs, for commands that all have.
type Program struct{ Name, Version string }

// CheckConfig is the command that checks an operator's configuration.
type CheckConfig struct {
	File string `arg:"" help:"Configuration (JSON)."`
}

// Run reports all findings; the error holds findings.Findings.
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

// NewLogger gives a program's logger, on standard error.
func NewLogger(debugLevel bool) *log.Logger {
	logger := log.NewWithOptions(os.Stderr, log.Options{ReportTimestamp: true})
	if debugLevel {
		logger.SetLevel(log.DebugLevel)
	}
	return logger
}

// LimitMemory keeps the process well under the machine's memory, given in megabytes; rare collections cost less processor time.
func LimitMemory(memoryMb float64) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryMb * memoryLimitShare * megabyte))
}
