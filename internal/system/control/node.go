// Package control implements the control plane's program: one replica of the chain with its log on disk, the operators' API, the calls of
// the dispatchers and, while the replica is the head, the scheduler. One loop goroutine owns all state; sockets, disk and timers post
// functions to it.
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
	// A failed head is replaced after about one grant. Jobs that must start within a second cannot wait much longer. Pauses of a replica,
	// for garbage collection or lack of processor time, stay well below these durations.
	grantDuration     = 450 * time.Millisecond
	heartbeatInterval = 90 * time.Millisecond
	dropAfter         = 400 * time.Millisecond
	stallAfter        = 250 * time.Millisecond

	logName      = "replica"
	chainService = "Chain"
	// restartDelay is how long a replica whose disk failed waits before it restarts from what the disk holds.
	restartDelay = time.Second
	// leaveTimeout bounds a planned transfer.
	leaveTimeout = 1500 * time.Millisecond
	// shutdownReserve is the part of the grace period reserved for the shutdown itself.
	shutdownReserve = 2 * time.Second
	// RoleName is the role of replicas in the membership protocol.
	RoleName = "replica"
)

// Options configure a node.
type Options struct {
	Settings *nodesettings.Settings
	Logger   *log.Logger
	// Network opens connections and listeners. nil stands for the operating system's sockets.
	Network network.Network
	// Disk holds the log. nil stands for the directory named in the settings.
	Disk wal.Disk
	// Clock returns the time of day with a monotonic reading. nil stands for time.Now.
	Clock func() time.Time
	// Invariants counts violations of invariants. If it is nil, each violation panics.
	Invariants *invariant.Set
}

// Node is a running replica.
type Node struct {
	settings       *nodesettings.Settings
	logger         *log.Logger
	invariants     *invariant.Set
	invariantState invariantState
	network        network.Network
	disk           wal.Disk // nil: the directory named in the settings
	clock          func() time.Time
	started        time.Time
	loop           *loop
	engine         *engine
	client         *transport.Client
	forward        func(address, method string, args, reply any, timeout time.Duration) error // calls another replica
	sender         *transport.Sender[*replica.Message]
	server         *transport.Server
	members        *membership.Node
	operator       *http.Server
	workerCalls    *workerCalls
	listClient     *workerapi.ListClient
	wallClock      *wallClock
	// scheduler is set while this replica is the head. schedulerActive is true while the replica also holds the lease.
	scheduler       *scheduler.Scheduler
	schedulerActive bool
	schedulerEpoch  uint64
	schedulerWakeAt time.Duration
	platform        platformList
	nextClockRead   time.Duration
	lastTick        time.Duration
	// finishedSince is when this replica, as the head, first saw each job finished. nextForgetAt is when it checks next.
	finishedSince    map[state.JobID]time.Duration
	nextForgetAt     time.Duration
	nextHousekeeping time.Duration
	config           *clusterconfig.Config
	configPending    bool // a newer one was committed and is not yet in force
	leaving          bool
	handover         *pendingHandover // the transfer that an operator has requested
	counts           counts
	loggedView       view.View // the newest view that was logged
	commitPauses     commitPauses
	left             chan struct{}
	failures         chan error
}

// Start starts a replica: it opens the sockets, reads the log and runs the loop.
func Start(options Options) (*Node, error) {
	n := &Node{settings: options.Settings, logger: options.Logger, invariants: options.Invariants, network: options.Network,
		disk: options.Disk, clock: options.Clock, loop: newLoop(), wallClock: newWallClock(), left: make(chan struct{}),
		failures: make(chan error, 1)}
	if n.clock == nil {
		n.clock = time.Now
	}
	n.started = n.clock()
	dial := network.DialFunc(n.network)
	n.client = transport.NewClient(transport.Options{Dial: dial})
	n.forward = n.client.Call
	n.sender = transport.NewSender[*replica.Message](n.client, chainService+".Receive", transport.SenderOptions{})
	n.workerCalls = newWorkerCalls(n.workerConnections(), dial)
	n.listClient = workerapi.NewListClient(dial)
	if err := n.listen(); err != nil {
		return nil, err
	}
	if err := n.startEngine(); err != nil {
		return nil, err
	}
	n.members.Start()
	n.loop.afterUrgent = n.tickCore
	go func() { _ = n.server.Serve() }()
	n.logger.Info("replica started", "address", n.self().Address, "id", n.engine.replica.Self().ID, "epoch", n.engine.view().Epoch)
	go n.loop.run(n.flush)
	return n, nil
}

// Failed returns a channel that receives the fault after which the process must exit.
func (n *Node) Failed() <-chan error { return n.failures }

// now returns the time since the start of the replica, on the monotonic clock.
func (n *Node) now() time.Duration { return n.clock().Sub(n.started) }

func (n *Node) self() view.Member {
	return view.Member{Address: n.settings.InternalAddress(), Control: n.settings.Bind.ControlPlane}
}

// Reload applies settings that were read again. Changes to settings that cannot change in a running process take effect at the next start.
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

// Leave hands over the replica's place in the chain and stops the replica. While too few other members have all entries the replica stays,
// as long as its grace period allows.
func (n *Node) Leave() {
	n.logger.Info("leaving")
	n.loop.post(func() {
		n.leaving = true
		if n.engine.closed {
			n.leftChain()
			return
		}
		n.engine.step(replica.Leave{})
	})
	select {
	case <-n.left:
	case <-time.After(max(leaveTimeout, n.settings.Bounds.GracePeriod()-shutdownReserve)):
		n.logger.Warn("left without a handover")
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = n.operator.Shutdown(ctx)
	n.stop()
}

// Close stops the replica at once without a handover, as a kill would. Nothing of it runs any more when Close returns.
func (n *Node) Close() {
	_ = n.operator.Close()
	n.stop()
	<-n.engine.disk.ended
}

// stop stops the loop, then everything that it owns, then the sockets.
func (n *Node) stop() {
	n.loop.stop()
	<-n.loop.ended
	n.logUnloggedLateJobs()
	n.engine.close()
	n.workerCalls.close()
	n.listClient.Close()
	_ = n.sender.Close()
	_ = n.client.Close()
	n.members.Stop()
	_ = n.server.Close()
}

// fail reports a fault after which the process must not go on.
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
