// Package programtest runs a program's main function in a separate process, from the program's tests. It is for tests only.
package programtest

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/console"
	"gaugeslip/internal/system/nodesettings"
)

// runAsProgramVariable is the environment variable that makes a test binary run the program instead of the tests.
const runAsProgramVariable = "GAUGESLIP_TEST_PROGRAM"

// Main is the body of a TestMain. It runs the program if a test has started this binary as the program, and the tests otherwise.
func Main(m *testing.M, name string, program func()) {
	if os.Getenv(runAsProgramVariable) != "" {
		os.Args = []string{name}
		program()
		return
	}
	os.Exit(m.Run())
}

// CheckSIGHUPDuringStart checks that a SIGHUP during the start of the program doesn't end it. The signal asks for a reload of the settings, which
// the program is about to read anyway. The settings file is a named pipe, so that the signal certainly arrives while the program reads it.
func CheckSIGHUPDuringStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	require.NoError(t, syscall.Mkfifo(path, 0o600))
	program := exec.Command(os.Args[0])
	program.Env = append(os.Environ(), runAsProgramVariable+"=1", nodesettings.FileVariable+"="+path)
	require.NoError(t, program.Start())
	settings, err := os.OpenFile(path, os.O_WRONLY, 0) // blocks until the program opens the pipe for reading
	require.NoError(t, err)
	require.NoError(t, program.Process.Signal(syscall.SIGHUP))
	_, err = settings.WriteString("ip = \"nowhere\"\n")
	require.NoError(t, err)
	require.NoError(t, settings.Close())
	var ended *exec.ExitError
	require.ErrorAs(t, program.Wait(), &ended)
	require.Equal(t, console.ExitFindings, ended.ExitCode(), "the program must go on and report findings: %v", ended)
}
