package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/lab"
	"gaugeslip/internal/net/nettest"
)

func runCommandLine(ctx context.Context, args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = run(ctx, args, &o, &e)
	return code, o.String(), e.String()
}

const scenarios = "../../scenarios/"

// Checks the output and the exit code of each command.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.hcl")
	require.NoError(t, os.WriteFile(bad, []byte("scenario \"x\" {\n  length = \"soon\"\n}"), 0o600))
	hard := filepath.Join(dir, "hard.hcl")
	text, err := os.ReadFile(scenarios + "calm-friday.hcl")
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(hard, bytes.Replace(text, []byte("service = 0.9"), []byte("service = 1.1"), 1), 0o600))
	for _, c := range []struct {
		args      []string
		code      int
		out, errs string
	}{
		{[]string{"run"}, exitUsage, "", "a scenario, or --all"},
		{[]string{"run", "--colour"}, exitUsage, "", "unknown flag"},
		{[]string{"run", bad}, exitFailed, "", "bad.hcl:1:1"},
		{[]string{"run", "nothing.hcl"}, exitFailed, "", "nothing.hcl"},
		{[]string{"run", scenarios + "cold-fleet.hcl", "--seeds", "2"}, exitOK, "cold-fleet, seed 2", "seed 1 done"},
		{[]string{"run", hard, "--seeds", "1"}, exitFailed, "service", "MISSED calm-friday, seed 1: service"},
		{[]string{"replay", "x", hard}, exitUsage, "", "no seed"},
		{[]string{"replay", "3", scenarios + "rolling-restart.hcl"}, exitOK, "rolling-restart, seed 3", ""},
		{[]string{"compare", scenarios + "cold-fleet.hcl", scenarios + "cold-fleet.hcl", "--seeds", "3"}, exitOK, "too close to call", ""},
		{[]string{"compare", scenarios + "calm-friday.hcl", scenarios + "cold-fleet.hcl", "--seeds", "3"}, exitOK, "A is better", ""},
		{[]string{"harm", scenarios + "harvest-rush.hcl", "--sizes", "10x2", "--loads", "0.5,2", "--seeds", "1", "--length", "5s"}, exitOK,
			"10     2            2.00", "10x2 at 0.50"},
		{[]string{"harm", scenarios + "harvest-rush.hcl", "--loads", "much"}, exitUsage, "", "\"much\" is no load"},
		{[]string{"processes", "run"}, exitUsage, "", "a scenario, or --all"},
		{[]string{"processes", "run", hard}, exitFailed, "", "unsupported block"},
		{[]string{"processes", "replay", "x", hard}, exitUsage, "", "no seed"},
		{[]string{"load", "--addr", "192.0.2.1:80"}, exitUsage, "", "no loopback address"},
	} {
		code, out, errs := runCommandLine(t.Context(), c.args...)
		assert.Equal(t, c.code, code, "%v: %s", c.args, errs)
		assert.Contains(t, out, c.out, c.args)
		assert.Contains(t, errs, c.errs, c.args)
	}
}

func TestJSONAndPlots(t *testing.T) {
	code, out, errs := runCommandLine(t.Context(), "run", scenarios+"costly-bursts.hcl", "--seeds", "1", "--json")
	require.Equal(t, exitOK, code, errs)
	var r lab.Report
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	assert.Equal(t, "costly-bursts", r.Scenario)
	dir := t.TempDir()
	code, _, errs = runCommandLine(t.Context(), "plot", scenarios+"costly-bursts.hcl", "--out", dir)
	require.Equal(t, exitOK, code, errs)
	for _, name := range []string{"service.png", "service.svg", "latency.png", "latency.svg"} {
		info, err := os.Stat(filepath.Join(dir, name))
		require.NoError(t, err)
		assert.Greater(t, info.Size(), int64(1000), name)
	}
}

// Known differences give known verdicts. A single seed, or differences that vary too much, give none.
func TestCompare(t *testing.T) {
	for name, c := range map[string]struct {
		a, b []float64
		want string
	}{
		"better":   {[]float64{0.5, 0.6, 0.7}, []float64{0.6, 0.7, 0.81}, "B is better"},
		"worse":    {[]float64{0.6, 0.7, 0.8}, []float64{0.5, 0.6, 0.69}, "A is better"},
		"alike":    {[]float64{0.5, 0.6, 0.7}, []float64{0.6, 0.5, 0.72}, "too close to call"},
		"one seed": {[]float64{0.5}, []float64{0.9}, "too close to call"},
	} {
		assert.Equal(t, c.want, compare(c.a, c.b).Verdict, name)
	}
	// Calculated by hand: differences 0.1, 0.2, 0.3, mean 0.2, standard deviation 0.1. Student's quantile for 2 degrees of freedom is 4.3027.
	c := compare([]float64{0, 0, 0}, []float64{0.1, 0.2, 0.3})
	assert.InDelta(t, 0.2-4.3027*0.1/1.7320508, c.Low, 1e-4)
}

// The ideal scheduler with complete knowledge achieves a better service than the dispatchers, and the terminal view shows a host's fault.
func TestIdealAndWatch(t *testing.T) {
	var service [2]float64
	for i, flag := range []string{"--ideal=false", "--ideal"} {
		_, out, errs := runCommandLine(t.Context(), "run", scenarios+"harvest-rush.hcl", "--seeds", "1", "--json", flag)
		var r lab.Report
		require.NoError(t, json.Unmarshal([]byte(out), &r), errs)
		service[i] = r.Service
	}
	assert.Greater(t, service[1], service[0])

	all, err := lab.Load(scenarios + "vanish-and-errors.hcl")
	require.NoError(t, err)
	l, err := lab.New(all[0], 1, true)
	require.NoError(t, err)
	cmd := watchCommand()
	cmd.SetContext(t.Context())
	w := &watcher{run: l, cmd: cmd, name: "x", speed: 100}
	for w.elapsed < 25*time.Second {
		w.Update(tick{})
	}
	assert.Regexp(t, `s-[0-9a-f]{8}  \[#*\.*\] =* +silent`, w.render())
	for !w.finished {
		w.Update(tick{})
	}
	require.NoError(t, w.err)
	assert.Contains(t, w.render(), "0 rules broken")
}

// The demo serves jobs on real sockets while one host goes silent, one is killed, one drains and two restart cold, and breaks no rule.
func TestDemo(t *testing.T) {
	code, out, errs := runCommandLine(t.Context(), "demo", "--for", "4s", "--load", "0.4")
	require.Equal(t, exitOK, code, errs)
	assert.Contains(t, out, "goes silent")
	assert.Contains(t, out, " 0 broken rules", out)
	assert.Regexp(t, `plot-load +[1-9]\d* sent, [1-9]`, out)
}

// An interrupted demo ends and prints its report.
func TestDemoInterrupted(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(1500*time.Millisecond, cancel)
	done := make(chan string, 1)
	go func() {
		_, out, _ := runCommandLine(ctx, "demo", "--for", "10m", "--calm", "--load", "0.3")
		done <- out
	}()
	assert.Contains(t, nettest.Wait(t, done), "== report")
}

// The scale command runs a scenario at two sizes and compares it with the ideal scheduler. The error for an invalid size names it.
func TestScale(t *testing.T) {
	code, out, errs := runCommandLine(t.Context(), "scale", scenarios+"calm-friday.hcl", "--sizes", "10x3,20x3", "--length", "5s", "--seeds", "1",
		"--json", "--out", t.TempDir())
	require.Equal(t, exitOK, code, errs)
	var all []SizeResult
	require.NoError(t, json.Unmarshal([]byte(out), &all))
	require.Len(t, all, 2)
	for _, x := range all {
		assert.GreaterOrEqual(t, x.Ideal, x.Service)
		assert.Positive(t, x.JobsASecond)
	}
	code, _, errs = runCommandLine(t.Context(), "scale", scenarios+"calm-friday.hcl", "--sizes", "10")
	assert.Equal(t, exitUsage, code)
	assert.Contains(t, errs, `"10" is no HOSTSxDISPATCHERS`)
}
