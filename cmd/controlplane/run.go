package main

import (
	"fmt"
	"runtime"

	"github.com/charmbracelet/log"

	"gaugeslip/internal/system/console"
	"gaugeslip/internal/system/control"
)

// minProcessors is the minimum of GOMAXPROCS. It lets other goroutines run while one waits for the disk: with a single processor, a disk sync
// blocks all of them.
const minProcessors = 3

type runCommand struct {
	Settings string `env:"GAUGESLIP_NODE_FILE" placeholder:"FILE" help:"Settings file (TOML). No default."`
	Debug    bool   `help:"Log at debug level. Default: info."`
}

func (c *runCommand) Run() error {
	signals := console.NotifySignals() // before anything that takes time
	settings, err := loadSettings(c.Settings)
	if err != nil {
		return err
	}
	logger := console.NewLogger(c.Debug)
	console.LimitMemory(settings.Limits.MemoryMb)
	runtime.GOMAXPROCS(max(runtime.GOMAXPROCS(0), minProcessors))
	node, err := control.Start(control.Options{Settings: settings, Logger: logger, Invariants: control.NewInvariants(logger)})
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	return serve(node, c.Settings, logger, signals)
}

// serve handles signals until the node ends: SIGHUP reloads the settings, SIGTERM hands over and ends the process.
func serve(node *control.Node, path string, logger *log.Logger, signals console.Signals) error {
	for {
		select {
		case <-signals.Terminate:
			node.Leave()
			return nil
		case <-signals.Reload:
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
