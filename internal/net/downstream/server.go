// Package downstream serves the clients' side of the dispatcher: it decodes each request, waits for its final answer
// and encodes that answer or a local reply.
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

// A client whose request cannot be parsed must get an error or a close within 3 s of connecting.
const (
	headTimeout    = 2 * time.Second         // from accept, or from the first byte of a later request
	requestTimeout = 2500 * time.Millisecond // from accept to the last byte of the first request
	bodyTimeout    = 700 * time.Millisecond  // minimum time for a body after its head
	writeTimeout   = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 8 << 10
)

// Config holds the options and limits of a Server.
type Config struct {
	Listen    string
	Inherited int           // descriptor of a listening socket to use instead of opening Listen; 0: none
	MaxConns  int           // connections at once; beyond that, see gate.evictionCandidate
	MaxBodies int64         // bytes of long bodies in memory at once; requests beyond that are refused
	AcceptFor time.Duration // see the constant AcceptFor

	KilledAfter   time.Duration // see the function KilledAfter
	Waiting       bool          // the loop has a queue of waiting jobs
	AnswerCounter AnswerCounter // counts final answers; nil: none
}

// AnswerCounter counts the final answers to jobs as they are written, by class and by the status that the client gets.
type AnswerCounter interface{ Answered(class, status int) }

// Server is the HTTP server of the downstream side.
type Server struct {
	cfg           Config
	set           *settings.Settings
	loop          *loop.Loop
	http          *http.Server
	gate          *gate
	bodies        atomic.Int64 // see Config.MaxBodies
	stopping      atomic.Bool
	killTimeNanos atomic.Int64 // when the platform kills the process, in Unix nanoseconds; 0: not known yet
	handover      chan struct{}
	handoverOnce  sync.Once
	testHook      func(point string, r *http.Request) // set by tests to block a request at a point; else nil
}

// New returns a server that submits its requests to a loop.
func New(cfg Config, set *settings.Settings, l *loop.Loop) *Server {
	s := &Server{cfg: cfg, set: set, loop: l, handover: make(chan struct{})}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnContext: withClient,
		ConnState: func(nc net.Conn, state http.ConnState) { s.gate.onConnState(nc, state) },
		ErrorLog:  slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)}
	return s
}

// clientKey is the context key of a request's connection.
type clientKey struct{}

func withClient(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, nc)
}

// clientOf returns the connection of a request; nil if it is not one of the gate's.
func clientOf(r *http.Request) *client {
	c, _ := r.Context().Value(clientKey{}).(*client)
	return c
}

// Serving reports whether requests can be served: the loop runs and no shutdown has begun.
func (s *Server) Serving() bool {
	select {
	case <-s.loop.Stopped():
		return false
	default:
		return !s.stopping.Load()
	}
}
