// Command dataplane is the dispatcher on edge machines. It accepts jobs from clients and passes them to the control plane.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"gaugeslip/internal/system/console"
	"gaugeslip/internal/system/dataplane"
)

const programName = "dataplane"

// version is what `version` prints; a release sets it at link time.
var version = "development"

type commandLine struct {
	Run           runCommand           `cmd:"" default:"1" help:"Run the dispatcher until SIGTERM."`
	Status        statusCommand        `cmd:"" help:"Show a running dispatcher: readiness, configuration, chain, answers by status."`
	CheckSettings checkSettingsCommand `cmd:"" help:"Check a settings file and print all findings (exit code 2)."`
	CheckConfig   console.CheckConfig  `cmd:"" help:"Check an operator's configuration and print all findings (exit code 2)."`
	Version       console.ShowVersion  `cmd:"" help:"Print the version."`
}

type checkSettingsCommand struct {
	File string `arg:"" optional:"" env:"GAUGESLIP_NODE_FILE" help:"Settings file (TOML). Default: the one that GAUGESLIP_NODE_FILE names."`
}

func (c *checkSettingsCommand) Run() error {
	if c.File == "" {
		return console.ErrNoSettings
	}
	_, err := dataplane.OpenSettings(c.File)
	return err
}

func main() {
	var line commandLine
	context := kong.Parse(&line, kong.Name(programName), kong.Description("The dispatcher of gaugeslip's data plane, and its operator commands."))
	if err := context.Run(&console.Printer{Out: os.Stdout}, console.Program{Name: programName, Version: version}); err != nil {
		os.Exit(console.Report(os.Stderr, programName, err))
	}
}
