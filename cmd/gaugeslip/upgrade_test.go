package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/freeport/freeporttest"
	"gaugeslip/internal/net/nettest"
)

// inheritedListener opens a listening socket that the test holds as the platform does, and returns it with its
// descriptor number for a child process.
func inheritedListener(t *testing.T) (*net.TCPListener, string) {
	ln, err := net.Listen("tcp", "127.77.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return ln.(*net.TCPListener), ln.Addr().String()
}

// If the platform holds the clients' socket, its address is in use: the program serves on the descriptor that it is
// given and does not bind the address again.
func TestServesOnAnInheritedListener(t *testing.T) {
	host := nettest.Listen(t, served)
	discovery := nettest.Listen(t, func(*nettest.Call) {})
	ln, addr := inheritedListener(t)
	f, err := ln.File()
	require.NoError(t, err)
	defer f.Close()
	known := hostList(1, true, hostEntry("s-0000000a", host.Addr, "in_service", 0))
	launch(t, launchOptions{settings: nettest.SettingsJSON, known: known, discovery: discovery.Addr, listen: addr,
		env: []string{"NODE_INHERITED_FD=3"}, files: []*os.File{f}})
	c := nettest.Dial(t, addr) // waits in the kernel's queue until the program accepts
	c.Post("/plot-load/7", "t1", "X-Expires-In-Ms: 15000\r\n", "body")
	resp, body := c.Answer()
	assert.Equal(t, "200 body", fmt.Sprint(resp.StatusCode, " ", body))
}

// healthy makes one health check on the operators' endpoint.
func healthy(addr string) bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + addr + "/healthcheck")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

// An upgrade under load: a second process starts on the same inherited socket and reports ready. The first hands over
// at once, answers its long job although SIGTERM arrives only later, and exits with 0. Every job gets one answer and
// reaches the host once: a harvest sale is never sent twice.
func TestUpgradeUnderLoad(t *testing.T) {
	release := make(chan struct{})
	var mu sync.Mutex
	seen := map[string]int{}
	script := func(c *nettest.Call) {
		mu.Lock()
		seen[c.Header.Get("X-Trace-Id")]++
		mu.Unlock()
		if c.Header.Get("X-Trace-Id") == "long" {
			<-release
		}
		served(c)
	}
	var hosts []string
	for i := range 4 {
		hosts = append(hosts, hostEntry(fmt.Sprintf("s-0000000%d", i+1), nettest.Listen(t, script).Addr, "in_service", 0))
	}
	let := sync.OnceFunc(func() { close(release) })
	t.Cleanup(let)
	discovery := nettest.Listen(t, func(*nettest.Call) {})
	ln, addr := inheritedListener(t)
	f, err := ln.File()
	require.NoError(t, err)
	defer f.Close()
	tmp := t.TempDir()
	known := hostList(1, true, hosts...)
	start := func(ops string) (*exec.Cmd, *logBuffer) {
		cmd, log := launch(t, launchOptions{settings: nettest.SettingsJSON, known: known, discovery: discovery.Addr,
			listen: addr, files: []*os.File{f},
			env: []string{"NODE_INHERITED_FD=3", "NODE_OPS=" + ops, "TMPDIR=" + tmp}})
		require.Eventually(t, func() bool { return healthy(ops) }, nettest.Timeout, 10*time.Millisecond)
		return cmd, log
	}
	oldOps, newOps := freeporttest.Address(t), freeporttest.Address(t)
	old, oldLog := start(oldOps)

	long := nettest.Dial(t, addr)
	long.Post("/harvest-sale/7", "long", "X-Expires-In-Ms: 15000\r\n", "held")
	require.Eventually(t, func() bool { mu.Lock(); defer mu.Unlock(); return seen["long"] == 1 },
		nettest.Timeout, 5*time.Millisecond)
	kept := nettest.Dial(t, addr) // a client's keep-alive connection to the old process
	kept.Post("/plot-load/7", "k0", "X-Expires-In-Ms: 15000\r\n", "k0")
	resp, body := kept.Answer()
	require.Equal(t, "200 k0", fmt.Sprint(resp.StatusCode, " ", body))

	_, newLog := start(newOps)
	require.Eventually(t, func() bool { return !healthy(oldOps) }, nettest.Timeout, 10*time.Millisecond,
		"the old process hands over before any SIGTERM")
	kept.Closed() // idle, so it is closed and its client connects to the successor
	for i := range 20 {
		c := nettest.Dial(t, addr)
		id := fmt.Sprint("n", i)
		c.Post("/harvest-sale/7", id, "X-Expires-In-Ms: 15000\r\n", id)
		resp, body := c.Answer()
		assert.Equal(t, "200 "+id, fmt.Sprint(resp.StatusCode, " ", body))
	}
	let()
	resp, body = long.Answer()
	assert.Equal(t, "200 held", fmt.Sprint(resp.StatusCode, " ", body), "the old process answers what it took")
	require.NoError(t, old.Process.Signal(syscall.SIGTERM))
	require.NoError(t, old.Wait(), oldLog)
	assert.Contains(t, oldLog.String(), "handing over")
	assert.NotContains(t, newLog.String(), "level=ERROR")
	mu.Lock()
	defer mu.Unlock()
	for id, n := range seen {
		assert.Equal(t, 1, n, id)
	}
	assert.Len(t, seen, 22)
}
