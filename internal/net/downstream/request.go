package downstream

import (
	"io"
	"log/slog"
	"net/http"
	"runtime/debug"
	"strings"
	"time"
)

// ServeHTTP serves one request. After a panic the client still gets an answer. The job may have run, so that answer
// is a failure and not a refusal.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	from := clientOf(r)
	if from != nil && from.isClosed() { // evicted: its client sends the request again, elsewhere
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
	if r.Body != http.NoBody { // otherwise a read already waits for a disconnect, and its time-out would look like one
		control.SetReadDeadline(bodyDeadline(from, arrived))
	}
	s.callTestHook("reading", r)
	if err := checkFraming(r); err != nil {
		s.reject(w, r, err)
		return
	}
	if _, _, job := classOf(r, s.set); r.URL.Path == "/up" && !(job && r.Method == http.MethodPost) {
		s.serveUp(w, r)
		return
	}
	if s.cfg.Waiting && (r.URL.Path == JobsPath || strings.HasPrefix(r.URL.Path, JobsPath+"/")) {
		control.SetReadDeadline(time.Time{})
		s.serveJobs(w, r)
		return
	}
	t, err := decode(r, s.set, arrived)
	var p preference
	if err == nil && s.cfg.Waiting {
		p, err = decodeWaiting(r, t)
	}
	if err == nil {
		counted := countedBodyBytes(r)
		bodyBytes := s.bodies.Add(counted)
		defer s.bodies.Add(-counted)
		t.Forward.Body, err = readBody(r, bodyBytes <= s.cfg.MaxBodies)
	}
	if err != nil {
		status := s.reject(w, r, err)
		if _, class, ok := classOf(r, s.set); ok { // counts as a job of its class although it was rejected
			s.countAnswer(class, status)
		}
		return
	}
	// The deadline is for the body only: left on the connection it would end the wait for the answer too.
	control.SetReadDeadline(time.Time{})
	if killed := s.killTime(); !killed.IsZero() {
		t.Job.Budget = min(t.Job.Budget, max(0, s.answerDeadline(killed).Sub(arrived)))
	}
	s.serveJob(w, r, t, p)
}

// bodyDeadline is the time by which the last byte of a request must arrive.
func bodyDeadline(c *client, arrived time.Time) time.Time {
	by := arrived.Add(bodyTimeout)
	if c != nil && by.Before(c.accepted.Add(requestTimeout)) {
		by = c.accepted.Add(requestTimeout)
	}
	return by
}

// uncountedBodyBytes is the length up to which a body does not count towards Config.MaxBodies: the number of
// connections already limits the short ones.
const uncountedBodyBytes = 4 << 10

// countedBodyBytes is what a request's body counts for in Config.MaxBodies. A chunked body counts as the longest
// allowed.
func countedBodyBytes(r *http.Request) int64 {
	switch {
	case r.ContentLength < 0:
		return maxBodyBytes
	case r.ContentLength <= uncountedBodyBytes:
		return 0
	}
	return r.ContentLength
}

// readBody reads a body of known length or in chunks. Without room it rejects long bodies.
func readBody(r *http.Request, room bool) ([]byte, error) {
	if !room && countedBodyBytes(r) > 0 {
		return nil, &requestError{http.StatusServiceUnavailable, "too many long bodies at once"}
	}
	if r.ContentLength < 0 {
		b, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
		switch {
		case err != nil:
			return nil, badRequest("body: %v", err)
		case len(b) > maxBodyBytes:
			return nil, &requestError{http.StatusRequestEntityTooLarge, "a body holds 64 KiB at most"}
		}
		return b, nil
	}
	b := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, b); err != nil {
		return nil, badRequest("body: %v", err)
	}
	return b, nil
}
