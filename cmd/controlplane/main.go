// Command controlplane is one replica of the control plane: custody of the operator's configuration and of accepted jobs and, at the
// head of the chain, the scheduler.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/charmbracelet/log"

	"gaugeslip/internal/system/clusterconfig"
	"gaugeslip/internal/system/control"
	"gaugeslip/internal/system/findings"
	"gaugeslip/internal/system/nodesettings"
)

// Exit codes: a fault at run time, and settings or a configuration with findings.
const (
	exitFault    = 1
	exitFindings = 2
)

// version is what `version` prints; a release sets it at link time.
var version = "development"

type commandLine struct {
	Run           runCommand           `cmd:"" default:"1" help:"Run the replica until SIGTERM."`
	CheckSettings checkSettingsCommand `cmd:"" help:"Check a settings file and print all findings (exit code 2)."`
	CheckConfig   checkConfigCommand   `cmd:"" help:"Check an operator's configuration and print all findings (exit code 2)."`
	Version       versionCommand       `cmd:"" help:"Print the version."`
}

type runCommand struct {
	Settings string `env:"GAUGESLIP_NODE_FILE" help:"Settings file (TOML)."`
	Debug    bool   `help:"Log at debug level."`
}

func (c *runCommand) Run() error {
	settings, err := loadSettings(c.Settings)
	if err != nil {
		return err
	}
	logger := log.NewWithOptions(os.Stderr, log.Options{ReportTimestamp: true})
	if c.Debug {
		logger.SetLevel(log.DebugLevel)
	}
	limitMemory(settings)
	node, err := control.Start(control.Options{Settings: settings, Logger: logger})
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	return serve(node, c.Settings, logger)
}

// limitMemory keeps the collector well under the machine's limit; rare collections cost less processor time.
func limitMemory(settings *nodesettings.Settings) {
	debug.SetGCPercent(200)
	debug.SetMemoryLimit(int64(settings.Limits.MemoryMb * 0.6 * (1 << 20)))
}

// serve waits for signals: SIGHUP reads the settings again, SIGTERM hands over and ends.
func serve(node *control.Node, path string, logger *log.Logger) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for {
		select {
		case received := <-signals:
			if received != syscall.SIGHUP {
				node.Leave()
				return nil
			}
			reload(node, path, logger)
		case err := <-node.Failed():
			return err
		}
	}
}

func reload(node *control.Node, path string, logger *log.Logger) {
	settings, err := loadSettings(path)
	if err != nil {
		logger.Error("settings not taken", "error", err)
		return
	}
	node.Reload(settings)
}

func loadSettings(path string) (*nodesettings.Settings, error) {
	if path == "" {
		return nil, errors.New("no settings file: set GAUGESLIP_NODE_FILE")
	}
	settings, err := nodesettings.Load(path)
	if err != nil {
		return nil, err
	}
	return settings, settings.Check(nodesettings.RoleControlPlane)
}

type checkSettingsCommand struct {
	File string `arg:"" optional:"" env:"GAUGESLIP_NODE_FILE" help:"Settings file (TOML)."`
}

func (c *checkSettingsCommand) Run() error {
	_, err := loadSettings(c.File)
	return err
}

type checkConfigCommand struct {
	File string `arg:"" type:"existingfile" help:"Configuration (JSON)."`
}

func (c *checkConfigCommand) Run() error {
	body, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	_, err = clusterconfig.Parse(body)
	return err
}

type versionCommand struct{}

func (versionCommand) Run() error {
	fmt.Println("gaugeslip controlplane", version)
	return nil
}

func main() {
	var line commandLine
	context := kong.Parse(&line, kong.Name("controlplane"), kong.Description("A replica of gaugeslip's control plane."))
	err := context.Run()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "controlplane:", err)
	var found findings.Findings
	if errors.As(err, &found) {
		os.Exit(exitFindings)
	}
	os.Exit(exitFault)
}
