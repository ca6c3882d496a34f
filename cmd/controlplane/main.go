// Command controlplane is one replica of the control plane. It stores the operator's configuration and the accepted jobs; at the head of
// the chain it also runs the scheduler. Its other commands inspect a running replica or its files.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"gaugeslip/internal/system/console"
	"gaugeslip/internal/system/nodesettings"
)

const programName = "controlplane"

// version is what `version` prints; a release sets it at link time.
var version = "development"

type commandLine struct {
	Run           runCommand           `cmd:"" default:"1" help:"Run the replica until SIGTERM."`
	Status        statusCommand        `cmd:"" help:"Show a running replica: role, view, lease, replicas that catch up, jobs."`
	View          viewCommand          `cmd:"" help:"Show the agreed view: epoch, chain, voters, replicas that catch up."`
	Workers       workersCommand       `cmd:"" help:"Show the workers as the scheduler at the head sees them."`
	Tenants       tenantsCommand       `cmd:"" help:"Show the tenants' shares of accelerators, their use of them, and the tasks that wait."`
	Jobs          jobsCommand          `cmd:"" help:"List accepted jobs, the newest first."`
	Job           jobCommand           `cmd:"" help:"Show one job: its tasks, attempts, where they run, why they wait."`
	Why           whyCommand           `cmd:"" help:"Show why the tasks of a job don't start."`
	Handover      handoverCommand      `cmd:"" help:"Have the head hand over to its successor; it comes back as a learner."`
	Log           logCommands          `cmd:"" help:"Inspect a replica's log on disk without changing it, or restore from it."`
	CheckSettings checkSettingsCommand `cmd:"" help:"Check a settings file and print all findings (exit code 2)."`
	CheckConfig   console.CheckConfig  `cmd:"" help:"Check an operator's configuration and print all findings (exit code 2)."`
	Version       console.ShowVersion  `cmd:"" help:"Print the version."`
}

type checkSettingsCommand struct {
	File string `arg:"" optional:"" env:"GAUGESLIP_NODE_FILE" help:"Settings file (TOML). Default: the one that GAUGESLIP_NODE_FILE names."`
}

func (c *checkSettingsCommand) Run() error {
	_, err := loadSettings(c.File)
	return err
}

func loadSettings(path string) (*nodesettings.Settings, error) {
	if path == "" {
		return nil, console.ErrNoSettings
	}
	settings, err := nodesettings.Load(path)
	if err != nil {
		return nil, err
	}
	return settings, settings.Check(nodesettings.RoleControlPlane)
}

func main() {
	var line commandLine
	context := kong.Parse(&line, kong.Name(programName), kong.Description("A replica of gaugeslip's control plane, and its operator commands."))
	if err := context.Run(&console.Printer{Out: os.Stdout}, console.Program{Name: programName, Version: version}); err != nil {
		os.Exit(console.Report(os.Stderr, programName, err))
	}
}
