// Package control is the control plane's program: one replica of the chain with its log on disk, the operator's API, the calls of the
// dispatchers and, while it is the head, the scheduler. One loop goroutine owns all state; sockets, disk and timers post to it.
package control

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"gaugeslip/coord/membership"
	"gaugeslip/coord/replica"
	"gaugeslip/coord/transport"
	"gaugeslip/coord/view"
	"gaugeslip/coord/wal"
	"gaugeslip/internal/system/clusterconfig"
	"gaugeslip/internal/system/invariant"
	"gaugeslip/internal/system/network"
	"gaugeslip/internal/system/nodesettings"
	"gaugeslip/internal/system/scheduler"
	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

const (
	// A head that is gone is replaced after about a grant; work that has to start within a second can't wait for long. Pauses of a
	// replica, for collection or want of processor, stay well below.
	grant          = 450 * time.Millisecond
	heartbeatEvery = 90 * time.Millisecond
	dropAfter      = 400 * time.Millisecond
	stallAfter     = 250 * time.Millisecond

	logName      = "replica"
	chainService = "Chain"
	// restartPause is how long a replica whose disk refused waits before it tries again with what the disk holds.
	restartPause = time.Second
	// leavePatience bounds a planned transfer.
	leavePatience = 1500 * time.Millisecond
	// leaveReserve is what is left of the grace for the end itself.
	leaveReserve = 2 * time.Second
	// RoleName is how replicas call themselves among the peers.
	RoleName = "replica"
)

// Options are what a node is made of.
type Options struct {
	Settings *nodesettings.Settings
	Logger   *log.Logger
	// Network is where connections come from; nil stands for the operating system's sockets.
	Network network.Network
	// Disk is where the log lies; nil stands for the folder that the settings name.
	Disk wal.Disk
	// Clock is the time of day with a steady reading; nil stands for time.Now.
	Clock func() time.Time
	// Invariants counts violations of what must always hold; nil has each of them panic.
	Invariants *invariant.Set
}

// Node is a running replica.
type Node struct {
	settings   *nodesettings.Settings
	logger     *log.Logger
	invariants *invariant.Set
	watched    watched
	network    network.Network
	folder     wal.Disk // nil: the folder that the settings name
	clock      func() time.Time
	started    time.Time
	loop       *loop
	engine     *engine
	client     *transport.Client
	forward    func(address, method string, args, reply any, timeout time.Duration) error // calls another replica
	sender     *transport.Sender[*replica.Message]
	server     *transport.Server
	members    *membership.Node
	operator   *http.Server
	orders     *orders
	list       *workerapi.ListClient
	wall       *wallClock
	// scheduler is set while this replica is the head, schedulerActive while it holds the lease besides.
	scheduler       *scheduler.Scheduler
	schedulerActive bool
	schedulerEpoch  uint64
	schedulerWake   time.Duration
	platform        platformList
	clockAt         time.Duration
	tickedAt        time.Duration
	// overSince is when this replica, as the head, first saw each job over; forgetAt is when it looks next.
	overSince      map[state.JobID]time.Duration
	forgetAt       time.Duration
	housekeepingAt time.Duration
	config         *clusterconfig.Config
	configStale    bool // a newer one was committed since
	leaving        bool
	handover       *handover // a transfer that an operator has asked for
	counts         counts
	seenView       view.View // the newest that the log was told of
	commits        commitPauses
	left           chan struct{}
	failures       chan error
}

// Start brings a replica up: its log is read, its sockets listen.
func Start(options Options) (*Node, error) {
	n := &Node{settings: options.Settings, logger: options.Logger, invariants: options.Invariants, network: options.Network, folder: options.Disk, clock: options.Clock,
		loop: newLoop(), wall: newWallClock(), left: make(chan struct{}), failures: make(chan error, 1)}
	if n.clock == nil {
		n.clock = time.Now
	}
	n.started = n.clock()
	dial := network.DialFunc(n.network)
	n.client = transport.NewClient(transport.Options{Dial: dial})
	n.forward = n.client.Call
	n.sender = transport.NewSender[*replica.Message](n.client, chainService+".Receive", transport.SenderOptions{})
	n.orders = newOrders(n.workerConnections(), dial)
	n.list = workerapi.NewListClient(dial)
	if err := n.listen(); err != nil {
		return nil, err
	}
	if err := n.startEngine(); err != nil {
		return nil, err
	}
	n.members.Start()
	n.loop.between = n.tickCore
	go func() { _ = n.server.Serve() }()
	n.logger.Info("replica started", "address", n.self().Address, "id", n.engine.replica.Self().ID, "epoch", n.engine.view().Epoch)
	go n.loop.run(n.flush)
	return n, nil
}

// Failed gives the fault after which the process has to end.
func (n *Node) Failed() <-chan error { return n.failures }

// now is the replica's steady clock.
func (n *Node) now() time.Duration { return n.clock().Sub(n.started) }

func (n *Node) self() view.Member {
	return view.Member{Address: n.settings.InternalAddress(), Control: n.settings.Bind.ControlPlane}
}

// Reload takes in settings that were read again; what can't change in a running process counts from the next start on.
func (n *Node) Reload(settings *nodesettings.Settings) {
	n.loop.post(func() {
		for _, change := range nodesettings.Changed(n.settings, settings) {
			n.logger.Info("settings changed", "what", change)
		}
		n.settings.SeedNodes = settings.SeedNodes
		n.settings.CloudProvider = settings.CloudProvider
		n.members.SetSeeds(settings.SeedInternalAddresses())
		n.engine.step(replica.Contacts{Addresses: n.contacts()})
	})
}

// Leave hands over what this replica holds and ends it. While too few others have everything it stays, as long as its grace allows.
func (n *Node) Leave() {
	n.logger.Info("leaving")
	n.loop.post(func() {
		n.leaving = true
		if n.engine.closed {
			n.handedOver()
			return
		}
		n.engine.step(replica.Leave{})
	})
	select {
	case <-n.left:
	case <-time.After(max(leavePatience, n.settings.Bounds.GracePeriod()-leaveReserve)):
		n.logger.Warn("left without a handover")
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = n.operator.Shutdown(ctx)
	n.stop()
}

// Close ends the replica at once and hands nothing over, as a kill would; nothing of it runs any more when it returns.
func (n *Node) Close() {
	_ = n.operator.Close()
	n.stop()
	<-n.engine.disk.ended
}

// stop ends the loop, then all that it owns, then the sockets.
func (n *Node) stop() {
	n.loop.stop()
	<-n.loop.ended
	n.tellOfRecentLateJobs()
	n.engine.close()
	n.orders.close()
	n.list.Close()
	_ = n.sender.Close()
	_ = n.client.Close()
	n.members.Stop()
	_ = n.server.Close()
}

// fail ends the process for a fault that it must not go on with.
func (n *Node) fail(err error) {
	n.logger.Error("an invariant is broken, the replica ends", "error", err)
	n.dropScheduler()
	n.engine.close()
	select {
	case n.failures <- err:
	default:
	}
}

var errNoHead = errors.New("no head is known")
