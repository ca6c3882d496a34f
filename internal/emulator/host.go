package emulator

import (
	"fmt"
	"net"
	"net/http"
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
	jobs       map[uint64]*heldJob
	wake       *time.Timer
	server     *http.Server
	ln         net.Listener // of server
	faults     Faults
	state      string // of discovery's list
}

// heldJob is a request that a host holds.
type heldJob struct {
	id    string
	work  time.Duration
	notes chan fleet.Note
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
