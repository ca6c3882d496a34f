// Package programtest runs a program's own main in a process of its own, from the program's tests. It is for tests only.
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

// asProgram has a test binary be the program itself.
const asProgram = "GAUGESLIP_TEST_PROGRAM"

// Main is the body of a TestMain: it runs the program where a test has started this binary as that, and the tests otherwise.
func Main(m *testing.M, name string, program func()) {
	if os.Getenv(asProgram) != "" {
		os.Args = []string{name}
		program()
		return
	}
	os.Exit(m.Run())
}

// CheckSIGHUPDuringStart holds that a SIGHUP which comes while the program starts doesn't end it: it tells the program to read its settings, which
// it is about to do. The settings file is a pipe, so that the program certainly stands where it reads them.
func CheckSIGHUPDuringStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	require.NoError(t, syscall.Mkfifo(path, 0o600))
	program := exec.Command(os.Args[0])
	program.Env = append(os.Environ(), asProgram+"=1", nodesettings.FileVariable+"="+path)
	require.NoError(t, program.Start())
	settings, err := os.OpenFile(path, os.O_WRONLY, 0) // it opens once the program reads
	require.NoError(t, err)
	require.NoError(t, program.Process.Signal(syscall.SIGHUP))
	_, err = settings.WriteString("ip = \"nowhere\"\n")
	require.NoError(t, err)
	require.NoError(t, settings.Close())
	var ended *exec.ExitError
	require.ErrorAs(t, program.Wait(), &ended)
	require.Equal(t, console.ExitFindings, ended.ExitCode(), "it went on to the findings: %v", ended)
}
