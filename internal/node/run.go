package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"gaugeslip/internal/config"
	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/net/cluster"
	"gaugeslip/internal/net/downstream"
	"gaugeslip/internal/net/loop"
	"gaugeslip/internal/net/operators"
	"gaugeslip/internal/net/upstream"
	"gaugeslip/internal/operatorsettings"
)

// Division of the descriptors: the rest, beside downstream and upstream, is for discovery, standard streams, the
// listener, the poller and a margin.
const (
	reserveShare    = 10 // one part in ten
	downstreamParts = 5  // of nine: a request uses a connection on each side, and downstream has some more
	upstreamParts   = 4
	probeTimeout    = 500 * time.Millisecond
	lastByteDelay   = 5 * time.Millisecond  // several round trips between server rooms
	reuseDelay      = 25 * time.Millisecond // a second answer to a job may come some milliseconds late
)

// Budget divides the descriptors between the downstream and the upstream side.
func Budget(sockets int) (down, up int) {
	part := (sockets - sockets/reserveShare) / (downstreamParts + upstreamParts)
	return part * downstreamParts, part * upstreamParts
}

// OpsConns is the maximum number of connections of the operators' endpoint, taken from the downstream share of
// descriptors.
func OpsConns(sockets int) int { return min(max(sockets/32, 4), 32) }

// classes returns the names of the settings' classes, by number.
func classes(cfg *config.Config) []string {
	names := make([]string, len(cfg.Settings.Policy.Classes))
	for i, c := range cfg.Settings.Policy.Classes {
		names[i] = c.Name
	}
	return names
}

// Run assembles the dispatcher and runs it until ctx ends and every accepted request is answered. Each signal on hup
// makes it read its configuration again.
func Run(ctx context.Context, cfg *config.Config, own *operatorsettings.Settings, f *Files, hup <-chan os.Signal) error {
	started := time.Now()
	decisions := cfg.Settings.Policy // a copy: a reload is compared with the settings as they were read
	if own.Overload != nil {
		own.Overload.Apply(&decisions)
	}
	known, err := cluster.DecodeKnown(cfg.Known, cfg.Settings)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	core, err := dispatch.New(decisions, cfg.Seed)
	if err != nil {
		return err
	}
	down, up := Budget(cfg.Limits.Sockets)
	opsConns := 0
	if cfg.Ops != "" {
		opsConns = OpsConns(cfg.Limits.Sockets)
		down -= opsConns
	}
	var l *loop.Loop
	metrics := operators.NewMetrics(classes(cfg), operators.Gauges{
		InFlight: func() float64 { return float64(l.Held()) },
		Workers: func() (float64, float64) {
			known, excluded := l.Workers()
			return float64(known), float64(excluded)
		}})
	var tally downstream.AnswerCounter = metrics
	if own.Overload != nil {
		level := newLevel(*own.Overload, metrics, started)
		metrics.Gauge("overloaded", "1 while refusals are more than the settings' share of the answers.", level.on)
		metrics.Gauge("refused_share", "Share of refusals among the answers of the last seconds.", level.share)
		tally = level
	}
	shed, err := newShedGate(own.Overload, &decisions, metrics)
	if err != nil {
		return err
	}
	pool := upstream.NewPool(upstream.Config{ConnectTimeout: cfg.Settings.Policy.ConnectTimeout,
		ConnIdle: cfg.Settings.ConnIdle, ProbeTimeout: probeTimeout, LastByteDelay: lastByteDelay, ReuseDelay: reuseDelay, MaxConns: up,
		OnWritten: metrics.Attempt})
	gates := dispatch.Gates{Shed: shed}
	if own.Waiting != nil {
		gates.Waiting = dispatch.NewWaitingGate(*own.Waiting, cfg.Settings.Policy)
	}
	sitesGate, err := newSitesGate(own, cfg, &decisions, metrics)
	if err != nil {
		return err
	}
	gates.Sites = sitesGate
	clock := loop.NewClock()
	shares := newBudgets(cfg, own, clock.Now, metrics)
	if shares != nil {
		gates.Budget = shares.gate
	}
	l = loop.New(dispatch.NewChain(core, gates), cfg.Settings, pool, hostSource(cfg, shares, true), clock)
	l.Post(known)
	server := downstream.New(downstream.Config{Listen: cfg.Listen, Inherited: cfg.Inherited, MaxConns: down,
		MaxBodies: cfg.Limits.BodyBytes(), AcceptFor: downstream.AcceptFor,
		KilledAfter: downstream.KilledAfter(cfg.Settings), Waiting: gates.Waiting != nil, AnswerCounter: tally}, cfg.Settings, l)
	ln, err := server.Listen()
	if err != nil {
		return err
	}
	var operatorsServer *operators.Server
	var opsLn net.Listener
	if cfg.Ops != "" {
		operatorsServer = operators.NewServer(operators.Config{Addr: cfg.Ops, MaxConns: opsConns, Ready: server.Serving, Metrics: metrics,
			Core: l, Store: operators.NewStore(os.TempDir(), cfg.Name), Views: views(shares, sitesGate)})
		if opsLn, err = operatorsServer.Listen(); err != nil {
			ln.Close()
			return err
		}
		operatorsServer.Restore() // before the loop's first Step, so that cordoned hosts get no job from the start
	}
	slog.Info("serving", "name", cfg.Name, "listen", cfg.Listen, "ops", cfg.Ops, "hosts", len(known.Hosts))

	// The loop and the pool outlive the downstream side, which needs them for its pending answers.
	inner, halt := context.WithCancel(context.Background())
	outer, stop := context.WithCancel(ctx)
	defer stop()
	sweepDone, loopDone := make(chan struct{}), make(chan error, 1)
	reloadDone, opsDone := make(chan struct{}), make(chan struct{})
	go func() { defer close(sweepDone); pool.Sweep(inner) }()
	if shares != nil {
		shares.hold(inner)
	}
	handoverDone := make(chan struct{})
	if cfg.Inherited != 0 {
		path, me := servingFile(os.TempDir(), cfg.Name), servingRecord{PID: os.Getpid(), Since: started.UnixNano()}
		if err := announce(path, me); err != nil {
			slog.Error("a predecessor will not see that this process serves", "error", err)
		}
		go func() {
			defer close(handoverDone)
			awaitSuccessor(outer, path, me, func() {
				slog.Info("a successor serves: handing over")
				server.Handover()
				if shares != nil { // new requests go to the successor
					shares.release()
				}
			})
		}()
	} else {
		close(handoverDone)
	}
	go func() {
		defer close(opsDone)
		if operatorsServer != nil {
			if err := operatorsServer.Serve(inner, opsLn); err != nil {
				slog.Error("operators' endpoint failed", "error", err)
			}
		}
	}()
	go func() { defer close(reloadDone); reload(inner, cfg, own, f, hup, l, shares) }()
	go func() { loopDone <- l.Run(inner); stop() }()
	err = server.Serve(outer, ln)
	halt()
	<-handoverDone
	<-sweepDone
	<-reloadDone
	<-opsDone
	if shares != nil {
		shares.release()
	}
	if lerr := <-loopDone; lerr != nil {
		return lerr
	}
	if gates.Waiting != nil { // the loop has ended, so nothing else accesses it
		if n := gates.Waiting.Room().Held(); n > 0 {
			slog.Warn("waiting jobs are lost with the process, which keeps them only in memory", "jobs", n)
		}
	}
	if err == nil {
		slog.Info("stopped")
	}
	return err
}
