package operators

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Limits of the server. They make sure that a client is answered within 1 s, however busy the dispatcher is.
const (
	headTimeout  = 2 * time.Second // from the accept to the end of the head; then silent connections are closed
	writeTimeout = 2 * time.Second
	coreTimeout  = 800 * time.Millisecond // time within which the loop must accept a change by hand
	maxBody      = 4 << 10                // requests need no body
	pollInterval = 250 * time.Millisecond // between checks whether another process has changed the file
)

// Core is the part of the dispatcher's loop that the server uses.
type Core interface {
	// SetCordon takes a host out by hand or puts it back. known is false if the host is neither listed nor out by hand. When
	// SetCordon returns, the decision module has been notified.
	SetCordon(ctx context.Context, name string, out bool) (known bool, err error)
	// ReplaceCordons replaces the set of hosts that are out by hand.
	ReplaceCordons(names []string)
}

// Config configures a Server.
type Config struct {
	Addr     string
	MaxConns int         // connections at any one time; at the limit the oldest without a complete request head is closed
	Ready    func() bool // reports whether the process can serve
	Metrics  *Metrics
	Core     Core
	Store    *Store // nil: changes by hand are lost when the process ends
	// Views are further resources by path below /. GET answers with the returned value as JSON. The functions must not
	// block.
	Views map[string]func() any
}

// Server serves the operators. Each connection carries one request and is closed after the answer.
type Server struct {
	cfg      Config
	http     *http.Server
	listener *connLimiter
	mu       sync.Mutex // guards the store
}

// NewServer creates a server that does not listen yet.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthcheck", s.health)
	mux.Handle("GET /stats", promhttp.HandlerFor(cfg.Metrics.Gatherer(), promhttp.HandlerOpts{
		ErrorHandling: promhttp.ContinueOnError, MaxRequestsInFlight: 4, Timeout: time.Second}))
	mux.HandleFunc("POST /game-workers/{id}/maint", func(w http.ResponseWriter, r *http.Request) { s.setOut(w, r, true) })
	mux.HandleFunc("POST /game-workers/{id}/ready", func(w http.ResponseWriter, r *http.Request) { s.setOut(w, r, false) })
	for path, view := range cfg.Views {
		mux.HandleFunc("GET /"+path, func(w http.ResponseWriter, _ *http.Request) {
			text, err := json.Marshal(view())
			if err != nil {
				writeText(w, http.StatusInternalServerError, err.Error())
				return
			}
			writeAnswer(w, http.StatusOK, "application/json", string(text))
		})
	}
	s.http = &http.Server{Handler: checkFraming(mux), ReadHeaderTimeout: headTimeout, ReadTimeout: headTimeout,
		WriteTimeout: writeTimeout, MaxHeaderBytes: 8 << 10,
		ConnState: func(nc net.Conn, state http.ConnState) { s.listener.connState(nc, state) },
		ErrorLog:  slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)}
	s.http.SetKeepAlivesEnabled(false)
	return s
}

// Listen opens the listener.
func (s *Server) Listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", s.cfg.Addr)
	if err != nil {
		return nil, fmt.Errorf("ops: %w", err)
	}
	s.listener = newConnLimiter(ln, s.cfg.MaxConns)
	return s.listener, nil
}

// Restore passes the content of the store to the core at the start of the process. A file that cannot be read is logged
// and counts as empty.
func (s *Server) Restore() {
	if s.cfg.Store == nil {
		return
	}
	s.mu.Lock()
	names, err := s.cfg.Store.Load()
	s.mu.Unlock()
	if err != nil {
		slog.Error("hosts out by hand: cannot read the file; no hosts are out", "error", err)
	}
	if len(names) > 0 {
		slog.Info("hosts out by hand, as kept", "hosts", names)
	}
	s.cfg.Core.ReplaceCordons(names)
}

// Serve answers requests until ctx ends, and applies changes that another process makes to the store.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(ln) }()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case err := <-failed:
			return fmt.Errorf("ops: %w", err)
		case <-ctx.Done():
			s.http.Close()
			<-failed
			return nil
		case <-tick.C:
			s.reloadIfChanged()
		}
	}
}

// reloadIfChanged applies the store's content if another process of the same dispatcher has written it.
func (s *Server) reloadIfChanged() {
	if s.cfg.Store == nil {
		return
	}
	s.mu.Lock()
	if !s.cfg.Store.Changed() {
		s.mu.Unlock()
		return
	}
	names, err := s.cfg.Store.Load()
	s.mu.Unlock()
	if err != nil {
		slog.Error("hosts out by hand: cannot read the file; the set stays unchanged", "error", err)
		return
	}
	s.cfg.Core.ReplaceCordons(names)
}

// checkFraming rejects requests with a Transfer-Encoding or with too long a body, before any handler runs.
func checkFraming(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case len(r.TransferEncoding) > 0 || r.Header.Get("Content-Length") != "" && r.Header.Get("Transfer-Encoding") != "":
			writeText(w, http.StatusBadRequest, "no Transfer-Encoding here")
			return
		case r.ContentLength > maxBody:
			writeText(w, http.StatusRequestEntityTooLarge, "calls carry no body")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if s.cfg.Ready() {
		writeText(w, http.StatusOK, "ok")
		return
	}
	writeText(w, http.StatusServiceUnavailable, "not serving")
}

// setOut takes a game worker out or puts it back. An unknown name is answered with 404 and changes nothing.
func (s *Server) setOut(w http.ResponseWriter, r *http.Request, out bool) {
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBody)); err != nil {
		writeText(w, http.StatusBadRequest, "body: "+err.Error())
		return
	}
	name := r.PathValue("id")
	if !ValidName(name) {
		writeText(w, http.StatusBadRequest, "not a game worker's name")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), coreTimeout)
	defer cancel()
	known, err := s.cfg.Core.SetCordon(ctx, name, out)
	switch {
	case err != nil:
		writeText(w, http.StatusServiceUnavailable, "not taken in time; ask again")
		return
	case !known:
		writeText(w, http.StatusNotFound, "no game worker of that name")
		return
	}
	s.saveChange(name, out)
	verb := map[bool]string{true: "out", false: "back"}[out]
	slog.Info("game worker "+verb+" by hand", "host", name)
	writeText(w, http.StatusOK, verb)
}

// saveChange adds a change to the present content of the file, which another process may have written last.
func (s *Server) saveChange(name string, out bool) {
	if s.cfg.Store == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	names, err := s.cfg.Store.Load()
	if err != nil {
		slog.Error("hosts out by hand: cannot read the file; replacing it", "error", err)
	}
	kept := names[:0:0]
	for _, n := range names {
		if n != name {
			kept = append(kept, n)
		}
	}
	if out {
		kept = append(kept, name)
	}
	if err := s.cfg.Store.Save(kept); err != nil {
		slog.Error("hosts out by hand: cannot store the set; it is lost when the process ends", "error", err)
	}
}

// writeText sends a short answer and closes the connection.
func writeText(w http.ResponseWriter, status int, text string) {
	writeAnswer(w, status, "text/plain; charset=utf-8", text)
}

func writeAnswer(w http.ResponseWriter, status int, kind, text string) {
	w.Header().Set("Content-Type", kind)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)+1))
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
	io.WriteString(w, text+"\n")
}
