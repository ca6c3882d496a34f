package operators

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fakeCore is a core that knows some names and records the calls.
type fakeCore struct {
	mu    sync.Mutex
	names map[string]bool
	out   map[string]bool
	sets  [][]string
	stuck bool
}

func (c *fakeCore) SetCordon(ctx context.Context, name string, out bool) (bool, error) {
	if c.stuck {
		<-ctx.Done()
		return false, ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.names[name] && !c.out[name] {
		return false, nil
	}
	c.out[name] = out
	return true, nil
}

func (c *fakeCore) ReplaceCordons(names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sets = append(c.sets, names)
}

// startServer starts a server on a free loopback port and returns its address.
func startServer(t *testing.T, c *fakeCore, ready *atomic.Bool, dir string) string {
	f := NewMetrics([]string{"plot-load", "harvest-sale"}, Gauges{
		InFlight: func() float64 { return 14 },
		Workers:  func() (float64, float64) { return 5, 2 }})
	f.Answered(0, 200)
	f.Answered(0, 200)
	f.Answered(1, 429)
	f.Answered(1, 500)
	f.Answered(7, 200)
	f.Attempt()
	var store *Store
	if dir != "" {
		store = NewStore(dir, "n1")
	}
	d := NewServer(Config{Addr: "127.0.0.1:0", MaxConns: 4, Ready: ready.Load, Metrics: f, Core: c, Store: store})
	ln, err := d.Listen()
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Serve(ctx, ln) }()
	t.Cleanup(func() { cancel(); require.NoError(t, <-done) })
	return ln.Addr().String()
}

// call sends one request on a connection of its own, as operators do, and returns status and body.
func call(t *testing.T, addr, text string) (int, string) {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second)) // how long operators wait
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	assert.True(t, resp.Close, "one call a connection")
	return resp.StatusCode, string(body)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }
func post(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
}

func TestServerAnswersCalls(t *testing.T) {
	c := &fakeCore{names: map[string]bool{"s-0000000a": true}, out: map[string]bool{}}
	var ready atomic.Bool
	addr := startServer(t, c, &ready, "")
	status, _ := call(t, addr, get("/healthcheck"))
	assert.Equal(t, 503, status, "not yet able to serve")
	ready.Store(true)
	for _, k := range []struct {
		text   string
		status int
		says   string
	}{
		{get("/healthcheck"), 200, "ok"},
		{post("/healthcheck"), 405, ""},
		{get("/nothing"), 404, ""},
		{post("/game-workers/s-0000000a/maint"), 200, "out"},
		{post("/game-workers/s-0000000a/maint"), 200, "out"}, // out twice is undone by back once
		{post("/game-workers/s-0000000a/ready"), 200, "back"},
		{post("/game-workers/s-0000000b/maint"), 404, "no game worker"},
		{post("/game-workers/s-0000000b/ready"), 404, "no game worker"},
		{get("/game-workers/s-0000000a/maint"), 405, ""},
		{post("/game-workers/s-0000000a/leave"), 404, ""},
		{post("/game-workers/%20/maint"), 400, ""},
		{"POST /game-workers/s-0000000a/maint HTTP/1.1\r\nHost: x\r\nContent-Length: 999999\r\n\r\n", 413, ""},
		{"POST /game-workers/s-0000000a/maint HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", 400, ""},
		{"BREW /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n", 405, ""},
		{"nonsense\r\n\r\n", 400, ""},
	} {
		status, body := call(t, addr, k.text)
		assert.Equal(t, k.status, status, k.text)
		assert.Contains(t, body, k.says, k.text)
	}
	assert.Equal(t, map[string]bool{"s-0000000a": false}, c.out)
}

func TestStatsInPrometheusText(t *testing.T) {
	var ready atomic.Bool
	addr := startServer(t, &fakeCore{}, &ready, "")
	status, body := call(t, addr, get("/stats"))
	require.Equal(t, 200, status)
	for _, line := range []string{
		`edge_node_served_total{class="plot-load"} 2`,
		`edge_node_served_total{class="harvest-sale"} 0`,
		`edge_node_refused_total{class="harvest-sale"} 1`,
		`edge_node_failed_total{class="harvest-sale"} 1`,
		`edge_node_attempts_total 1`,
		`edge_node_in_flight 14`,
		`edge_node_game_workers_known 5`,
		`edge_node_game_workers_excluded 2`,
	} {
		assert.Contains(t, body, line+"\n")
	}
	for _, line := range []string{"go_goroutines ", "process_open_fds "} { // metrics of the Go runtime and the process
		assert.Contains(t, body, "\n"+line)
	}
}

// Silent connections, and those with incomplete requests, must not keep others out: 40 of them come before a request,
// on a server limited to four connections.
func TestSilentConnectionsAreEvicted(t *testing.T) {
	var ready atomic.Bool
	ready.Store(true)
	addr := startServer(t, &fakeCore{}, &ready, "")
	for i := range 40 {
		c, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		defer c.Close()
		if i%2 == 1 {
			io.WriteString(c, "GET /healthcheck HTTP/1.1\r\nHo")
		}
	}
	start := time.Now()
	status, _ := call(t, addr, get("/healthcheck"))
	assert.Equal(t, 200, status)
	assert.Less(t, time.Since(start), time.Second)
}

// A core that does not accept a change in time leads to 503 within the second that operators wait.
func TestStuckCoreTimesOut(t *testing.T) {
	var ready atomic.Bool
	addr := startServer(t, &fakeCore{stuck: true}, &ready, "")
	status, _ := call(t, addr, post("/game-workers/s-0000000a/maint"))
	assert.Equal(t, 503, status)
}

// Changes by hand are stored for the next process, and a change that another process writes to the store is applied.
func TestManualChangesAreStoredAndReloaded(t *testing.T) {
	dir := t.TempDir()
	c := &fakeCore{names: map[string]bool{"s-0000000a": true, "s-0000000b": true}, out: map[string]bool{}}
	var ready atomic.Bool
	addr := startServer(t, c, &ready, dir)
	call(t, addr, post("/game-workers/s-0000000a/maint"))
	call(t, addr, post("/game-workers/s-0000000b/maint"))
	call(t, addr, post("/game-workers/s-0000000b/ready"))
	names, err := NewStore(dir, "n1").Load()
	require.NoError(t, err)
	assert.Equal(t, []string{"s-0000000a"}, names)
	other := NewStore(dir, "n1") // the next process
	require.NoError(t, other.Save([]string{"s-0000000a", "s-0000000b"}))
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.sets) > 0 && strings.Join(c.sets[len(c.sets)-1], " ") == "s-0000000a s-0000000b"
	}, 5*time.Second, 10*time.Millisecond)
}

func TestStoreRejectsForeignFiles(t *testing.T) {
	dir := t.TempDir()
	s := NewStore(dir, "n1/x")
	names, err := s.Load()
	assert.NoError(t, err, "a missing file is an empty set")
	assert.Empty(t, names)
	for _, k := range []struct{ text, fault string }{
		{string(Encode("n1/x", []string{"b", "a", "a"})), ""},
		{`{"v":1,"node":"n1/x","out":["a"`, "not a list"},
		{`{"v":2,"node":"n1/x","out":[]}`, "version"},
		{`{"v":1,"node":"n2","out":[]}`, "of dispatcher"},
		{`{"v":1,"node":"n1/x","out":["a b"]}`, "not a host's name"},
		{`{"v":1,"node":"n1/x","out":[],"more":1}`, "not a list"},
		{"", "not a list"},
	} {
		require.NoError(t, os.WriteFile(s.Path(), []byte(k.text), 0o600))
		names, err := s.Load()
		if k.fault == "" {
			assert.NoError(t, err)
			assert.Equal(t, []string{"a", "b"}, names)
			continue
		}
		require.Error(t, err, k.text)
		assert.Contains(t, err.Error(), k.fault)
		assert.Contains(t, err.Error(), filepath.Base(s.Path()), "the file is named")
		assert.Empty(t, names)
	}
}
