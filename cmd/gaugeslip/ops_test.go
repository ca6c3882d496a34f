package main

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/freeport/freeporttest"
	"gaugeslip/internal/net/nettest"
)

// opsCall makes one call to the operators' endpoint and returns its status and body.
func opsCall(t *testing.T, method, addr, path string) (int, string) {
	req, err := http.NewRequest(method, "http://"+addr+path, nil)
	require.NoError(t, err)
	resp, err := (&http.Client{Timeout: time.Second}).Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(body)
}

// readStat reads one value from /stats.
func readStat(t *testing.T, addr, name string) float64 {
	_, text := opsCall(t, http.MethodGet, addr, "/stats")
	m := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(name) + ` (\S+)$`).FindStringSubmatch(text)
	require.NotNil(t, m, "%s in\n%s", name, text)
	v, err := strconv.ParseFloat(m[1], 64)
	require.NoError(t, err)
	return v
}

// The statistics count a known load exactly: served, refused and failed jobs by class, and the attempts written.
func TestStatsCountKnownLoad(t *testing.T) {
	host := nettest.Listen(t, func(c *nettest.Call) {
		if strings.HasPrefix(c.Text, "fail") {
			c.WriteText("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
			return
		}
		served(c)
	})
	discovery := nettest.Listen(t, func(*nettest.Call) {})
	ops := freeporttest.Address(t)
	addr, _, _ := startProgram(t, hostList(1, true, hostEntry("s-0000000a", host.Addr, "in_service", 0)), discovery.Addr,
		"NODE_OPS="+ops, "TMPDIR="+t.TempDir())
	c := nettest.Dial(t, addr)
	for i := range 7 {
		c.Post("/plot-load/7", fmt.Sprint("p", i), "X-Expires-In-Ms: 15000\r\n", "ok")
		resp, _ := c.Answer()
		require.Equal(t, 200, resp.StatusCode)
	}
	c.Post("/harvest-sale/7", "h1", "X-Expires-In-Ms: 15000\r\n", "fail") // may have run: fails and is not retried
	resp, _ := c.Answer()
	require.Equal(t, 500, resp.StatusCode)
	c.Post("/plot-load/7", "bad", "X-Expires-In-Ms: -5\r\n", "x") // bad input for a known class
	resp, _ = c.Answer()
	require.Equal(t, 400, resp.StatusCode)
	assert.Equal(t, 7.0, readStat(t, ops, `edge_node_served_total{class="plot-load"}`))
	assert.Equal(t, 0.0, readStat(t, ops, `edge_node_served_total{class="harvest-sale"}`))
	assert.Equal(t, 1.0, readStat(t, ops, `edge_node_failed_total{class="harvest-sale"}`))
	assert.Equal(t, 1.0, readStat(t, ops, `edge_node_failed_total{class="plot-load"}`))
	assert.Equal(t, 0.0, readStat(t, ops, `edge_node_refused_total{class="plot-load"}`))
	assert.Equal(t, 8.0, readStat(t, ops, `edge_node_attempts_total`))
	assert.Equal(t, 0.0, readStat(t, ops, `edge_node_in_flight`))
	assert.Equal(t, 1.0, readStat(t, ops, `edge_node_game_workers_known`))
}

// A game worker that an operator has cordoned stays cordoned over a restart of the program, whatever the list says,
// and one call to the new process brings it back.
func TestCordonSurvivesRestart(t *testing.T) {
	var mu sync.Mutex
	calls := map[string]int{}
	script := func(name string) func(*nettest.Call) {
		return func(c *nettest.Call) {
			mu.Lock()
			calls[name]++
			mu.Unlock()
			served(c)
		}
	}
	a, b := nettest.Listen(t, script("a")), nettest.Listen(t, script("b"))
	discovery := nettest.Listen(t, func(*nettest.Call) {})
	known := hostList(1, true, hostEntry("s-0000000a", a.Addr, "in_service", 0), hostEntry("s-0000000b", b.Addr, "in_service", 0))
	tmp := t.TempDir()
	count := func() (int, int) { mu.Lock(); defer mu.Unlock(); return calls["a"], calls["b"] }
	jobs := func(addr, prefix string) {
		c := nettest.Dial(t, addr)
		for i := range 20 {
			c.Post("/plot-load/7", fmt.Sprint(prefix, i), "X-Expires-In-Ms: 15000\r\n", "x")
			resp, _ := c.Answer()
			require.Equal(t, 200, resp.StatusCode)
		}
	}

	ops := freeporttest.Address(t)
	addr, first, log := startProgram(t, known, discovery.Addr, "NODE_OPS="+ops, "TMPDIR="+tmp)
	status, _ := opsCall(t, http.MethodPost, ops, "/game-workers/s-0000000c/maint")
	assert.Equal(t, 404, status, "a name that nobody has")
	status, _ = opsCall(t, http.MethodPost, ops, "/game-workers/s-0000000a/maint")
	require.Equal(t, 200, status)
	assert.Equal(t, 1.0, readStat(t, ops, "edge_node_game_workers_excluded"))
	before, _ := count()
	jobs(addr, "one")
	after, _ := count()
	assert.Equal(t, before, after, "nothing goes to a game worker out by hand")
	require.NoError(t, first.Process.Signal(syscall.SIGTERM))
	require.NoError(t, first.Wait(), log)

	ops = freeporttest.Address(t)
	addr, _, log = startProgramOn(t, addr, known, discovery.Addr, "NODE_OPS="+ops, "TMPDIR="+tmp)
	require.Eventually(t, func() bool { return strings.Contains(log.String(), "hosts out by hand, as kept") }, 5*time.Second,
		time.Millisecond) // the clients' socket opens before that is logged
	jobs(addr, "two")
	after, _ = count()
	assert.Equal(t, before, after, "still out after the restart")
	status, _ = opsCall(t, http.MethodPost, ops, "/game-workers/s-0000000a/ready")
	require.Equal(t, 200, status)
	status, _ = opsCall(t, http.MethodPost, ops, "/game-workers/s-0000000b/maint") // so that host a is needed
	require.Equal(t, 200, status)
	assert.Equal(t, 1.0, readStat(t, ops, "edge_node_game_workers_excluded"))
	c := nettest.Dial(t, addr)
	for i := 0; ; i++ { // a returns cold: some jobs may be refused before one is sent there
		require.Less(t, i, 500, "back, it gets no job")
		c.Post("/plot-load/7", fmt.Sprint("three", i), "X-Expires-In-Ms: 15000\r\n", "x")
		resp, _ := c.Answer()
		require.Contains(t, []int{200, 429}, resp.StatusCode)
		if now, _ := count(); now > before {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
}
