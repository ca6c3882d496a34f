package main

import (
	"fmt"
	"runtime"

	"github.com/charmbracelet/log"

	"gaugeslip/internal/system/console"
	"gaugeslip/internal/system/control"
)

// leastProcessors lets other goroutines run while one waits for the disk: with one processor of Go's, a sync holds them all up.
const leastProcessors = 3

type runCommand struct {
	Settings string `env:"GAUGESLIP_NODE_FILE" placeholder:"FILE" help:"Settings file (TOML). No default."`
	Debug    bool   `help:"Log at debug level. Default: info."`
}

func (c *runCommand) Run() error {
	taken := console.NotifySignals() // before anything that takes time
	settings, err := loadSettings(c.Settings)
	if err != nil {
		return err
	}
	logger := console.NewLogger(c.Debug)
	console.LimitMemory(settings.Limits.MemoryMb)
	runtime.GOMAXPROCS(max(runtime.GOMAXPROCS(0), leastProcessors))
	node, err := control.Start(control.Options{Settings: settings, Logger: logger, Invariants: control.NewInvariants(logger)})
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	return serve(node, c.Settings, logger, taken)
}

// serve waits for signals: SIGHUP reads the settings again, SIGTERM hands over and ends.
func serve(node *control.Node, path string, logger *log.Logger, taken console.Signals) error {
	for {
		select {
		case <-taken.Terminate:
			node.Leave()
			return nil
		case <-taken.Reload:
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
