// Package nodesettings reads and checks the settings file of a process: its identity and location, its listen addresses, and the
// bounds that it has to keep.
package nodesettings

import (
	"net/netip"
	"time"

	"gaugeslip/internal/system/findings/quantity"
)

// FileVariable is the environment variable with the path of the settings file.
const FileVariable = "GAUGESLIP_NODE_FILE"

// Ways in which workers receive commands.
const (
	CommandsInvocation = "invocation"
	CommandsHeartbeat  = "heartbeat"
)

// Settings holds the values of one settings file. Unknown keys are ignored. A missing key, or one with an empty string as value,
// leaves the default. A field's tag is its key.
type Settings struct {
	NodeName     string `key:"nodeName"`
	Role         string `key:"role"`
	MachineClass string `key:"machineClass"`
	// Serves names who may call the process from outside.
	Serves []string `key:"serves"`
	IP     string   `key:"ip"`
	Zone   string   `key:"zone"`
	Region string   `key:"region"`
	// EphemeralPorts holds the first and the last port available for communication between the machines.
	EphemeralPorts []int `key:"ephemeralPorts"`
	// SeedNodes holds the control addresses of a few core machines.
	SeedNodes []string `key:"seedNodes"`
	// Bootstrap is true only on the first start of the whole system.
	Bootstrap       bool `key:"bootstrap"`
	CountsForQuorum bool `key:"countsForQuorum"`
	// DataDir is the directory on the disk; empty if there is no disk.
	DataDir             string   `key:"dataDir"`
	Discovery           string   `key:"discovery"`
	Entrypoint          string   `key:"entrypoint"`
	HeartbeatIntervalMs float64  `key:"heartbeatIntervalMs"`
	Invariants          []string `key:"invariants"`
	// Commands selects how workers receive commands.
	Commands string `key:"commands"`
	// Zones maps each zone to its region.
	Zones          map[string]string `key:"zones"`
	Bind           Bind              `key:"bindAddresses"`
	Limits         Limits            `key:"limits"`
	FaultTolerance FaultTolerance    `key:"faultTolerance"`
	Bounds         Bounds            `key:"bounds"`
	CloudProvider  CloudProvider     `key:"cloudProvider"`
}

// Bind holds the listen addresses, each as IP:PORT; empty if the role doesn't serve that address.
type Bind struct {
	Frontend     string `key:"frontend"`
	Readiness    string `key:"readiness"`
	ControlPlane string `key:"controlPlane"`
}

// Limits holds the resources that the machine grants the process.
type Limits struct {
	// CPUQuota is a share of a core.
	CPUQuota      float64 `key:"cpuQuota"`
	Cores         int     `key:"cores"`
	MemoryMb      float64 `key:"memoryMb"`
	MaxOpenFiles  int     `key:"maxOpenFiles"`
	BandwidthMbps float64 `key:"bandwidthMbps"`
	DiskMb        float64 `key:"diskMb"`
}

// FaultTolerance holds how many machines, zones and regions may be lost at once without violating a guarantee.
type FaultTolerance struct {
	Machines int `key:"machines"`
	Zones    int `key:"zones"`
	Regions  int `key:"regions"`
}

// CloudProvider describes the platform's list of workers.
type CloudProvider struct {
	// Address has the form IP:PORT.
	Address string `key:"address"`
	// RatePerS is the number of calls per second that the provider accepts from all callers together.
	RatePerS float64  `key:"ratePerS"`
	Duties   []string `key:"duties"`
	MaxLagMs float64  `key:"maxLagMs"`
}

// Defaults for values that a settings file doesn't contain.
const (
	defaultHeartbeatIntervalMs = 1000
	defaultRatePerS            = 10
	defaultMaxLagMs            = 1000
	defaultCPUQuota            = 1
	defaultMemoryMb            = 256
	defaultMaxOpenFiles        = 4096
	defaultBandwidthMbps       = 1000
)

// Default returns the settings of an empty file.
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

// HeartbeatInterval returns the time between two heartbeats.
func (s *Settings) HeartbeatInterval() time.Duration {
	return quantity.Milliseconds(s.HeartbeatIntervalMs)
}

// MaxLag returns how far the platform's list may lag behind.
func (c *CloudProvider) MaxLag() time.Duration { return quantity.Milliseconds(c.MaxLagMs) }

// InternalAddress returns the address on which this process receives calls from other machines: IP:PORT with the first of the
// ephemeral ports. It is empty if the settings don't determine it.
func (s *Settings) InternalAddress() string {
	ip, err := netip.ParseAddr(s.IP)
	if err != nil {
		return ""
	}
	return s.internalAddress(ip)
}

// SeedInternalAddresses returns the addresses on which the seeds receive calls from other machines, in the order of SeedNodes.
// All machines use the same port. Seeds with an invalid address are omitted.
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
