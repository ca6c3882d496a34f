// Package downstream serves the clients' side: it decodes each request once, waits for its final answer and
// encodes that answer, or a local reply, once.
package downstream

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gaugeslip/internal/net/loop"
	"gaugeslip/internal/settings"
)

// A client that cannot be understood is owed an error or a close within 3 s of connecting.
const (
	headTimeout    = 2 * time.Second         // from the accept, or from a later request's first byte
	requestTimeout = 2500 * time.Millisecond // from the accept to the last byte of the first request
	bodyTimeout    = 700 * time.Millisecond  // what a body has at least, after its head
	writeTimeout   = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 8 << 10
)

// Config is what a Server must keep to.
type Config struct {
	Listen    string
	Inherited int           // the descriptor of a listening socket to take over in place of opening Listen; 0: none
	MaxConns  int           // connections at once; beyond, the one that can best be spared is closed
	MaxBodies int64         // bytes of long bodies held at once; a request beyond that is refused
	AcceptFor time.Duration // see the constant

	KilledAfter time.Duration // see the function
	Waiting     bool          // the loop has a waiting room
	Tally       Tally         // counts final answers; nil: none
}

// Tally counts the final answers to jobs where they are written, by class and by their status as the client sees it.
type Tally interface{ Answered(class, status int) }

// Server is the downstream side.
type Server struct {
	cfg           Config
	set           *settings.Settings
	loop          *loop.Loop
	http          *http.Server
	gate          *gate
	bodies        atomic.Int64 // see Config.MaxBodies
	stopping      atomic.Bool
	killTimeNanos atomic.Int64 // when the platform ends the process, in Unix nanoseconds; 0: not known yet
	handover      chan struct{}
	handoverOnce  sync.Once
	testHook      func(point string, r *http.Request) // called where a test holds a request; nil elsewhere
}

// New makes a server that hands its requests to a loop.
func New(cfg Config, set *settings.Settings, l *loop.Loop) *Server {
	s := &Server{cfg: cfg, set: set, loop: l, handover: make(chan struct{})}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnContext: withClient,
		ConnState: func(nc net.Conn, state http.ConnState) { s.gate.onConnState(nc, state) },
		ErrorLog:  slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)}
	return s
}

// clientKey finds a request's connection in its context.
type clientKey struct{}

func withClient(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, nc)
}

// clientOf is the connection that a request came on; nil: it came on none of the gate's.
func clientOf(r *http.Request) *client {
	c, _ := r.Context().Value(clientKey{}).(*client)
	return c
}

// Serving tells whether requests can be served here: the loop runs and no shutdown has begun.
func (s *Server) Serving() bool {
	select {
	case <-s.loop.Stopped():
		return false
	default:
		return !s.stopping.Load()
	}
}
