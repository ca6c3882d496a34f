package localcluster

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/hollow"
	"gaugeslip/internal/system/nodesettings"
)

func testPlan(t *testing.T) *plan {
	return &plan{layout: layout{network: 90}, dir: t.TempDir(), replicas: 5, tolerance: 2, platformAddress: "127.0.0.1:9",
		worldSettings: hollow.DefaultSettings()}
}

// loadSettings writes a settings file and reads it as the programs do.
func loadSettings(t *testing.T, plan *plan, file nodeFile, role nodesettings.Role) *nodesettings.Settings {
	t.Helper()
	path, err := plan.writeSettings(file)
	require.NoError(t, err)
	settings, err := nodesettings.Load(path)
	require.NoError(t, err)
	require.NoError(t, settings.Check(role))
	return settings
}

func TestReplicaSettingsRoundTrip(t *testing.T) {
	plan := testPlan(t)
	settings := loadSettings(t, plan, plan.replicaSettings(1, true), nodesettings.RoleControlPlane)
	require.Equal(t, "replica-1", settings.NodeName)
	require.Equal(t, "127.90.1.2:7660", settings.InternalAddress())
	require.Equal(t, "127.90.1.2:8146", settings.Bind.ControlPlane)
	require.Equal(t, []string{"127.90.1.1:7660", "127.90.1.2:7660", "127.90.1.3:7660"}, settings.SeedInternalAddresses())
	require.True(t, settings.Bootstrap)
	require.Equal(t, plan.dataDir(1), settings.DataDir)
	require.Equal(t, 2, settings.FaultTolerance.Machines)
	require.Equal(t, plan.platformAddress, settings.CloudProvider.Address)
	require.Equal(t, platformMaxLag, settings.CloudProvider.MaxLag())
	require.InDelta(t, replicaMemoryMb, settings.Limits.MemoryMb, 0)

	require.False(t, loadSettings(t, plan, plan.replicaSettings(1, false), nodesettings.RoleControlPlane).Bootstrap)
	plan.memoryMb = 512
	plan.maxOpenFiles = 9000
	require.Equal(t, 9000, loadSettings(t, plan, plan.replicaSettings(1, false), nodesettings.RoleControlPlane).Limits.MaxOpenFiles)
	require.InDelta(t, 512, loadSettings(t, plan, plan.replicaSettings(1, false), nodesettings.RoleControlPlane).Limits.MemoryMb, 0)
}

func TestDispatcherSettingsRoundTrip(t *testing.T) {
	plan := testPlan(t)
	settings := loadSettings(t, plan, plan.dispatcherSettings(0), nodesettings.RoleDataPlane)
	require.Equal(t, "127.90.2.1:8144", settings.Bind.Frontend)
	require.Equal(t, "127.90.2.1:8140", settings.Bind.Readiness)
	require.Empty(t, settings.DataDir)
	require.Equal(t, []string{"edge"}, settings.Serves)
	require.Equal(t, "zone-a", settings.Zone)
}

func TestBoundsMatchWorldSettings(t *testing.T) {
	plan := testPlan(t)
	plan.worldSettings.MaxHold = 7 * time.Second
	plan.worldSettings.Save = 1500 * time.Millisecond
	bounds := loadSettings(t, plan, plan.replicaSettings(0, true), nodesettings.RoleControlPlane).Bounds
	require.Equal(t, plan.worldSettings.MaxHold, bounds.MaxHold())
	require.Equal(t, plan.worldSettings.Stop, bounds.Stop())
	require.Equal(t, plan.worldSettings.Gang, bounds.Gang())
	require.Equal(t, plan.worldSettings.Cancel, bounds.Cancel())
	require.Equal(t, plan.worldSettings.Save, bounds.Save())
	require.Equal(t, plan.worldSettings.Restore, bounds.Restore())
	require.InDelta(t, plan.worldSettings.Far, bounds.Far(), 0)
}

func TestAddressesAreUnique(t *testing.T) {
	plan := testPlan(t)
	seen := make(map[netip.Addr]bool)
	add := func(address netip.Addr) {
		require.True(t, address.IsLoopback())
		require.False(t, seen[address], "%v", address)
		seen[address] = true
	}
	for i := range maxReplicas {
		add(plan.layout.replica(i))
	}
	for i := range 2 * hostsPerSubnet {
		add(plan.layout.dispatcher(i))
	}
}
