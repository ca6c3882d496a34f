package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"

	"github.com/charmbracelet/log"

	"gaugeslip/internal/system/dataplane"
	"gaugeslip/internal/system/nodesettings"
)

const (
	// collectorPercent makes collections rare: they cost processor time.
	collectorPercent = 200
	// memoryShare is the part of the machine's memory from which on the collector works harder.
	memoryShare = 0.6
	megabyte    = 1 << 20
)

var errNoSettings = errors.New("no settings file: set " + nodesettings.FileVariable)

type runCommand struct {
	Settings string `env:"GAUGESLIP_NODE_FILE" placeholder:"FILE" help:"Settings file (TOML). No default."`
	Debug    bool   `help:"Log at debug level. Default: info."`
}

func (c *runCommand) Run() error {
	if c.Settings == "" {
		return errNoSettings
	}
	logger := log.NewWithOptions(os.Stderr, log.Options{ReportTimestamp: true})
	if c.Debug {
		logger.SetLevel(log.DebugLevel)
	}
	ending, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	process, err := dataplane.Start(c.Settings, logger, dataplane.Options{})
	if err != nil {
		return err
	}
	limitMemory(process.MemoryMb())
	watch(ending, process, hangUps)
	return process.Stop()
}

// watch reloads the settings now and then and at each hang-up, until the process is to end.
func watch(ending context.Context, process *dataplane.Process, hangUps <-chan os.Signal) {
	reload := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			select {
			case <-ending.Done():
				return
			case <-hangUps:
			}
			select {
			case <-ending.Done():
				return
			case reload <- struct{}{}:
			}
		}
	})
	process.Watch(ending, reload)
	group.Wait()
}

// limitMemory keeps the process well under what the machine gives it.
func limitMemory(memoryMb float64) {
	debug.SetGCPercent(collectorPercent)
	debug.SetMemoryLimit(int64(memoryMb * memoryShare * megabyte))
}
