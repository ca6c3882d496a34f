package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"gaugeslip/internal/node"
)

// serveCommand runs a dispatcher until SIGTERM or SIGINT, and then until all that it has taken is answered.
func serveCommand(stderr io.Writer) *cobra.Command {
	var f node.Files
	verbose := false
	c := &cobra.Command{Use: "serve", Short: "Run a dispatcher", Args: none,
		RunE: func(*cobra.Command, []string) error { return serve(&f, verbose, stderr) }}
	addFiles(c, &f)
	c.Flags().BoolVar(&verbose, "verbose", false, "log the module's verdicts too")
	return c
}

func serve(f *node.Files, verbose bool, stderr io.Writer) error {
	// Before anything else: SIGHUP ends a process that does not ask for it. It is never given back either.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	// So does SIGTERM, also while the configuration is read and once more when all is answered: the exit is a planned one.
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	// Two processes of one dispatcher may write to one log during an upgrade: each line tells whose it is.
	slog.SetDefault(slog.New(slog.NewTextHandler(stderr, &slog.HandlerOptions{Level: level})).With("pid", os.Getpid()))
	cfg, own, err := f.Load()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(cfg.Limits.Procs())
	debug.SetMemoryLimit(cfg.Limits.MemoryBytes())
	return node.Run(ctx, cfg, own, f, hup)
}
