package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
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

// TestMain lets the test binary act as the program, so that the tests start the real thing.
func TestMain(m *testing.M) {
	if os.Getenv("GAUGESLIP_TEST_PROGRAM") != "" {
		main()
	}
	os.Exit(m.Run())
}

// hostEntry is one host in discovery's list.
func hostEntry(name, addr, health string, born int64) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"z","class":"k","health":%q,"share":1,"born_ms":%d}`,
		name, addr, health, born)
}

func hostList(seq int, whole bool, entries ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, strings.Join(entries, ","))
}

// startProgram starts a dispatcher with a known host list and a discovery service, and waits until it is up.
func startProgram(t *testing.T, known, discovery string, env ...string) (addr string, cmd *exec.Cmd, log *logBuffer) {
	return startProgramWith(t, nettest.SettingsJSON, known, discovery, env...)
}

func decodeJSON(text string, to any) error { return json.Unmarshal([]byte(text), to) }

// startProgramWith also takes the settings.
func startProgramWith(t *testing.T, settings, known, discovery string, env ...string) (addr string, cmd *exec.Cmd, log *logBuffer) {
	return startProgramAt(t, settings, freeporttest.Address(t), known, discovery, env...)
}

// startProgramOn starts a dispatcher on the address of an earlier one, as a restart does.
func startProgramOn(t *testing.T, addr, known, discovery string, env ...string) (string, *exec.Cmd, *logBuffer) {
	return startProgramAt(t, nettest.SettingsJSON, addr, known, discovery, env...)
}

func startProgramAt(t *testing.T, settings, addr, known, discovery string, env ...string) (string, *exec.Cmd, *logBuffer) {
	cmd, log := launch(t, launchOptions{settings: settings, known: known, discovery: discovery, listen: addr, env: env})
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
		}
		return err == nil
	}, nettest.Timeout, 5*time.Millisecond)
	awaitOperatorsEndpoint(t, env)
	return addr, cmd, log
}

// awaitOperatorsEndpoint waits for the operators' endpoint if there is one: it opens after the clients' socket.
func awaitOperatorsEndpoint(t *testing.T, env []string) {
	for _, variable := range env {
		if door, found := strings.CutPrefix(variable, "NODE_OPS="); found {
			require.Eventually(t, func() bool { return healthy(door) }, nettest.Timeout, 5*time.Millisecond)
		}
	}
}

// launchOptions are the environment and files that a dispatcher is started with.
type launchOptions struct {
	settings, known, discovery, listen string
	env                                []string
	files                              []*os.File // descriptors 3 and up
	config                             string     // path of the configuration; empty: a new file
}

// launch starts a dispatcher as the platform does and kills it at the end of the test if it still runs.
func launch(t *testing.T, l launchOptions) (cmd *exec.Cmd, log *logBuffer) {
	path := l.config
	if path == "" {
		config, err := json.Marshal(map[string]any{"name": "n0", "listen": l.listen, "discovery": l.discovery,
			"seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
			"known": json.RawMessage(l.known), "settings": json.RawMessage(l.settings)})
		require.NoError(t, err)
		path = filepath.Join(t.TempDir(), "config.json")
		require.NoError(t, os.WriteFile(path, config, 0o600))
	}
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	require.NoError(t, err)
	run := regexp.MustCompile(`(?m)^run = "(.*)bin/gaugeslip serve"$`).FindStringSubmatch(string(deploy))
	require.NotNil(t, run, "the platform's command")
	cmd, log = exec.Command("/bin/sh", "-c", run[1]+`"$0" serve`, os.Args[0]), &logBuffer{}
	cmd.Env = append(append(os.Environ(), "GAUGESLIP_TEST_PROGRAM=1", "NODE_CONFIG="+path), l.env...)
	cmd.Stderr, cmd.ExtraFiles = log, l.files
	require.NoError(t, cmd.Start())
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	return cmd, log
}

func served(c *nettest.Call) {
	c.WriteText(nettest.Chunked(`{"id":"`+c.Header.Get("X-Trace-Id")+`","state":"started"}`,
		`{"id":"`+c.Header.Get("X-Trace-Id")+`","state":"done","result":"`+c.Text+`"}`))
}

// logBuffer collects the log of a running process.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// On SIGHUP an invalid file is reported with its key and changes nothing. A valid one moves the watch at once to the
// discovery address in the file, although NODE_DISCOVERY was set at the start. SIGTERM may follow.
func TestReloads(t *testing.T) {
	host := nettest.Listen(t, served)
	news := make(chan string, 1)
	old := nettest.Listen(t, func(c *nettest.Call) { c.WriteText(nettest.Chunks(hostList(3, false))) })
	moved := nettest.Listen(t, func(c *nettest.Call) { c.WriteText(nettest.Chunks(<-news)) })
	addr, cmd, log := startProgram(t, hostList(1, true), old.Addr, "NODE_DISCOVERY="+old.Addr)
	nettest.Wait(t, old.Calls)
	path := ""
	for _, v := range cmd.Env {
		if p, ok := strings.CutPrefix(v, "NODE_CONFIG="); ok {
			path = p
		}
	}
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	replace := func(with string) {
		require.NoError(t, os.WriteFile(path, bytes.ReplaceAll(text, []byte(old.Addr), []byte(with)), 0o600))
		require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	}
	replace("nowhere")
	require.Eventually(t, func() bool { return strings.Contains(log.String(), "discovery: address nowhere") },
		nettest.Timeout, time.Millisecond)
	replace(moved.Addr)
	assert.Contains(t, nettest.Wait(t, moved.Calls).RequestURI, "index=")
	news <- hostList(4, false, hostEntry("s-0000000a", host.Addr, "in_service", 0))
	c := nettest.Dial(t, addr)
	for status := 0; status != 200; time.Sleep(time.Millisecond) {
		c.Post("/plot-load/7", fmt.Sprint("t", time.Now().UnixNano()), "X-Expires-In-Ms: 15000\r\n", "body")
		resp, _ := c.Answer()
		status = resp.StatusCode
	}
	assert.Empty(t, old.Calls)
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	require.NoError(t, cmd.Wait(), log)
}

// The program follows discovery's list: it spares a host that has just started, sends jobs to a warm one, and stops
// sending once the list reports that the host drains.
func TestFollowsTheCluster(t *testing.T) {
	host, cold := nettest.Listen(t, served), nettest.Listen(t, served)
	news := make(chan string)
	discovery := nettest.Listen(t, func(c *nettest.Call) {
		c.WriteText(nettest.Chunks())
		for l := range news {
			c.WriteText(nettest.Chunk(l))
		}
	})
	defer close(news)
	addr, _, _ := startProgram(t, hostList(1, true), discovery.Addr)
	assert.Equal(t, "/discovery/hosts?stream=1&index=1", nettest.Wait(t, discovery.Calls).RequestURI)
	c, n := nettest.Dial(t, addr), 0
	until := func(status int) {
		for {
			n++
			c.Post("/plot-load/7", fmt.Sprint("t", n), "X-Expires-In-Ms: 15000\r\nX-Size-Hint: 1000000\r\n", "body")
			if resp, _ := c.Answer(); resp.StatusCode == status {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	until(429) // refused: there is no host
	// A second of work is too much at once for a host that starts at 12 % of its capacity.
	news <- hostList(2, false, hostEntry("s-0000000c", cold.Addr, "in_service", time.Now().UnixMilli()))
	news <- hostList(3, false, hostEntry("s-0000000a", host.Addr, "in_service", 0))
	until(200)
	news <- hostList(4, false, hostEntry("s-0000000a", host.Addr, "terminating", 0))
	until(429)
	calls := len(host.Calls)
	until(429)
	assert.Len(t, host.Calls, calls)
	assert.Empty(t, cold.Calls)
}

// After SIGTERM every accepted request is answered, and the exit code is 0.
func TestTerminates(t *testing.T) {
	hold := make(chan struct{})
	host := nettest.Listen(t, func(c *nettest.Call) { <-hold; served(c) })
	discovery := nettest.Listen(t, func(*nettest.Call) {})
	release := sync.OnceFunc(func() { close(hold) })
	t.Cleanup(release) // runs before the host is closed, which waits for its script
	addr, cmd, log := startProgram(t, hostList(1, true, hostEntry("s-0000000a", host.Addr, "in_service", 0)), discovery.Addr)
	c := nettest.Dial(t, addr)
	c.Post("/harvest-sale/7", "t1", "X-Expires-In-Ms: 15000\r\n", "body")
	nettest.Wait(t, host.Calls)
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool { // until it stops accepting
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
		}
		return err != nil
	}, nettest.Timeout, 5*time.Millisecond)
	release()
	resp, body := c.Answer()
	assert.Equal(t, "200 body", resp.Status[:3]+" "+body)
	require.NoError(t, cmd.Wait(), log)
	assert.Contains(t, log.String(), "stopped")
}

func TestCommandLine(t *testing.T) {
	t.Setenv("NODE_CONFIG", "")
	bad := filepath.Join(t.TempDir(), "bad.json")
	require.NoError(t, os.WriteFile(bad, []byte(`{"name":"n","listen":"127.0.0.1:1","discovery":"nowhere"}`), 0o600))
	for _, c := range []struct {
		args     string
		code     int
		out, err string
	}{
		{"", exitUsage, "", "usage:"},
		{"--help", exitOK, "usage:", ""},
		{"dance", exitUsage, "", `unknown command "dance"`},
		{"version", exitOK, "gaugeslip", ""},
		{"version now", exitUsage, "", `unexpected argument "now"`},
		{"serve --colour", exitUsage, "", "unknown flag"},
		{"serve --help", exitOK, "--config", ""},
		{"serve", exitFailed, "", "NODE_CONFIG"},
		{"check-config --config " + bad, exitFailed, "", "discovery"},
	} {
		var out, errs bytes.Buffer
		assert.Equal(t, c.code, run(strings.Fields(c.args), &out, &errs), c.args)
		assert.Contains(t, out.String(), c.out, c.args)
		assert.Contains(t, errs.String(), c.err, c.args)
	}
}

func TestCheckConfig(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.json")
	text := `{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","known":` +
		hostList(1, true, hostEntry("a", "127.0.0.1:3", "in_service", 0)) + `,"settings":` + nettest.SettingsJSON + `}`
	for text, want := range map[string]struct {
		code int
		say  string
	}{text: {exitOK, "1 known hosts"}, strings.Replace(text, "in_service", "well", 1): {exitFailed, "known: "}} {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		var out bytes.Buffer
		assert.Equal(t, want.code, run([]string{"check-config", "--config", path}, &out, &out))
		assert.Contains(t, out.String(), want.say)
	}
}
