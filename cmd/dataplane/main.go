// Command dataplane is the dispatcher on edge machines: it takes clients' jobs and hands them to the control plane.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"gaugeslip/internal/system/clusterconfig"
	"gaugeslip/internal/system/dataplane"
	"gaugeslip/internal/system/findings"
)

// Exit codes: a fault at run time, and settings or a configuration with findings.
const (
	exitFault    = 1
	exitFindings = 2
)

// version is what `version` prints; a release sets it at link time.
var version = "development"

type commandLine struct {
	Run           runCommand           `cmd:"" default:"1" help:"Run the dispatcher until SIGTERM."`
	CheckSettings checkSettingsCommand `cmd:"" help:"Check a settings file and print all findings (exit code 2)."`
	CheckConfig   checkConfigCommand   `cmd:"" help:"Check an operator's configuration and print all findings (exit code 2)."`
	Version       versionCommand       `cmd:"" help:"Print the version."`
}

type checkSettingsCommand struct {
	File string `arg:"" optional:"" env:"GAUGESLIP_NODE_FILE" help:"Settings file (TOML)."`
}

func (c *checkSettingsCommand) Run() error {
	if c.File == "" {
		return errNoSettings
	}
	_, err := dataplane.OpenSettings(c.File)
	return err
}

type checkConfigCommand struct {
	File string `arg:"" type:"existingfile" help:"Configuration (JSON)."`
}

func (c *checkConfigCommand) Run() error {
	body, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if _, err := clusterconfig.Parse(body); err != nil {
		return fmt.Errorf("configuration %s: %w", c.File, err)
	}
	return nil
}

type versionCommand struct{}

func (versionCommand) Run() error {
	fmt.Println("gaugeslip dataplane", version)
	return nil
}

func main() {
	var line commandLine
	context := kong.Parse(&line, kong.Name("dataplane"), kong.Description("The dispatcher of gaugeslip's data plane."))
	if err := context.Run(); err != nil {
		os.Exit(report(err))
	}
}

// report prints what went wrong, each finding on a line of its own, and gives the exit code.
func report(err error) int {
	var found findings.Findings
	if !errors.As(err, &found) {
		fmt.Fprintln(os.Stderr, "dataplane:", err)
		return exitFault
	}
	for _, finding := range found {
		fmt.Fprintln(os.Stderr, finding)
	}
	return exitFindings
}
