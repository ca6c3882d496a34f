package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"gaugeslip/internal/config"
	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/net/cluster"
	"gaugeslip/internal/net/downstream"
	"gaugeslip/internal/net/loop"
	"gaugeslip/internal/net/upstream"
	"gaugeslip/internal/site"
)

// The budget of descriptors: what is not downstream's or upstream's is for discovery, standard streams, the
// listener, the poller and a margin.
const (
	reserveShare    = 10 // one part in ten
	downstreamParts = 5  // of nine: a request holds a connection on each side, downstream some more
	upstreamParts   = 4
	probeTimeout    = 500 * time.Millisecond
	settle          = 5 * time.Millisecond // some round trips between server rooms
)

// budget shares the descriptors out.
func budget(sockets int) (down, up int) {
	part := (sockets - sockets/reserveShare) / (downstreamParts + upstreamParts)
	return part * downstreamParts, part * upstreamParts
}

// serveCommand runs a dispatcher until SIGTERM or SIGINT, and then until all that it has taken is answered.
func serveCommand(stderr io.Writer) *cobra.Command {
	var f files
	verbose := false
	c := &cobra.Command{Use: "serve", Short: "Run a dispatcher", Args: none,
		RunE: func(*cobra.Command, []string) error { return serve(&f, verbose, stderr) }}
	f.add(c)
	c.Flags().BoolVar(&verbose, "verbose", false, "log the module's verdicts too")
	return c
}

func serve(f *files, verbose bool, stderr io.Writer) error {
	// Before anything else: SIGHUP ends a process that does not ask for it. It is never given back either.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(stderr, &slog.HandlerOptions{Level: level})))
	cfg, own, err := f.load()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(cfg.Limits.Procs())
	debug.SetMemoryLimit(cfg.Limits.MemoryBytes())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return dispatcher(ctx, cfg, own, f, hup)
}

// dispatcher wires the parts together and runs them. Each signal on hup makes it read its configuration again.
func dispatcher(ctx context.Context, cfg *config.Config, own *site.Site, f *files, hup <-chan os.Signal) error {
	known, err := cluster.Known(cfg.Known, cfg.Settings)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	core, err := dispatch.New(cfg.Settings.Policy, cfg.Seed)
	if err != nil {
		return err
	}
	down, up := budget(cfg.Limits.Sockets)
	pool := upstream.NewPool(upstream.Config{ConnectTimeout: cfg.Settings.Policy.ConnectTimeout,
		ConnIdle: cfg.Settings.ConnIdle, ProbeTimeout: probeTimeout, Settle: settle, MaxConns: up})
	var room *dispatch.WaitingGate
	if own.Waiting != nil {
		room = dispatch.NewWaitingGate(*own.Waiting, cfg.Settings.Policy)
	}
	l := loop.New(dispatch.NewChain(core, room), cfg.Settings, pool, source(cfg), loop.NewClock())
	l.Post(known)
	server := downstream.New(downstream.Config{Listen: cfg.Listen, MaxConns: down,
		MaxBodies: cfg.Limits.BodyBytes(), AcceptFor: downstream.AcceptFor,
		KilledAfter: downstream.KilledAfter(cfg.Settings), Waiting: room != nil}, cfg.Settings, l)
	ln, err := server.Listen()
	if err != nil {
		return err
	}
	slog.Info("serving", "name", cfg.Name, "listen", cfg.Listen, "hosts", len(known.Hosts))

	// The loop and the pool outlive the downstream side, which needs them for what it still owes.
	inner, halt := context.WithCancel(context.Background())
	outer, stop := context.WithCancel(ctx)
	defer stop()
	swept, looped := make(chan struct{}), make(chan error, 1)
	reloaded := make(chan struct{})
	go func() { defer close(swept); pool.Sweep(inner) }()
	go func() { defer close(reloaded); reload(inner, cfg, own, f, hup, l) }()
	go func() { looped <- l.Run(inner); stop() }()
	err = server.Serve(outer, ln)
	halt()
	<-swept
	<-reloaded
	if lerr := <-looped; lerr != nil {
		return lerr
	}
	if room != nil { // the loop has ended: nobody else looks at it
		if n := room.Room().Held(); n > 0 {
			slog.Warn("waiting jobs are lost with the process, which keeps them in memory alone", "jobs", n)
		}
	}
	if err == nil {
		slog.Info("stopped")
	}
	return err
}

func source(cfg *config.Config) cluster.Source {
	return &cluster.Discovery{Addr: cfg.Discovery, Stall: cluster.StallAfter, Settings: cfg.Settings}
}

// reload reads the configuration and our own settings again at each signal until ctx ends, and moves the watch to where
// discovery is now. A fault in either file changes nothing.
func reload(ctx context.Context, cfg *config.Config, own *site.Site, f *files, hup <-chan os.Signal, l *loop.Loop) {
	at := cfg.Discovery
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		newer, err := config.Reload(os.Getenv, f.config)
		var settings *site.Site
		if err == nil {
			settings, err = site.Load(os.Getenv, f.site)
		}
		if err != nil {
			slog.Error("configuration not reloaded, the old one holds", "error", err)
			continue
		}
		keys := cfg.Fixed(newer)
		if (settings.Waiting == nil) != (own.Waiting == nil) {
			keys = append(keys, "waiting")
		} else if settings.Waiting != nil {
			l.Post(dispatch.Tuned{Waiting: *settings.Waiting})
		}
		if len(keys) > 0 {
			slog.Warn("changes that count from the next start on", "keys", keys)
		}
		slog.Info("configuration reloaded", "discovery", newer.Discovery)
		if newer.Discovery != at {
			at = newer.Discovery
			moved := *cfg // what is fixed stays
			moved.Discovery = at
			l.Move(source(&moved))
		}
	}
}
