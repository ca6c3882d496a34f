package nodesettings

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRequiredSettingsOfEachRole(t *testing.T) {
	settings, err := Parse([]byte(fullFile))
	require.NoError(t, err)
	assert.NoError(t, settings.Check(RoleDataPlane))
	assert.NoError(t, settings.Check(RoleControlPlane))
	assert.EqualError(t, settings.Check("other"), `unknown role "other"`)

	empty := Default()
	assert.EqualError(t, empty.Check(RoleDataPlane), "5 findings: ip: is needed; ephemeralPorts: are needed; seedNodes: are needed; "+
		"bindAddresses.frontend: is needed; bindAddresses.readiness: is needed")
	assert.EqualError(t, empty.Check(RoleControlPlane), "5 findings: ip: is needed; ephemeralPorts: are needed; seedNodes: are needed; "+
		"bindAddresses.controlPlane: is needed; dataDir: is needed")
}

func TestInternalAddresses(t *testing.T) {
	settings, err := Parse([]byte(fullFile))
	require.NoError(t, err)
	assert.Equal(t, "10.7.0.15:7000", settings.InternalAddress())
	assert.Equal(t, []string{"10.7.0.15:7000", "10.8.0.25:7000"}, settings.SeedInternalAddresses())
	assert.Empty(t, Default().InternalAddress())
	assert.Empty(t, Default().SeedInternalAddresses())
	assert.Empty(t, (&Settings{IP: "10.7.0.15"}).InternalAddress())
}

func TestChangedListsDifferingKeys(t *testing.T) {
	before, err := Parse([]byte(fullFile))
	require.NoError(t, err)
	after, err := Parse([]byte(fullFile))
	require.NoError(t, err)
	assert.Empty(t, Changed(before, after))
	after.Zone = "south"
	after.SeedNodes = after.SeedNodes[:1]
	after.Zones["west"] = "coast"
	after.Bounds.StopMs++
	after.CloudProvider.Duties = nil
	assert.Equal(t, []string{"zone", "seedNodes", "zones", "bounds.stop_ms", "cloudProvider.duties"}, Changed(before, after))
}

func TestMissingListEqualsEmptyList(t *testing.T) {
	before, err := Parse([]byte("serves = []"))
	require.NoError(t, err)
	assert.Empty(t, Changed(before, Default()))
}
