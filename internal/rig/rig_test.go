package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/check"
	"gaugeslip/internal/emulator"
	"gaugeslip/internal/scenario"
)

const shortScenarios = "../../scenarios/processes/short.hcl"

var built string // the dispatcher's program

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "gaugeslip-rig-test")
	if err == nil {
		built, err = findProgram("", dir)
	}
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// Runs the short scenarios on real processes with faults. Every rule must hold. The output of a failure tells how to replay it.
func TestShortScenarios(t *testing.T) {
	all, err := Load(shortScenarios)
	require.NoError(t, err)
	for _, sc := range all {
		t.Run(sc.Name, func(t *testing.T) {
			var record bytes.Buffer
			const seed = 1
			rep, err := Run(t.Context(), sc, seed, Options{Program: built, Record: &record})
			require.NoError(t, err)
			assert.Empty(t, sc.Missed(rep), "gaugelab processes replay %d %s; log: %q", seed, shortScenarios, rep.Log)
			assert.Greater(t, rep.Checked, 100)
			assert.Greater(t, rep.Served, 50)
			took := map[int]bool{}
			for line := range bytes.Lines(record.Bytes()) {
				var s Seen
				require.NoError(t, json.Unmarshal(line, &s))
				if s.What == "took" {
					took[s.Node] = true
				}
			}
			assert.Len(t, took, sc.Dispatchers, "hosts must see the sends of every dispatcher under its own address")
			assert.NotContains(t, took, -1)
		})
	}
}

// Jobs sent on after their clients had left are counted: a few are allowed, more than a quarter of the waiting ones are a breach.
func TestAbandonedSends(t *testing.T) {
	all, err := Load(shortScenarios)
	require.NoError(t, err)
	for name, c := range map[string]struct {
		late, inTime, never int
		broken              bool
	}{"over a fiftieth": {5, 244, 0, true}, "a fiftieth": {5, 245, 0, false}, "few": {4, 0, 0, false}, "never sent on": {5, 0, 245, false}} {
		var now time.Duration
		r := newRecorder(all[0], func() time.Duration { return now }, nil)
		first := &order{class: &scenario.Class{}, tenant: -1}
		send := func(id string, at time.Duration) {
			now = at
			r.recordSight(emulator.Sight{Kind: emulator.Took, Job: id}, 0)
		}
		out := r.recordAttempt("out", first, 0, time.Minute)
		send("out", 0)
		now = time.Second
		r.recordGiveUp("out", out)
		n := c.late + c.inTime + c.never
		for i := range n {
			id := fmt.Sprint(i)
			r.recordGiveUp(id, r.recordAttempt(id, first, 0, time.Minute))
		}
		for i := range c.inTime {
			send(fmt.Sprint(i), time.Second+cancelGrace)
		}
		for i := range c.late {
			send(fmt.Sprint(c.inTime+i), time.Second+cancelGrace+time.Millisecond)
		}
		send("out", 2*time.Second) // a second send of a job that a host had before does not count
		rep := r.finish(5*time.Second, 1)
		assert.Equal(t, []int{n + 1, n, c.late}, []int{rep.GaveUp, rep.LeftWaiting, rep.SentForNobody}, name)
		assert.Equal(t, c.broken, len(rep.Breaches) > 0, "%s: %q", name, rep.Breaches)
	}
}

// A run that is cancelled leaves neither a process nor a file.
func TestCancelledRun(t *testing.T) {
	tmp := t.TempDir()
	t.Setenv("TMPDIR", tmp)
	all, err := Load(shortScenarios)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	_, err = Run(ctx, all[0], 1, Options{Program: built, Progress: func(string) { cancel() }}) // at the first trouble
	assert.ErrorIs(t, err, context.Canceled)
	left, err := os.ReadDir(tmp)
	require.NoError(t, err)
	assert.Empty(t, left)
	assert.Empty(t, children(t))
}

// children returns the child processes of this process.
func children(t *testing.T) (all []string) {
	found, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", os.Getpid()))
	require.NoError(t, err)
	for _, f := range found {
		text, _ := os.ReadFile(f)
		for _, pid := range strings.Fields(string(text)) {
			if state, err := os.ReadFile("/proc/" + pid + "/stat"); err == nil && !strings.Contains(string(state), ") Z ") {
				all = append(all, pid)
			}
		}
	}
	return all
}

// A process can be killed, paused, slowed and restarted. An incarnation that ends without a request counts as a crash.
func TestProcess(t *testing.T) {
	k := newStarter()
	defer k.close()
	script := "echo started; while true; do sleep 0.05; done"
	p := &Process{starter: k, newCommand: func(int) (*exec.Cmd, error) { return exec.Command("/bin/sh", "-c", script), nil }}
	require.NoError(t, p.Start())
	assert.Error(t, p.Start(), "the process is already running")
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	require.Eventually(t, func() bool { return len(p.log.lines("started")) == 1 }, 5*time.Second, time.Millisecond)
	stat := func() string {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		require.NoError(t, err)
		return strings.Fields(string(text[bytes.LastIndexByte(text, ')'):]))[1]
	}
	p.Signal(syscall.SIGSTOP)
	require.Eventually(t, func() bool { return stat() == "T" }, 5*time.Second, time.Millisecond)
	later := time.Now()
	_, lastChange := p.Running()
	assert.False(t, lastChange.Before(later), "a stopped process counts as disturbed now")
	p.Signal(syscall.SIGCONT)
	require.Eventually(t, func() bool { return stat() != "T" }, 5*time.Second, time.Millisecond)
	p.Slow(0.25)
	assert.True(t, p.isSlowed())
	require.Eventually(t, func() bool { return stat() == "T" }, 5*time.Second, time.Millisecond)
	p.Slow(1)
	require.Eventually(t, func() bool { return stat() != "T" }, 5*time.Second, time.Millisecond)
	p.Signal(syscall.SIGKILL)
	require.True(t, p.Await(5*time.Second))
	assert.Zero(t, p.Crashes(), "the end was requested")
	script = "exit 3"
	require.NoError(t, p.Start())
	require.True(t, p.Await(5*time.Second))
	require.Eventually(t, func() bool { return p.Crashes() == 1 }, 5*time.Second, time.Millisecond)
	running, _ := p.Running()
	assert.False(t, running)
}

// The recorder reports breaches of the rules and counts the hosts' work by outcome.
func TestRecorder(t *testing.T) {
	sc, err := Parse([]byte(`processes "x" {
  length = "10s"
  load = 1
  dispatchers = 1
  hosts "k" {
    count = 1
    lanes = 1
  }
  class "sale" {
    part = 1
    mean = "1s"
    on_time = "2s"
    patience = "4s"
    worth = 1
    once = true
  }
  clients {}
  bound "probes" {
    window = "1s"
    most = 2
  }
}`), "x.hcl")
	require.NoError(t, err)
	now := time.Duration(0)
	r := newRecorder(sc[0], func() time.Duration { return now }, nil)
	job := func(id string) (*order, *attempt) {
		o := &order{class: &sc[0].Classes[0], sendTime: now, patience: 4 * time.Second, due: now + 2*time.Second, worth: 1}
		r.recordOrder(o)
		return o, r.recordAttempt(id, o, 0, now+4*time.Second)
	}
	saw := func(k emulator.SightKind, id string) {
		r.recordSight(emulator.Sight{Kind: k, Job: id, Work: time.Second}, 0)
	}
	_, a := job("a")
	saw(emulator.Took, "a")
	saw(emulator.Ran, "a")
	now = time.Second
	saw(emulator.Done, "a") // in time
	r.recordAnswer("a", a, 200, time.Second, false)
	_, b := job("b")
	saw(emulator.Ran, "b")
	r.recordAnswer("b", b, 429, 0, false) // refused though it may have run: a breach
	now += 3 * time.Second
	saw(emulator.Done, "b") // abandoned
	_, c := job("c")
	saw(emulator.Ran, "c")
	now += 3 * time.Second
	saw(emulator.Done, "c") // late
	saw(emulator.Ran, "c")  // runs twice: a breach
	saw(emulator.Done, "c") // repeated
	r.recordAnswer("c", c, 500, 0, false)
	_, d := job("d")
	r.recordAnswer("d", d, 0, 0, true) // excused
	_, e := job("e")
	r.recordAnswer("e", e, 0, 0, false) // lost: a breach
	for range 3 {
		r.recordSight(emulator.Sight{Kind: emulator.Probed}, 0) // a bounded sum
	}
	rep := r.finish(10*time.Second, 1)
	assert.InDelta(t, 0.1, rep.Work.InTime, 1e-9)
	assert.InDelta(t, 0.1, rep.Work.Abandoned, 1e-9)
	assert.InDelta(t, 0.1, rep.Work.Late, 1e-9)
	assert.InDelta(t, 0.1, rep.Work.Repeated, 1e-9)
	assert.InDelta(t, 0.2, rep.Service, 1e-9)
	assert.Equal(t, []int{1, 1, 1, 1}, []int{rep.Refused, rep.Failed, rep.Excused, rep.Lost})
	assert.Equal(t, map[check.Rule]int{check.Harmless: 1, check.OneEffect: 1, check.OneAnswer: 1, check.Sums: 1}, r.check.Counts())
	assert.Len(t, sc[0].Missed(rep), 1)
}

func TestScenarioFaults(t *testing.T) {
	text, err := os.ReadFile(shortScenarios)
	require.NoError(t, err)
	for change, want := range map[string]string{
		"dispatchers = 6|dispatchers = 60":              "x.hcl:41:1: dispatchers",
		`path        = "host"|path = "moon"`:            ": path: \"moon\"",
		`length      = "7s"|length = "7h"`:              "length",
		`trouble "pause"|trouble "nap"`:                 "\"nap\" is not known",
		`after      = "now"|after = "soon"`:             "after: \"soon\"",
		`patience = "3s"|patience = "3"`:                "patience: \"3\" is no duration",
		"share       = 0.25|share = 0":                  "share: more than 0",
		"hint_sigma = 0.3|colour = 1":                   "unsupported argument",
		`processes "short-storm" {|processes "x" "y" {`: "x.hcl:41:",
	} {
		from, to, _ := strings.Cut(change, "|")
		require.Contains(t, string(text), from)
		_, err := Parse([]byte(strings.Replace(string(text), from, to, 1)), "x.hcl")
		if assert.Error(t, err, change) {
			assert.Contains(t, err.Error(), want, change)
		}
	}
	_, err = Load("nowhere.hcl")
	assert.True(t, errors.Is(err, os.ErrNotExist))
}
