package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/budget"
	"gaugeslip/internal/freeport/freeporttest"
	"gaugeslip/internal/net/nettest"
)

// withQuota is the settings of a small deployment with one tenant that has a quota.
var withQuota = strings.Replace(nettest.SettingsJSON, `"kinds"`, `"accounts":[{"name":"a","quota-per-s":5.0}],"kinds"`, 1)

// ownedShare returns the share that a dispatcher owns of its only budget.
func ownedShare(t *testing.T, ops string) float64 {
	_, text := opsCall(t, http.MethodGet, ops, "/budgets")
	var all []budget.AccountStatus
	require.NoError(t, json.Unmarshal([]byte(text), &all), text)
	require.Len(t, all, 1)
	return all[0].Owned
}

// Of two processes of one dispatcher only one owns the share: the old one until it hands over, then the new one, and
// after the new one is killed a third. The sum never exceeds the share of one dispatcher.
func TestTwoProcessesOwnOneShare(t *testing.T) {
	host := nettest.Listen(t, served)
	discovery := nettest.Listen(t, func(*nettest.Call) {})
	ln, addr := inheritedListener(t)
	f, err := ln.File()
	require.NoError(t, err)
	defer f.Close()
	tmp := t.TempDir()
	site := filepath.Join(tmp, "site.hcl")
	require.NoError(t, os.WriteFile(site, []byte("budgets {}\n"), 0o600))
	start := func(ops string) (stop func(syscall.Signal)) {
		cmd, _ := launch(t, launchOptions{settings: withQuota, known: hostList(1, true, hostEntry("s-0000000a", host.Addr, "in_service", 0)),
			discovery: discovery.Addr, listen: addr, files: []*os.File{f},
			env: []string{"NODE_INHERITED_FD=3", "NODE_OPS=" + ops, "TMPDIR=" + tmp, "NODE_SITE=" + site}})
		require.Eventually(t, func() bool { return healthy(ops) }, nettest.Timeout, 10*time.Millisecond)
		return func(s syscall.Signal) { cmd.Process.Signal(s); cmd.Wait() }
	}
	first, second, third := freeporttest.Address(t), freeporttest.Address(t), freeporttest.Address(t)
	stopFirst := start(first)
	require.Eventually(t, func() bool { return ownedShare(t, first) == 1 }, nettest.Timeout, 5*time.Millisecond)
	stopSecond := start(second)
	require.Eventually(t, func() bool {
		a := ownedShare(t, first)
		b := ownedShare(t, second) // read after a: if the second owns the share, the first has released it
		if b > 0 {
			a = ownedShare(t, first)
		}
		require.LessOrEqual(t, a+b, 1.0)
		return b == 1
	}, nettest.Timeout, 5*time.Millisecond, "the successor owns it once the old process has handed over")
	stopFirst(syscall.SIGTERM)
	assert.Equal(t, 1.0, ownedShare(t, second))
	stopThird := start(third)
	stopSecond(syscall.SIGKILL)
	require.Eventually(t, func() bool { return ownedShare(t, third) == 1 }, nettest.Timeout, 5*time.Millisecond)
	assert.Equal(t, 1.0, readStat(t, third, `edge_node_budget_owned{budget="tenant a"}`))

	for _, form := range []string{"", "--json"} {
		var out, errs bytes.Buffer
		require.Equal(t, exitOK, run(append([]string{"budgets", "--ops", third}, strings.Fields(form)...), &out, &errs), errs.String())
		assert.Contains(t, out.String(), "tenant a")
	}
	var out, errs bytes.Buffer
	assert.Equal(t, exitFailed, run([]string{"members", "--ops", third}, &out, &errs))
	assert.Contains(t, errs.String(), "switches none on")
	assert.Equal(t, exitUsage, run([]string{"budgets", "--ops", ""}, &out, &errs))
	stopThird(syscall.SIGTERM)
}

// A tenant's jobs beyond its quota are refused at once, with a Retry-After; a client that follows it is served.
func TestTenantQuota(t *testing.T) {
	host := nettest.Listen(t, served)
	discovery := nettest.Listen(t, func(*nettest.Call) {})
	tmp := t.TempDir()
	site := filepath.Join(tmp, "site.hcl")
	require.NoError(t, os.WriteFile(site, []byte("budgets {\n  burst = 0.2\n}\n"), 0o600))
	addr, _, _ := startProgramWith(t, withQuota, hostList(1, true, hostEntry("s-0000000a", host.Addr, "in_service", 0)), discovery.Addr,
		"NODE_SITE="+site, "TMPDIR="+tmp)
	c := nettest.Dial(t, addr)
	statuses := map[int]int{}
	for i := range 12 {
		c.Post("/plot-load/7", "q"+string(rune('a'+i)), "X-Expires-In-Ms: 15000\r\nX-Customer: a\r\n", "x")
		resp, _ := c.Answer()
		if statuses[resp.StatusCode]++; resp.StatusCode == http.StatusTooManyRequests {
			assert.NotEmpty(t, resp.Header.Get("Retry-After"))
		}
	}
	assert.Positive(t, statuses[http.StatusTooManyRequests])
	require.Eventually(t, func() bool {
		time.Sleep(250 * time.Millisecond) // longer than a token takes to be refilled
		c.Post("/plot-load/7", "r"+time.Now().Format("150405.000"), "X-Expires-In-Ms: 15000\r\nX-Customer: a\r\n", "x")
		resp, _ := c.Answer()
		return resp.StatusCode == http.StatusOK
	}, nettest.Timeout, time.Millisecond)
	c.Post("/plot-load/7", "other", "X-Expires-In-Ms: 15000\r\n", "x")
	resp, _ := c.Answer()
	assert.Equal(t, http.StatusOK, resp.StatusCode, "no tenant, no quota")
}

// Prints the plan for the loss of a room, from the configuration and from a running dispatcher.
func TestPlan(t *testing.T) {
	host := nettest.Listen(t, served)
	discovery := nettest.Listen(t, func(*nettest.Call) {})
	two := strings.Replace(nettest.SettingsJSON, `"localities":["z"],"locality":"z"`, `"localities":["y","z"],"locality":"z"`, 1)
	known := hostList(1, true, hostEntry("s-0000000a", host.Addr, "in_service", 0),
		strings.Replace(hostEntry("s-0000000b", host.Addr, "in_service", 0), `"z"`, `"y"`, 1))
	tmp := t.TempDir()
	site := filepath.Join(tmp, "site.hcl")
	require.NoError(t, os.WriteFile(site, []byte("sites {}\n"), 0o600))
	ops := freeporttest.Address(t)
	startProgramWith(t, two, known, discovery.Addr, "NODE_SITE="+site, "NODE_OPS="+ops, "TMPDIR="+tmp)
	plan := func(want int, args ...string) string {
		t.Helper()
		var out, errs bytes.Buffer
		require.Equal(t, want, run(append([]string{"plan"}, args...), &out, &errs), errs.String())
		return out.String() + errs.String()
	}
	require.Eventually(t, func() bool {
		var out, errs bytes.Buffer
		return run([]string{"plan", "--ops", ops}, &out, &errs) == exitOK
	}, nettest.Timeout, 20*time.Millisecond)
	assert.Contains(t, plan(exitOK, "--ops", ops), "y is lost")
	assert.Equal(t, 0.0, readStat(t, ops, `edge_node_site_state{site="z"}`))

	config, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": json.RawMessage(known), "settings": json.RawMessage(two)})
	require.NoError(t, err)
	path := filepath.Join(tmp, "config.json")
	require.NoError(t, os.WriteFile(path, config, 0o600))
	text := plan(exitOK, "--config", path, "--load", "0.3", "--loads", "z=0.9", "--lost", "y")
	assert.Contains(t, text, "y is lost")
	assert.NotContains(t, text, "z is lost")
	assert.Contains(t, text, "its clients come elsewhere within 4s")
	assert.Contains(t, text, "are refused", "0.3 and 0.9 of one room's work do not fit into one")
	assert.Contains(t, plan(exitOK, "--config", path, "--load", "0.3", "--json"), `"lost":"z"`)
	assert.Contains(t, plan(exitUsage, "--config", path, "--lost", "x"), "is no site")
	assert.Contains(t, plan(exitUsage, "--config", path, "--loads", "x=1"), "is no ROOM=LOAD")
}

// Calls for the host list wait for the fleet's budget: a watch that breaks at once is reopened no more often than it
// allows.
func TestListCallsWaitForBudget(t *testing.T) {
	host := nettest.Listen(t, served)
	var mu sync.Mutex
	var calls []time.Time
	discovery := nettest.Listen(t, func(c *nettest.Call) { // sends the list, then breaks
		mu.Lock()
		calls = append(calls, time.Now())
		mu.Unlock()
		text := hostList(1, true, hostEntry("s-0000000a", host.Addr, "in_service", 0)) + "\n"
		c.WriteText("HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\nConnection: close\r\n\r\n" + text)
		c.Conn.Close()
	})
	tmp := t.TempDir()
	site := filepath.Join(tmp, "site.hcl")
	require.NoError(t, os.WriteFile(site, []byte("budgets {\n  list_calls = 1\n}\n"), 0o600))
	startProgramWith(t, withQuota, hostList(1, true, hostEntry("s-0000000a", host.Addr, "in_service", 0)), discovery.Addr, "NODE_SITE="+site, "TMPDIR="+tmp)
	made := func() []time.Time { mu.Lock(); defer mu.Unlock(); return slices.Clone(calls) }
	require.Eventually(t, func() bool { return len(made()) >= 4 }, nettest.Timeout, 10*time.Millisecond)
	all := made()                                                           // one a second, less the time between taking a token and the call
	assert.Greater(t, all[3].Sub(all[0]), 2700*time.Millisecond, "%v", all) // without the limit three waits take at most 2.25 s
}
