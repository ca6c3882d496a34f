package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/charmbracelet/log"

	"gaugeslip/internal/system/control"
	"gaugeslip/internal/system/nodesettings"
)

const (
	// collectorPercent makes collections rare: they cost processor time.
	collectorPercent = 200
	// memoryShare is the part of the machine's memory from which on the collector works harder.
	memoryShare = 0.6
	// leastProcessors lets other goroutines run while one waits for the disk: with one processor of Go's, a sync holds them all up.
	leastProcessors = 3
	megabyte        = 1 << 20
)

var errNoSettings = errors.New("no settings file: set " + nodesettings.FileVariable)

type runCommand struct {
	Settings string `env:"GAUGESLIP_NODE_FILE" placeholder:"FILE" help:"Settings file (TOML). No default."`
	Debug    bool   `help:"Log at debug level. Default: info."`
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
	runtime.GOMAXPROCS(max(runtime.GOMAXPROCS(0), leastProcessors))
	node, err := control.Start(control.Options{Settings: settings, Logger: logger})
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	return serve(node, c.Settings, logger)
}

// limitMemory keeps the collector well under the machine's limit; rare collections cost less processor time.
func limitMemory(settings *nodesettings.Settings) {
	debug.SetGCPercent(collectorPercent)
	debug.SetMemoryLimit(int64(settings.Limits.MemoryMb * memoryShare * megabyte))
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
