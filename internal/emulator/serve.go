package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"gaugeslip/internal/fleet"
)

// Body is the JSON body of a job. A job whose body gives no work takes a tenth of a second.
type Body struct {
	WorkUS int64 `json:"work_us"`
	Slots  int   `json:"slots"`
}

// ServeHTTP implements the game worker's side of the platform's protocol.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodGet && (r.URL.Path == "/alive" || r.URL.Path == "/metrics/load"):
		h.serveProbe(w, r)
	case r.Method == http.MethodPost:
		h.serveJob(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (h *Host) serveProbe(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	h.report(Sight{Kind: Probed, From: ip(r.RemoteAddr)})
	l, heard := h.model.Probe(h.fleet.now())
	if h.faults.Idle {
		l = fleet.Load{FreeSlots: float64(h.model.Lanes)}
	}
	h.advance()
	h.mu.Unlock()
	if !heard {
		<-r.Context().Done()
		return
	}
	if r.URL.Path == "/alive" {
		return
	}
	fmt.Fprintf(w, "TEXT queue=%g, inflight=%g, x0=%g", l.Queue, l.InFlight, l.FreeSlots)
}

func (h *Host) serveJob(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Trace-Id")
	if id == "" {
		http.NotFound(w, r)
		return
	}
	h.mu.Lock()
	x := h.faults
	h.mu.Unlock()
	if x.Slow > 0 && h.fleet.random() < x.Slow {
		r.Body = io.NopCloser(&slowReader{r.Body})
	}
	text, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	if err != nil {
		return
	}
	b := Body{WorkUS: 100_000, Slots: 1}
	if json.Unmarshal(text, &b) != nil || b.WorkUS <= 0 {
		b.WorkUS = 100_000
	}
	if x.Full > 0 && h.fleet.random() < x.Full {
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	work := time.Duration(b.WorkUS) * time.Microsecond
	j := &pendingJob{id: id, work: work, notes: make(chan fleet.Note, 4096)}
	h.fleet.mu.Lock()
	h.fleet.lastJob++
	n := h.fleet.lastJob
	h.fleet.mu.Unlock()
	h.mu.Lock()
	h.jobs[n] = j
	now, cold, fallen := h.fleet.now(), 0.0, h.model.Toppled()
	if h.model.Up() && h.model.Cold(now) {
		cold = h.model.Capacity(now)
	}
	v := h.model.Take(now, n, work, max(b.Slots, 1))
	if h.report(Sight{Kind: Took, From: ip(r.RemoteAddr), Job: id, Work: work, Capacity: cold, Verdict: v}); h.model.Toppled() && !fallen {
		h.report(Sight{Kind: Fell})
	}
	if v == fleet.Broken {
		h.report(Sight{Kind: Ran, Job: id})
	}
	if v != fleet.Taken {
		delete(h.jobs, n)
	}
	h.advance()
	toppled := h.model.Toppled()
	h.mu.Unlock()
	if toppled && v == fleet.Down {
		h.abort(w)
		go h.Kill()
		return
	}
	switch v {
	case fleet.Full:
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case fleet.Broken:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case fleet.Silent:
		<-r.Context().Done()
		return
	case fleet.Down:
		h.abort(w)
		return
	}
	h.streamStates(w, r, n, j, x)
}

// abort closes the connection with a reset.
func (h *Host) abort(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if t, ok := conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	conn.Close()
}

// streamStates writes each state change of a job as a line of JSON until the job ends or its client disconnects.
func (h *Host) streamStates(w http.ResponseWriter, r *http.Request, n uint64, j *pendingJob, x Faults) {
	silent := x.Silent > 0 && h.fleet.random() < x.Silent
	reset := x.Reset > 0 && h.fleet.random() < x.Reset
	cut := x.Cut > 0 && h.fleet.random() < x.Cut
	flush := http.NewResponseController(w)
	say := func(format string, args ...any) bool {
		fmt.Fprintf(w, `{"id":%q,"from":%q,`+format+"}\n", append([]any{j.id, h.Name}, args...)...)
		return flush.Flush() == nil
	}
	for {
		var note fleet.Note
		select {
		case note = <-j.notes:
		case <-r.Context().Done():
			h.update(func(now time.Duration) {
				h.report(Sight{Kind: Left, Job: j.id})
				h.model.Drop(now, n)
			})
			return
		}
		if silent {
			<-r.Context().Done()
			return
		}
		switch note.Kind {
		case fleet.Started:
			if say(`"state":"started"`); reset {
				h.abort(w)
				return
			}
		case fleet.Progressed:
			say(`"state":"running","share":%.3f`, note.Share)
		case fleet.Done:
			if cut {
				io.WriteString(w, `{"id":"`+j.id+`","sta`)
				flush.Flush()
				h.abort(w)
				return
			}
			say(`"state":"done","result":%q`, j.id+" done by "+h.Name)
			return
		case fleet.Returned:
			say(`"state":"returned"`)
			return
		case fleet.Lost:
			say(`"state":"lost"`)
			return
		}
	}
}

// slowReader reads one byte per millisecond.
type slowReader struct{ r io.Reader }

func (t *slowReader) Read(b []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return t.r.Read(b[:min(len(b), 1)])
}
