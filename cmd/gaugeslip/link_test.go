package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The platform may preload a library into the dispatcher, which needs a program that is linked dynamically against
// the C library. GAUGESLIP_NEED_CC, which .ci/run sets, makes a missing C compiler a failure.
func TestDeployedProgramIsLinkedDynamically(t *testing.T) {
	out, err := exec.Command("go", "env", "CC").Output()
	require.NoError(t, err)
	cc, _, _ := strings.Cut(strings.TrimSpace(string(out)), " ")
	if _, err := exec.LookPath(cc); err != nil {
		if os.Getenv("GAUGESLIP_NEED_CC") != "" {
			t.Fatalf("no C compiler, which the deployed build needs: %v", err)
		}
		t.Skipf("no C compiler: %v", err)
	}
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	require.NoError(t, err)
	flags := regexp.MustCompile(`(?m)^build = ".*go build (.*) -o bin/ \./cmd/\.\.\."$`).FindSubmatch(deploy)
	require.NotNil(t, flags, "the build line of deploy/balancer.toml")
	program := filepath.Join(t.TempDir(), "gaugeslip")
	build := exec.Command("go", append(append([]string{"build"}, strings.Fields(string(flags[1]))...), "-o", program, ".")...)
	text, err := build.CombinedOutput()
	require.NoError(t, err, string(text))
	f, err := elf.Open(program)
	require.NoError(t, err)
	defer f.Close()
	assert.NotNil(t, f.Section(".interp"), "no interpreter: a static program")
	libs, err := f.ImportedLibraries()
	require.NoError(t, err)
	assert.Contains(t, strings.Join(libs, " "), "libc.so")
	assert.Regexp(t, `(?m)^run = ".*exec bin/gaugeslip serve"$`, string(deploy), "run ends in one process")
}

// The dispatcher has to start in 32 MB, so it links nothing of the model, the rig or the plots.
func TestDispatcherLinksNoLab(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	require.NoError(t, err)
	for _, p := range strings.Fields(string(out)) {
		assert.NotRegexp(t, `^gaugeslip/internal/(lab|rig|fleet|emulator|check)$|gonum|bubbletea`, p)
	}
}
