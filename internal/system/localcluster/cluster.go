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

// Cluster is a running cluster: replicas and dispatchers as processes, hollow workers in this one.
type Cluster struct {
	options       Options
	configuration configuration
	plan          plan
	removeFolder  bool
	owner         io.Closer // of the addresses
	fleet         *fleet
	ledger        *ledger
	starter       *starter
	replicas      []*Child
	dispatchers   []*Child
	hollow        *Child // of all hollow dispatchers; nil without
	rpc           *transport.Client
	stopping      sync.Once
}

const (
	childEnvironment = "GOMAXPROCS=1" // as the machines have one core each
	endLimit         = 8 * time.Second
	viewTimeout      = 400 * time.Millisecond
	viewPause        = 100 * time.Millisecond
)

// Start brings a cluster up; its configuration isn't put yet. The caller has to Stop it.
func Start(options Options) (*Cluster, error) {
	options.withDefaults()
	if err := options.check(); err != nil {
		return nil, err
	}
	c := &Cluster{options: options, ledger: newLedger(), starter: newStarter(), rpc: transport.NewClient(transport.Options{})}
	if err := c.open(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) open() error {
	var err error
	if c.configuration, err = loadConfiguration(c.options.ConfigurationFile); err != nil {
		return err
	}
	if err := c.openFolder(); err != nil {
		return err
	}
	if c.plan.layout, c.owner, err = takeLayout(); err != nil {
		return err
	}
	c.plan.replicas, c.plan.tolerance = c.options.Replicas, c.options.tolerance()
	c.plan.memoryMb = c.options.ReplicaMemoryMb
	c.plan.files = c.options.ReplicaMaxOpenFiles
	c.plan.listRate = c.options.ListRate
	c.plan.worldRules = hollow.DefaultSettings()
	c.plan.worldRules.Seed = c.options.Seed
	c.fleet, err = newFleet(fleetOptions{
		rules:    c.plan.worldRules,
		workers:  c.options.Workers,
		services: c.configuration.services(),
		guarded:  c.configuration.guarded,
		started:  c.ledger.started,
		list:     hollow.PlatformSettings{Lag: platformLag, RatePerS: c.options.ListRate, PageSize: c.options.ListPage},
	})
	if err != nil {
		return err
	}
	c.plan.platform = c.fleet.platform
	return c.startProcesses()
}

func (c *Cluster) openFolder() error {
	c.plan.folder = c.options.Dir
	if c.plan.folder == "" {
		folder, err := os.MkdirTemp("", "gaugeslip-cluster-")
		if err != nil {
			return fmt.Errorf("folder: %w", err)
		}
		c.plan.folder, c.removeFolder = folder, true
		return nil
	}
	if err := os.MkdirAll(c.plan.folder, folderMode); err != nil {
		return fmt.Errorf("folder: %w", err)
	}
	held, err := os.ReadDir(c.plan.folder)
	if err != nil {
		return fmt.Errorf("folder: %w", err)
	}
	if len(held) > 0 {
		return fmt.Errorf("folder %s: %w", c.plan.folder, errFolderInUse)
	}
	return nil
}

func (c *Cluster) startProcesses() error {
	for i := range c.options.Replicas {
		path, err := c.plan.write(c.plan.replica(i, true))
		if err != nil {
			return err
		}
		c.replicas = append(c.replicas, c.child(replicaName(i), path, c.replicaCommand(i, path)))
	}
	for i := range c.options.Dispatchers {
		path, err := c.plan.write(c.plan.dispatcher(i))
		if err != nil {
			return err
		}
		c.dispatchers = append(c.dispatchers, c.child(dispatcherName(i), path, c.program(programDispatcher, path)))
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
		path, err := c.plan.write(c.plan.dispatcher(c.options.Dispatchers + i))
		if err != nil {
			return err
		}
		arguments = append(arguments, path)
	}
	c.hollow = c.child("hollow-dispatchers", "", func() *exec.Cmd { return exec.Command(c.options.GaugelabPath, arguments...) })
	return nil
}

func (c *Cluster) child(name, settings string, command func() *exec.Cmd) *Child {
	return &Child{Name: name, starter: c.starter, logPath: filepath.Join(c.plan.folder, name+".log"), command: func() *exec.Cmd {
		made := command()
		made.Env = append(os.Environ(), childEnvironment, nodesettings.FileVariable+"="+settings)
		return made
	}}
}

func (c *Cluster) program(name, settings string) func() *exec.Cmd {
	if c.options.Relay != "" {
		path := filepath.Join(c.options.ProgramDir, programRelayed)
		return func() *exec.Cmd { return exec.Command(path, name, c.options.Relay) }
	}
	path := filepath.Join(c.options.ProgramDir, name)
	return func() *exec.Cmd { return exec.Command(path, "run") }
}

// replicaCommand runs the replica's program, or this one in its role where a profile is wanted.
func (c *Cluster) replicaCommand(index int, settings string) func() *exec.Cmd {
	if c.options.ProfileDir == "" {
		return c.program(programReplica, settings)
	}
	prefix := filepath.Join(c.options.ProfileDir, replicaName(index))
	return func() *exec.Cmd {
		return exec.Command(c.options.GaugelabPath, "system", "process", programReplica, settings, "--profile", prefix)
	}
}

// children are all processes.
func (c *Cluster) children() []*Child {
	all := append(append([]*Child{}, c.replicas...), c.dispatchers...)
	if c.hollow != nil {
		all = append(all, c.hollow)
	}
	return all
}

// frontends are the addresses at which dispatchers take jobs, those of hollow ones too.
func (c *Cluster) frontends() []string {
	addresses := make([]string, c.options.Dispatchers+c.options.HollowDispatchers)
	for i := range addresses {
		addresses[i] = at(c.plan.layout.dispatcher(i), frontendPort)
	}
	return addresses
}

// controls are the addresses of the operator's API.
func (c *Cluster) controls() []string {
	addresses := make([]string, c.options.Replicas)
	for i := range addresses {
		addresses[i] = at(c.plan.layout.replica(i), controlPort)
	}
	return addresses
}

// errFolderInUse keeps a cluster from starting on the disks of another one.
var errFolderInUse = errors.New("it isn't empty")

var errNoView = errors.New("no replica tells of a head")

// view is the newest view that any replica tells.
func (c *Cluster) view() (view.View, error) {
	var newest view.View
	for i := range c.replicas {
		var reply internalapi.FetchReply
		address := at(c.plan.layout.replica(i), internalPort)
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

// replicaAt is the number of the replica with an internal address, -1 if it is none of ours.
func (c *Cluster) replicaAt(address string) int {
	for i := range c.replicas {
		if at(c.plan.layout.replica(i), internalPort) == address {
			return i
		}
	}
	return -1
}

// head is the number of the replica at the head of the chain, -1 while it isn't known.
func (c *Cluster) head() int {
	newest, err := c.view()
	if err != nil {
		return -1
	}
	return c.replicaAt(newest.Head().Address)
}

// configure waits until the configuration is taken and in force at every dispatcher.
func (c *Cluster) configure(ctx context.Context, clients *clients) error {
	operator := newOperator(c.controls())
	defer operator.close()
	if err := operator.replace(ctx, 0, c.configuration.body); err != nil {
		return err
	}
	route := &c.configuration.parsed.Routes[0]
	if err := clients.readyAll(ctx, route.Host, route.PathPrefix); err != nil {
		return fmt.Errorf("a dispatcher doesn't serve: %w", err)
	}
	return nil
}

// Stop ends all processes that it started, closes all listeners and removes a temporary folder. It may be called again.
func (c *Cluster) Stop() {
	c.stopping.Do(c.stop)
}

func (c *Cluster) stop() {
	_ = c.rpc.Close()
	c.end(c.children())
	c.starter.close()
	if c.fleet != nil {
		c.fleet.close()
	}
	if c.owner != nil {
		_ = c.owner.Close()
	}
	if c.removeFolder {
		_ = os.RemoveAll(c.plan.folder)
	}
}

// end ends processes, all at once. Those that write a profile are asked; there is nothing that the others could still do.
func (c *Cluster) end(children []*Child) {
	var group sync.WaitGroup
	for _, child := range children {
		group.Go(func() {
			child.thaw()
			if c.options.ProfileDir == "" {
				child.kill()
				return
			}
			child.terminate(endLimit)
		})
	}
	group.Wait()
}
