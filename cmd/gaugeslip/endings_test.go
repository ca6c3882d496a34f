package main

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/freeport/freeporttest"
	"gaugeslip/internal/net/nettest"
)

// SIGTERM while the configuration is being read is a regular end like any other. A configuration file that is a pipe
// blocks the start at that instant.
func TestTerminatedDuringStart(t *testing.T) {
	pipe := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, syscall.Mkfifo(pipe, 0o600))
	addr := freeporttest.Address(t)
	cmd, log := launch(t, launchOptions{config: pipe})
	opened := make(chan *os.File, 1)
	go func() {
		f, err := os.OpenFile(pipe, os.O_WRONLY, 0) // blocks until the program opens it
		assert.NoError(t, err)
		opened <- f
	}()
	f := nettest.Wait(t, opened)
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	fmt.Fprintf(f, `{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"1","limits":{"cores":1.0,"memory_mb":192,`+
		`"sockets":1024},"known":%s,"settings":%s}`, addr, hostList(1, true), nettest.SettingsJSON)
	f.Close()
	require.NoError(t, cmd.Wait(), log)
	assert.Contains(t, log.String(), "stopped")
}

// SIGTERM arrives twice while a job is at a hanging host and has more time left than the platform leaves the program:
// the job is answered as failed before the kill, and the exit code is 0.
func TestTerminatedTwice(t *testing.T) {
	host := nettest.Listen(t, func(*nettest.Call) {})
	discovery := nettest.Listen(t, func(*nettest.Call) {})
	addr, cmd, log := startProgram(t, hostList(1, true, hostEntry("s-0000000a", host.Addr, "in_service", 0)), discovery.Addr)
	c := nettest.Dial(t, addr)
	c.Post("/harvest-sale/7", "t1", "X-Expires-In-Ms: 19000\r\n", "body")
	nettest.Wait(t, host.Calls)
	begun := time.Now()
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	for status := 200; status != 503; { // the first signal has been received
		up := nettest.Dial(t, addr)
		up.Send("GET /up HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, _ := up.Answer()
		status = resp.StatusCode
	}
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	resp, _ := c.Answer()
	assert.Equal(t, 500, resp.StatusCode)
	assert.Less(t, time.Since(begun), 3700*time.Millisecond, "the kill")
	require.NoError(t, cmd.Wait(), log)
}

// If lists are pushed, a dispatcher follows them from its start on, although its core asks for none, and again at
// once after the connection breaks: discovery counts a list as delivered whether or not a watch is open.
func TestPushedLists(t *testing.T) {
	a, b := nettest.Listen(t, nettest.Serve), nettest.Listen(t, nettest.Serve)
	lists := make(chan string, 1)
	discovery := nettest.Listen(t, func(c *nettest.Call) { c.WriteText(nettest.Chunks(<-lists)) })
	t.Cleanup(func() { close(lists) })
	at := func(health ...string) []string {
		return []string{hostEntry("s-0000000a", a.Addr, health[0], 0), hostEntry("s-0000000b", b.Addr, health[1], 0)}
	}
	settings := strings.Replace(nettest.SettingsJSON, `"registry-mode":"ask"`, `"registry-mode":"push"`, 1)
	addr, _, _ := startProgramWith(t, settings, hostList(1, true, at("in_service", "in_service")...), discovery.Addr)
	for i, health := range [][]string{{"terminating", "in_service"}, {"in_service", "terminated"}, {"terminated", "in_service"}} {
		assert.Equal(t, []string{"1", "2", "3"}[i], nettest.Wait(t, discovery.Calls).URL.Query().Get("index"))
		host, other := a, b
		if health[1] == "in_service" {
			host, other = b, a
		}
		hosts := at(health...)
		for h := range hosts { // the draining host has restarted
			hosts[h] = strings.Replace(hosts[h], `"born_ms":0`, fmt.Sprintf(`"born_ms":%d`, i), 1)
		}
		lists <- hostList(i+2, i%2 == 0, hosts...)
		n := 0
		goesTo := func() (calls [2]int) { // the host that gets the next job
			c := nettest.Dial(t, addr)
			c.Post("/harvest-sale/7", fmt.Sprint("t", i, "-", n), "", "x")
			c.Answer()
			n++
			for i, p := range []*nettest.Peer{host, other} {
				for ; len(p.Calls) > 0; calls[i]++ {
					<-p.Calls
				}
			}
			return calls
		}
		require.Eventually(t, func() bool { return goesTo() == [2]int{1, 0} }, nettest.Timeout, time.Millisecond, "it hears of it")
		for range 5 {
			assert.Equal(t, [2]int{1, 0}, goesTo(), "nothing goes to what drains or is gone")
		}
		discovery.Hangup()
	}
}

// The program, the module and the deploy file are fitted to no particular deployment: they hold neither the names of
// known deployments nor the numbers that identify them.
func TestFittedToNoDeployment(t *testing.T) {
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	require.NoError(t, err)
	files := []string{"deploy/balancer.toml"}
	for _, key := range []string{"policy", "node"} {
		line := regexp.MustCompile(`(?m)^` + key + ` = \[(.*)\]$`).FindSubmatch(deploy)
		require.NotNil(t, line, key)
		for _, path := range strings.Split(string(line[1]), ", ") {
			files = append(files, strings.Trim(path, `"`))
		}
	}
	names := regexp.MustCompile(`(?i)addis|zarqa|plot.?load|harvest|bole|kazanchis|piassa|russeifa|hashemiya|small.?box|wide.?box|` +
		`status.?check|renewal|members-workers|duty\.question|declaration|north-quay|south-quay|look_up|settlement|bid-2|probe-temp|weigh.in|seal-lot|` +
		`\b(490|950|2900|5700|0\.018|0\.051)\b`)
	require.Regexp(t, names, nettest.SettingsJSON, "a test that can fail")
	seen := 0
	for _, path := range files {
		require.NoError(t, filepath.WalkDir(filepath.Join("../..", path), func(path string, e fs.DirEntry, err error) error {
			if err != nil || e.IsDir() {
				if err == nil && e.Name() == "nettest" { // a test helper, part of no program
					return fs.SkipDir
				}
				return err
			}
			if strings.HasSuffix(path, "_test.go") {
				return nil
			}
			text, err := os.ReadFile(path)
			if seen++; err != nil {
				return err
			}
			for n, line := range strings.Split(string(text), "\n") {
				if found := names.FindString(line); found != "" {
					t.Errorf("%s:%d: %q", path, n+1, found)
				}
			}
			return nil
		}))
	}
	assert.Greater(t, seen, 30)
}

// Checks the list of tests that are known to fail: CI passes over those alone and reports what is wrong with an
// invalid list.
func TestKnownRed(t *testing.T) {
	module := t.TempDir()
	write := func(name, text string) {
		require.NoError(t, os.WriteFile(filepath.Join(module, name), []byte(text), 0o600))
	}
	write("go.mod", "module red\n\ngo 1.26\n")
	write("red_test.go", "package red\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) { t.Fatal(\"a fault\") }\n\n"+
		"func TestRedToo(t *testing.T) { t.Fatal(\"another\") }\n\nfunc TestGreen(t *testing.T) {}\n")
	script, err := filepath.Abs("../../.ci/known-red")
	require.NoError(t, err)
	const (
		red    = "TestRed | go test -run TestRed . | a fault | 27\n"
		redToo = "TestRedToo | go test -run TestRedToo . | another fault | 27\n"
	)
	for name, c := range map[string]struct {
		file, want string // file "-": no file
		code       int
	}{
		"none, and a test fails": {"-", "--- FAIL: TestRed", 1},
		"all listed": {"TestRed | go test -run TestRed . | a fault | 27\nTestRedToo | go test -run TestRedToo . -seed 4 | another | 27\n",
			"known red: TestRed | go test -run TestRed . | a fault | 27", 0},
		"one not listed": {red, "--- FAIL: TestRedToo", 1},
		"a listed test passes": {red + redToo + "TestGreen | go test -run TestGreen . | c | 27\n",
			"TestGreen passes: take its line out", 1},
		"a listed test is missing":         {red + redToo + "TestGone | go test -run TestGone . | c | 27\n", "line 3: no test TestGone", 1},
		"a name's part is no match":        {"TestRe | go test -run TestRe . | a fault | 27\n", "line 1: no test TestRe", 1},
		"two fields":                       {"TestRed | a fault\n", "line 1: malformed", 1},
		"three fields":                     {"TestRed | a fault | 27\n", "line 1: malformed", 1},
		"no command":                       {"TestRed |  | a fault | 27\n", "line 1: malformed", 1},
		"nothing seen":                     {"TestRed | go test -run TestRed . |  | 27\n", "line 1: malformed", 1},
		"the command names another test":   {"TestRed | go test -run TestRedToo . | a fault | 27\n", "line 1: the command must be a go test that names TestRed", 1},
		"the command is another program's": {"TestRed | true TestRed | a fault | 27\n", "line 1: the command must be a go test that names TestRed", 1},
		"no number":                        {"TestRed | go test -run TestRed . | a fault | soon\n", "line 1: malformed", 1},
		"a pattern":                        {red + "Test.* | go test . | b | 27\n", "line 2: malformed", 1},
		"an empty line":                    {red + "\n", "line 2: malformed", 1},
		"twice":                            {red + red, "line 2: TestRed is listed twice", 1},
		"four":                             {red + redToo + "TestGreen | go test -run TestGreen . | c | 27\nTestB | go test -run TestB . | d | 27\n", "line 4: three at most", 1},
		"empty":                            {"", "KNOWN-RED.txt is empty", 1},
	} {
		t.Run(name, func(t *testing.T) {
			os.Remove(filepath.Join(module, "KNOWN-RED.txt"))
			if c.file != "-" {
				write("KNOWN-RED.txt", c.file)
			}
			cmd := exec.Command(script)
			cmd.Dir = module
			out, err := cmd.CombinedOutput()
			assert.Contains(t, string(out), c.want)
			assert.Equal(t, c.code != 0, err != nil, "%s", out)
		})
	}
}
