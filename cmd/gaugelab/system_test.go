package main

import (
	"bytes"
	"encoding/json"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/decisionlab"
)

// deploymentFile is a deployment for the decide command.
const deploymentFile = "../../scenarios/decisions/press.toml"

func TestSystemRejectsInvalidArguments(t *testing.T) {
	for name, arguments := range map[string][]string{
		"run or scale":              {"system"},
		"none of kill":              {"system", "run", "--trouble", "burn head 1s"},
		"no such file":              {"system", "run", "--scenario", "missing.hcl"},
		"no number":                 {"system", "scale", "--workers", "30,many"},
		"neither controlplane nor":  {"system", "process", "somebody", "x.toml"},
		"unknown flag: --workforce": {"system", "run", "--workforce", "3"},
		"a deployment is wanted":    {"system", "decide"},
		"missing.toml":              {"system", "decide", "missing.toml"},
		"want some of":              {"system", "decide", "--policies", "guess", deploymentFile},
		"want 1 at least":           {"system", "decide", "--days", "0", deploymentFile},
		"want more than 0":          {"system", "decide", "--load", "-1", deploymentFile},
	} {
		var stdout, stderr bytes.Buffer
		require.Equal(t, exitUsage, run(t.Context(), arguments, &stdout, &stderr), "%v", arguments)
		require.Contains(t, stderr.String(), name)
	}
}

func TestSystemLimitsWorkerCount(t *testing.T) {
	var stdout, stderr bytes.Buffer
	require.Equal(t, exitFailed, run(t.Context(), []string{"system", "run", "--programs", t.TempDir(), "--workers", "1000000"}, &stdout, &stderr))
	require.Contains(t, stderr.String(), "1000000 workers")
}

// A single summary's worth is printed on a line of its own, for tools that compare programs. Several summaries are available as JSON and as a
// plot.
func TestSystemDecideReportsWorth(t *testing.T) {
	var stdout, stderr bytes.Buffer
	require.Equal(t, exitOK, run(t.Context(), []string{"system", "decide", deploymentFile, "--days", "1", "--policies", "scheduler"}, &stdout, &stderr),
		stderr.String())
	require.Regexp(t, `(?m)^worth 0\.\d{4}$`, stdout.String())

	stdout.Reset()
	plotFile := filepath.Join(t.TempDir(), "worth.svg")
	require.Equal(t, exitOK, run(t.Context(), []string{"system", "decide", deploymentFile, "--days", "2", "--load", "0.3,0.6", "--policies",
		"scheduler,first-come", "--json", "--plot", plotFile}, &stdout, &stderr), stderr.String())
	var summaries []decisionlab.Summary
	require.NoError(t, json.Unmarshal(stdout.Bytes(), &summaries))
	require.Len(t, summaries, 4)
	require.FileExists(t, plotFile)
}
