package simworld

import (
	"fmt"

	"github.com/stretchr/testify/require"

	"gaugeslip/coord/wal/simdisk"
	"gaugeslip/internal/system/control"
	"gaugeslip/internal/system/nodesettings"
)

const (
	controlPort  = 9000
	internalPort = 9001
)

func replicaHost(number int) string { return fmt.Sprintf("10.0.0.%d", number+1) }

func controlAddress(number int) string { return fmt.Sprintf("%s:%d", replicaHost(number), controlPort) }

func internalAddress(number int) string {
	return fmt.Sprintf("%s:%d", replicaHost(number), internalPort)
}

// replica is a replica's machine with its disk and, while it runs, its process.
type replica struct {
	world   *world
	number  int
	host    string
	disk    *simdisk.Disk
	process *process // nil while it is down
	node    *control.Node
}

func (w *world) newReplica(number int) *replica {
	return &replica{world: w, number: number, host: replicaHost(number), disk: simdisk.New(w.seed + uint64(number))}
}

func (r *replica) settings(bootstrap bool) *nodesettings.Settings {
	settings := nodesettings.Default()
	settings.NodeName = fmt.Sprintf("core-%d", r.number)
	settings.Zone = fmt.Sprintf("zone-%d", r.number)
	settings.IP = r.host
	settings.EphemeralPorts = []int{internalPort, internalPort}
	settings.SeedNodes = r.world.seeds()
	settings.Bootstrap = bootstrap
	settings.Bind.ControlPlane = controlAddress(r.number)
	settings.FaultTolerance.Machines = r.world.options.tolerance
	settings.CloudProvider.Address = platformAddress
	return settings
}

func (r *replica) start(bootstrap bool) {
	r.process = newProcess(r.world.net, r.host)
	logger := r.world.logger(fmt.Sprintf("core-%d", r.number))
	node, err := control.Start(control.Options{Settings: r.settings(bootstrap), Logger: logger, Network: r.process, Disk: r.disk.Process(),
		Clock: r.process.now})
	require.NoError(r.world.t, err, "seed %d", r.world.seed)
	r.node = node
	r.world.watchInvariants(r, node)
}

func (r *replica) up() bool { return r.node != nil }

// kill ends the process. The data written to the disk remains.
func (r *replica) kill() { r.endWith(r.disk.Restart) }

// losePower ends the process. Any part of the unsynced data is lost.
func (r *replica) losePower() { r.endWith(r.disk.PowerLoss) }

// loseDisk ends the process and replaces the disk by an empty one.
func (r *replica) loseDisk() { r.endWith(r.disk.Wipe) }

func (r *replica) endWith(end func()) {
	if !r.up() {
		return
	}
	node := r.node
	r.node = nil
	end()
	r.process.end()
	r.world.background.Go(node.Close)
}

func (r *replica) freeze() { r.process.freeze() }

// freezeAfterReadings freezes the process just before the given reading of its clock, counted from now.
func (r *replica) freezeAfterReadings(readings int) { r.process.freezeAfterReadings(readings) }

func (r *replica) thaw() { r.process.thaw() }
