package downstream

import (
	"cmp"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"gaugeslip/internal/net/loop"
)

// reject answers a request that cannot be accepted and closes the connection. It answers at once, without reading the
// rest of the request: what follows on the connection may be part of it. It returns the status.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, err error) int {
	var f *requestError
	if !errors.As(err, &f) {
		f = &requestError{http.StatusBadRequest, err.Error()}
	}
	switch f.status {
	case http.StatusMethodNotAllowed:
		w.Header().Set("Allow", http.MethodPost)
	case http.StatusServiceUnavailable:
		s.setRetryAfter(w, s.set.Policy.MaxRetryAfter)
	}
	slog.Debug("request rejected", "status", f.status, "why", f.why, "id", r.Header.Get("X-Trace-Id"))
	// Otherwise net/http reads the rest of the body before it answers.
	http.NewResponseController(w).EnableFullDuplex()
	w.Header().Set("Connection", "close")
	s.reply(w, f.status, f.why)
	if c := clientOf(r); c != nil {
		c.gate.setPhase(c, closing)
	}
	return f.status
}

// countAnswer counts a final answer to a job.
func (s *Server) countAnswer(class, status int) {
	if s.cfg.AnswerCounter != nil {
		s.cfg.AnswerCounter.Answered(class, status)
	}
}

// serveUp answers the health check on /up: whether this server accepts requests.
func (s *Server) serveUp(w http.ResponseWriter, r *http.Request) {
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

// serveJob submits a ticket to the loop, waits for its final answer and sends it.
func (s *Server) serveJob(w http.ResponseWriter, r *http.Request, t *loop.Ticket, p preference) {
	class := t.Job.Class
	t.Forward.Client = r.Context()
	if err := s.loop.Submit(t); err != nil {
		if errors.Is(err, loop.ErrDuplicateID) {
			s.countAnswer(class, s.reject(w, r, &requestError{http.StatusConflict, err.Error()}))
			return
		}
		// A hard limit was reached. Nothing was sent to a host, so a retry is harmless.
		s.countAnswer(class, s.writeAnswer(w, loop.Answer{Refused: true, RetryAfter: s.set.Policy.MaxRetryAfter}))
		return
	}
	left := false
	defer func() { s.loop.Release(t, left) }()
	s.callTestHook("waiting", r)
	select {
	case a := <-t.Answer():
		s.writeJobAnswer(w, r, t, p, a)
	case <-r.Context().Done():
		// A client that has only closed its sending side still reads. Without this answer net/http would send 200.
		w.Header().Set("Connection", "close")
		select {
		case a := <-t.Answer(): // decided before the disconnect was seen
			s.writeJobAnswer(w, r, t, p, a)
		default:
			left = true
			slog.Debug("client left", "id", t.Forward.TraceID)
			s.reply(w, http.StatusInternalServerError, "the client left")
		}
	case <-s.loop.Stopped():
		select {
		case a := <-t.Answer(): // decided before the loop stopped
			s.writeJobAnswer(w, r, t, p, a)
		default:
			s.reply(w, http.StatusInternalServerError, "stopped")
			s.countAnswer(class, http.StatusInternalServerError)
		}
	}
}

// callTestHook calls the test hook, which may block the request at a named point.
func (s *Server) callTestHook(point string, r *http.Request) {
	if s.testHook != nil {
		s.testHook(point, r)
	}
}

// writeJobAnswer sends the loop's answer to a ticket.
func (s *Server) writeJobAnswer(w http.ResponseWriter, r *http.Request, t *loop.Ticket, p preference, a loop.Answer) {
	if a.Accepted {
		s.replyAccepted(w, r, t.Forward.TraceID, p)
		return
	}
	s.countAnswer(t.Job.Class, s.writeAnswer(w, a))
}

// writeAnswer sends a final answer and returns its status.
func (s *Server) writeAnswer(w http.ResponseWriter, a loop.Answer) int {
	switch {
	case a.Served:
		w.Header().Set("Content-Type", "application/octet-stream")
		s.write(w, http.StatusOK, a.Body)
		return http.StatusOK
	case a.Refused:
		s.setRetryAfter(w, a.RetryAfter)
		status := cmp.Or(a.Status, http.StatusTooManyRequests)
		s.reply(w, status, cmp.Or(a.Text, "refused"))
		return status
	case a.Status != 0:
		s.reply(w, a.Status, a.Text)
		return a.Status
	default:
		s.reply(w, http.StatusInternalServerError, "failed")
		return http.StatusInternalServerError
	}
}

// setRetryAfter sets the Retry-After header of a refusal; 0 sets none.
func (s *Server) setRetryAfter(w http.ResponseWriter, after time.Duration) {
	if after > 0 && s.set.RetryAfter {
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	}
}

// reply sends a plain-text answer that the dispatcher generates itself.
func (s *Server) reply(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.write(w, status, []byte(text+"\n"))
}

func (s *Server) write(w http.ResponseWriter, status int, body []byte) {
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// A client that does not read must not hold its descriptor or block a shutdown forever.
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(status)
	w.Write(body)
}
