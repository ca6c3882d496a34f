package main

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/console"
)

// discardPrinter discards its output.
var discardPrinter = &console.Printer{Out: io.Discard}

func parse(t *testing.T, arguments ...string) *kong.Context {
	parser, err := kong.New(&commandLine{})
	require.NoError(t, err)
	context, err := parser.Parse(arguments)
	require.NoError(t, err)
	return context
}

func writeTempFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const goodSettings = `
ip = "127.0.0.1"
ephemeralPorts = [7660,7675]
seedNodes = ["127.0.0.2:8146"]
[bindAddresses]
frontend = "127.0.0.1:8144"
readiness = "127.0.0.1:8140"
`

func TestCheckSettings(t *testing.T) {
	assert.NoError(t, parse(t, "check-settings", writeTempFile(t, goodSettings)).Run(discardPrinter))
	err := parse(t, "check-settings", writeTempFile(t, `ip = "nowhere"`)).Run(discardPrinter)
	assert.Equal(t, console.ExitFindings, console.Report(io.Discard, programName, err))
	assert.ErrorContains(t, err, "bindAddresses.frontend")
	err = parse(t, "check-settings", filepath.Join(t.TempDir(), "none")).Run(discardPrinter)
	assert.Equal(t, console.ExitFault, console.Report(io.Discard, programName, err))
}

func TestCheckConfig(t *testing.T) {
	assert.NoError(t, parse(t, "check-config", writeTempFile(t, `{"version":1}`)).Run(discardPrinter))
	err := parse(t, "check-config", writeTempFile(t, `{"version":0,"routes":[{"backend":"none"}]}`)).Run(discardPrinter)
	assert.Equal(t, console.ExitFindings, console.Report(io.Discard, programName, err))
	assert.ErrorContains(t, err, "routes[0].backend")
}

func TestRunIsTheDefault(t *testing.T) {
	t.Setenv("GAUGESLIP_NODE_FILE", "")
	assert.Equal(t, "run", parse(t).Command())
	assert.ErrorIs(t, parse(t).Run(), console.ErrNoSettings)
	assert.Equal(t, console.ExitFault, console.Report(io.Discard, programName, errors.New("any")))
}
