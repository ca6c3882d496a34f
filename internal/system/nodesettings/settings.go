// Package nodesettings reads and checks the settings file of a process: who and where it is, what it listens on, and the
// bounds within which it has to act.
package nodesettings

import (
	"net/netip"
	"time"

	"gaugeslip/internal/system/findings/quantity"
)

// FileVariable is the environment variable that names the settings file by path.
const FileVariable = "GAUGESLIP_NODE_FILE"

// How a worker is told what to do.
const (
	CommandsInvocation = "invocation"
	CommandsHeartbeat  = "heartbeat"
)

// Settings is what one settings file says. Keys that it doesn't name are ignored; a key that is missing, or whose value is an
// empty text, leaves the default. The tag of a field is its key.
type Settings struct {
	NodeName     string `key:"nodeName"`
	Role         string `key:"role"`
	MachineClass string `key:"machineClass"`
	// Serves names who may call the process from outside.
	Serves []string `key:"serves"`
	IP     string   `key:"ip"`
	Zone   string   `key:"zone"`
	Region string   `key:"region"`
	// EphemeralPorts holds the first and the last port that are free for what the machines say to each other.
	EphemeralPorts []int `key:"ephemeralPorts"`
	// SeedNodes are the control addresses of a few core machines.
	SeedNodes []string `key:"seedNodes"`
	// Bootstrap is true only on the first start of the whole system.
	Bootstrap       bool `key:"bootstrap"`
	CountsForQuorum bool `key:"countsForQuorum"`
	// DataDir is the folder on the disk; empty where there is no disk.
	DataDir             string   `key:"dataDir"`
	Discovery           string   `key:"discovery"`
	Entrypoint          string   `key:"entrypoint"`
	HeartbeatIntervalMs float64  `key:"heartbeatIntervalMs"`
	Invariants          []string `key:"invariants"`
	// Commands says how a worker is told what to do.
	Commands string `key:"commands"`
	// Zones gives the region of each zone.
	Zones          map[string]string `key:"zones"`
	Bind           Bind              `key:"bindAddresses"`
	Limits         Limits            `key:"limits"`
	FaultTolerance FaultTolerance    `key:"faultTolerance"`
	Bounds         Bounds            `key:"bounds"`
	CloudProvider  CloudProvider     `key:"cloudProvider"`
}

// Bind holds the addresses to listen on, each IP:PORT; empty where the role doesn't serve it.
type Bind struct {
	Frontend     string `key:"frontend"`
	Readiness    string `key:"readiness"`
	ControlPlane string `key:"controlPlane"`
}

// Limits is what the machine gives the process.
type Limits struct {
	// CPUQuota is a share of a core.
	CPUQuota      float64 `key:"cpuQuota"`
	Cores         int     `key:"cores"`
	MemoryMb      float64 `key:"memoryMb"`
	MaxOpenFiles  int     `key:"maxOpenFiles"`
	BandwidthMbps float64 `key:"bandwidthMbps"`
	DiskMb        float64 `key:"diskMb"`
}

// FaultTolerance is what may be lost at once while everything holds.
type FaultTolerance struct {
	Machines int `key:"machines"`
	Zones    int `key:"zones"`
	Regions  int `key:"regions"`
}

// CloudProvider is the platform's list of workers.
type CloudProvider struct {
	// Address is IP:PORT.
	Address string `key:"address"`
	// RatePerS is how many calls a second it takes from all callers together.
	RatePerS float64  `key:"ratePerS"`
	Duties   []string `key:"duties"`
	MaxLagMs float64  `key:"maxLagMs"`
}

// What holds when a settings file doesn't say otherwise.
const (
	defaultHeartbeatIntervalMs = 1000
	defaultRatePerS            = 10
	defaultMaxLagMs            = 1000
	defaultCPUQuota            = 1
	defaultMemoryMb            = 256
	defaultMaxOpenFiles        = 4096
	defaultBandwidthMbps       = 1000
)

// Default is what an empty settings file says.
func Default() *Settings {
	return &Settings{
		HeartbeatIntervalMs: defaultHeartbeatIntervalMs,
		Commands:            CommandsInvocation,
		Limits: Limits{
			CPUQuota:      defaultCPUQuota,
			Cores:         1,
			MemoryMb:      defaultMemoryMb,
			MaxOpenFiles:  defaultMaxOpenFiles,
			BandwidthMbps: defaultBandwidthMbps,
		},
		FaultTolerance: FaultTolerance{Machines: 1},
		Bounds:         DefaultBounds(),
		CloudProvider:  CloudProvider{RatePerS: defaultRatePerS, MaxLagMs: defaultMaxLagMs},
	}
}

// HeartbeatInterval is the time between two signs of life.
func (s *Settings) HeartbeatInterval() time.Duration {
	return quantity.Milliseconds(s.HeartbeatIntervalMs)
}

// MaxLag is how far the platform's list trails.
func (c *CloudProvider) MaxLag() time.Duration { return quantity.Milliseconds(c.MaxLagMs) }

// InternalAddress is where this process takes calls of the other machines: IP:PORT with the first of the free ports. It is
// empty when the settings don't say where.
func (s *Settings) InternalAddress() string {
	ip, err := netip.ParseAddr(s.IP)
	if err != nil {
		return ""
	}
	return s.internalAddress(ip)
}

// SeedInternalAddresses is where the seeds take calls of the other machines, in the order of SeedNodes; ports are alike on
// all machines. A seed whose address can't be read is left out.
func (s *Settings) SeedInternalAddresses() []string {
	addresses := make([]string, 0, len(s.SeedNodes))
	for _, seed := range s.SeedNodes {
		address, err := netip.ParseAddrPort(seed)
		if err != nil || len(s.EphemeralPorts) == 0 {
			continue
		}
		addresses = append(addresses, s.internalAddress(address.Addr()))
	}
	return addresses
}

func (s *Settings) internalAddress(ip netip.Addr) string {
	if len(s.EphemeralPorts) == 0 {
		return ""
	}
	return netip.AddrPortFrom(ip, uint16(s.EphemeralPorts[0])).String()
}
