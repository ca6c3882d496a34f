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

// The bounds of the server. A caller waits 1 s for its answer, however busy the dispatcher is.
const (
	headTimeout  = 2 * time.Second // from the accept to the end of the head; silent callers go then
	writeTimeout = 2 * time.Second
	handFor      = 800 * time.Millisecond // what the loop has to take a call by hand in
	bodyMost     = 4 << 10                // calls carry no body to speak of
	pollEvery    = 250 * time.Millisecond // for changes of the file by another process
)

// Core is what the server needs of the loop.
type Core interface {
	// Hand takes a host out by hand, or puts it back; known: the name is that of a listed host or of one out by
	// hand. Once it returns, the module has heard of it.
	Hand(ctx context.Context, name string, out bool) (known bool, err error)
	// HandSet makes the set of hosts out by hand the one given.
	HandSet(names []string)
}

// Config is what a Server must keep to.
type Config struct {
	Addr     string
	MaxConns int         // connections at once; at the limit the oldest that has not sent a whole call is closed
	Ready    func() bool // the process can serve
	Metrics  *Metrics
	Core     Core
	Store    *Store // nil: what is done by hand is not kept beyond the process
	// Views are further things to look at, by path below /: GET answers with what each gives, as JSON. They must not wait.
	Views map[string]func() any
}

// Server answers the operators. Each call has a connection of its own: every answer closes it.
type Server struct {
	cfg  Config
	http *http.Server
	gate *limit
	mu   sync.Mutex // of the store
}

// NewServer makes a server that has no address yet.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthcheck", s.health)
	mux.Handle("GET /stats", promhttp.HandlerFor(cfg.Metrics.Gatherer(), promhttp.HandlerOpts{
		ErrorHandling: promhttp.ContinueOnError, MaxRequestsInFlight: 4, Timeout: time.Second}))
	mux.HandleFunc("POST /game-workers/{id}/maint", func(w http.ResponseWriter, r *http.Request) { s.hand(w, r, true) })
	mux.HandleFunc("POST /game-workers/{id}/ready", func(w http.ResponseWriter, r *http.Request) { s.hand(w, r, false) })
	for path, view := range cfg.Views {
		mux.HandleFunc("GET /"+path, func(w http.ResponseWriter, _ *http.Request) {
			text, err := json.Marshal(view())
			if err != nil {
				say(w, http.StatusInternalServerError, err.Error())
				return
			}
			answer(w, http.StatusOK, "application/json", string(text))
		})
	}
	s.http = &http.Server{Handler: framed(mux), ReadHeaderTimeout: headTimeout, ReadTimeout: headTimeout,
		WriteTimeout: writeTimeout, MaxHeaderBytes: 8 << 10,
		ConnState: func(nc net.Conn, state http.ConnState) { s.gate.state(nc, state) },
		ErrorLog:  slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)}
	s.http.SetKeepAlivesEnabled(false)
	return s
}

// Listen opens the address.
func (s *Server) Listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", s.cfg.Addr)
	if err != nil {
		return nil, fmt.Errorf("ops: %w", err)
	}
	s.gate = newLimit(ln, s.cfg.MaxConns)
	return s.gate, nil
}

// Restore tells the core what the store holds, at a start. A file that can't be read is named in the log and
// counts as none.
func (s *Server) Restore() {
	if s.cfg.Store == nil {
		return
	}
	s.mu.Lock()
	names, err := s.cfg.Store.Load()
	s.mu.Unlock()
	if err != nil {
		slog.Error("hosts out by hand: the file is not read, none are out", "error", err)
	}
	if len(names) > 0 {
		slog.Info("hosts out by hand, as kept", "hosts", names)
	}
	s.cfg.Core.HandSet(names)
}

// Serve answers calls until ctx ends, and follows the changes that another process makes to the store.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(ln) }()
	tick := time.NewTicker(pollEvery)
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
			s.follow()
		}
	}
}

// follow takes in what another process of the same dispatcher has written to the store.
func (s *Server) follow() {
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
		slog.Error("hosts out by hand: the file is not read, what is out stays so", "error", err)
		return
	}
	s.cfg.Core.HandSet(names)
}

// framed refuses bodies that are framed twice or too long, before any handler.
func framed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case len(r.TransferEncoding) > 0 || r.Header.Get("Content-Length") != "" && r.Header.Get("Transfer-Encoding") != "":
			say(w, http.StatusBadRequest, "no Transfer-Encoding here")
			return
		case r.ContentLength > bodyMost:
			say(w, http.StatusRequestEntityTooLarge, "calls carry no body")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if s.cfg.Ready() {
		say(w, http.StatusOK, "ok")
		return
	}
	say(w, http.StatusServiceUnavailable, "not serving")
}

// hand takes a game worker out, or puts it back. A name that nobody has gets a 404 and changes nothing.
func (s *Server) hand(w http.ResponseWriter, r *http.Request, out bool) {
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, bodyMost)); err != nil {
		say(w, http.StatusBadRequest, "body: "+err.Error())
		return
	}
	name := r.PathValue("id")
	if !ValidName(name) {
		say(w, http.StatusBadRequest, "not a game worker's name")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), handFor)
	defer cancel()
	known, err := s.cfg.Core.Hand(ctx, name, out)
	switch {
	case err != nil:
		say(w, http.StatusServiceUnavailable, "not taken in time; ask again")
		return
	case !known:
		say(w, http.StatusNotFound, "no game worker of that name")
		return
	}
	s.keep(name, out)
	verb := map[bool]string{true: "out", false: "back"}[out]
	slog.Info("game worker "+verb+" by hand", "host", name)
	say(w, http.StatusOK, verb)
}

// keep writes a change to the store, on top of what is there now: another process may have written it last.
func (s *Server) keep(name string, out bool) {
	if s.cfg.Store == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	names, err := s.cfg.Store.Load()
	if err != nil {
		slog.Error("hosts out by hand: the file is not read, it is written anew", "error", err)
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
		slog.Error("hosts out by hand: not kept for a successor", "error", err)
	}
}

// say sends a short answer and closes.
func say(w http.ResponseWriter, status int, text string) {
	answer(w, status, "text/plain; charset=utf-8", text)
}

func answer(w http.ResponseWriter, status int, kind, text string) {
	w.Header().Set("Content-Type", kind)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)+1))
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
	io.WriteString(w, text+"\n")
}
