package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/net/downstream"
	"gaugeslip/internal/net/nettest"
)

// siteFile writes a settings file and returns its path and the environment variable that names it.
func siteFile(t *testing.T, text string) (path, env string) {
	path = filepath.Join(t.TempDir(), "site.hcl")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path, "NODE_SITE=" + path
}

// laneHost is a host that runs one job at a time on each lane and refuses what it cannot queue. It counts how often
// each id has run.
type laneHost struct {
	free  chan struct{}
	queue atomic.Int32
	work  time.Duration
	mu    *sync.Mutex
	ran   map[string]int
}

func (l *laneHost) run(c *nettest.Call) {
	if l.queue.Add(1) > int32(4*cap(l.free)) {
		l.queue.Add(-1)
		c.WriteText("HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
		return
	}
	l.free <- struct{}{}
	l.mu.Lock()
	l.ran[c.Header.Get("X-Trace-Id")]++
	l.mu.Unlock()
	id := c.Header.Get("X-Trace-Id")
	c.WriteText(nettest.Chunks(`{"id":"` + id + `","state":"started"}`))
	time.Sleep(l.work)
	<-l.free
	l.queue.Add(-1)
	c.WriteText(nettest.Chunk(`{"id":"`+id+`","state":"done","result":"`+c.Text+`"}`) + "0\r\n\r\n")
}

// jobs runs one `jobs` command of the program.
func jobs(addr string, args ...string) (code int, out string) {
	var b bytes.Buffer
	code = run(append([]string{"jobs", "--addr", addr}, args...), &b, &b)
	return code, b.String()
}

// Runs the whole program under a flood of ordinary jobs, a third more than its hosts can do. Each waiting job gets
// one final state, none waits longer than twice its due time, no sale runs twice, and ordinary jobs are still served.
func TestWaitingUnderFlood(t *testing.T) {
	const work, count, due, hosts, clients = 20 * time.Millisecond, 120, 4 * time.Second, 4, 24
	ran, mu := map[string]int{}, &sync.Mutex{}
	var entries []string
	for i := range hosts {
		l := &laneHost{free: make(chan struct{}, 1), work: work, mu: mu, ran: ran}
		h := nettest.Listen(t, l.run)
		entries = append(entries, hostEntry(fmt.Sprintf("s-%08x", i+1), h.Addr, "in_service", 0))
	}
	discovery := nettest.Listen(t, func(c *nettest.Call) { c.WriteText(nettest.Chunks()) })
	_, env := siteFile(t, `waiting { default_due = "4s" }`)
	settings := strings.NewReplacer(`"on-time":15000.0`, `"on-time":100.0`, `"most-held":100`, `"most-held":1000`,
		`"max-attempts":3`, `"max-attempts":6`).Replace(nettest.SettingsJSON)
	addr, _, log := startProgramWith(t, settings, hostList(1, true, entries...), discovery.Addr, env)

	var n, served, refused, failed atomic.Int64
	stop := make(chan struct{})
	var flood sync.WaitGroup
	// Each client sends its next job after the answer to the last one, at its share of the flood's rate or as soon after
	// as it can.
	gap := work * clients * 3 / (hosts * 4)
	for i := range clients {
		flood.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			time.Sleep(gap * time.Duration(i) / clients)
			tick := time.NewTicker(gap)
			defer tick.Stop()
			for {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				req, _ := http.NewRequest("POST", "http://"+addr+"/plot-load/1", strings.NewReader("b"))
				req.Header.Set("X-Trace-Id", fmt.Sprint("f", n.Add(1)))
				req.Header.Set("X-Expires-In-Ms", "8000")
				req.Header.Set("X-Size-Hint", "20000")
				resp, err := client.Do(req)
				if err != nil {
					failed.Add(1)
					continue
				}
				resp.Body.Close()
				switch resp.StatusCode {
				case 200:
					served.Add(1)
				case 429, 503:
					refused.Add(1)
				default:
					failed.Add(1)
				}
			}
		})
	}
	c := nettest.Dial(t, addr)
	for i := range count {
		c.Post([]string{"/plot-load", "/harvest-sale"}[i%2], fmt.Sprint("w", i),
			"Prefer: respond-async\r\nX-Not-Before-Ms: 500\r\nX-Size-Hint: 20000\r\n", fmt.Sprint("b", i))
		resp, text := c.Answer()
		require.Equal(t, 202, resp.StatusCode, text)
	}
	states, longest := map[string]int{}, int64(0)
	for i := range count {
		var j downstream.Job
		j.ID = fmt.Sprint("w", i)
		c.Send("GET /jobs/" + j.ID + " HTTP/1.1\r\nHost: h\r\nPrefer: wait=15\r\n\r\n")
		_, text := c.Answer()
		require.NoError(t, decodeJSON(text, &j), text)
		states[j.State]++
		longest = max(longest, j.WaitedMS)
		if j.State == "served" {
			require.NotNil(t, j.Result)
			assert.Equal(t, fmt.Sprint("b", i), *j.Result)
		}
	}
	_, room := jobs(addr, "list", "--json")
	t.Log(room[strings.Index(room, `"room"`):])
	close(stop)
	flood.Wait()
	t.Logf("waiting: %v, longest wait %d ms of %v; fresh: %d served, %d refused, %d failed", states, longest, due,
		served.Load(), refused.Load(), failed.Load())
	assert.Equal(t, count, states["served"]+states["refused"], "one final state each, and none is lost")
	assert.Positive(t, states["served"])
	assert.Positive(t, served.Load())
	assert.Zero(t, failed.Load())
	assert.LessOrEqual(t, longest, 2*due.Milliseconds(), log)
	mu.Lock()
	defer mu.Unlock()
	for i := 1; i < count; i += 2 {
		assert.LessOrEqual(t, ran[fmt.Sprint("w", i)], 1, "a sale never runs twice")
	}
}

// Runs the client's commands against the real program, and a reload that lowers the limits.
func TestJobsCommands(t *testing.T) {
	host := nettest.Listen(t, served)
	discovery := nettest.Listen(t, func(c *nettest.Call) { c.WriteText(nettest.Chunks()) })
	path, env := siteFile(t, "waiting {}")
	addr, cmd, log := startProgram(t, hostList(1, true, hostEntry("s-0000000a", host.Addr, "in_service", 0)), discovery.Addr, env)
	body := filepath.Join(t.TempDir(), "body")
	require.NoError(t, os.WriteFile(body, []byte("from a file"), 0o600))
	for _, c := range []struct {
		args string
		code int
		out  string
	}{
		{"submit harvest-sale/7 --id a --data hello --in 100ms --due 10s", exitOK, "a waiting\n"},
		{"submit plot-load --id b --data @" + body + " --after a", exitOK, "b waiting\n"},
		{"submit plot-load --id far --in 1h", exitOK, "far waiting\n"},
		{"submit plot-load", exitOK, " waiting\n"},
		{"submit plot-load --id c --after nobody", exitFailed, "409"},
		{"submit render", exitFailed, "404"},
		{"submit", exitUsage, "1 wanted"},
		{"wait b", exitOK, "b served 200, 1 attempts"},
		{"wait b", exitOK, "from a file"},
		{"show a --json", exitOK, `"result":"hello"`},
		{"show nobody", exitFailed, "404"},
		{"wait far --at-most 1ms", exitFailed, "far is waiting"},
		{"cancel a", exitFailed, "409"},
		{"cancel far", exitOK, "far cancelled 410"},
		{"wait far", exitFailed, "far is cancelled"},
		{"list", exitOK, "harvest-sale"},
		{"list --json", exitOK, `"room":{`},
		{"", exitUsage, "submit, show"},
	} {
		code, out := jobs(addr, strings.Fields(c.args)...)
		assert.Equal(t, c.code, code, c.args+": "+out)
		assert.Contains(t, out, c.out, c.args)
	}
	require.NoError(t, os.WriteFile(path, []byte("waiting { max_jobs = 0 }"), 0o600))
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool { return strings.Contains(log.String(), path+":1:11: waiting.max_jobs") },
		nettest.Timeout, time.Millisecond, "a faulty file is named")
	require.NoError(t, os.WriteFile(path, []byte("waiting { max_jobs = 1 }"), 0o600))
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool { return strings.Contains(log.String(), "configuration reloaded") }, nettest.Timeout,
		time.Millisecond)
	code, out := jobs(addr, "submit", "plot-load", "--id", "d", "--in", "1h")
	assert.Equal(t, exitOK, code, out)
	code, out = jobs(addr, "submit", "plot-load", "--id", "e")
	assert.Equal(t, exitFailed, code)
	assert.Contains(t, out, "503")
	assert.Contains(t, out, "come back in")
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, cmd.Wait(), log)
	assert.Contains(t, log.String(), "waiting jobs are lost with the process")
}
