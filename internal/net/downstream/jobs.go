package downstream

import (
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/net/loop"
	"gaugeslip/internal/waiting"
)

// The clients' API for waiting jobs: headers on a job's POST, and /jobs to query and cancel jobs. Both are off unless
// Config.Waiting is set.

// JobsPath is the path below which waiting jobs are addressed by their ids.
const JobsPath = "/jobs"

const (
	maxDependencies = 16
	maxQueryWait    = 5 * time.Minute
	maxPageLength   = 1000
	maxTimeHeader   = 366 * 24 * time.Hour // limit of a time in a header; the settings limit it further
)

// singleWaitingHeaders names the headers of waiting jobs that may occur only once.
var singleWaitingHeaders = []string{"X-Not-Before-Ms", "X-Due-Ms", "X-After"}

// preference is what a request's Prefer headers ask for (RFC 7240). Of the defined preferences it supports
// respond-async and wait.
type preference struct {
	async bool
	wait  time.Duration
}

// parsePreferences parses the Prefer headers. As the RFC requires, unknown preferences are ignored and the first one
// of a name counts.
func parsePreferences(h http.Header) (p preference, err error) {
	waitSeen := false
	for _, part := range strings.Split(strings.Join(h["Prefer"], ","), ",") {
		part, _, _ = strings.Cut(part, ";") // parameters are ignored
		name, value, _ := strings.Cut(part, "=")
		switch strings.ToLower(strings.TrimSpace(name)) {
		case "respond-async":
			p.async = true
		case "wait":
			if waitSeen {
				continue
			}
			waitSeen = true
			v, err := strconv.ParseUint(strings.Trim(strings.TrimSpace(value), `"`), 10, 31)
			if err != nil {
				return p, badRequest("Prefer: wait: %q is no number of seconds", value)
			}
			p.wait = min(time.Duration(v)*time.Second, maxQueryWait)
		}
	}
	return p, nil
}

// decodeWaiting parses the headers of a waiting job into the ticket.
func decodeWaiting(r *http.Request, t *loop.Ticket) (p preference, err error) {
	for _, name := range singleWaitingHeaders {
		if len(r.Header[name]) > 1 {
			return p, badRequest("%s: more than one", name)
		}
	}
	if p, err = parsePreferences(r.Header); err != nil {
		return p, err
	}
	if t.Job.Client = r.Header.Get("X-Customer"); t.Job.Client == "" {
		t.Job.Client, _, _ = net.SplitHostPort(r.RemoteAddr)
	}
	w := dispatch.Wait{Detached: p.async}
	waits := p.async
	for _, f := range []struct {
		name string
		to   *time.Duration
	}{{"X-Not-Before-Ms", &w.NotBefore}, {"X-Due-Ms", &w.Due}} {
		values, there := r.Header[f.name]
		if !there {
			continue
		}
		waits = true
		v, err := strconv.ParseUint(values[0], 10, 63) // accepts no sign
		if err != nil || v > uint64(maxTimeHeader/time.Millisecond) {
			return p, badRequest("%s: bad value %q", f.name, values[0])
		}
		if *f.to = time.Duration(v) * time.Millisecond; v == 0 && f.to == &w.Due {
			return p, badRequest("X-Due-Ms: must be more than 0")
		}
	}
	if values, there := r.Header["X-After"]; there {
		waits = true
		for _, id := range strings.Split(values[0], ",") {
			if id = strings.TrimSpace(id); !validID(id, maxIDLength) {
				return p, badRequest("X-After: %q is no id", id)
			}
			if !slices.Contains(w.After, id) {
				w.After = append(w.After, id)
			}
		}
		if len(w.After) > maxDependencies {
			return p, badRequest("X-After: %d ids, %d at most", len(w.After), maxDependencies)
		}
	}
	if waits {
		t.Job.Wait = &w
	}
	return p, nil
}

// replyAccepted answers the POST of a job that continues without its connection. If the client prefers to wait first
// and the job ends in that time, it sends the job's final state instead.
func (s *Server) replyAccepted(w http.ResponseWriter, r *http.Request, id string, p preference) {
	if p.wait > 0 {
		if result, ok := s.queryJobs(r, waiting.Query{Name: id}, p.wait); ok && result.Info != nil && result.Info.State.Final() {
			s.replyFinished(w, result.Info)
			return
		}
	}
	w.Header().Set("Location", JobsPath+"/"+id)
	w.Header().Set("Preference-Applied", "respond-async")
	s.writeJSON(w, http.StatusAccepted, &Job{ID: id, State: waiting.Waiting.String()})
}

// replyFinished answers a POST with the final state of its job.
func (s *Server) replyFinished(w http.ResponseWriter, i *waiting.Info) {
	switch i.State {
	case waiting.Served:
		s.writeAnswer(w, loop.Answer{Served: true, Body: []byte(i.Result)})
	case waiting.Refused:
		s.writeAnswer(w, loop.Answer{Refused: true, Status: i.Status, Text: i.State.String()})
	default:
		s.writeAnswer(w, loop.Answer{Status: i.Status, Text: i.State.String()})
	}
}

// Job is the description of a job that clients get, as JSON.
type Job struct {
	ID       string  `json:"id"`
	State    string  `json:"state"`
	Class    string  `json:"class,omitempty"`
	DueMS    int64   `json:"due_ms,omitempty"`
	WaitedMS int64   `json:"waited_ms,omitempty"`
	Attempts int     `json:"attempts"`
	Status   int     `json:"status,omitempty"` // of a final job
	Result   *string `json:"result,omitempty"` // of a served job
	Binary   []byte  `json:"result_base64,omitempty"`
	Shed     bool    `json:"result_shed,omitempty"` // the result was dropped to free memory
}

// Page is one page of the list of jobs, as JSON.
type Page struct {
	Jobs []Job          `json:"jobs"`
	Next string         `json:"next,omitempty"` // "from" of the next page
	Room *waiting.Stats `json:"room"`
}

func newJob(i *waiting.Info) *Job {
	j := &Job{ID: i.Name, State: i.State.String(), Class: i.Class, DueMS: i.Due.Milliseconds(),
		WaitedMS: i.Waited.Milliseconds(), Attempts: i.Attempts, Status: i.Status, Shed: i.ResultShed}
	if i.State == waiting.Served && !i.ResultShed {
		if utf8.ValidString(i.Result) {
			j.Result = &i.Result
		} else {
			j.Binary = []byte(i.Result)
		}
	}
	return j
}

// queryJobs sends a query to the waiting queue. With a wait it returns when the job ends or the wait is over.
func (s *Server) queryJobs(r *http.Request, q waiting.Query, wait time.Duration) (dispatch.QueryResult, bool) {
	q.Deadline = s.loop.Clock().Now() + wait
	return s.loop.QueryJobs(r.Context(), dispatch.JobQuery{Query: q})
}

// serveJobs serves the paths below Jobs.
func (s *Server) serveJobs(w http.ResponseWriter, r *http.Request) {
	id := strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, JobsPath), "/")
	q := waiting.Query{Name: id}
	var wait time.Duration
	switch {
	case id == "" && r.Method == http.MethodGet:
		query, err := url.ParseQuery(r.URL.RawQuery)
		if err == nil {
			q.StartAfter, q.MaxJobs = query.Get("from"), maxPageLength
			if text := query.Get("most"); text != "" {
				var n uint64
				if n, err = strconv.ParseUint(text, 10, 16); n < 1 || n > maxPageLength {
					err = strconv.ErrRange
				}
				q.MaxJobs = int(n)
			}
		}
		if err != nil {
			s.reject(w, r, badRequest("most: 1 to %d", maxPageLength))
			return
		}
	case id != "" && !validID(id, maxIDLength):
		s.reject(w, r, &requestError{http.StatusNotFound, "no such job"})
		return
	case id != "" && r.Method == http.MethodGet:
		p, err := parsePreferences(r.Header)
		if err != nil {
			s.reject(w, r, err)
			return
		}
		wait = p.wait
	case id != "" && r.Method == http.MethodDelete:
		q.Cancel = true
	default:
		w.Header().Set("Allow", map[bool]string{true: "GET", false: "GET, DELETE"}[id == ""])
		s.reply(w, http.StatusMethodNotAllowed, "not this method")
		return
	}
	result, ok := s.queryJobs(r, q, wait)
	switch {
	case !ok && r.Context().Err() != nil:
	case !ok || result.Status == waiting.StatusFull:
		s.setRetryAfter(w, s.set.Policy.MaxRetryAfter)
		s.reply(w, http.StatusServiceUnavailable, "stopping")
	case result.Status == waiting.StatusUnknown:
		s.reply(w, http.StatusNotFound, "no such job")
	case result.Board != nil:
		page := Page{Jobs: make([]Job, 0, len(result.Board.Jobs)), Room: &result.Board.Stats}
		for i := range result.Board.Jobs {
			j := newJob(&result.Board.Jobs[i])
			j.Result = nil
			page.Jobs = append(page.Jobs, *j)
		}
		if n := len(page.Jobs); n == q.MaxJobs {
			page.Next = page.Jobs[n-1].ID
		}
		s.writeJSON(w, http.StatusOK, &page)
	default:
		if wait > 0 {
			w.Header().Set("Preference-Applied", "wait="+strconv.Itoa(int(wait/time.Second)))
		}
		s.writeJSON(w, result.Status, newJob(result.Info))
	}
}

func (s *Server) writeJSON(w http.ResponseWriter, status int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		s.reply(w, http.StatusInternalServerError, "internal error")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	s.write(w, status, append(text, '\n'))
}

// notifyShutdown tells the core that the process is ending and by when its answers must be sent.
func (s *Server) notifyShutdown() {
	if s.loop != nil {
		s.loop.Post(dispatch.Shutdown{Deadline: s.loop.Clock().Since(s.answerDeadline(s.killTime()))})
	}
}
