package nodesettings

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gaugeslip/internal/system/findings"
)

const fullFile = `
nodeName = "core-north-2"
role = "replica"
machineClass = "core"
serves = ["control"]
ip = "10.7.0.15"
zone = "north"
region = "coast"
ephemeralPorts = [7000, 7015.0]
seedNodes = ["10.7.0.15:9100", "10.8.0.25:9100"]
bootstrap = true
countsForQuorum = true
dataDir = "/data/replica"
discovery = "list"
entrypoint = "door"
heartbeatIntervalMs = 1250.5
invariants = ["base", "cost"]
commands = "heartbeat"
unknown = {a = [1, 2]}
[zones]
north = "coast"
south = "coast"
[bindAddresses]
frontend = "10.7.0.15:9101"
readiness = "10.7.0.15:9102"
controlPlane = "10.7.0.15:9100"
[limits]
cpuQuota = 0.6
cores = 2
memoryMb = 300
maxOpenFiles = 5000
bandwidthMbps = 2.5
diskMb = 64
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 1.5
addressReuseS = 2.5
contactMs = 3500
ackTimeoutMs = 4500
catchUpS = 5.5
drainTimeoutMs = 6500
gracePeriodS = 7.5
lossSlackMs = 850
configApplyMs = 950
downgradeSlackMs = 150
maxSkewMs = 1150
recoveryS = 12.5
maxHoldMs = 1350
stop_ms = 145
gang_ms = 1550
cancel_ms = 1650
visible_ms = 1750
early_ms = 185
finish_s = 19.5
status_s = 20
far_x = 2.25
save_s = 0.25
restore_ms = 230
someBound = true
[cloudProvider]
address = "10.9.0.4:9103"
ratePerS = 17.5
duties = ["cold"]
maxLagMs = 900
`

func TestEverySettingIsRead(t *testing.T) {
	settings, err := Parse([]byte(fullFile))
	require.NoError(t, err)
	assert.Equal(t, "core-north-2", settings.NodeName)
	assert.Equal(t, "replica", settings.Role)
	assert.Equal(t, "core", settings.MachineClass)
	assert.Equal(t, []string{"control"}, settings.Serves)
	assert.Equal(t, "10.7.0.15", settings.IP)
	assert.Equal(t, "north", settings.Zone)
	assert.Equal(t, "coast", settings.Region)
	assert.Equal(t, []int{7000, 7015}, settings.EphemeralPorts)
	assert.Equal(t, []string{"10.7.0.15:9100", "10.8.0.25:9100"}, settings.SeedNodes)
	assert.True(t, settings.Bootstrap)
	assert.True(t, settings.CountsForQuorum)
	assert.Equal(t, "/data/replica", settings.DataDir)
	assert.Equal(t, "list", settings.Discovery)
	assert.Equal(t, "door", settings.Entrypoint)
	assert.Equal(t, 1250500*time.Microsecond, settings.HeartbeatInterval())
	assert.Equal(t, []string{"base", "cost"}, settings.Invariants)
	assert.Equal(t, CommandsHeartbeat, settings.Commands)
	assert.Equal(t, map[string]string{"north": "coast", "south": "coast"}, settings.Zones)
	assert.Equal(t, Bind{Frontend: "10.7.0.15:9101", Readiness: "10.7.0.15:9102", ControlPlane: "10.7.0.15:9100"}, settings.Bind)
	assert.Equal(t, Limits{CPUQuota: 0.6, Cores: 2, MemoryMb: 300, MaxOpenFiles: 5000, BandwidthMbps: 2.5, DiskMb: 64}, settings.Limits)
	assert.Equal(t, FaultTolerance{Machines: 2, Zones: 1}, settings.FaultTolerance)
	assert.Equal(t, "10.9.0.4:9103", settings.CloudProvider.Address)
	assert.Equal(t, 17.5, settings.CloudProvider.RatePerS)
	assert.Equal(t, []string{"cold"}, settings.CloudProvider.Duties)
	assert.Equal(t, 900*time.Millisecond, settings.CloudProvider.MaxLag())
}

func TestEveryBoundAsDuration(t *testing.T) {
	settings, err := Parse([]byte(fullFile))
	require.NoError(t, err)
	bounds := &settings.Bounds
	assert.Equal(t, []time.Duration{
		1500e6, 2500e6, 3500e6, 4500e6, 5500e6, 6500e6, 7500e6, 850e6, 950e6, 150e6, 1150e6, 12500e6, 1350e6, 145e6, 1550e6, 1650e6,
		1750e6, 185e6, 19500e6, 20e9, 250e6, 230e6,
	}, []time.Duration{
		bounds.SeedLag(), bounds.AddressReuse(), bounds.Contact(), bounds.AckTimeout(), bounds.CatchUp(), bounds.DrainTimeout(),
		bounds.GracePeriod(), bounds.LossSlack(), bounds.ConfigApply(), bounds.DowngradeSlack(), bounds.MaxSkew(), bounds.Recovery(),
		bounds.MaxHold(), bounds.Stop(), bounds.Gang(), bounds.Cancel(), bounds.Visible(), bounds.Early(), bounds.Finish(),
		bounds.Status(), bounds.Save(), bounds.Restore(),
	})
	assert.Equal(t, 2.25, bounds.Far())
	assert.Equal(t, 1.0, (&Bounds{FarX: 0.5}).Far())
}

func TestMissingOrEmptyValuesUseDefaults(t *testing.T) {
	for _, data := range []string{
		"",
		"discovery = ''\nheartbeatIntervalMs = ''\nephemeralPorts = ''\nzones = ''\nlimits = ''\n[bounds]\nmaxHoldMs = ''\n[cloudProvider]\nratePerS = ''",
	} {
		settings, err := Parse([]byte(data))
		require.NoError(t, err, data)
		assert.Equal(t, Default(), settings, data)
	}
}

func TestEveryBoundHasPositiveDefault(t *testing.T) {
	bounds := reflect.ValueOf(DefaultBounds())
	for index := range bounds.NumField() {
		assert.Positive(t, bounds.Field(index).Float(), bounds.Type().Field(index).Name)
	}
}

func TestEveryFieldHasUniqueKey(t *testing.T) {
	var visit func(kind reflect.Type)
	visit = func(kind reflect.Type) {
		seen := map[string]bool{}
		for index := range kind.NumField() {
			field := kind.Field(index)
			key := field.Tag.Get(keyTag)
			assert.NotEmpty(t, key, field.Name)
			assert.False(t, seen[key], key)
			seen[key] = true
			if field.Type.Kind() == reflect.Struct {
				visit(field.Type)
			}
		}
	}
	visit(reflect.TypeFor[Settings]())
}

func TestEveryFinding(t *testing.T) {
	for name, test := range map[string]struct{ data, finding string }{
		"text":            {`zone = 7`, "zone: 7 is not a text"},
		"truth":           {`bootstrap = "yes"`, "bootstrap: yes is neither true nor false"},
		"figure":          {`heartbeatIntervalMs = "soon"`, "heartbeatIntervalMs: soon is not a number"},
		"negative":        {`heartbeatIntervalMs = -1`, "heartbeatIntervalMs: -1 is negative or no number"},
		"no number":       {`heartbeatIntervalMs = nan`, "heartbeatIntervalMs: NaN is negative or no number"},
		"whole":           {"[faultTolerance]\nmachines = 1.5", "faultTolerance.machines: 1.5 is not a whole number"},
		"bound":           {"[bounds]\nmaxHoldMs = true", "bounds.maxHoldMs: true is not a number"},
		"list":            {`seedNodes = "10.0.0.1:1"`, "seedNodes: 10.0.0.1:1 is not a list"},
		"item":            {`invariants = ["a", 7]`, "invariants[1]: 7 is not a text"},
		"table":           {`limits = 7`, "limits: 7 is not a table"},
		"table of texts":  {`zones = 7`, "zones: 7 is not a table"},
		"text in a table": {"[zones]\na = 7", "zones.a: 7 is not a text"},
		"ip":              {`ip = "here"`, `ip: "here" is no IP address`},
		"address":         {"[bindAddresses]\nfrontend = \"10.0.0.1\"", `bindAddresses.frontend: "10.0.0.1" is no address of the form IP:PORT`},
		"readiness":       {"[bindAddresses]\nreadiness = \"x:1\"", `bindAddresses.readiness: "x:1" is no address of the form IP:PORT`},
		"control":         {"[bindAddresses]\ncontrolPlane = \"10.0.0.1:70000\"", `bindAddresses.controlPlane: "10.0.0.1:70000" is no address of the form IP:PORT`},
		"list of workers": {"[cloudProvider]\naddress = \"x\"", `cloudProvider.address: "x" is no address of the form IP:PORT`},
		"seed":            {`seedNodes = ["10.0.0.1:1", "x"]`, `seedNodes[1]: "x" is no address of the form IP:PORT`},
		"one port":        {`ephemeralPorts = [7000]`, "ephemeralPorts: [7000] are not a first and a last port"},
		"ports reversed":  {`ephemeralPorts = [7001, 7000]`, "ephemeralPorts: [7001 7000] are not a first and a last port"},
		"port too high":   {`ephemeralPorts = [7001, 70000]`, "ephemeralPorts: [7001 70000] are not a first and a last port"},
		"port 0":          {`ephemeralPorts = [0, 7]`, "ephemeralPorts: [0 7] are not a first and a last port"},
	} {
		t.Run(name, func(t *testing.T) {
			settings, err := Parse([]byte(test.data))
			assert.NotNil(t, settings)
			var found findings.Findings
			require.True(t, errors.As(err, &found), "%v", err)
			assert.EqualError(t, found, test.finding)
		})
	}
}

func TestSettingsAreReturnedWithFindings(t *testing.T) {
	settings, err := Parse([]byte("zone = 'north'\nip = 'x'\nseedNodes = ['x', '10.0.0.1:1']\n[bounds]\nmaxHoldMs = false"))
	var found findings.Findings
	require.True(t, errors.As(err, &found))
	assert.Len(t, found, 3)
	assert.Equal(t, "north", settings.Zone)
	assert.Empty(t, settings.IP)
	assert.Equal(t, []string{"10.0.0.1:1"}, settings.SeedNodes)
	assert.Equal(t, DefaultBounds().MaxHoldMs, settings.Bounds.MaxHoldMs)
}

func TestInvalidTOMLIsReportedWithLine(t *testing.T) {
	settings, err := Parse([]byte("zone = 'a'\nregion ='b\n"))
	assert.Nil(t, settings)
	var found findings.Findings
	require.True(t, errors.As(err, &found))
	require.Len(t, found, 1)
	assert.Contains(t, found[0].Place, "line 2")
}

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	require.NoError(t, os.WriteFile(path, []byte(fullFile), 0o600))
	settings, err := Load(path)
	require.NoError(t, err)
	assert.Equal(t, "north", settings.Zone)

	t.Setenv(FileVariable, path)
	same, err := LoadFromEnvironment()
	require.NoError(t, err)
	assert.Equal(t, settings, same)
}

func TestLoadFails(t *testing.T) {
	dir := t.TempDir()
	_, err := Load(filepath.Join(dir, "none.toml"))
	assert.ErrorIs(t, err, os.ErrNotExist)

	path := filepath.Join(dir, "node.toml")
	require.NoError(t, os.WriteFile(path, []byte("zone = 7"), 0o600))
	_, err = Load(path)
	var found findings.Findings
	assert.True(t, errors.As(err, &found))
	assert.ErrorContains(t, err, path)

	t.Setenv(FileVariable, "")
	_, err = LoadFromEnvironment()
	assert.ErrorContains(t, err, FileVariable)
}

func TestRandomBytesNeverPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkParse(t, rapid.SliceOf(rapid.Byte()).Draw(t, "data"))
	})
}

func TestDamagedFilesNeverPanic(t *testing.T) {
	const rounds = 3000
	random := rand.New(rand.NewPCG(7, 8))
	lines := strings.Split(fullFile, "\n")
	values := []string{"1", "-2.5", "true", "''", "'x'", "[]", "[1, 'a']", "{a = 1}", "inf", "nan", "1979-05-27", "="}
	for range rounds {
		damaged := append([]string(nil), lines...)
		for range 1 + random.IntN(6) {
			at := random.IntN(len(damaged))
			key, _, assigned := strings.Cut(damaged[at], "=")
			if assigned {
				damaged[at] = key + "= " + values[random.IntN(len(values))]
			}
		}
		checkParse(t, []byte(strings.Join(damaged, "\n")))
	}
}

// checkParse checks what must hold for every file: Parse returns an error or usable settings.
func checkParse(t require.TestingT, data []byte) {
	settings, err := Parse(data)
	if settings == nil {
		require.Error(t, err)
		return
	}
	require.GreaterOrEqual(t, settings.Bounds.MaxHold(), time.Duration(0))
	require.NotPanics(t, func() {
		settings.InternalAddress()
		settings.SeedInternalAddresses()
		_ = settings.Check(RoleDataPlane)
		_ = settings.Check(RoleControlPlane)
		Changed(settings, Default())
	})
}
