package emulator

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"gaugeslip/internal/fleet"
)

// Faults holds the share of requests, from 0 to 1, on which each fault is injected.
type Faults struct {
	Silent float64 // read, and never answered
	Reset  float64 // reset once it runs
	Cut    float64 // cut off in the middle of its last line
	Slow   float64 // read a byte at a time
	Full   float64 // refused as if the host were full
	Idle   bool    // load reports always claim free lanes and no queue
}

// Host is one emulated game worker.
type Host struct {
	Name, Addr string
	model      *fleet.Host
	number     int
	fleet      *Fleet
	mu         sync.Mutex
	jobs       map[uint64]*pendingJob
	timer      *time.Timer
	server     *http.Server
	ln         net.Listener // of server
	faults     Faults
	state      string // health in discovery's list
}

// pendingJob is a job that a host has accepted and not ended.
type pendingJob struct {
	id    string
	work  time.Duration
	notes chan fleet.Note
}

// listen opens the host's address and starts serving it.
func (h *Host) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("emulator: %w", err)
	}
	server := &http.Server{Handler: h, ConnState: func(c net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			h.connectionOpened(c)
		case http.StateClosed, http.StateHijacked:
			h.mu.Lock()
			h.model.Disconnect()
			h.mu.Unlock()
		}
	}}
	h.mu.Lock()
	h.ln = ln
	if h.server = server; h.Addr == "" { // a restart keeps the address
		h.Addr = ln.Addr().String()
	}
	h.mu.Unlock()
	h.fleet.serving.Go(func() { server.Serve(ln) })
	return nil
}

// connectionOpened counts a new connection, and closes one that the model does not accept.
func (h *Host) connectionOpened(c net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.report(Sight{Kind: Opened, From: ip(c.RemoteAddr().String())})
	if !h.model.Connect(h.fleet.now()) {
		c.Close()
	}
	h.advance()
}

// report passes a Sight with the present time to the observer. The lock is held.
func (h *Host) report(s Sight) {
	s.At, s.Host = h.fleet.now(), h.number
	h.fleet.onSight(s)
}

// ip returns the address without its port.
func ip(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}

// closeServer closes the host's listener and connections.
func (h *Host) closeServer() {
	h.mu.Lock()
	server, ln := h.server, h.ln
	h.mu.Unlock()
	ln.Close() // server.Close does not close it if Serve has not been called yet
	server.Close()
}

// Fault sets the faults to inject into the host's connections.
func (h *Host) Fault(x Faults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = x
}

// update changes the model and passes on the effects.
func (h *Host) update(change func(now time.Duration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(h.fleet.now())
	h.advance()
}

// advance passes on the model's notes up to now and sets the timer for the next one. The lock is held.
func (h *Host) advance() {
	now := h.fleet.now()
	for _, n := range h.model.Advance(now) {
		j := h.jobs[n.Job]
		if j == nil {
			continue
		}
		switch n.Kind {
		case fleet.Started:
			h.report(Sight{Kind: Ran, Job: j.id})
		case fleet.Done:
			h.report(Sight{Kind: Done, Job: j.id, Work: j.work})
		case fleet.Lost:
			h.report(Sight{Kind: Lost, Job: j.id})
		}
		j.notes <- n // the buffer is large enough for all notes of a job
		if n.Kind >= fleet.Done {
			delete(h.jobs, n.Job)
		}
	}
	if at, ok := h.model.Next(); ok {
		if h.timer != nil {
			h.timer.Stop()
		}
		h.timer = time.AfterFunc(max(at-now, 0), func() { h.update(func(time.Duration) {}) })
	}
}

// Vanish isolates the host: connections stay open and silent.
func (h *Host) Vanish() { h.update(h.model.Vanish) }

// Fail makes the host fail a share of its jobs.
func (h *Host) Fail(share float64) { h.update(func(time.Duration) { h.model.Fail(share) }) }

// Drain makes the host finish its running jobs and return the others. The list shows it as terminating.
func (h *Host) Drain() {
	h.update(func(now time.Duration) { h.model.Drain(now); h.state = "terminating" })
	h.fleet.notifyWatches()
}

// Kill ends the host's process: connections are closed and new ones refused. The list no longer contains the host.
func (h *Host) Kill() {
	h.update(func(now time.Duration) { h.model.Kill(now); h.state = "terminated" })
	h.closeServer()
	h.fleet.notifyWatches()
}

// Restart ends the host's process and starts it again, cold. The list shows the new start.
func (h *Host) Restart() error {
	h.update(h.model.Kill)
	h.closeServer()
	h.update(func(now time.Duration) { h.model.Start(now); h.state = "in_service" })
	if err := h.listen(h.Addr); err != nil {
		return err
	}
	h.fleet.notifyWatches()
	return nil
}
