package main

import (
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/coord/transport"
	"gaugeslip/internal/freeport/freeporttest"
	"gaugeslip/internal/system/console"
	"gaugeslip/internal/system/control"
	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/nodesettings"
)

const testTimeout = time.Minute

// testReplica is the only replica of a cluster, in this process, with a configuration and a job.
type testReplica struct {
	settings *nodesettings.Settings
	address  string
	node     *control.Node
}

const (
	testConfig = `{"version":3,"routes":[{"name":"barn","host":"farm.example","pathPrefix":"/barn/","type":"idempotent",` +
		`"timeoutMs":2000,"targetLatencyMs":500,"backend":"farm","maxRetries":2,"extension":2}],"services":[{"name":"farm"}]}`
	testJob = `{"stages":[{"count":3,"cpu":500,"memMb":100,"estimatedMs":200},{"count":1,"cpu":500,"memMb":100,"estimatedMs":50,` +
		`"dependsOn":[0]}]}`
	testJobID   = 0x00000000000000ab
	testJobName = "00000000000000ab"
)

func startReplica(t *testing.T) *testReplica {
	settings := nodesettings.Default()
	settings.NodeName, settings.Zone, settings.IP, settings.Bootstrap = "core-1", "bole", "127.0.0.1", true
	internal := freeporttest.Port(t)
	settings.EphemeralPorts = []int{internal, internal}
	settings.Bind.ControlPlane = net.JoinHostPort(settings.IP, strconv.Itoa(freeporttest.Port(t)))
	settings.SeedNodes = []string{settings.Bind.ControlPlane}
	settings.DataDir = filepath.Join(t.TempDir(), "data")
	settings.FaultTolerance.Machines = 0
	settings.CloudProvider.Address = servePlatformList(t)
	node, err := control.Start(control.Options{Settings: settings, Logger: log.New(io.Discard)})
	require.NoError(t, err)
	t.Cleanup(node.Leave)
	replica := &testReplica{settings: settings, address: settings.InternalAddress(), node: node}
	replica.submitConfigAndJob(t)
	return replica
}

// servePlatformList serves a platform's list with one worker, at whose address nothing listens. It returns the platform's address.
func servePlatformList(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	body := `{"instances":[{"id":"w-1","backend":"farm","address":"127.0.0.1:` + strconv.Itoa(freeporttest.Port(t)) +
		`","state":"running","allocatable":{"cpu":4000,"memMb":4096},"labels":["rack-1"]}]}`
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, body)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// submitConfigAndJob submits a configuration and a job as soon as the replica is the head.
func (r *testReplica) submitConfigAndJob(t *testing.T) {
	client := transport.NewClient(transport.Options{})
	defer client.Close()
	require.Eventually(t, func() bool {
		var replaced internalapi.ReplaceReply
		err := client.Call(r.address, internalapi.MethodReplace, internalapi.ReplaceArgs{Body: []byte(testConfig)}, &replaced, testTimeout)
		return err == nil && replaced.Verdict == internalapi.Done
	}, testTimeout, 20*time.Millisecond)
	require.Eventually(t, func() bool {
		var submitted internalapi.JobReply
		args := internalapi.SubmitArgs{ID: testJobID, Route: "barn", Body: []byte(testJob)}
		err := client.Call(r.address, internalapi.MethodSubmit, args, &submitted, testTimeout)
		return err == nil && submitted.Verdict == internalapi.Done
	}, testTimeout, 20*time.Millisecond)
}

// eventually runs a command until its output contains the wanted text. A lease may lapse for a moment on a busy machine.
func eventually(t *testing.T, wanted string, arguments ...string) string {
	var text string
	require.Eventually(t, func() bool {
		found, err := execute(t, arguments...)
		text = found
		return err == nil && strings.Contains(found, wanted)
	}, testTimeout, 20*time.Millisecond, "%v shows no %q", arguments, wanted)
	return text
}

func TestCommandsOfARunningReplica(t *testing.T) {
	t.Setenv("GAUGESLIP_NODE_FILE", "")
	replica := startReplica(t)
	at := "--address=" + replica.address

	t.Run("status", func(t *testing.T) {
		text := eventually(t, "head", "status", at)
		for _, part := range []string{"core-1", "bole", replica.address, "1 pending", "lease left", "nobody"} {
			assert.Contains(t, text, part)
		}
		var overview internalapi.OverviewReply
		mustExecuteJSON(t, &overview, "status", at)
		assert.EqualValues(t, 3, overview.ConfigVersion)
	})
	t.Run("status by a settings file", func(t *testing.T) {
		file := writeTempFile(t, "ip = \"127.0.0.1\"\nephemeralPorts = ["+strconv.Itoa(replica.settings.EphemeralPorts[0])+", 65535]\n")
		assert.Contains(t, mustExecute(t, "status", "--settings", file), "core-1")
	})
	t.Run("view", func(t *testing.T) {
		assert.Contains(t, eventually(t, "PLACE", "view", at), replica.address)
		var shown viewOutput
		mustExecuteJSON(t, &shown, "view", at)
		assert.Len(t, shown.View.Chain, 1)
	})
	t.Run("workers", func(t *testing.T) {
		assert.Contains(t, eventually(t, "w-1", "workers", at), "0/4000")
		assert.NotContains(t, eventually(t, "STEPS HELD", "workers", at, "--service=other"), "w-1")
		var list workersOutput
		mustExecuteJSON(t, &list, "workers", at)
		assert.Equal(t, 1, list.Held["farm"])
	})
	t.Run("tenants", func(t *testing.T) {
		assert.Contains(t, eventually(t, "FOR ITS SHARE", "tenants", at), "TENANT")
		var list tenantsOutput
		mustExecuteJSON(t, &list, "tenants", at)
		assert.Empty(t, list.Tenants)
	})
	t.Run("jobs", func(t *testing.T) {
		assert.Contains(t, eventually(t, testJobName, "jobs", at), "pending")
		assert.NotContains(t, eventually(t, "JOB", "jobs", at, "--state=failed"), testJobName)
		var list jobsOutput
		mustExecuteJSON(t, &list, "jobs", at, "--limit=1")
		require.Len(t, list.Jobs, 1)
		assert.Equal(t, testJobName, list.Jobs[0].ID)
	})
	t.Run("job", func(t *testing.T) {
		text := eventually(t, "waiting", "job", testJobName, at)
		assert.Contains(t, text, "waits for the end of step 0")
		assert.Contains(t, text, "DEADLINE")
		var detail jobDetailOutput
		mustExecuteJSON(t, &detail, "job", testJobName, at)
		assert.Len(t, detail.Tasks, 4)
	})
	t.Run("why", func(t *testing.T) {
		text := eventually(t, "no worker that answers", "why", testJobName, at)
		assert.Contains(t, text, "waits for the end of step 0")
		var detail jobDetailOutput
		mustExecuteJSON(t, &detail, "why", testJobName, at)
		assert.Len(t, detail.Tasks, 4)
	})
	t.Run("handover of the only replica", func(t *testing.T) {
		require.Eventually(t, func() bool {
			_, err := execute(t, "handover", at)
			return err != nil && strings.Contains(err.Error(), "too few are left")
		}, testTimeout, 20*time.Millisecond)
	})
	t.Run("log of a running replica", func(t *testing.T) {
		text := mustExecute(t, "log", "inspect", replica.settings.DataDir)
		for _, part := range []string{"config-replaced", "version 3", "job-accepted", testJobName, "identity"} {
			assert.Contains(t, text, part)
		}
		assert.NotContains(t, mustExecute(t, "log", "inspect", replica.settings.DataDir, "--limit=1"), "identity")
		assert.Contains(t, mustExecute(t, "log", "check", replica.settings.DataDir), "hold")
	})
}

func TestInvalidArguments(t *testing.T) {
	replica := startReplica(t)
	at := "--address=" + replica.address
	for _, command := range []string{"job", "why"} {
		_, err := execute(t, command, "short", at)
		assert.ErrorContains(t, err, "16 hex digits")
		require.Eventually(t, func() bool {
			_, err := execute(t, command, "00000000000000ff", at)
			return err != nil && strings.Contains(err.Error(), "there is no job")
		}, testTimeout, 20*time.Millisecond)
	}
	_, err := execute(t, "jobs", at, "--limit=0")
	assert.ErrorContains(t, err, "--limit")
	_, err = execute(t, "jobs", at, "--state=odd")
	assert.ErrorContains(t, err, "--state")
}

func TestCommandsWithoutAReplica(t *testing.T) {
	t.Setenv("GAUGESLIP_NODE_FILE", "")
	nowhere := "--address=127.0.0.1:" + strconv.Itoa(freeporttest.Port(t))
	for _, command := range [][]string{{"status"}, {"view"}, {"workers"}, {"tenants"}, {"jobs"}, {"job", testJobName}, {"why", testJobName}, {"handover"}} {
		_, err := execute(t, append(command, nowhere)...)
		assert.ErrorContains(t, err, "check that the process runs", command)
		assert.Equal(t, console.ExitFault, exitCode(err))
		_, err = execute(t, command...)
		assert.ErrorIs(t, err, console.ErrNoAddress, command)
	}
}
