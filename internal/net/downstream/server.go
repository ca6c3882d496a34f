// Package downstream serves the clients' side: it decodes each request once, waits for its final answer and
// encodes that answer, or a local reply, once.
package downstream

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
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

// AcceptFor is how long after the start of a shutdown clients still come: new connections go on for up to
// 0.4 s, and what comes within 0.7 s has to be served. What came later and is still unanswered when the
// platform kills the process counts as lost, so nothing is read beyond that.
const AcceptFor = 700 * time.Millisecond

// KilledAfter is how long after the start of a shutdown the platform leaves a dispatcher to answer: the longest
// deadline of its classes, counted as 3 s where it is longer, and the time for which clients still come. What comes
// during a shutdown is told the module with no more time than that, less a margin: a job that would be cut off is
// refused at once, where its client can still go elsewhere, and not begun.
func KilledAfter(set *settings.Settings) time.Duration {
	longest := time.Duration(0)
	for _, c := range set.Policy.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, 3*time.Second) + AcceptFor
}

// killMargin is how long before the platform's kill the last answer is decided; of short deadlines less.
const killMargin = 300 * time.Millisecond

// answerBy is when all that was taken has to be decided, given when the platform kills the process.
func (s *Server) answerBy(killed time.Time) time.Time {
	return killed.Add(-min(killMargin, s.cfg.KilledAfter/4))
}

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
	cfg      Config
	set      *settings.Settings
	loop     *loop.Loop
	http     *http.Server
	gate     *gate
	bodies   atomic.Int64 // see Config.MaxBodies
	stopping atomic.Bool
	killed   atomic.Int64 // when the platform ends the process, in Unix nanoseconds; 0: not known yet
	handover chan struct{}
	handing  sync.Once
	held     func(point string, r *http.Request) // called where a test holds a request; nil elsewhere
}

// New makes a server that hands its requests to a loop.
func New(cfg Config, set *settings.Settings, l *loop.Loop) *Server {
	s := &Server{cfg: cfg, set: set, loop: l, handover: make(chan struct{})}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnContext: withClient,
		ConnState: func(nc net.Conn, state http.ConnState) { s.gate.state(nc, state) },
		ErrorLog:  slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)}
	return s
}

// Listen opens the one address that the dispatcher listens on, or takes over the socket that the platform keeps
// for it. Such a socket outlives the process: a successor accepts on it while this one ends.
func (s *Server) Listen() (net.Listener, error) {
	ln, err := s.listen()
	if err != nil {
		return nil, fmt.Errorf("downstream: %w", err)
	}
	s.gate = newGate(ln, s.cfg.MaxConns)
	return s.gate, nil
}

func (s *Server) listen() (net.Listener, error) {
	if s.cfg.Inherited == 0 {
		return net.Listen("tcp", s.cfg.Listen)
	}
	f := os.NewFile(uintptr(s.cfg.Inherited), "inherited listener")
	if f == nil {
		return nil, fmt.Errorf("inherited descriptor %d: not open", s.cfg.Inherited)
	}
	defer f.Close() // FileListener holds a copy of its own
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("inherited descriptor %d: %w", s.cfg.Inherited, err)
	}
	return ln, nil
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

// Serve serves until ctx ends, then goes on for as long as clients still come and until all that was taken
// has its answer. On an inherited socket a successor may take over before ctx ends (Handover): this process then
// stops taking connections at once, answers what it has and waits for ctx to end.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(ln) }()
	select {
	case err := <-failed:
		return fmt.Errorf("downstream: %w", err)
	case <-ctx.Done():
	case <-s.handover:
	}
	// The platform's kill comes only after its SIGTERM, which may come after a handover.
	if ctx.Err() != nil {
		s.terminated()
	} else {
		defer context.AfterFunc(ctx, s.terminated)()
	}
	s.stopping.Store(true)
	if s.cfg.Inherited == 0 {
		select {
		case err := <-failed:
			return fmt.Errorf("downstream: %w", err)
		case <-time.After(s.cfg.AcceptFor):
		}
	} else {
		// The socket is the platform's: whoever comes now waits in its queue for the successor, which is
		// serving already, and not for a process that ends. Idle connections go now, unless a request is
		// already on its way on them, so that clients open new ones there.
		s.gate.shed(lastWords)
	}
	s.gate.stop(s.cfg.Inherited != 0)
	if err := <-failed; !errors.Is(err, errDone) {
		return fmt.Errorf("downstream: %w", err)
	}
	s.finish()
	<-ctx.Done() // after a handover the platform still ends the process itself
	s.terminated()
	if s.cfg.Waiting { // jobs without a connection that are out may still end
		ctx, cancel := context.WithDeadline(context.Background(), s.answerBy(s.killedAt()))
		defer cancel()
		s.loop.Idle(ctx)
	}
	return nil
}

const (
	lastWords = 500 * time.Millisecond // how long a connection may say nothing at all at an end
	lastLook  = 5 * time.Millisecond
	lastWrite = 100 * time.Millisecond // before the platform's kill: what is not written by then never is
)

// finish waits until no connection is owed an answer, or half read, and closes all others; on a socket of our own no
// later than shortly before the platform's kill. net/http's Shutdown closes connections that it holds for idle though
// their next request has just been read: such a request would run, and its client send it once more.
func (s *Server) finish() {
	tick := time.NewTicker(lastLook)
	defer tick.Stop()
	for s.gate.shed(lastWords) > 0 {
		if at := s.killedAt(); !at.IsZero() && time.Until(at) < lastWrite {
			slog.Warn("connections closed before the platform's kill, all that was taken is answered")
			break
		}
		<-tick.C
	}
	s.http.Close()
}

// Handover tells that a successor serves on the inherited socket: see Serve. It may be called more than once.
func (s *Server) Handover() { s.handing.Do(func() { close(s.handover) }) }

// terminated notes that SIGTERM has come.
func (s *Server) terminated() {
	if s.killed.CompareAndSwap(0, time.Now().Add(s.cfg.KilledAfter).UnixNano()) {
		s.closing()
	}
}

// killedAt is when the platform ends the process; zero: no SIGTERM has come.
func (s *Server) killedAt() time.Time {
	if at := s.killed.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// ServeHTTP serves one request. Whatever goes wrong in it, the client gets an answer: what panics may have
// run, so the answer is a failure and not a refusal.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	from := clientOf(r)
	if from != nil && from.gone() { // closed for others: its client sends the request once more, elsewhere
		panic(http.ErrAbortHandler)
	}
	defer func() {
		if p := recover(); p == http.ErrAbortHandler {
			panic(p)
		} else if p != nil {
			slog.Error("panic in a handler", "panic", p, "stack", string(debug.Stack()))
			s.reply(w, http.StatusInternalServerError, "internal error")
		}
	}()
	control := http.NewResponseController(w)
	if r.Body != http.NoBody { // else a read waits already for the client to leave, and its time-out would look like that
		control.SetReadDeadline(bodyBy(from, arrived))
	}
	s.hold("reading", r)
	if err := framed(r); err != nil {
		s.reject(w, r, err)
		return
	}
	if _, _, job := classOf(r, s.set); r.URL.Path == "/up" && !(job && r.Method == http.MethodPost) {
		s.up(w, r)
		return
	}
	if s.cfg.Waiting && (r.URL.Path == Jobs || strings.HasPrefix(r.URL.Path, Jobs+"/")) {
		control.SetReadDeadline(time.Time{})
		s.jobs(w, r)
		return
	}
	t, err := decode(r, s.set, arrived)
	var p prefer
	if err == nil && s.cfg.Waiting {
		p, err = decodeWait(r, t)
	}
	if err == nil {
		long := charge(r)
		held := s.bodies.Add(long)
		defer s.bodies.Add(-long)
		t.Forward.Body, err = readBody(r, held <= s.cfg.MaxBodies)
	}
	if err != nil {
		status := s.reject(w, r, err)
		if _, class, ok := classOf(r, s.set); ok { // a job of a class, though it could not be taken
			s.tally(class, status)
		}
		return
	}
	// Only the body has a limit: one on the connection would end the wait for the answer too.
	control.SetReadDeadline(time.Time{})
	if killed := s.killedAt(); !killed.IsZero() {
		t.Job.Budget = min(t.Job.Budget, max(0, s.answerBy(killed).Sub(arrived)))
	}
	s.await(w, r, t, p)
}

// bodyBy is when the last byte of a request has to be there.
func bodyBy(c *client, arrived time.Time) time.Time {
	by := arrived.Add(bodyTimeout)
	if c != nil && by.Before(c.accepted.Add(requestTimeout)) {
		by = c.accepted.Add(requestTimeout)
	}
	return by
}

// freeBody is how long a body may be without being counted: short ones are bounded by the connections.
const freeBody = 4 << 10

// charge is what a request's body counts for in Config.MaxBodies. One in chunks may be as long as any.
func charge(r *http.Request) int64 {
	switch {
	case r.ContentLength < 0:
		return maxBody
	case r.ContentLength <= freeBody:
		return 0
	}
	return r.ContentLength
}

// readBody reads a body of known length, or in chunks, where there is room for it.
func readBody(r *http.Request, room bool) ([]byte, error) {
	if !room && charge(r) > 0 {
		return nil, &fault{http.StatusServiceUnavailable, "too many long bodies at once"}
	}
	if r.ContentLength < 0 {
		b, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
		switch {
		case err != nil:
			return nil, bad("body: %v", err)
		case len(b) > maxBody:
			return nil, &fault{http.StatusRequestEntityTooLarge, "a body holds 64 KiB at most"}
		}
		return b, nil
	}
	b := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, b); err != nil {
		return nil, bad("body: %v", err)
	}
	return b, nil
}

// reject answers what can't be taken, at once and without waiting for the rest of it, and closes: what follows
// on the connection may be part of it. It returns the status.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, err error) int {
	var f *fault
	if !errors.As(err, &f) {
		f = &fault{http.StatusBadRequest, err.Error()}
	}
	switch f.status {
	case http.StatusMethodNotAllowed:
		w.Header().Set("Allow", http.MethodPost)
	case http.StatusServiceUnavailable:
		s.advise(w, s.set.Policy.MaxRetryAfter)
	}
	slog.Debug("refused at the door", "status", f.status, "why", f.why, "id", r.Header.Get("X-Trace-Id"))
	// Else net/http reads the rest of the body before it answers.
	http.NewResponseController(w).EnableFullDuplex()
	w.Header().Set("Connection", "close")
	s.reply(w, f.status, f.why)
	if c := clientOf(r); c != nil {
		c.gate.move(c, parting)
	}
	return f.status
}

// tally counts a final answer.
func (s *Server) tally(class, status int) {
	if s.cfg.Tally != nil {
		s.cfg.Tally.Answered(class, status)
	}
}

// up tells the front whether requests can be served here.
func (s *Server) up(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.Header().Set("Allow", "GET, HEAD")
		s.reply(w, http.StatusMethodNotAllowed, "GET only")
		return
	}
	if s.Serving() {
		s.reply(w, http.StatusOK, "up")
		return
	}
	s.reply(w, http.StatusServiceUnavailable, "stopping")
}

// await hands a ticket in and sends its answer.
func (s *Server) await(w http.ResponseWriter, r *http.Request, t *loop.Ticket, p prefer) {
	class := t.Job.Class
	t.Forward.Client = r.Context()
	if err := s.loop.Submit(t); err != nil {
		if errors.Is(err, loop.ErrOpen) {
			s.tally(class, s.reject(w, r, &fault{http.StatusConflict, err.Error()}))
			return
		}
		// A hard limit. Nothing was sent: a repeat is harmless.
		s.tally(class, s.answer(w, loop.Answer{Refused: true, RetryAfter: s.set.Policy.MaxRetryAfter}))
		return
	}
	left := false
	defer func() { s.loop.Release(t, left) }()
	s.hold("waiting", r)
	select {
	case a := <-t.Answer():
		s.final(w, r, t, p, a)
	case <-r.Context().Done():
		// One that has only ended its sending still reads: net/http's own answer would be that its job was served.
		w.Header().Set("Connection", "close")
		select {
		case a := <-t.Answer(): // decided before the leave was seen
			s.final(w, r, t, p, a)
		default:
			left = true
			slog.Debug("client left", "id", t.Forward.TraceID)
			s.reply(w, http.StatusInternalServerError, "the client left")
		}
	case <-s.loop.Stopped():
		select {
		case a := <-t.Answer(): // decided before the end
			s.final(w, r, t, p, a)
		default:
			s.reply(w, http.StatusInternalServerError, "stopped")
			s.tally(class, http.StatusInternalServerError)
		}
	}
}

// hold lets a test hold a request at a point.
func (s *Server) hold(point string, r *http.Request) {
	if s.held != nil {
		s.held(point, r)
	}
}

// final sends the loop's answer to a ticket.
func (s *Server) final(w http.ResponseWriter, r *http.Request, t *loop.Ticket, p prefer, a loop.Answer) {
	if a.Accepted {
		s.accepted(w, r, t.Forward.TraceID, p)
		return
	}
	s.tally(t.Job.Class, s.answer(w, a))
}

// answer sends a final answer and returns its status.
func (s *Server) answer(w http.ResponseWriter, a loop.Answer) int {
	switch {
	case a.Served:
		w.Header().Set("Content-Type", "application/octet-stream")
		s.write(w, http.StatusOK, a.Body)
		return http.StatusOK
	case a.Refused:
		s.advise(w, a.RetryAfter)
		status := cmp.Or(a.Status, http.StatusTooManyRequests)
		s.reply(w, status, cmp.Or(a.Why, "refused"))
		return status
	case a.Status != 0:
		s.reply(w, a.Status, a.Why)
		return a.Status
	default:
		s.reply(w, http.StatusInternalServerError, "failed")
		return http.StatusInternalServerError
	}
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

// advise tells a refused client when to come back; 0: no advice.
func (s *Server) advise(w http.ResponseWriter, after time.Duration) {
	if after > 0 && s.set.RetryAfter {
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
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
