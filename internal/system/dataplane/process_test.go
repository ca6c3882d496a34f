package dataplane

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"gaugeslip/coord/transport"
	"gaugeslip/coord/view"
	"gaugeslip/internal/freeport/freeporttest"
	"gaugeslip/internal/system/internalapi"
)

// testControl is a replica's service, as far as a dispatcher calls it.
type testControl struct {
	mutex   sync.Mutex
	view    view.View
	version int
	custody map[uint64]string
}

func (c *testControl) Digest(_ internalapi.DigestArgs, reply *internalapi.DigestReply) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	reply.Epoch, reply.ConfigVersion, reply.Serving = c.view.Epoch, uint64(c.version), true
	return nil
}

func (c *testControl) Fetch(args internalapi.FetchArgs, reply *internalapi.FetchReply) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !args.HasView || c.view.Epoch > args.Epoch {
		reply.View = c.view
	}
	if uint64(c.version) > args.ConfigVersion {
		reply.ConfigVersion, reply.Config = uint64(c.version), configBody(c.version)
	}
	return nil
}

func (c *testControl) Submit(args internalapi.SubmitArgs, reply *internalapi.JobReply) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.custody[args.ID] = "pending"
	reply.Verdict = internalapi.Done
	return nil
}

func (c *testControl) Cancel(args internalapi.CancelArgs, reply *internalapi.JobReply) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	reply.Verdict = internalapi.NotKnown
	if c.custody[args.ID] != "" {
		c.custody[args.ID] = "cancelled"
		reply.Verdict = internalapi.Done
	}
	return nil
}

func (c *testControl) Status(args internalapi.StatusArgs, reply *internalapi.JobReply) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	reply.Verdict, reply.State = internalapi.Done, c.custody[args.ID]
	if reply.State == "" {
		reply.Verdict = internalapi.NotKnown
	}
	return nil
}

// serveControl runs a replica on a port of its own.
func serveControl(t *testing.T) (*testControl, *transport.Server) {
	server, err := transport.Listen("127.0.0.1:0")
	require.NoError(t, err)
	control := &testControl{version: 1, custody: map[uint64]string{}, view: chainOf(0, server.Addr())}
	require.NoError(t, server.Register(internalapi.Service, control))
	go func() { _ = server.Serve() }()
	return control, server
}

// testLogger keeps what is logged.
type testLogger struct {
	mutex sync.Mutex
	lines []string
	more  chan struct{}
}

func newTestLogger() *testLogger { return &testLogger{more: make(chan struct{}, 1)} }

func (l *testLogger) log(message any, keyvals ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lines = append(l.lines, fmt.Sprint(message, keyvals))
	select {
	case l.more <- struct{}{}:
	default:
	}
}

func (l *testLogger) Info(message any, keyvals ...any)  { l.log(message, keyvals...) }
func (l *testLogger) Warn(message any, keyvals ...any)  { l.log(message, keyvals...) }
func (l *testLogger) Error(message any, keyvals ...any) { l.log(message, keyvals...) }

// take removes the first line that holds the text.
func (l *testLogger) take(text string) (line string, found bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for index, line := range l.lines {
		if strings.Contains(line, text) {
			l.lines = slices.Delete(l.lines, index, index+1)
			return line, true
		}
	}
	return "", false
}

// await waits for a line that holds the text, and takes it.
func (l *testLogger) await(t *testing.T, text string) string {
	timeout := time.After(10 * time.Second)
	for {
		if line, found := l.take(text); found {
			return line
		}
		select {
		case <-l.more:
		case <-timeout:
			t.Fatalf("no line %q", text)
		}
	}
}

type running struct {
	*Process
	path, text, ready string
	logger            *testLogger
}

// startProcess runs a dispatcher whose seeds are replicas at 127.0.0.2, which nobody is, and at the control's address: ports
// are alike on all machines, so that the dispatcher has to be at another one.
func startProcess(t *testing.T, server *transport.Server) running {
	_, port, err := net.SplitHostPort(server.Addr())
	require.NoError(t, err)
	ready := fmt.Sprintf("127.0.0.1:%d", freeporttest.Port(t))
	text := fmt.Sprintf(`
nodeName = "edge-1"
ip = "127.0.0.3"
ephemeralPorts = [%s,%s]
seedNodes = ["127.0.0.2:80","127.0.0.1:80"]
[bindAddresses]
frontend = "127.0.0.1:0"
readiness = "%s"
[bounds]
gracePeriodS = 3
`, port, port, ready)
	path := filepath.Join(t.TempDir(), "node.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	logger := newTestLogger()
	process, err := Start(path, logger, Options{PollInterval: 20 * time.Millisecond, DrainDelay: 20 * time.Millisecond})
	require.NoError(t, err)
	return running{Process: process, path: path, text: text, ready: ready, logger: logger}
}

func TestAProcessFromStartToEnd(t *testing.T) {
	defer goleak.VerifyNone(t)
	control, server := serveControl(t)
	process := startProcess(t, server)
	process.logger.await(t, "configuration taken")
	process.logger.await(t, "head changed")
	process.checkReady(t)
	process.checkJobs(t, control)
	process.checkReload(t)

	require.NoError(t, process.Stop())
	process.logger.await(t, "ended")
	_, err := net.DialTimeout("tcp", process.frontend.Address(), time.Second)
	assert.Error(t, err)
	require.NoError(t, server.Close())
}

func (r running) checkReady(t *testing.T) {
	answer, err := http.Get("http://" + r.ready + "/readyz")
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	assert.Equal(t, 200, answer.StatusCode)
	http.DefaultClient.CloseIdleConnections()
}

func (r running) checkJobs(t *testing.T, control *testControl) {
	conn, err := net.Dial("tcp", r.frontend.Address())
	require.NoError(t, err)
	defer conn.Close()
	kept := client{Conn: conn, reader: bufio.NewReader(conn)}
	assert.Contains(t, kept.exchange(t, request("POST", testPrefix+testID, testBody)), "200 OK")
	assert.Contains(t, kept.exchange(t, request("GET", testPrefix+testID, "")), `{"state":"pending"}`)
	assert.Contains(t, kept.exchange(t, request("DELETE", testPrefix+testID, "")), "200 OK")
	assert.Contains(t, kept.exchange(t, request("GET", testPrefix+testID, "")), `{"state":"cancelled"}`)
	assert.Contains(t, kept.exchange(t, request("GET", testPrefix+"00000000000000ff", "")), "410")
	assert.Contains(t, kept.exchange(t, request("GET", "/elsewhere/", "")), "404")

	control.mutex.Lock()
	control.version = 2
	control.view = chainOf(1, control.view.Head().Address)
	control.mutex.Unlock()
	assert.Contains(t, r.logger.await(t, "configuration taken"), "version 2")
	assert.Contains(t, kept.exchange(t, request("GET", testPrefix+testID, "")), `{"state":"cancelled"}`)
}

func request(method, path, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", method, path, testHost, len(body), body)
}

func (r running) checkReload(t *testing.T) {
	require.NoError(t, os.WriteFile(r.path, []byte("nodeName ="), 0o600))
	r.Reload()
	r.logger.await(t, "settings not taken")
	changed := strings.Replace(r.text, "127.0.0.2:80", "127.0.0.4:80", 1)
	require.NoError(t, os.WriteFile(r.path, []byte(changed), 0o600))
	r.Reload()
	assert.Contains(t, r.logger.await(t, "settings taken"), "seedNodes")
	assert.Contains(t, *r.poller.seeds.Load(), r.settings.SeedInternalAddresses()[0])
	r.checkReady(t)
}

func TestAProcessThatCantListenLeavesNothingBehind(t *testing.T) {
	defer goleak.VerifyNone(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	text := fmt.Sprintf(`
ip = "127.0.0.1"
ephemeralPorts = [%d,%d]
seedNodes = ["127.0.0.2:80"]
[bindAddresses]
frontend = "127.0.0.1:0"
readiness = "%s"
`, freeporttest.Port(t), 65535, taken.Addr())
	path := filepath.Join(t.TempDir(), "node.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	_, err = Start(path, newTestLogger(), Options{})
	assert.ErrorContains(t, err, "readiness")
}

func TestSettingsThatCantBeUsed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	logger := newTestLogger()
	_, err := Start(path, logger, Options{})
	assert.ErrorIs(t, err, os.ErrNotExist)
	require.NoError(t, os.WriteFile(path, []byte(`seedNodes = ["nowhere"]`), 0o600))
	_, err = OpenSettings(path)
	for _, place := range []string{"seedNodes[0]", "ip", "ephemeralPorts", "bindAddresses.frontend", "bindAddresses.readiness"} {
		assert.ErrorContains(t, err, place)
	}
	_, err = Start(path, logger, Options{})
	assert.Error(t, err)
}
