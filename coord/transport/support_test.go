package transport

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"gaugeslip/internal/freeport/freeporttest"
)

// longTimeout is a timeout that no call reaches unless there is a fault. shortTimeout is one that calls are meant to reach.
const (
	longTimeout  = 20 * time.Second
	shortTimeout = 60 * time.Millisecond
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// Echo is a service for the tests. Hold sends to entered, then waits until released is closed.
type Echo struct {
	entered  chan struct{}
	released chan struct{}
}

func (e *Echo) Twice(number int, reply *int) error {
	*reply = 2 * number
	return nil
}

func (e *Echo) Length(data []byte, reply *int) error {
	*reply = len(data)
	return nil
}

func (e *Echo) Fail(text string, _ *int) error {
	return errors.New(text)
}

func (e *Echo) Hold(number int, reply *int) error {
	e.entered <- struct{}{}
	<-e.released
	*reply = number
	return nil
}

func newEcho() *Echo {
	return &Echo{entered: make(chan struct{}, 16), released: make(chan struct{})}
}

// serve runs a server with the service at the address until the end of the test.
func serve(t *testing.T, addr, name string, service any) *Server {
	t.Helper()
	server, err := Listen(addr)
	require.NoError(t, err)
	require.NoError(t, server.Register(name, service))
	ended := make(chan error, 1)
	go func() { ended <- server.Serve() }()
	t.Cleanup(func() {
		require.NoError(t, server.Close())
		require.NoError(t, <-ended)
	})
	return server
}

func serveEcho(t *testing.T) (*Server, *Echo) {
	t.Helper()
	echo := newEcho()
	return serve(t, "127.0.0.1:0", "Echo", echo), echo
}

func newTestClient(t *testing.T, options Options) *Client {
	t.Helper()
	client := NewClient(options)
	t.Cleanup(func() { require.NoError(t, client.Close()) })
	return client
}

// listenWithoutReading returns the address of a listener that accepts connections and never reads from them, and a channel with the
// accepted connections.
func listenWithoutReading(t *testing.T) (string, <-chan net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	accepted := make(chan net.Conn, 16)
	ended := make(chan struct{})
	var conns []net.Conn
	go func() {
		defer close(ended)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns = append(conns, conn)
			accepted <- conn
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
		for _, conn := range conns {
			_ = conn.Close()
		}
	})
	return listener.Addr().String(), accepted
}

// unusedAddr returns an address without a listener.
func unusedAddr(t *testing.T) string {
	t.Helper()
	return freeporttest.Address(t)
}

// connectionTo returns the connection that the client keeps to the address, or nil.
func (c *Client) connectionTo(addr string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, found := c.peers[addr]; found {
		return known.connection
	}
	return nil
}

// skipBackOff ends the back-off of the address, so that the next call dials at once.
func (c *Client) skipBackOff(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, found := c.peers[addr]; found {
		known.retryAt = time.Time{}
	}
}
