package dataplane

import (
	"context"
	"fmt"
	"io"
	stdlog "log"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"gaugeslip/coord/gossip"
	"gaugeslip/coord/membership"
	"gaugeslip/coord/peersampling"
	"gaugeslip/coord/transport"
	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/network"
	"gaugeslip/internal/system/nodesettings"
)

// peerRole is the role under which other machines know a dispatcher.
const peerRole = "dispatcher"

const (
	megabyte = 1 << 20
	// gossipInterval is the mean time between two exchanges. It may be long because new values are pushed immediately and the
	// core is polled as well.
	gossipInterval = 500 * time.Millisecond
	// settingsInterval is the time between two checks of the settings file.
	settingsInterval = 2 * time.Second
	// exitMargin is how long before the platform's SIGKILL the process exits at the latest, but at most the grace period divided
	// by exitMarginDivisor. Requests in progress may continue into the last sixth of the grace period.
	exitMargin        = 500 * time.Millisecond
	exitMarginDivisor = 12
	// responseMargin is how long before the exit the dispatcher gives up on pending requests, so that they still get a response.
	responseMargin   = 250 * time.Millisecond
	readinessTimeout = 2 * time.Second
	readinessIdle    = 10 * time.Second
	// maxReadinessConnections bounds the connections to the readiness port. The platform has one or two, operators a few.
	maxReadinessConnections = 64
)

// Process is a running dispatcher with all its listeners.
type Process struct {
	logger          Logger
	file            *settingsFile
	settings        *nodesettings.Settings
	name, zone      string // as read at the start
	directory       *Directory
	client          *transport.Client
	server          *transport.Server
	node            *membership.Node
	poller          *Poller
	dispatcher      *Dispatcher
	readiness       *Readiness
	frontend        *Frontend
	readinessServer *http.Server
	options         Options

	cancel context.CancelFunc
	group  sync.WaitGroup
}

// Start runs a dispatcher with the settings file at the path until Stop.
func Start(path string, logger Logger, options Options) (*Process, error) {
	file := &settingsFile{path: path}
	settings, _, err := file.read()
	if !usable(settings) {
		return nil, err
	}
	if err != nil {
		logger.Warn("settings partly invalid; defaults used for invalid values", "error", err)
	}
	p := &Process{
		logger:    logger,
		file:      file,
		settings:  settings,
		name:      settings.NodeName,
		zone:      settings.Zone,
		directory: NewDirectory(),
		client:    transport.NewClient(transport.Options{Dial: network.DialFunc(options.Network)}),
	}
	p.options = p.boundedOptions(options)
	p.options.Logger = logger
	p.assemble()
	if err := p.listen(); err != nil {
		p.closeNetwork()
		return nil, err
	}
	p.run()
	logger.Info("started", "node", settings.NodeName, "frontend", p.frontend.Address(), "seeds", settings.SeedNodes)
	return p, nil
}

func (p *Process) assemble() {
	options := p.options
	seeds := p.settings.SeedInternalAddresses()
	p.poller = NewPoller(p.client, p.directory, seeds, p.logUnusable, options)
	p.dispatcher = NewDispatcher(p.client, p.directory, p.poller.RequestPoll, options)
	p.readiness = NewReadiness(p.directory, p.readinessChanged, options)
	p.node = membership.New(p.client, membership.Options{
		Self: peersampling.Peer{
			Address:     p.settings.InternalAddress(),
			Role:        peerRole,
			Zone:        p.settings.Zone,
			Incarnation: uint64(time.Now().UnixNano()),
		},
		Seeds:      seeds,
		RandomSeed: rand.Uint64(),
		Interval:   gossipInterval,
	})
	p.node.Subscribe(p.receiveGossip)
}

// boundedOptions returns the options with defaults and the limits from the settings.
func (p *Process) boundedOptions(options Options) Options {
	options = options.withDefaults()
	options.MaxConfigAge = min(options.MaxConfigAge, maxConfigAge(p.settings.Bounds.ConfigApply()))
	if memory := int64(p.settings.Limits.MemoryMb * megabyte); memory > 0 {
		options.BodyMemory = memory / bodyMemoryDivisor
	}
	return options
}

// maxConfigAge returns the maximum age of the knowledge that a route doesn't exist. It is less than the time within which a new
// configuration has to be in use.
func maxConfigAge(configApply time.Duration) time.Duration {
	if configApply <= 0 {
		return defaultMaxConfigAge
	}
	return configApply * 3 / 4
}

// listen opens the internal, the client and the readiness listeners.
func (p *Process) listen() error {
	var err error
	if p.server, err = network.ListenForPeers(p.options.Network, p.settings.InternalAddress()); err != nil {
		return fmt.Errorf("internal address: %w", err)
	}
	if err := p.server.Register(membership.ServiceName, p.node.Service()); err != nil {
		return fmt.Errorf("internal address: %w", err)
	}
	if err := p.server.Register(internalapi.DispatcherService, &Service{process: p}); err != nil {
		return fmt.Errorf("internal address: %w", err)
	}
	errorLog := stdlog.New(io.Discard, "", 0)
	connections := MaxConnections(p.settings.Limits.MaxOpenFiles)
	listener, err := network.Listen(p.options.Network, p.settings.Bind.Frontend, frontendSocket)
	if err != nil {
		return fmt.Errorf("frontend: %w", err)
	}
	p.frontend = NewFrontend(listener, p.dispatcher, connections, errorLog)
	return p.listenReadiness(errorLog)
}

func (p *Process) listenReadiness(errorLog *stdlog.Logger) error {
	listener, err := network.Listen(p.options.Network, p.settings.Bind.Readiness, network.ListenTCP)
	if err != nil {
		return fmt.Errorf("readiness: %w", err)
	}
	p.readinessServer = &http.Server{
		Handler:           http.HandlerFunc(p.serveReadiness),
		ReadHeaderTimeout: readinessTimeout,
		ReadTimeout:       readinessTimeout, // also bounds a body, which no caller needs to send
		WriteTimeout:      readinessIdle,
		IdleTimeout:       readinessIdle,
		ErrorLog:          errorLog,
	}
	bounded := network.LimitListener(listener, maxReadinessConnections)
	p.group.Go(func() { _ = p.readinessServer.Serve(bounded) }) // returns at Close
	return nil
}

func (p *Process) run() {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.frontend.Serve(DefaultLimits())
	p.group.Go(func() { _ = p.server.Serve() }) // returns at Close
	p.group.Go(func() { p.poller.Run(ctx) })
	p.group.Go(func() { p.followDirectory(ctx) })
	p.node.Start()
}

// receiveGossip handles a value received by gossip.
func (p *Process) receiveGossip(value gossip.Value) {
	switch value.Key {
	case internalapi.KeyConfig:
		if _, err := p.directory.LearnConfig(value.Version.Major, value.Data); err != nil {
			p.logUnusable(err)
		}
	case internalapi.KeyView:
		newest, err := internalapi.DecodeView(value.Data)
		if err != nil {
			p.logUnusable(err)
			return
		}
		p.directory.LearnView(newest)
	}
}

func (p *Process) logUnusable(err error) { p.logger.Warn("received data not used", "error", err) }

func (p *Process) readinessChanged(ready bool, reason string) {
	if ready {
		p.logger.Info("ready")
		return
	}
	p.logger.Warn("not ready", "reason", reason)
}

// Reload reads the settings file again if it has changed. Invalid settings change nothing. Calls must not overlap.
func (p *Process) Reload() {
	settings, changed, err := p.file.read()
	if err != nil {
		p.logger.Error("settings rejected", "error", err)
		return
	}
	if !changed {
		return
	}
	p.logger.Info("settings applied", "changed", nodesettings.Changed(p.settings, settings))
	p.settings = settings
	seeds := settings.SeedInternalAddresses()
	p.poller.SetSeeds(seeds)
	p.node.SetSeeds(seeds)
}

// Watch reloads the settings at intervals and on each value from reload, until the context ends.
func (p *Process) Watch(ctx context.Context, reload <-chan struct{}) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-reload:
		}
		p.Reload()
	}
}

// Stop shuts the dispatcher down without losing a request: it reports itself as not ready, goes on accepting while clients may
// still be sent to it, then stops accepting and returns when every request is answered. Watch must have returned.
func (p *Process) Stop() error {
	deadline := time.Now().Add(exitTimeout(p.settings.Bounds.GracePeriod()))
	p.logger.Info("shutting down")
	p.readiness.Drain()
	p.dispatcher.Drain()
	p.dispatcher.SetResponseDeadline(deadline.Add(-responseMargin))
	time.Sleep(min(p.options.DrainDelay, time.Until(deadline)/2))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := p.frontend.Shutdown(ctx)
	p.cancel()
	p.closeNetwork()
	p.logger.Info("stopped")
	return err
}

// exitTimeout returns how long after the platform's SIGTERM the process exits at the latest.
func exitTimeout(grace time.Duration) time.Duration {
	return grace - min(exitMargin, grace/exitMarginDivisor)
}

// closeNetwork closes everything that is open.
func (p *Process) closeNetwork() {
	_ = p.client.Close()
	p.dispatcher.Wait()
	p.node.Stop()
	if p.server != nil {
		_ = p.server.Close()
	}
	if p.frontend != nil {
		_ = p.frontend.Shutdown(context.Background())
	}
	if p.readinessServer != nil {
		_ = p.readinessServer.Close()
	}
	p.group.Wait()
}

// MemoryMb returns the memory limit of the process in megabytes.
func (p *Process) MemoryMb() float64 { return p.settings.Limits.MemoryMb }
