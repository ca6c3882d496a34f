package main

import (
	"bytes"
	"encoding/json"
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

// execute runs one command line and returns its output.
func execute(t *testing.T, arguments ...string) (string, error) {
	parser, err := kong.New(&commandLine{}, kong.Name(programName), kong.Writers(io.Discard, io.Discard))
	require.NoError(t, err)
	context, err := parser.Parse(arguments)
	if err != nil {
		return "", err
	}
	var out bytes.Buffer
	err = context.Run(&console.Printer{Out: &out}, console.Program{Name: programName, Version: version})
	return out.String(), err
}

// mustExecute runs a command that must succeed and returns its output.
func mustExecute(t *testing.T, arguments ...string) string {
	text, err := execute(t, arguments...)
	require.NoError(t, err)
	return text
}

// mustExecuteJSON runs a command with --json and decodes its output.
func mustExecuteJSON(t *testing.T, into any, arguments ...string) {
	require.NoError(t, json.Unmarshal([]byte(mustExecute(t, append(arguments, "--json")...)), into))
}

func exitCode(err error) int { return console.Report(io.Discard, programName, err) }

func writeTempFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const goodSettings = `
ip = "127.0.0.1"
ephemeralPorts = [7660,7675]
seedNodes = ["127.0.0.2:8146"]
dataDir = "/var/lib/gaugeslip"
[bindAddresses]
controlPlane = "127.0.0.1:8146"
`

func TestCheckSettings(t *testing.T) {
	t.Setenv("GAUGESLIP_NODE_FILE", "")
	mustExecute(t, "check-settings", writeTempFile(t, goodSettings))
	_, err := execute(t, "check-settings", writeTempFile(t, `ip = "nowhere"`))
	assert.Equal(t, console.ExitFindings, exitCode(err))
	_, err = execute(t, "check-settings", writeTempFile(t, `ip = "127.0.0.1"`))
	assert.Equal(t, console.ExitFindings, exitCode(err))
	assert.ErrorContains(t, err, "dataDir")
	assert.ErrorContains(t, err, "seedNodes")
	_, err = execute(t, "check-settings", filepath.Join(t.TempDir(), "none"))
	assert.Equal(t, console.ExitFault, exitCode(err))
	_, err = execute(t, "check-settings")
	assert.ErrorIs(t, err, console.ErrNoSettings)
}

func TestCheckConfig(t *testing.T) {
	mustExecute(t, "check-config", writeTempFile(t, `{"version":1}`))
	_, err := execute(t, "check-config", writeTempFile(t, `{"version":0,"routes":[{"backend":"none"}]}`))
	assert.Equal(t, console.ExitFindings, exitCode(err))
	assert.ErrorContains(t, err, "routes[0].backend")
	_, err = execute(t, "check-config", filepath.Join(t.TempDir(), "none"))
	assert.Equal(t, console.ExitFault, exitCode(err))
}

func TestRunIsTheDefaultAndNeedsSettings(t *testing.T) {
	t.Setenv("GAUGESLIP_NODE_FILE", "")
	_, err := execute(t)
	assert.ErrorIs(t, err, console.ErrNoSettings)
	_, err = execute(t, "run", "--settings", writeTempFile(t, `ip = "127.0.0.1"`))
	assert.Equal(t, console.ExitFindings, exitCode(err))
}

func TestVersion(t *testing.T) {
	assert.Contains(t, mustExecute(t, "version"), version)
	_, err := execute(t, "version", "--none")
	assert.Error(t, err)
}

func TestEachFindingIsReportedOnItsOwnLine(t *testing.T) {
	_, err := execute(t, "check-config", writeTempFile(t, `{"version":0,"routes":[{"backend":"none"}]}`))
	var out bytes.Buffer
	console.Report(&out, programName, err)
	assert.Greater(t, bytes.Count(out.Bytes(), []byte("\n")), 1)
	out.Reset()
	console.Report(&out, programName, errors.New("any"))
	assert.Equal(t, programName+": any\n", out.String())
}
