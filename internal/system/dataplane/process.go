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

// peerRole is what the other machines know a dispatcher as.
const peerRole = "dispatcher"

const (
	megabyte = 1 << 20
	// gossipInterval is the mean time between two exchanges; what is new is pushed on at once, and the core is looked at besides.
	gossipInterval = 500 * time.Millisecond
	// settingsInterval is the time between two looks at the settings file.
	settingsInterval = 2 * time.Second
	// exitMargin is how long before the platform's SIGKILL it ends at the latest, exitPart the part of the grace that this is at most: till
	// the last sixth whatever is out goes on.
	exitMargin = 500 * time.Millisecond
	exitPart   = 12
	// answerMargin is how long before its end it gives up what it still works for, so that this is answered.
	answerMargin     = 250 * time.Millisecond
	readinessTimeout = 2 * time.Second
	readinessIdle    = 10 * time.Second
	// mostReadinessCallers bounds the connections to the readiness port: the platform has one or two, operators a few.
	mostReadinessCallers = 64
)

// Process is one running dispatcher, with all that it listens on.
type Process struct {
	logger     Logger
	file       *settingsFile
	settings   *nodesettings.Settings
	name, zone string // as at the start
	directory  *Directory
	client     *transport.Client
	server     *transport.Server
	node       *membership.Node
	poller     *Poller
	dispatcher *Dispatcher
	readiness  *Readiness
	frontend   *Frontend
	ready      *http.Server
	options    Options

	cancel context.CancelFunc
	group  sync.WaitGroup
}

// Start runs a dispatcher by the settings file at the path, until Stop.
func Start(path string, logger Logger, options Options) (*Process, error) {
	file := &settingsFile{path: path}
	settings, _, err := file.look()
	if !usable(settings) {
		return nil, err
	}
	if err != nil {
		logger.Warn("settings taken in part", "error", err)
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
	p.options = p.bounded(options)
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
	p.poller = NewPoller(p.client, p.directory, seeds, p.unusable, options)
	p.dispatcher = NewDispatcher(p.client, p.directory, p.poller.Poke, options)
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
	p.node.Subscribe(p.heard)
}

// bounded are the options with what the settings bound.
func (p *Process) bounded(options Options) Options {
	options = options.withDefaults()
	options.StaleContact = min(options.StaleContact, staleContactWithin(p.settings.Bounds.ConfigApply()))
	if memory := int64(p.settings.Limits.MemoryMb * megabyte); memory > 0 {
		options.BodyMemory = memory / bodyPart
	}
	return options
}

// staleContactWithin is how old the knowledge that a route isn't there may be: younger than any configuration that has to be in force.
func staleContactWithin(configApply time.Duration) time.Duration {
	if configApply <= 0 {
		return defaultStaleContact
	}
	return configApply * 3 / 4
}

// listen takes the three addresses.
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
	quiet := stdlog.New(io.Discard, "", 0)
	connections := MaxConnections(p.settings.Limits.MaxOpenFiles)
	listener, err := network.Listen(p.options.Network, p.settings.Bind.Frontend, frontendSocket)
	if err != nil {
		return fmt.Errorf("frontend: %w", err)
	}
	p.frontend = NewFrontend(listener, p.dispatcher, connections, quiet)
	return p.listenReadiness(quiet)
}

func (p *Process) listenReadiness(quiet *stdlog.Logger) error {
	listener, err := network.Listen(p.options.Network, p.settings.Bind.Readiness, network.ListenTCP)
	if err != nil {
		return fmt.Errorf("readiness: %w", err)
	}
	p.ready = &http.Server{
		Handler:           http.HandlerFunc(p.serveReadiness),
		ReadHeaderTimeout: readinessTimeout,
		ReadTimeout:       readinessTimeout, // a body, which nobody asks for, too
		WriteTimeout:      readinessIdle,
		IdleTimeout:       readinessIdle,
		ErrorLog:          quiet,
	}
	bounded := network.LimitListener(listener, mostReadinessCallers)
	p.group.Go(func() { _ = p.ready.Serve(bounded) }) // it ends at Close
	return nil
}

func (p *Process) run() {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.frontend.Serve(DefaultLimits())
	p.group.Go(func() { _ = p.server.Serve() }) // it ends at Close
	p.group.Go(func() { p.poller.Run(ctx) })
	p.group.Go(func() { p.follow(ctx) })
	p.node.Start()
}

// heard takes in a value that came by gossip.
func (p *Process) heard(value gossip.Value) {
	switch value.Key {
	case internalapi.KeyConfig:
		if _, err := p.directory.LearnConfig(value.Version.Major, value.Data); err != nil {
			p.unusable(err)
		}
	case internalapi.KeyView:
		newest, err := internalapi.DecodeView(value.Data)
		if err != nil {
			p.unusable(err)
			return
		}
		p.directory.LearnView(newest)
	}
}

func (p *Process) unusable(err error) { p.logger.Warn("news not used", "error", err) }

func (p *Process) readinessChanged(ready bool, reason string) {
	if ready {
		p.logger.Info("ready")
		return
	}
	p.logger.Warn("not ready", "reason", reason)
}

// Reload reads the settings file again if it has changed. Faulty settings change nothing. Calls must not overlap.
func (p *Process) Reload() {
	settings, changed, err := p.file.look()
	if err != nil {
		p.logger.Error("settings not taken", "error", err)
		return
	}
	if !changed {
		return
	}
	p.logger.Info("settings taken", "changed", nodesettings.Changed(p.settings, settings))
	p.settings = settings
	seeds := settings.SeedInternalAddresses()
	p.poller.SetSeeds(seeds)
	p.node.SetSeeds(seeds)
}

// Watch reloads now and then, and whenever it is told to, until the context ends.
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

// Stop ends the dispatcher without losing a request: it declares itself unready, goes on for as long as clients may still be
// sent to it, then stops accepting and ends once everything is answered. Watch must have returned.
func (p *Process) Stop() error {
	limit := time.Now().Add(endAfter(p.settings.Bounds.GracePeriod()))
	p.logger.Info("ending")
	p.readiness.Drain()
	p.dispatcher.Drain()
	p.dispatcher.EndBy(limit.Add(-answerMargin))
	time.Sleep(min(p.options.DrainDelay, time.Until(limit)/2))
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	err := p.frontend.Shutdown(ctx)
	p.cancel()
	p.closeNetwork()
	p.logger.Info("ended")
	return err
}

// endAfter is how long after the platform's wish it ends at the latest.
func endAfter(grace time.Duration) time.Duration {
	return grace - min(exitMargin, grace/exitPart)
}

// closeNetwork closes whatever is open.
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
	if p.ready != nil {
		_ = p.ready.Close()
	}
	p.group.Wait()
}

// MemoryMb is what the machine gives the process, in megabytes.
func (p *Process) MemoryMb() float64 { return p.settings.Limits.MemoryMb }
