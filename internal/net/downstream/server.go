// Package downstream serves the clients' side: it decodes each request once, waits for its final answer and
// encodes that answer, or a local reply, once.
package downstream

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"

	"gaugeslip/internal/net/loop"
	"gaugeslip/internal/settings"
)

const (
	headerTimeout  = 10 * time.Second
	bodyTimeout    = 10 * time.Second
	writeTimeout   = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
)

// AcceptFor is how long after the start of a shutdown clients still come: new connections go on for up to
// 0.4 s, and what comes within 0.7 s has to be served. What came later and is still unanswered when the
// platform kills the process counts as lost, so nothing is read beyond that.
const AcceptFor = 700 * time.Millisecond

// Config is what a Server must keep to.
type Config struct {
	Listen    string
	MaxConns  int           // connections at once; more wait in the listen queue
	AcceptFor time.Duration // see the constant
}

// Server is the downstream side.
type Server struct {
	cfg      Config
	set      *settings.Settings
	loop     *loop.Loop
	http     *http.Server
	stopping atomic.Bool
}

// New makes a server that hands its requests to a loop.
func New(cfg Config, set *settings.Settings, l *loop.Loop) *Server {
	s := &Server{cfg: cfg, set: set, loop: l}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)}
	return s
}

// Listen opens the one address that the dispatcher listens on.
func (s *Server) Listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("downstream: %w", err)
	}
	return netutil.LimitListener(ln, s.cfg.MaxConns), nil
}

// Serve serves until ctx ends, then goes on for as long as clients still come and until all that was taken
// has its answer.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(ln) }()
	select {
	case err := <-failed:
		return fmt.Errorf("downstream: %w", err)
	case <-ctx.Done():
	}
	s.stopping.Store(true)
	select {
	case err := <-failed:
		return fmt.Errorf("downstream: %w", err)
	case <-time.After(s.cfg.AcceptFor):
	}
	if err := s.http.Shutdown(context.Background()); err != nil {
		return fmt.Errorf("downstream: %w", err)
	}
	if err := <-failed; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("downstream: %w", err)
	}
	return nil
}

// ServeHTTP serves one request. Whatever goes wrong in it, the client gets an answer: what panics may have
// run, so the answer is a failure and not a refusal.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic in a handler", "panic", p, "stack", string(debug.Stack()))
			s.reply(w, http.StatusInternalServerError, "internal error")
		}
	}()
	if r.URL.Path == "/up" {
		s.up(w, r)
		return
	}
	// Only the body has a limit of its own: one on the connection would end the wait for the answer too.
	control := http.NewResponseController(w)
	control.SetReadDeadline(arrived.Add(bodyTimeout))
	t, err := decode(w, r, s.set, arrived)
	control.SetReadDeadline(time.Time{})
	if err != nil {
		var f *fault
		if !errors.As(err, &f) {
			f = &fault{http.StatusBadRequest, err.Error()}
		}
		if f.status == http.StatusMethodNotAllowed {
			w.Header().Set("Allow", http.MethodPost)
		}
		s.reply(w, f.status, f.why)
		return
	}
	s.await(w, r, t)
}

// up tells the front whether requests can be served here.
func (s *Server) up(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.Header().Set("Allow", "GET, HEAD")
		s.reply(w, http.StatusMethodNotAllowed, "GET only")
		return
	}
	select {
	case <-s.loop.Stopped():
	default:
		if !s.stopping.Load() {
			s.reply(w, http.StatusOK, "up")
			return
		}
	}
	s.reply(w, http.StatusServiceUnavailable, "stopping")
}

// await hands a ticket in and sends its answer.
func (s *Server) await(w http.ResponseWriter, r *http.Request, t *loop.Ticket) {
	if err := s.loop.Submit(t); err != nil {
		// A hard limit. Nothing was sent: a repeat is harmless.
		a := loop.Answer{Refused: true}
		if s.set.RetryAfter {
			a.RetryAfter = s.set.Policy.MaxRetryAfter
		}
		s.answer(w, a)
		return
	}
	left := false
	defer func() { s.loop.Release(t, left) }()
	select {
	case a := <-t.Answer():
		s.answer(w, a)
	case <-r.Context().Done():
		left = true
	case <-s.loop.Stopped():
		s.reply(w, http.StatusInternalServerError, "stopped")
	}
}

func (s *Server) answer(w http.ResponseWriter, a loop.Answer) {
	switch {
	case a.Served:
		w.Header().Set("Content-Type", "application/octet-stream")
		s.write(w, http.StatusOK, a.Body)
	case a.Refused:
		if a.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', -1, 64))
		}
		s.reply(w, http.StatusTooManyRequests, "refused")
	default:
		s.reply(w, http.StatusInternalServerError, "failed")
	}
}

// reply sends a local reply.
func (s *Server) reply(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.write(w, status, []byte(text+"\n"))
}

func (s *Server) write(w http.ResponseWriter, status int, body []byte) {
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// A client that does not read must not hold its descriptor, or a shutdown, for ever.
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(status)
	w.Write(body)
}
