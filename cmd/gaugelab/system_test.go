package main

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSystemRefusesWhatItCannotRun(t *testing.T) {
	for name, arguments := range map[string][]string{
		"run or scale":              {"system"},
		"none of kill":              {"system", "run", "--trouble", "burn head 1s"},
		"no such file":              {"system", "run", "--scenario", "missing.hcl"},
		"no number":                 {"system", "scale", "--workers", "30,many"},
		"neither controlplane nor":  {"system", "process", "somebody", "x.toml"},
		"unknown flag: --workforce": {"system", "run", "--workforce", "3"},
	} {
		var output, faults bytes.Buffer
		require.Equal(t, exitUsage, run(t.Context(), arguments, &output, &faults), "%v", arguments)
		require.Contains(t, faults.String(), name)
	}
}

func TestSystemBoundsItsSize(t *testing.T) {
	var output, faults bytes.Buffer
	require.Equal(t, exitFailed, run(t.Context(), []string{"system", "run", "--programs", t.TempDir(), "--workers", "1000000"}, &output, &faults))
	require.Contains(t, faults.String(), "1000000 workers")
}
