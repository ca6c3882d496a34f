package main

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"gaugeslip/internal/system/console"
	"gaugeslip/internal/system/dataplane"
)

type runCommand struct {
	Settings string `env:"GAUGESLIP_NODE_FILE" placeholder:"FILE" help:"Settings file (TOML). No default."`
	Debug    bool   `help:"Log at debug level. Default: info."`
}

func (c *runCommand) Run() error {
	if c.Settings == "" {
		return console.ErrNoSettings
	}
	logger := console.NewLogger(c.Debug)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	process, err := dataplane.Start(c.Settings, logger, dataplane.Options{Invariants: dataplane.NewInvariants(logger)})
	if err != nil {
		return err
	}
	console.LimitMemory(process.MemoryMb())
	watch(ctx, process, reloadSignals)
	return process.Stop()
}

// watch reloads the settings at intervals and at each SIGHUP, until ctx ends.
func watch(ctx context.Context, process *dataplane.Process, reloadSignals <-chan os.Signal) {
	reload := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-reloadSignals:
			}
			select {
			case <-ctx.Done():
				return
			case reload <- struct{}{}:
			}
		}
	})
	process.Watch(ctx, reload)
	group.Wait()
}
