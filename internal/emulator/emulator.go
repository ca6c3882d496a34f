// Package emulator puts the hosts of internal/fleet on loopback sockets in real time, as the platform's protocol has them: game
// workers with load reports and probes, and discovery with its watch. Faults can be put on their connections.
package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"gaugeslip/internal/fleet"
)

// Faults are the shares of requests that meet with one on their connection, each from 0 to 1.
type Faults struct {
	Silent float64 // read, and never answered
	Reset  float64 // reset once it runs
	Cut    float64 // cut off in the middle of its last line
	Slow   float64 // read a byte at a time
	Full   float64 // turned away, though there is room
	Idle   bool    // its load reports tell of free lanes and no queue, whatever is true
}

// Host is one game worker on a socket.
type Host struct {
	Name, Addr string
	model      *fleet.Host
	number     int
	owner      *Fleet
	mu         sync.Mutex
	jobs       map[uint64]*waiting
	wake       *time.Timer
	server     *http.Server
	ln         net.Listener // of server
	faults     Faults
	state      string // of discovery's list
}

// waiting is a request that a host holds.
type waiting struct {
	id    string
	work  time.Duration
	notes chan fleet.Note
}

// SightKind says what a host saw.
type SightKind uint8

// The kinds. Each carries At, Host and, where somebody came, From; those of a job its id.
const (
	Took   SightKind = iota // a job has come whole (Verdict, Work; Capacity of a host that is cold)
	Ran                     // it begins to run
	Done                    // it has run to its end (Work)
	Lost                    // it was lost with its process
	Left                    // whoever sent it waits for it no longer
	Probed                  // its load was asked for
	Opened                  // a connection came up
	Fell                    // it fell over
)

// Sight is one thing that a host saw. From is the IP address of whoever came.
type Sight struct {
	Kind     SightKind
	At       time.Duration // on the fleet's clock
	Host     int
	From     string
	Job      string
	Work     time.Duration
	Capacity float64 // in standard lanes, of a cold host; 0: it is warm
	Verdict  fleet.Verdict
}

// Fleet is a number of hosts and their discovery.
type Fleet struct {
	Hosts     []*Host
	Discovery string // its address

	start    time.Time
	see      func(Sight)
	mu       sync.Mutex
	next     uint64
	rng      *rand.Rand
	seq      uint64
	changed  chan struct{} // closed at each change of the list
	disc     []*http.Server
	sites    []string
	kinds    []string
	served   sync.WaitGroup
	discDown bool
}

// Spec is one host to be made.
type Spec struct {
	Kind, Room string
	Lanes      int
	Speed      float64
}

// Start puts hosts and discovery on loopback sockets. see is told what the hosts see, from many goroutines and with a host's
// lock held: it must be quick, and call nothing here. It may be nil.
func Start(specs []Spec, p fleet.Params, seed uint64, see func(Sight)) (*Fleet, error) {
	if see == nil {
		see = func(Sight) {}
	}
	f := &Fleet{start: time.Now().Add(-time.Hour), see: see, rng: rand.New(rand.NewPCG(seed, 9)), seq: 1,
		changed: make(chan struct{})}
	for i, s := range specs {
		m := fleet.NewHost(fmt.Sprintf("s-%08x", uint32(i+1)*2654435761), i, 0, s.Lanes, s.Speed, p, f.chance)
		h := &Host{Name: m.Name, model: m, number: i, owner: f, jobs: map[uint64]*waiting{}, state: "in_service"}
		f.sites, f.kinds = append(f.sites, s.Room), append(f.kinds, s.Kind)
		if err := h.listen("127.0.0.1:0"); err != nil {
			f.Close()
			return nil, err
		}
		f.Hosts = append(f.Hosts, h)
	}
	var err error
	if f.Discovery, err = f.View(f.own); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// View opens one more address of discovery. Its list has the address that dial gives for each host, by number: whoever asks
// there comes to the hosts by ways of its own.
func (f *Fleet) View(dial func(host int) string) (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("emulator: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", func(w http.ResponseWriter, r *http.Request) { f.list(w, r, dial) })
	s := &http.Server{Handler: mux}
	f.mu.Lock()
	f.disc = append(f.disc, s)
	f.mu.Unlock()
	f.served.Go(func() { s.Serve(ln) })
	return ln.Addr().String(), nil
}

// Now is the time on the fleet's clock, which Sights carry.
func (f *Fleet) Now() time.Duration { return f.now() }

func (f *Fleet) chance() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}

// now is the time on the model's clock.
func (f *Fleet) now() time.Duration { return time.Since(f.start) }

// Close ends everything, and returns when nothing of it is left.
func (f *Fleet) Close() {
	f.mu.Lock()
	disc := f.disc
	f.mu.Unlock()
	for _, s := range disc {
		s.Close()
	}
	for _, h := range f.Hosts {
		h.mu.Lock()
		if h.wake != nil {
			h.wake.Stop()
		}
		h.mu.Unlock()
		h.shut()
	}
	f.served.Wait()
}

// change publishes a change of the list.
func (f *Fleet) change() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seq++
	close(f.changed)
	f.changed = make(chan struct{})
}

// Down takes discovery down, or brings it back: its watches end and its calls fail.
func (f *Fleet) Down(down bool) {
	f.mu.Lock()
	f.discDown = down
	f.mu.Unlock()
	f.change()
}

// List is discovery's whole list as it stands, as JSON.
func (f *Fleet) List() []byte { return f.ListFor(f.own) }

// own is a host's own address.
func (f *Fleet) own(host int) string { return f.Hosts[host].Addr }

// ListFor is the list as a View with these addresses tells it.
func (f *Fleet) ListFor(dial func(host int) string) []byte {
	f.mu.Lock()
	seq := f.seq
	f.mu.Unlock()
	return f.entries(seq, dial)
}

// entries is the whole list as JSON.
func (f *Fleet) entries(seq uint64, dial func(int) string) []byte {
	type entry struct {
		Host   string  `json:"host"`
		Dial   string  `json:"dial"`
		Site   string  `json:"site"`
		Class  string  `json:"class"`
		Block  int     `json:"block"`
		Health string  `json:"health"`
		Share  float64 `json:"share"`
		Born   int64   `json:"born_ms"`
	}
	list := struct {
		Seq   uint64  `json:"seq"`
		Whole bool    `json:"whole"`
		Hosts []entry `json:"hosts"`
	}{seq, true, []entry{}}
	for i, h := range f.Hosts {
		h.mu.Lock()
		e := entry{Host: h.Name, Dial: dial(i), Site: f.sites[i], Class: f.kinds[i], Health: h.state,
			Share: float64(h.model.Lanes) * h.model.Speed}
		if b := h.model.Born(); b > 0 {
			e.Born = f.start.Add(b).UnixMilli()
		}
		h.mu.Unlock()
		if e.Health != "terminated" {
			list.Hosts = append(list.Hosts, e)
		}
	}
	text, err := json.Marshal(&list)
	if err != nil {
		panic(err) // names and figures of our own
	}
	return text
}

// list serves discovery: the whole list, or a watch that sends it whole at each change, and an empty line every 2 s.
func (f *Fleet) list(w http.ResponseWriter, r *http.Request, dial func(int) string) {
	index, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	stream := r.URL.Query().Get("stream") == "1"
	flush := http.NewResponseController(w)
	for begun := false; ; begun = true {
		f.mu.Lock()
		seq, changed, down := f.seq, f.changed, f.discDown
		f.mu.Unlock()
		if down && begun { // a watch just ends
			return
		}
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if seq > index || !stream {
			index = seq
			w.Write(append(f.entries(seq, dial), '\n'))
		}
		if !stream || flush.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
			io.WriteString(w, "\n")
		case <-r.Context().Done():
			return
		}
	}
}

// listen opens the host's address.
func (h *Host) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("emulator: %w", err)
	}
	server := &http.Server{Handler: h, ConnState: func(c net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			h.opened(c)
		case http.StateClosed, http.StateHijacked:
			h.mu.Lock()
			h.model.Disconnect()
			h.mu.Unlock()
		}
	}}
	h.mu.Lock()
	h.ln = ln
	if h.server = server; h.Addr == "" { // it never changes
		h.Addr = ln.Addr().String()
	}
	h.mu.Unlock()
	h.owner.served.Go(func() { server.Serve(ln) })
	return nil
}

// opened books a connection that came up, and closes one beyond what the host holds.
func (h *Host) opened(c net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sight(Sight{Kind: Opened, From: ip(c.RemoteAddr().String())})
	if !h.model.Connect(h.owner.now()) {
		c.Close()
	}
	h.advance()
}

// sight tells what was seen, now. The lock is held.
func (h *Host) sight(s Sight) {
	s.At, s.Host = h.owner.now(), h.number
	h.owner.see(s)
}

// ip is the address without its port.
func ip(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}

// shut closes its address and its connections.
func (h *Host) shut() {
	h.mu.Lock()
	server, ln := h.server, h.ln
	h.mu.Unlock()
	ln.Close() // a server that has not begun to serve yet would leave it open for a moment more
	server.Close()
}

// Fault sets the faults on its connections.
func (h *Host) Fault(x Faults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = x
}

// do changes the model and tells what comes of it.
func (h *Host) do(change func(now time.Duration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(h.owner.now())
	h.advance()
}

// advance passes on what the model tells and sets the timer for what it will. The lock is held.
func (h *Host) advance() {
	now := h.owner.now()
	for _, n := range h.model.Advance(now) {
		j := h.jobs[n.Job]
		if j == nil {
			continue
		}
		switch n.Kind {
		case fleet.Started:
			h.sight(Sight{Kind: Ran, Job: j.id})
		case fleet.Done:
			h.sight(Sight{Kind: Done, Job: j.id, Work: j.work})
		case fleet.Lost:
			h.sight(Sight{Kind: Lost, Job: j.id})
		}
		j.notes <- n // its buffer holds all that can come
		if n.Kind >= fleet.Done {
			delete(h.jobs, n.Job)
		}
	}
	if at, ok := h.model.Next(); ok {
		if h.wake != nil {
			h.wake.Stop()
		}
		h.wake = time.AfterFunc(max(at-now, 0), func() { h.do(func(time.Duration) {}) })
	}
}

// Vanish cuts it off: connections stay open and silent.
func (h *Host) Vanish() { h.do(h.model.Vanish) }

// Fail has it fail a share of its jobs.
func (h *Host) Fail(share float64) { h.do(func(time.Duration) { h.model.Fail(share) }) }

// Drain has it end what runs and give back the rest; the list tells.
func (h *Host) Drain() {
	h.do(func(now time.Duration) { h.model.Drain(now); h.state = "terminating" })
	h.owner.change()
}

// Kill ends its process: connections are reset, new ones refused; the list tells.
func (h *Host) Kill() {
	h.do(func(now time.Duration) { h.model.Kill(now); h.state = "terminated" })
	h.shut()
	h.owner.change()
}

// Restart starts it anew, cold; the list tells.
func (h *Host) Restart() error {
	h.do(h.model.Kill)
	h.shut()
	h.do(func(now time.Duration) { h.model.Start(now); h.state = "in_service" })
	if err := h.listen(h.Addr); err != nil {
		return err
	}
	h.owner.change()
	return nil
}

// Body is what a job's body says of its work; one that says nothing takes a tenth of a second.
type Body struct {
	WorkUS int64 `json:"work_us"`
	Slots  int   `json:"slots"`
}

// ServeHTTP is what the protocol has a game worker do.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodGet && (r.URL.Path == "/alive" || r.URL.Path == "/metrics/load"):
		h.probe(w, r)
	case r.Method == http.MethodPost:
		h.job(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (h *Host) probe(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	h.sight(Sight{Kind: Probed, From: ip(r.RemoteAddr)})
	l, heard := h.model.Probe(h.owner.now())
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

func (h *Host) job(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Trace-Id")
	if id == "" {
		http.NotFound(w, r)
		return
	}
	h.mu.Lock()
	x := h.faults
	h.mu.Unlock()
	if x.Slow > 0 && h.owner.chance() < x.Slow {
		r.Body = io.NopCloser(&trickle{r.Body})
	}
	text, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	if err != nil {
		return
	}
	b := Body{WorkUS: 100_000, Slots: 1}
	if json.Unmarshal(text, &b) != nil || b.WorkUS <= 0 {
		b.WorkUS = 100_000
	}
	if x.Full > 0 && h.owner.chance() < x.Full {
		w.Header().Set("X-Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	work := time.Duration(b.WorkUS) * time.Microsecond
	j := &waiting{id: id, work: work, notes: make(chan fleet.Note, 4096)}
	h.owner.mu.Lock()
	h.owner.next++
	n := h.owner.next
	h.owner.mu.Unlock()
	h.mu.Lock()
	h.jobs[n] = j
	now, cold, fallen := h.owner.now(), 0.0, h.model.Toppled()
	if h.model.Up() && h.model.Cold(now) {
		cold = h.model.Capacity(now)
	}
	v := h.model.Take(now, n, work, max(b.Slots, 1))
	if h.sight(Sight{Kind: Took, From: ip(r.RemoteAddr), Job: id, Work: work, Capacity: cold, Verdict: v}); h.model.Toppled() && !fallen {
		h.sight(Sight{Kind: Fell})
	}
	if v == fleet.Broken {
		h.sight(Sight{Kind: Ran, Job: id})
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
	h.follow(w, r, n, j, x)
}

// abort resets the connection.
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

// follow passes on what becomes of a job, a line each.
func (h *Host) follow(w http.ResponseWriter, r *http.Request, n uint64, j *waiting, x Faults) {
	silent := x.Silent > 0 && h.owner.chance() < x.Silent
	reset := x.Reset > 0 && h.owner.chance() < x.Reset
	cut := x.Cut > 0 && h.owner.chance() < x.Cut
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
			h.do(func(now time.Duration) {
				h.sight(Sight{Kind: Left, Job: j.id})
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

// trickle reads a byte at a time, slowly.
type trickle struct{ r io.Reader }

func (t *trickle) Read(b []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return t.r.Read(b[:min(len(b), 1)])
}

// Await waits until the dispatcher at addr is up, or ctx ends.
func Await(ctx context.Context, addr string) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/up", nil)
		if err != nil {
			return err
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.New("emulator: the dispatcher at " + addr + " is not up")
		case <-time.After(20 * time.Millisecond):
		}
	}
}
