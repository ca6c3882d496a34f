package localcluster

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/pelletier/go-toml/v2"

	"gaugeslip/internal/system/hollow"
)

// nodeFile is the settings file of one process. Its keys are those of nodesettings.Settings.
type nodeFile struct {
	NodeName            string            `toml:"nodeName"`
	Role                string            `toml:"role"`
	MachineClass        string            `toml:"machineClass"`
	Serves              []string          `toml:"serves"`
	IP                  string            `toml:"ip"`
	Zone                string            `toml:"zone"`
	Region              string            `toml:"region"`
	EphemeralPorts      []int             `toml:"ephemeralPorts"`
	SeedNodes           []string          `toml:"seedNodes"`
	Bootstrap           bool              `toml:"bootstrap"`
	CountsForQuorum     bool              `toml:"countsForQuorum"`
	DataDir             string            `toml:"dataDir,omitempty"`
	HeartbeatIntervalMs float64           `toml:"heartbeatIntervalMs"`
	Commands            string            `toml:"commands"`
	Zones               map[string]string `toml:"zones"`
	BindAddresses       map[string]string `toml:"bindAddresses"`
	Limits              nodeLimits        `toml:"limits"`
	FaultTolerance      map[string]int    `toml:"faultTolerance"`
	Bounds              map[string]any    `toml:"bounds"`
	CloudProvider       nodePlatform      `toml:"cloudProvider"`
}

type nodeLimits struct {
	CPUQuota      float64 `toml:"cpuQuota"`
	Cores         int     `toml:"cores"`
	MemoryMb      float64 `toml:"memoryMb"`
	MaxOpenFiles  int     `toml:"maxOpenFiles"`
	BandwidthMbps float64 `toml:"bandwidthMbps"`
}

type nodePlatform struct {
	Address  string  `toml:"address"`
	RatePerS float64 `toml:"ratePerS"`
	MaxLagMs float64 `toml:"maxLagMs"`
}

// The only region, and the limits of the machines.
const (
	regionName         = "loopback"
	heartbeatMs        = 1000
	replicaCPUQuota    = 0.8
	dispatcherCPUQuota = 0.4
	replicaMemoryMb    = 280
	dispatcherMemoryMb = 284
	maxOpenFiles       = 4096
	bandwidthMbps      = 1000
	platformRatePerS   = 30
	platformMaxLag     = 800 * time.Millisecond
	platformPageSize   = 50
	statusSeconds      = 20
	gracePeriodSeconds = 6
	settingsFileMode   = 0o644
	dirMode            = 0o755
	settingsExtension  = ".toml"
)

// zoneNames are the zones. Machines and workers are assigned to them in turn.
var zoneNames = []string{"zone-a", "zone-b", "zone-c"}

func zoneOf(index int) string { return zoneNames[index%len(zoneNames)] }

// plan holds what all settings files of a cluster have in common.
type plan struct {
	layout          layout
	dir             string
	replicas        int
	tolerance       int
	platformAddress string
	listRate        float64
	worldSettings   hollow.Settings
	// memoryMb is the memory limit of a replica. 0 selects the limit of core machines.
	memoryMb float64
	// maxOpenFiles is the file descriptor limit of a replica. 0 selects the limit of core machines.
	maxOpenFiles int
}

// seeds returns the control addresses of the first replicas, three at most.
func (p *plan) seeds() []string {
	seeds := make([]string, min(p.replicas, len(zoneNames)))
	for i := range seeds {
		seeds[i] = hostPort(p.layout.replica(i), controlPort)
	}
	return seeds
}

func (p *plan) commonSettings(name, role, class string, address netip.Addr, index int) nodeFile {
	zones := make(map[string]string, len(zoneNames))
	for _, zone := range zoneNames {
		zones[zone] = regionName
	}
	return nodeFile{
		NodeName:            name,
		Role:                role,
		MachineClass:        class,
		IP:                  address.String(),
		Zone:                zoneOf(index),
		Region:              regionName,
		EphemeralPorts:      []int{internalPort, lastInternalPort},
		SeedNodes:           p.seeds(),
		HeartbeatIntervalMs: heartbeatMs,
		Commands:            "invocation",
		Zones:               zones,
		FaultTolerance:      map[string]int{"machines": p.tolerance},
		Bounds:              p.bounds(),
		CloudProvider:       nodePlatform{Address: p.platformAddress, RatePerS: p.listRate, MaxLagMs: milliseconds(platformMaxLag)},
	}
}

func (p *plan) bounds() map[string]any {
	rules := p.worldSettings
	return map[string]any{
		"maxHoldMs":    milliseconds(rules.MaxHold),
		"stop_ms":      milliseconds(rules.Stop),
		"gang_ms":      milliseconds(rules.Gang),
		"cancel_ms":    milliseconds(rules.Cancel),
		"early_ms":     milliseconds(rules.Early),
		"restore_ms":   milliseconds(rules.Restore),
		"save_s":       rules.Save.Seconds(),
		"far_x":        rules.Far,
		"status_s":     statusSeconds,
		"gracePeriodS": gracePeriodSeconds,
	}
}

func milliseconds(span time.Duration) float64 { return float64(span) / float64(time.Millisecond) }

// replicaSettings returns the settings of one replica. bootstrap is true only for the very first start.
func (p *plan) replicaSettings(index int, bootstrap bool) nodeFile {
	address := p.layout.replica(index)
	name := replicaName(index)
	file := p.commonSettings(name, "replica", "core", address, index)
	file.Serves = []string{"control"}
	file.Bootstrap = bootstrap
	file.CountsForQuorum = true
	file.DataDir = p.dataDir(index)
	file.BindAddresses = map[string]string{"controlPlane": hostPort(address, controlPort)}
	file.Limits = limits(replicaCPUQuota, replicaMemoryMb)
	if p.memoryMb > 0 {
		file.Limits.MemoryMb = p.memoryMb
	}
	if p.maxOpenFiles > 0 {
		file.Limits.MaxOpenFiles = p.maxOpenFiles
	}
	return file
}

// dispatcherSettings returns the settings of one dispatcher.
func (p *plan) dispatcherSettings(index int) nodeFile {
	address := p.layout.dispatcher(index)
	file := p.commonSettings(dispatcherName(index), "dispatcher", "edge", address, index)
	file.Serves = []string{"edge"}
	file.BindAddresses = map[string]string{
		"frontend":  hostPort(address, frontendPort),
		"readiness": hostPort(address, readinessPort),
	}
	file.Limits = limits(dispatcherCPUQuota, dispatcherMemoryMb)
	return file
}

func limits(quota, memoryMb float64) nodeLimits {
	return nodeLimits{CPUQuota: quota, Cores: 1, MemoryMb: memoryMb, MaxOpenFiles: maxOpenFiles, BandwidthMbps: bandwidthMbps}
}

func replicaName(index int) string    { return fmt.Sprintf("replica-%d", index) }
func dispatcherName(index int) string { return fmt.Sprintf("dispatcher-%d", index) }

func (p *plan) dataDir(index int) string { return filepath.Join(p.dir, replicaName(index)) }

// writeSettings writes a settings file into the cluster's directory and returns its path.
func (p *plan) writeSettings(file nodeFile) (string, error) {
	content, err := toml.Marshal(file)
	if err != nil {
		return "", fmt.Errorf("settings of %s: %w", file.NodeName, err)
	}
	path := filepath.Join(p.dir, file.NodeName+settingsExtension)
	if err := os.WriteFile(path, content, settingsFileMode); err != nil {
		return "", fmt.Errorf("settings of %s: %w", file.NodeName, err)
	}
	return path, nil
}
