package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/freeport/freeporttest"
	"gaugeslip/internal/system/console"
	"gaugeslip/internal/system/dataplane"
	"gaugeslip/internal/system/internalapi"
)

// startDispatcher starts a dispatcher in this process that reaches no replica. It returns its settings file and its internal address.
func startDispatcher(t *testing.T) (file, address string) {
	port := freeporttest.Port(t)
	file = writeTempFile(t, fmt.Sprintf(`
nodeName = "edge-1"
zone = "bole"
ip = "127.0.0.1"
ephemeralPorts = [%d,%d]
seedNodes = ["127.0.0.2:%d"]
[bindAddresses]
frontend = "127.0.0.1:0"
readiness = "127.0.0.1:0"
[bounds]
gracePeriodS = 1
`, port, port, freeporttest.Port(t)))
	process, err := dataplane.Start(file, log.New(io.Discard), dataplane.Options{DrainDelay: time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, process.Stop()) })
	return file, fmt.Sprintf("127.0.0.1:%d", port)
}

func TestStatus(t *testing.T) {
	t.Setenv("GAUGESLIP_NODE_FILE", "")
	file, address := startDispatcher(t)
	for _, arguments := range [][]string{{"status", "--address", address}, {"status", "--settings", file}} {
		var out bytes.Buffer
		require.NoError(t, parse(t, arguments...).Run(&console.Printer{Out: &out}))
		for _, part := range []string{"edge-1", "bole", address, "no: it has no configuration yet", "never", "STATUS"} {
			assert.Contains(t, out.String(), part)
		}
	}
	var out bytes.Buffer
	require.NoError(t, parse(t, "status", "--address", address, "--json").Run(&console.Printer{Out: &out}))
	var overview internalapi.DispatcherOverviewReply
	require.NoError(t, json.Unmarshal(out.Bytes(), &overview))
	assert.False(t, overview.Ready)
	assert.EqualValues(t, -1, overview.CoreMs)
}

func TestStatusWithoutADispatcher(t *testing.T) {
	t.Setenv("GAUGESLIP_NODE_FILE", "")
	assert.ErrorIs(t, parse(t, "status").Run(discardPrinter), console.ErrNoAddress)
	err := parse(t, "status", "--address", fmt.Sprintf("127.0.0.1:%d", freeporttest.Port(t))).Run(discardPrinter)
	assert.ErrorContains(t, err, "check that the process runs")
	assert.Equal(t, console.ExitFault, console.Report(io.Discard, programName, err))
}

func TestVersion(t *testing.T) {
	var out strings.Builder
	require.NoError(t, parse(t, "version").Run(&console.Printer{Out: &out}, console.Program{Name: programName, Version: version}))
	assert.Contains(t, out.String(), version)
}
