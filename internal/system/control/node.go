// Package control is the control plane's program: one replica of the chain with its log on disk, the operator's API, the calls of the
// dispatchers and, while it is the head, the scheduler. One loop goroutine owns all state; sockets, disk and timers post to it.
package control

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"gaugeslip/coord/gossip"
	"gaugeslip/coord/membership"
	"gaugeslip/coord/peersampling"
	"gaugeslip/coord/replica"
	"gaugeslip/coord/transport"
	"gaugeslip/coord/view"
	"gaugeslip/coord/wal"
	"gaugeslip/internal/system/clusterconfig"
	"gaugeslip/internal/system/internalapi"
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
	// leavePatience bounds the planned transfer at the end.
	leavePatience = 1500 * time.Millisecond
	// RoleName is how replicas call themselves among the peers.
	RoleName = "replica"
)

// Options are what a node is made of.
type Options struct {
	Settings *nodesettings.Settings
	Logger   *log.Logger
}

// Node is a running replica.
type Node struct {
	settings *nodesettings.Settings
	logger   *log.Logger
	started  time.Time
	loop     *loop
	engine   *engine
	client   *transport.Client
	sender   *transport.Sender[*replica.Message]
	server   *transport.Server
	members  *membership.Node
	operator *http.Server
	orders   *orders
	list     *workerapi.ListClient
	wall     *wallClock
	// scheduler is set while this replica is the head, schedulerActive while it holds the lease besides.
	scheduler       *scheduler.Scheduler
	schedulerActive bool
	schedulerEpoch  uint64
	schedulerWake   time.Duration
	listing         bool
	listAt          time.Duration
	listFailures    int
	clockAt         time.Duration
	tickedAt        time.Duration
	// overSince is when this replica, as the head, first saw each job over; forgetAt is when it looks next.
	overSince      map[state.JobID]time.Duration
	forgetAt       time.Duration
	housekeepingAt time.Duration
	config         *clusterconfig.Config
	configStale    bool // a newer one was committed since
	configWaiting  []func()
	configBusy     bool
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
	n := &Node{settings: options.Settings, logger: options.Logger, started: time.Now(), loop: newLoop(), wall: newWallClock(),
		left: make(chan struct{}), failures: make(chan error, 1)}
	n.client = transport.NewClient(transport.Options{})
	n.sender = transport.NewSender[*replica.Message](n.client, chainService+".Receive", transport.SenderOptions{})
	n.orders = newOrders(max(n.settings.Limits.MaxOpenFiles-reservedFiles, leastConnections))
	n.list = workerapi.NewListClient()
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
func (n *Node) now() time.Duration { return time.Since(n.started) }

func (n *Node) self() view.Member {
	return view.Member{Address: n.settings.InternalAddress(), Control: n.settings.Bind.ControlPlane}
}

func (n *Node) listen() error {
	server, err := transport.Listen(n.self().Address)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	n.server = server
	n.members = membership.New(n.client, membership.Options{
		Self:  peersampling.Peer{Address: n.self().Address, Role: RoleName, Zone: n.settings.Zone, Incarnation: uint64(time.Now().UnixNano())},
		Seeds: n.settings.SeedInternalAddresses(), RandomSeed: rand.Uint64(), Clock: n.now,
	})
	receiver := transport.NewReceiver(n.received)
	for name, service := range map[string]any{chainService: receiver, membership.ServiceName: n.members.Service(),
		internalapi.Service: &Service{node: n}} {
		if err := server.Register(name, service); err != nil {
			return fmt.Errorf("register %s: %w", name, err)
		}
	}
	return n.listenForOperator()
}

func (n *Node) listenForOperator() error {
	listener, err := net.Listen("tcp", n.settings.Bind.ControlPlane)
	if err != nil {
		return fmt.Errorf("listen for the operator: %w", err)
	}
	api := &operatorAPI{replace: n.replaceAnywhere, read: n.readAnywhere, figures: n.serveFigures}
	n.operator = &http.Server{Handler: api.handler(), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}
	go func() { _ = n.operator.Serve(listener) }()
	return nil
}

func (n *Node) received(messages []*replica.Message) {
	n.loop.postUrgent(func() {
		for _, message := range messages {
			n.engine.step(replica.Receive{Message: message})
		}
	})
}

// startEngine opens the log and makes the replica from what it holds.
func (n *Node) startEngine() error {
	if err := os.MkdirAll(n.settings.DataDir, 0o755); err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	folder, err := wal.OSDisk(n.settings.DataDir)
	if err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	file, records, err := wal.Open(folder, logName)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	engine, err := newEngine(engineOptions{config: n.replicaConfig(), log: file, records: records, now: n.now, post: n.loop.postUrgent,
		send: n.sender.Send, applied: n.applied, committed: n.counts.latency.Observe, installed: n.installed, event: n.event,
		failed: n.engineFailed, fault: n.fail, rewritten: n.logRewritten})
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	n.engine = engine
	n.tellOfDisk(len(records), file.Size())
	n.configTaken()
	n.engine.begin()
	n.engine.step(replica.Contacts{Addresses: n.contacts()})
	return nil
}

// replicaConfig names this replica; at the very first start a seed's identity is its address, so that all know the first view.
func (n *Node) replicaConfig() replica.Config {
	self := n.self()
	seeds := n.settings.SeedInternalAddresses()
	config := replica.Config{Tolerance: n.settings.FaultTolerance.Machines, Seed: rand.Uint64(), Grant: grant,
		HeartbeatEvery: heartbeatEvery, DropAfter: dropAfter, StallAfter: stallAfter}
	if n.settings.Bootstrap && slices.Contains(seeds, self.Address) {
		self.ID = view.ReplicaID(self.Address)
		config.Genesis = n.genesis()
	} else {
		self.ID = view.ReplicaID(fmt.Sprintf("%s#%016x", self.Address, rand.Uint64()))
	}
	config.Self = self
	return config
}

func (n *Node) genesis() *view.View {
	var first view.View
	for i, address := range n.settings.SeedInternalAddresses() {
		first.Voters = append(first.Voters, view.Member{ID: view.ReplicaID(address), Address: address, Control: n.settings.SeedNodes[i]})
	}
	slices.SortFunc(first.Voters, func(a, b view.Member) int { return cmp.Compare(a.ID, b.ID) })
	first.Chain = slices.Clone(first.Voters)
	return &first
}

// contacts are the replicas that this one knows of: the seeds and, among the peers, those that call themselves replicas.
func (n *Node) contacts() []string {
	addresses := n.settings.SeedInternalAddresses()
	for _, peer := range n.members.Peers() {
		if peer.Role == RoleName && !slices.Contains(addresses, peer.Address) {
			addresses = append(addresses, peer.Address)
		}
	}
	return slices.DeleteFunc(addresses, func(address string) bool { return address == n.self().Address })
}

// engineFailed takes the replica out; it comes back after a pause with what the disk holds.
func (n *Node) engineFailed(err error) {
	if n.engine == nil || n.engine.closed {
		return
	}
	n.logger.Error("replica stopped", "error", err)
	n.engine.step(replica.DiskFailed{})
	n.dropScheduler()
	n.engine.close()
	time.AfterFunc(restartPause, func() { n.loop.post(n.restartEngine) })
}

func (n *Node) restartEngine() {
	if n.leaving {
		return
	}
	if !n.engine.disk.hasEnded() {
		time.AfterFunc(restartPause, func() { n.loop.post(n.restartEngine) })
		return
	}
	if err := n.startEngine(); err != nil {
		n.logger.Error("replica doesn't start", "error", err)
		time.AfterFunc(restartPause, func() { n.loop.post(n.restartEngine) })
		return
	}
	n.logger.Info("replica started again")
}

// event takes in what the replica core tells.
func (n *Node) event(event replica.Event) {
	switch event := event.(type) {
	case replica.BecameHead:
		n.becameHead(event)
	case replica.LostHead:
		n.schedulerActive = false
		n.logger.Info("head's lease lost", append([]any{"epoch", event.Epoch}, figuresOf(event.Cause)...)...)
	case replica.ViewChanged:
		n.viewChanged(event.View, event.Cause)
	case replica.Left:
		n.handedOver()
	}
}

// handedOver ends the wait of Leave; a replica that only its disk has taken out of the chain comes back.
func (n *Node) handedOver() {
	if n.leaving {
		n.leaving = false
		close(n.left)
		return
	}
	n.handoverDone()
}

func (n *Node) becameHead(event replica.BecameHead) {
	n.logger.Info("head", "epoch", event.Epoch, "continued", event.Continued, "quiet", n.commits.quiet(n.now()))
	n.schedulerActive = true
	if event.Continued && n.scheduler != nil {
		return
	}
	n.scheduler = scheduler.New(scheduler.Options{Token: event.Epoch, Machine: n.engine.machine, Bounds: n.settings.Bounds}, n.now())
	n.schedulerEpoch = event.Epoch
	n.listAt, n.listing = 0, false
	if n.config != nil {
		n.scheduler.Configured(n.now(), n.config)
	}
}

// dropScheduler ends the scheduler role here; what its calls come to concerns nobody any more.
func (n *Node) dropScheduler() {
	n.scheduler, n.schedulerActive = nil, false
}

func (n *Node) viewChanged(newest view.View, cause replica.Cause) {
	n.counts.views++
	n.tellOfView(newest, cause)
	if newest.Head().ID != n.engine.replica.Self().ID {
		n.dropScheduler()
		n.engine.refuseQueued()
	}
	data, err := internalapi.EncodeView(newest)
	if err != nil {
		n.logger.Error("view not spread", "error", err)
		return
	}
	n.spread(internalapi.KeyView, internalapi.ViewVersion(newest), data)
}

func addresses(members []view.Member) []string {
	list := make([]string, len(members))
	for i, member := range members {
		list[i] = member.Address
	}
	return list
}

// spread gives a value to the epidemic.
func (n *Node) spread(key gossip.Key, version uint64, data []byte) {
	members := n.members
	go func() {
		if err := members.Set(gossip.Value{Key: key, Version: gossip.Version{Major: version}, Data: data}); err != nil {
			n.logger.Error("value not spread", "key", key, "error", err)
		}
	}()
}

// applied takes in a committed command.
func (n *Node) applied(result state.Result) {
	n.counts.applied(&result)
	n.commits.note(n.now())
	if result.Command.Kind == state.KindConfigReplaced && result.Outcome == state.Applied {
		n.configStale = true
	}
	n.tellOfLoss(&result)
	if n.scheduler != nil {
		n.scheduler.Applied(n.now(), result)
	}
}

// takeConfig puts the newest of the configurations in force that a batch of commits has brought; those before it are passed over.
func (n *Node) takeConfig() {
	if n.configStale {
		n.configTaken()
	}
}

// installed takes in that a snapshot took the place of the state.
func (n *Node) installed() {
	n.dropScheduler()
	n.configTaken()
}

// configTaken puts the newest committed configuration in force here and gives it to the epidemic.
func (n *Node) configTaken() {
	n.configStale = false
	current := n.engine.machine.Config()
	if current.Version == 0 {
		return
	}
	parsed, err := clusterconfig.Parse(current.Body)
	if err != nil {
		n.logger.Error("committed configuration can't be read", "version", current.Version, "error", err)
		return
	}
	n.config = parsed
	n.logger.Info("configuration in force", "version", current.Version)
	if n.scheduler != nil {
		n.scheduler.Configured(n.now(), parsed)
	}
	n.spread(internalapi.KeyConfig, current.Version, current.Body)
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

// Leave hands over what this replica holds and ends it.
func (n *Node) Leave() {
	n.logger.Info("leaving")
	n.loop.post(func() {
		n.leaving = true
		n.engine.step(replica.Leave{})
	})
	select {
	case <-n.left:
	case <-time.After(leavePatience):
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = n.operator.Shutdown(ctx)
	n.stop()
}

func (n *Node) stop() {
	n.loop.stop()
	n.orders.close()
	_ = n.sender.Close()
	_ = n.client.Close()
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

func (n *Node) logRewritten(bytes int64, took time.Duration) {
	n.logger.Info("log rewritten", "bytes", bytes, "took", took.Round(time.Millisecond))
}
