package localcluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"gaugeslip/coord/transport"
	"gaugeslip/coord/view"
	"gaugeslip/internal/system/hollow"
	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/nodesettings"
)

// Cluster is a running cluster. Replicas and dispatchers are child processes; hollow workers run in this process.
type Cluster struct {
	options       Options
	configuration configuration
	plan          plan
	removeDir     bool
	reservation   io.Closer // holds the reservation of the addresses
	fleet         *fleet
	tracker       *jobTracker
	starter       *starter
	replicas      []*Child
	dispatchers   []*Child
	hollow        *Child // runs all hollow dispatchers; nil if there are none
	rpc           *transport.Client
	stopOnce      sync.Once
}

const (
	childEnvironment = "GOMAXPROCS=1" // the simulated machines have one core each
	terminateTimeout = 8 * time.Second
	viewTimeout      = 400 * time.Millisecond
	viewPause        = 100 * time.Millisecond
)

// Start starts a cluster without sending it a configuration. The caller has to call Stop.
func Start(options Options) (*Cluster, error) {
	options.withDefaults()
	if err := options.validate(); err != nil {
		return nil, err
	}
	c := &Cluster{options: options, tracker: newJobTracker(), starter: newStarter(), rpc: transport.NewClient(transport.Options{})}
	if err := c.setUp(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) setUp() error {
	var err error
	if c.configuration, err = loadConfiguration(c.options.ConfigurationFile); err != nil {
		return err
	}
	if err := c.prepareDir(); err != nil {
		return err
	}
	if c.plan.layout, c.reservation, err = reserveLayout(); err != nil {
		return err
	}
	c.plan.replicas, c.plan.tolerance = c.options.Replicas, c.options.tolerance()
	c.plan.memoryMb = c.options.ReplicaMemoryMb
	c.plan.maxOpenFiles = c.options.ReplicaMaxOpenFiles
	c.plan.listRate = c.options.ListRate
	c.plan.worldSettings = hollow.DefaultSettings()
	c.plan.worldSettings.Seed = c.options.Seed
	c.fleet, err = newFleet(fleetOptions{
		settings:         c.plan.worldSettings,
		workers:          c.options.Workers,
		services:         c.configuration.services(),
		hasPreconditions: c.configuration.hasPreconditions,
		onStart:          c.tracker.markStarted,
		platform:         hollow.PlatformSettings{Lag: platformMaxLag, RatePerS: c.options.ListRate, PageSize: c.options.ListPage},
	})
	if err != nil {
		return err
	}
	c.plan.platformAddress = c.fleet.platformAddress
	return c.startProcesses()
}

func (c *Cluster) prepareDir() error {
	c.plan.dir = c.options.Dir
	if c.plan.dir == "" {
		dir, err := os.MkdirTemp("", "gaugeslip-cluster-")
		if err != nil {
			return fmt.Errorf("folder: %w", err)
		}
		c.plan.dir, c.removeDir = dir, true
		return nil
	}
	if err := os.MkdirAll(c.plan.dir, dirMode); err != nil {
		return fmt.Errorf("folder: %w", err)
	}
	existing, err := os.ReadDir(c.plan.dir)
	if err != nil {
		return fmt.Errorf("folder: %w", err)
	}
	if len(existing) > 0 {
		return fmt.Errorf("folder %s: %w", c.plan.dir, errDirNotEmpty)
	}
	return nil
}

func (c *Cluster) startProcesses() error {
	for i := range c.options.Replicas {
		path, err := c.plan.writeSettings(c.plan.replicaSettings(i, true))
		if err != nil {
			return err
		}
		c.replicas = append(c.replicas, c.newChild(replicaName(i), path, c.replicaCommand(i, path)))
	}
	for i := range c.options.Dispatchers {
		path, err := c.plan.writeSettings(c.plan.dispatcherSettings(i))
		if err != nil {
			return err
		}
		c.dispatchers = append(c.dispatchers, c.newChild(dispatcherName(i), path, c.programCommand(programDispatcher, path)))
	}
	if err := c.addHollowDispatchers(); err != nil {
		return err
	}
	for _, child := range c.children() {
		if err := child.start(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) addHollowDispatchers() error {
	if c.options.HollowDispatchers == 0 {
		return nil
	}
	arguments := []string{"system", "process", programDispatcher}
	for i := range c.options.HollowDispatchers {
		path, err := c.plan.writeSettings(c.plan.dispatcherSettings(c.options.Dispatchers + i))
		if err != nil {
			return err
		}
		arguments = append(arguments, path)
	}
	c.hollow = c.newChild("hollow-dispatchers", "", func() *exec.Cmd { return exec.Command(c.options.GaugelabPath, arguments...) })
	return nil
}

func (c *Cluster) newChild(name, settings string, command func() *exec.Cmd) *Child {
	return &Child{Name: name, starter: c.starter, logPath: filepath.Join(c.plan.dir, name+".log"), command: func() *exec.Cmd {
		prepared := command()
		prepared.Env = append(os.Environ(), childEnvironment, nodesettings.FileVariable+"="+settings)
		return prepared
	}}
}

func (c *Cluster) programCommand(name, settings string) func() *exec.Cmd {
	if c.options.Relay != "" {
		path := filepath.Join(c.options.ProgramDir, programRelayed)
		return func() *exec.Cmd { return exec.Command(path, name, c.options.Relay) }
	}
	path := filepath.Join(c.options.ProgramDir, name)
	return func() *exec.Cmd { return exec.Command(path, "run") }
}

// replicaCommand returns the command of a replica. If profiles are wanted, it runs the gaugelab program in the replica's role.
func (c *Cluster) replicaCommand(index int, settings string) func() *exec.Cmd {
	if c.options.ProfileDir == "" {
		return c.programCommand(programReplica, settings)
	}
	prefix := filepath.Join(c.options.ProfileDir, replicaName(index))
	return func() *exec.Cmd {
		return exec.Command(c.options.GaugelabPath, "system", "process", programReplica, settings, "--profile", prefix)
	}
}

// children returns all processes.
func (c *Cluster) children() []*Child {
	all := append(append([]*Child{}, c.replicas...), c.dispatchers...)
	if c.hollow != nil {
		all = append(all, c.hollow)
	}
	return all
}

// frontendAddresses returns the addresses at which dispatchers accept jobs, including those of hollow dispatchers.
func (c *Cluster) frontendAddresses() []string {
	addresses := make([]string, c.options.Dispatchers+c.options.HollowDispatchers)
	for i := range addresses {
		addresses[i] = hostPort(c.plan.layout.dispatcher(i), frontendPort)
	}
	return addresses
}

// controlAddresses returns the addresses of the operator's API.
func (c *Cluster) controlAddresses() []string {
	addresses := make([]string, c.options.Replicas)
	for i := range addresses {
		addresses[i] = hostPort(c.plan.layout.replica(i), controlPort)
	}
	return addresses
}

// errDirNotEmpty prevents a cluster from starting on the data of another one.
var errDirNotEmpty = errors.New("not empty")

var errNoView = errors.New("no replica reports a head")

// newestView returns the newest view that any replica reports.
func (c *Cluster) newestView() (view.View, error) {
	var newest view.View
	for i := range c.replicas {
		var reply internalapi.FetchReply
		address := hostPort(c.plan.layout.replica(i), internalPort)
		err := c.rpc.Call(address, internalapi.MethodFetch, internalapi.FetchArgs{}, &reply, viewTimeout)
		if err == nil && reply.View.Known() && (!newest.Known() || reply.View.Epoch > newest.Epoch) {
			newest = reply.View
		}
	}
	if !newest.Known() {
		return newest, errNoView
	}
	return newest, nil
}

// replicaIndex returns the index of the replica with an internal address, or -1 if it belongs to no replica of this cluster.
func (c *Cluster) replicaIndex(address string) int {
	for i := range c.replicas {
		if hostPort(c.plan.layout.replica(i), internalPort) == address {
			return i
		}
	}
	return -1
}

// headIndex returns the index of the replica at the head of the chain, or -1 while it is not known.
func (c *Cluster) headIndex() int {
	newest, err := c.newestView()
	if err != nil {
		return -1
	}
	return c.replicaIndex(newest.Head().Address)
}

// configure sends the configuration and waits until it is in force at every dispatcher.
func (c *Cluster) configure(ctx context.Context, clients *clients) error {
	operator := newOperator(c.controlAddresses())
	defer operator.close()
	if err := operator.replace(ctx, 0, c.configuration.body); err != nil {
		return err
	}
	route := &c.configuration.parsed.Routes[0]
	if err := clients.awaitAllReady(ctx, route.Host, route.PathPrefix); err != nil {
		return fmt.Errorf("a dispatcher does not serve: %w", err)
	}
	return nil
}

// Stop ends all processes, closes all listeners and removes a temporary directory. It may be called more than once.
func (c *Cluster) Stop() {
	c.stopOnce.Do(c.stop)
}

func (c *Cluster) stop() {
	_ = c.rpc.Close()
	c.endProcesses(c.children())
	c.starter.close()
	if c.fleet != nil {
		c.fleet.close()
	}
	if c.reservation != nil {
		_ = c.reservation.Close()
	}
	if c.removeDir {
		_ = os.RemoveAll(c.plan.dir)
	}
}

// endProcesses ends processes concurrently. With profiles enabled it sends SIGTERM, so that they write them. Otherwise a graceful exit
// has no purpose, and it sends SIGKILL.
func (c *Cluster) endProcesses(children []*Child) {
	var group sync.WaitGroup
	for _, child := range children {
		group.Go(func() {
			child.thaw()
			if c.options.ProfileDir == "" {
				child.kill()
				return
			}
			child.terminate(terminateTimeout)
		})
	}
	group.Wait()
}
