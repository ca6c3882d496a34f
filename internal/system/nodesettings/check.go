package nodesettings

import (
	"net/netip"

	"gaugeslip/internal/system/findings"
)

// Role is one of the system's programs.
type Role string

// Programs of the system.
const (
	RoleDataPlane    Role = "dataplane"
	RoleControlPlane Role = "controlplane"
)

// maxPort is the highest port number.
const maxPort = 1<<16 - 1

// Check reports everything that the role needs and the settings don't contain. The error holds findings.Findings.
func (s *Settings) Check(role Role) error {
	var found findings.Findings
	requireValue(&found, "ip", s.IP)
	if len(s.EphemeralPorts) == 0 {
		found.Add("ephemeralPorts", "are needed")
	}
	if len(s.SeedNodes) == 0 {
		found.Add("seedNodes", "are needed")
	}
	switch role {
	case RoleDataPlane:
		requireValue(&found, "bindAddresses.frontend", s.Bind.Frontend)
		requireValue(&found, "bindAddresses.readiness", s.Bind.Readiness)
	case RoleControlPlane:
		requireValue(&found, "bindAddresses.controlPlane", s.Bind.ControlPlane)
		requireValue(&found, "dataDir", s.DataDir)
	default:
		found.Add("", "unknown role %q", role)
	}
	return found.Err()
}

func requireValue(found *findings.Findings, key, value string) {
	if value == "" {
		found.Add(key, "is needed")
	}
}

// checkValues reports values that aren't valid addresses or ports, and clears them.
func checkValues(settings *Settings, found *findings.Findings) {
	checkIP(&settings.IP, found)
	checkAddress("bindAddresses.frontend", &settings.Bind.Frontend, found)
	checkAddress("bindAddresses.readiness", &settings.Bind.Readiness, found)
	checkAddress("bindAddresses.controlPlane", &settings.Bind.ControlPlane, found)
	checkAddress("cloudProvider.address", &settings.CloudProvider.Address, found)
	checkSeeds(settings, found)
	checkPorts(settings, found)
}

func checkIP(ip *string, found *findings.Findings) {
	if *ip == "" {
		return
	}
	if _, err := netip.ParseAddr(*ip); err != nil {
		found.Add("ip", "%q is no IP address", *ip)
		*ip = ""
	}
}

func checkAddress(key string, address *string, found *findings.Findings) {
	if *address == "" {
		return
	}
	if _, err := netip.ParseAddrPort(*address); err != nil {
		found.Add(key, "%q is no address of the form IP:PORT", *address)
		*address = ""
	}
}

func checkSeeds(settings *Settings, found *findings.Findings) {
	seeds := settings.SeedNodes[:0]
	for index, seed := range settings.SeedNodes {
		checkAddress(findings.Item("seedNodes", index, ""), &seed, found)
		if seed != "" {
			seeds = append(seeds, seed)
		}
	}
	settings.SeedNodes = seeds
}

func checkPorts(settings *Settings, found *findings.Findings) {
	ports := settings.EphemeralPorts
	if len(ports) == 0 {
		return
	}
	if len(ports) != 2 || ports[0] < 1 || ports[1] < ports[0] || ports[1] > maxPort {
		found.Add("ephemeralPorts", "%v are not a first and a last port", ports)
		settings.EphemeralPorts = nil
	}
}
