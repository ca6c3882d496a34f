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

// serveCommand runs a dispatcher until SIGTERM or SIGINT, and then until every accepted request is answered.
func serveCommand(stderr io.Writer) *cobra.Command {
	var f node.Files
	verbose := false
	c := &cobra.Command{Use: "serve", Short: "Run a dispatcher", Args: noArgs,
		RunE: func(*cobra.Command, []string) error { return serve(&f, verbose, stderr) }}
	addFileFlags(c, &f)
	c.Flags().BoolVar(&verbose, "verbose", false, "log at debug level, including the decisions of the core")
	return c
}

func serve(f *node.Files, verbose bool, stderr io.Writer) error {
	// First of all, since SIGHUP ends a process that does not handle it. The handler is never removed either.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	// The same goes for SIGTERM, also while the configuration is read and after everything is answered: the exit is a regular one.
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	// Two processes of one dispatcher may write to one log during an upgrade: each line carries its process's id.
	slog.SetDefault(slog.New(slog.NewTextHandler(stderr, &slog.HandlerOptions{Level: level})).With("pid", os.Getpid()))
	cfg, own, err := f.Load()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(cfg.Limits.Procs())
	debug.SetMemoryLimit(cfg.Limits.MemoryBytes())
	return node.Run(ctx, cfg, own, f, hup)
}
