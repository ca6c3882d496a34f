package dataplane

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pipeListener is an in-memory listener whose Accept can be interrupted by a deadline, as with TCP.
type pipeListener struct {
	connections chan net.Conn
	mutex       sync.Mutex
	expired     chan struct{}
	closed      chan struct{}
	once        sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{
		connections: make(chan net.Conn),
		expired:     make(chan struct{}),
		closed:      make(chan struct{}),
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	l.mutex.Lock()
	expired := l.expired
	l.mutex.Unlock()
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	case <-expired:
		return nil, os.ErrDeadlineExceeded
	case conn := <-l.connections:
		return conn, nil
	}
}

func (l *pipeListener) SetDeadline(deadline time.Time) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if deadline.IsZero() {
		l.expired = make(chan struct{})
		return nil
	}
	close(l.expired)
	return nil
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial connects. It returns false if nobody accepts within the given time.
func (l *pipeListener) dial(within time.Duration) (net.Conn, bool) {
	client, server := net.Pipe()
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case l.connections <- server:
		return client, true
	case <-timer.C:
		return nil, false
	}
}

// pipeServer is an in-memory frontend.
type pipeServer struct {
	t        *testing.T
	listener *pipeListener
	frontend *Frontend
}

func newPipeServer(t *testing.T, handler http.Handler) *pipeServer {
	return newPipeServerOf(t, handler, 10)
}

// newPipeServerOf returns a pipeServer that holds at most the given number of connections.
func newPipeServerOf(t *testing.T, handler http.Handler, connections int) *pipeServer {
	listener := newPipeListener()
	frontend := NewFrontend(listener, handler, connections, nil)
	frontend.Serve(DefaultLimits())
	t.Cleanup(func() { _ = frontend.Shutdown(t.Context()) })
	return &pipeServer{t: t, listener: listener, frontend: frontend}
}

func (s *pipeServer) connect() net.Conn {
	conn, ok := s.listener.dial(time.Second)
	require.True(s.t, ok, "connection not accepted within 1 s")
	return conn
}

// exchange sends one request on a new connection and returns the whole response.
func (s *pipeServer) exchange(request string) string {
	conn := s.connect()
	defer conn.Close()
	go func() { _, _ = io.WriteString(conn, request) }()
	return readResponse(s.t, bufio.NewReader(conn))
}

func readResponse(t *testing.T, reader *bufio.Reader) string {
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := httputil.DumpResponse(response, true)
	require.NoError(t, err)
	return string(text)
}
