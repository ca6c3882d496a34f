package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"syscall"
	"time"
)

const (
	// closeGrace is how long Close waits for pending answers to be written.
	closeGrace = time.Second
	// acceptRetryDelay is the pause after an accept that failed with a temporary error, for example for lack of file descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

// Server answers calls at one address.
type Server struct {
	rpc      *rpc.Server
	listener net.Listener
	closing  chan struct{}

	mu     sync.Mutex
	closed bool
	links  map[*link]struct{}
	group  sync.WaitGroup
}

// Listen opens a listener at the address; port 0 selects a free port. Calls are answered once Serve runs.
func Listen(addr string) (*Server, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive()}
	listener, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	return NewServer(listener), nil
}

// NewServer returns a server for an open listener. The server owns the listener from then on.
func NewServer(listener net.Listener) *Server {
	return &Server{
		rpc:      rpc.NewServer(),
		listener: listener,
		closing:  make(chan struct{}),
		links:    map[*link]struct{}{},
	}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string {
	return s.listener.Addr().String()
}

// Register publishes the methods of the service under the name, as net/rpc does. Each call runs in a goroutine of its own.
func (s *Server) Register(name string, service any) error {
	return s.rpc.RegisterName(name, service)
}

// Serve accepts connections until Close, and then returns nil.
func (s *Server) Serve() error {
	for {
		conn, err := s.listener.Accept()
		if err == nil {
			s.startLink(conn)
			continue
		}
		if s.isClosed() {
			return nil
		}
		if !isTemporary(err) {
			return fmt.Errorf("accept on %s: %w", s.Addr(), err)
		}
		s.pauseAccepting()
	}
}

// Close stops accepting and reading, waits for the calls in progress, writes their answers and closes all connections. After closeGrace it
// closes the connections without waiting for answers to be written. It returns when all goroutines of the server have ended.
func (s *Server) Close() error {
	links := s.markClosed()
	if links == nil {
		return nil
	}
	err := s.listener.Close()
	for _, l := range links {
		_ = l.conn.SetReadDeadline(time.Unix(1, 0))
	}
	grace := time.AfterFunc(closeGrace, func() {
		for _, l := range links {
			l.close(ErrClosed)
		}
	})
	s.group.Wait()
	grace.Stop()
	return err
}

// markClosed marks the server as closed. It returns the open links, or nil if the server was already closed.
func (s *Server) markClosed() []*link {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	close(s.closing)
	links := make([]*link, 0, len(s.links))
	for l := range s.links {
		links = append(links, l)
	}
	return links
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// startLink starts the goroutines of an accepted connection.
func (s *Server) startLink(conn net.Conn) {
	if err := configureAccepted(conn); err != nil {
		_ = conn.Close()
		return
	}
	l := newLink(conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return
	}
	s.links[l] = struct{}{}
	s.group.Go(l.run)
	s.group.Go(func() { s.serveLink(l) })
}

func (s *Server) serveLink(l *link) {
	s.rpc.ServeCodec(newServerCodec(l))
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, l)
}

func (s *Server) pauseAccepting() {
	timer := time.NewTimer(acceptRetryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.closing:
	}
}

// isTemporary reports whether an accept that failed with the error should be retried.
func isTemporary(err error) bool {
	return errors.Is(err, syscall.EMFILE) ||
		errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.ENOBUFS) ||
		errors.Is(err, syscall.ENOMEM) ||
		errors.Is(err, syscall.ECONNABORTED)
}
