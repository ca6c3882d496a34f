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
	return &plan{layout: layout{network: 90}, folder: t.TempDir(), replicas: 5, tolerance: 2, platform: "127.0.0.1:9",
		worldRules: hollow.DefaultSettings()}
}

// load writes a settings file and reads it as the programs do.
func load(t *testing.T, plan *plan, file nodeFile, role nodesettings.Role) *nodesettings.Settings {
	t.Helper()
	path, err := plan.write(file)
	require.NoError(t, err)
	settings, err := nodesettings.Load(path)
	require.NoError(t, err)
	require.NoError(t, settings.Check(role))
	return settings
}

func TestReplicaSettingsAreReadAsTheyWereMeant(t *testing.T) {
	plan := testPlan(t)
	settings := load(t, plan, plan.replica(1, true), nodesettings.RoleControlPlane)
	require.Equal(t, "replica-1", settings.NodeName)
	require.Equal(t, "127.90.1.2:7660", settings.InternalAddress())
	require.Equal(t, "127.90.1.2:8146", settings.Bind.ControlPlane)
	require.Equal(t, []string{"127.90.1.1:7660", "127.90.1.2:7660", "127.90.1.3:7660"}, settings.SeedInternalAddresses())
	require.True(t, settings.Bootstrap)
	require.Equal(t, plan.dataFolder(1), settings.DataDir)
	require.Equal(t, 2, settings.FaultTolerance.Machines)
	require.Equal(t, plan.platform, settings.CloudProvider.Address)
	require.Equal(t, platformLag, settings.CloudProvider.MaxLag())
	require.InDelta(t, replicaMemoryMb, settings.Limits.MemoryMb, 0)

	require.False(t, load(t, plan, plan.replica(1, false), nodesettings.RoleControlPlane).Bootstrap)
	plan.memoryMb = 512
	plan.files = 9000
	require.Equal(t, 9000, load(t, plan, plan.replica(1, false), nodesettings.RoleControlPlane).Limits.MaxOpenFiles)
	require.InDelta(t, 512, load(t, plan, plan.replica(1, false), nodesettings.RoleControlPlane).Limits.MemoryMb, 0)
}

func TestDispatcherSettingsAreReadAsTheyWereMeant(t *testing.T) {
	plan := testPlan(t)
	settings := load(t, plan, plan.dispatcher(0), nodesettings.RoleDataPlane)
	require.Equal(t, "127.90.2.1:8144", settings.Bind.Frontend)
	require.Equal(t, "127.90.2.1:8140", settings.Bind.Readiness)
	require.Empty(t, settings.DataDir)
	require.Equal(t, []string{"edge"}, settings.Serves)
	require.Equal(t, "zone-a", settings.Zone)
}

func TestBoundsAreThoseOfTheWorld(t *testing.T) {
	plan := testPlan(t)
	plan.worldRules.MaxHold = 7 * time.Second
	plan.worldRules.Save = 1500 * time.Millisecond
	bounds := load(t, plan, plan.replica(0, true), nodesettings.RoleControlPlane).Bounds
	require.Equal(t, plan.worldRules.MaxHold, bounds.MaxHold())
	require.Equal(t, plan.worldRules.Stop, bounds.Stop())
	require.Equal(t, plan.worldRules.Gang, bounds.Gang())
	require.Equal(t, plan.worldRules.Cancel, bounds.Cancel())
	require.Equal(t, plan.worldRules.Save, bounds.Save())
	require.Equal(t, plan.worldRules.Restore, bounds.Restore())
	require.InDelta(t, plan.worldRules.Far, bounds.Far(), 0)
}

func TestAddressesDiffer(t *testing.T) {
	plan := testPlan(t)
	seen := make(map[netip.Addr]bool)
	add := func(address netip.Addr) {
		require.True(t, address.IsLoopback())
		require.False(t, seen[address], "%v", address)
		seen[address] = true
	}
	for i := range mostReplicas {
		add(plan.layout.replica(i))
	}
	for i := range 2 * machinesASub {
		add(plan.layout.dispatcher(i))
	}
}
