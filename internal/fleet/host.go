// Package fleet models what a dispatcher balances, in virtual time: game workers with lanes, a queue, a cold start and a
// breaking point, and the clients that send them work. It is free of I/O, clocks and goroutines; all chance comes from seeded
// sources. internal/lab runs real dispatchers against it, internal/emulator puts the same hosts on sockets.
package fleet

import (
	"math"
	"time"
)

// Params is what hosts of one deployment have in common. Zero values switch a part off.
type Params struct {
	Queue       int           // jobs that wait at a host; beyond, it turns them away unseen
	ColdFrom    float64       // of its capacity, right after a start
	WarmUp      time.Duration // until it has all of it
	TipMultiple float64       // sent this many times what it can do while cold
	OverloadFor time.Duration // for so long, it falls over
	ReportEvery time.Duration // how old a load report can be
	Progress    time.Duration // between notes of progress
	ProbeWork   time.Duration // work of a probe
	HandshakeOf time.Duration // work of a new connection
	MaxConns    int           // connections a host takes; 0: any number
	DropWaiting bool          // a cancelled job that waits is dropped
}

// Verdict is what a host says to a job at once.
type Verdict uint8

// The verdicts.
const (
	Taken  Verdict = iota
	Full           // turned away unseen
	Silent         // nothing is heard, now or later
	Down           // no process listens
	Broken         // it fails at once, and may have run
)

// NoteKind says what a host tells of a job later.
type NoteKind uint8

// The kinds of notes.
const (
	Started NoteKind = iota
	Progressed
	Done
	Returned // by a host that drains, before it ran
	Lost     // with the process
)

// Note is what a host tells of a job.
type Note struct {
	At    time.Duration
	Job   uint64
	Kind  NoteKind
	Share float64 // of Progressed
}

// Load is a host's report of itself.
type Load struct{ Queue, InFlight, FreeSlots float64 }

// task is a job at a host.
type task struct {
	job    uint64
	work   float64 // seconds of a standard lane
	slots  int
	ends   float64 // on the host's service clock
	begins float64
	note   time.Duration // its next note of progress
}

// Host is one game worker. Calls come in order of time; each first lets the time up to then pass.
type Host struct {
	Name       string
	Kind, Room int
	Lanes      int
	Speed      float64 // of a lane, against the standard

	p        Params
	born     time.Duration // it was started; 0: long ago
	up       bool
	silent   bool // the machine can't be reached
	toppled  bool
	draining bool
	failing  float64 // share of its jobs that it fails at once
	coin     func() float64
	now      time.Duration
	busy     int
	running  []task // by end
	queue    []task
	notes    []Note
	report   Load
	reported time.Duration
	conns    int
	inflow   []sent // while cold
	inflowed float64

	Worked float64 // seconds of work that ended here
	Wasted float64 // that was lost with the process, or done for nobody
}

type sent struct {
	at   time.Duration
	work float64
}

// NewHost makes a host that has been up for long. coin gives numbers from 0 to 1 for what it does by chance.
func NewHost(name string, kind, room, lanes int, speed float64, p Params, coin func() float64) *Host {
	return &Host{Name: name, Kind: kind, Room: room, Lanes: lanes, Speed: speed, p: p, up: true, coin: coin, reported: -1}
}

// Born is when its process started; 0: long ago.
func (h *Host) Born() time.Duration { return h.born }

// Up tells whether its process runs, Reachable whether its machine is heard too.
func (h *Host) Up() bool { return h.up }

// Reachable tells whether the host can be heard.
func (h *Host) Reachable() bool { return h.up && !h.silent }

// Busy and Waiting are the lanes in use and the jobs that wait; Draining and Failing what is wrong with it.
func (h *Host) Busy() int { return h.busy }

// Waiting is how many jobs wait at the host.
func (h *Host) Waiting() int { return len(h.queue) }

// Draining tells whether it takes no more.
func (h *Host) Draining() bool { return h.draining }

// Failing tells whether it fails jobs at once.
func (h *Host) Failing() bool { return h.failing > 0 }

// Toppled tells whether it fell over.
func (h *Host) Toppled() bool { return h.toppled }

// warm is the share of its capacity that a host has at an age.
func (h *Host) warm(now time.Duration) float64 {
	if h.born == 0 || h.p.WarmUp <= 0 || h.p.ColdFrom <= 0 {
		return 1
	}
	age := float64(now-h.born) / float64(h.p.WarmUp)
	return h.p.ColdFrom + float64((1-h.p.ColdFrom)*min(max(age, 0), 1))
}

// Capacity is what it can do now, in standard lanes.
func (h *Host) Capacity(now time.Duration) float64 {
	return float64(h.Lanes) * h.Speed * h.warm(now)
}

// Cold tells whether it has not all of its capacity yet.
func (h *Host) Cold(now time.Duration) bool { return h.warm(now) < 1 }

// service is how much work one lane could have done by t, in seconds: the integral of its speed since its start. Products
// are rounded one by one, so that no machine fuses them.
func (h *Host) service(t time.Duration) float64 {
	if h.born == 0 || h.p.WarmUp <= 0 || h.p.ColdFrom <= 0 {
		return float64(h.Speed * t.Seconds())
	}
	a, w, c := (t - h.born).Seconds(), h.p.WarmUp.Seconds(), h.p.ColdFrom
	if a <= w {
		return float64(h.Speed * (float64(c*a) + float64((1-c)*a*a/(2*w))))
	}
	return float64(h.Speed * (float64(w*(1+c)/2) + (a - w)))
}

// reaches is the first time at which service has come to s.
func (h *Host) reaches(s float64) time.Duration {
	x := s / h.Speed
	var a float64
	base := h.born
	switch w, c := h.p.WarmUp.Seconds(), h.p.ColdFrom; {
	case h.born == 0 || w <= 0 || c <= 0:
		a = x
		base = 0
	case x >= w*(1+c)/2:
		a = x - float64(w*(1+c)/2) + w
	default: // (1-c)/(2w) a^2 + c a - x = 0
		k := (1 - c) / (2 * w)
		a = (math.Sqrt(float64(c*c)+float64(4*k*x)) - c) / (2 * k)
	}
	t := base + time.Duration(a*1e9)
	for h.service(t) < s {
		t += max(1, time.Duration((s-h.service(t))/h.Speed*1e9))
	}
	return t
}

// Next tells when the host will have something to tell though nothing comes.
func (h *Host) Next() (time.Duration, bool) {
	if !h.up || len(h.running) == 0 {
		return 0, false
	}
	at := h.reaches(h.running[0].ends)
	if h.p.Progress > 0 {
		for i := range h.running {
			at = min(at, h.running[i].note)
		}
	}
	return max(at, h.now), true
}

// Advance lets time pass and gives what there is to tell. The result is valid until the next call.
func (h *Host) Advance(now time.Duration) []Note {
	h.pass(now)
	out := h.notes
	h.notes = h.notes[len(h.notes):]
	if cap(h.notes) < 8 {
		h.notes = make([]Note, 0, 64)
	}
	if h.silent { // whatever happens there, nobody hears of it
		return nil
	}
	return out
}

func (h *Host) pass(now time.Duration) {
	for h.up && len(h.running) > 0 {
		at, _ := h.Next()
		if at > now {
			break
		}
		h.now = at
		if t := h.running[0]; h.service(at) >= t.ends {
			h.running = h.running[1:]
			h.busy -= t.slots
			h.Worked += t.work
			h.tell(Note{at, t.job, Done, 1})
			h.start()
			continue
		}
		for i := range h.running {
			if t := &h.running[i]; t.note <= at {
				t.note = at + h.p.Progress
				h.tell(Note{at, t.job, Progressed, min((h.service(at)-t.begins)/t.work, 1)})
			}
		}
	}
	h.now = max(h.now, now)
}

func (h *Host) tell(n Note) { h.notes = append(h.notes, n) }

// start gives free lanes to what waits, in order; the first waits until it fits.
func (h *Host) start() {
	for len(h.queue) > 0 && h.busy+h.queue[0].slots <= h.Lanes {
		t := h.queue[0]
		h.queue = h.queue[1:]
		h.busy += t.slots
		t.begins = h.service(h.now)
		t.ends = t.begins + t.work
		t.note = h.now + h.p.Progress
		at := len(h.running)
		for at > 0 && h.running[at-1].ends > t.ends {
			at--
		}
		h.running = append(h.running, task{})
		copy(h.running[at+1:], h.running[at:])
		h.running[at] = t
		h.tell(Note{h.now, t.job, Started, 0})
	}
}

// Take hands a job to the host.
func (h *Host) Take(now time.Duration, job uint64, work time.Duration, slots int) Verdict {
	h.pass(now)
	switch {
	case !h.up:
		return Down
	case h.silent:
		return Silent
	}
	h.press(work.Seconds())
	switch {
	case !h.up: // that was too much
		return Down
	case h.draining || slots > h.Lanes || len(h.queue) >= h.p.Queue && h.busy+slots > h.Lanes:
		return Full
	case h.failing > 0 && h.coin() < h.failing:
		return Broken
	}
	h.queue = append(h.queue, task{job: job, work: work.Seconds(), slots: slots})
	h.start()
	return Taken
}

// press counts what is sent to a cold host, and has it fall over when that is too much.
func (h *Host) press(work float64) {
	if h.p.TipMultiple <= 0 || !h.Cold(h.now) {
		h.inflow, h.inflowed = nil, 0
		return
	}
	h.inflow, h.inflowed = append(h.inflow, sent{h.now, work}), h.inflowed+work
	for h.inflow[0].at <= h.now-h.p.OverloadFor {
		h.inflowed -= h.inflow[0].work
		h.inflow = h.inflow[1:]
	}
	if h.inflowed > h.p.TipMultiple*h.Capacity(h.now)*h.p.OverloadFor.Seconds()*1.05 {
		h.toppled = true
		h.Kill(h.now)
	}
}

// Drop tells that nobody waits for a job any more. One that runs goes on.
func (h *Host) Drop(now time.Duration, job uint64) {
	h.pass(now)
	if !h.p.DropWaiting {
		return
	}
	for i, t := range h.queue {
		if t.job == job {
			h.queue = append(h.queue[:i:i], h.queue[i+1:]...)
			h.start()
			return
		}
	}
}

// Connect opens a connection; false: it holds as many as it takes.
func (h *Host) Connect(now time.Duration) bool {
	h.pass(now)
	if h.p.MaxConns > 0 && h.conns >= h.p.MaxConns {
		return false
	}
	h.conns++
	h.steal(h.p.HandshakeOf)
	return true
}

// Disconnect closes one.
func (h *Host) Disconnect() { h.conns = max(0, h.conns-1) }

// steal takes work for something that is no job from what runs.
func (h *Host) steal(work time.Duration) {
	if len(h.running) == 0 {
		return
	}
	part := work.Seconds() / float64(h.Lanes)
	for i := range h.running {
		h.running[i].ends += part
	}
}

// Probe asks for its load: the report of a while ago. False: nothing is heard.
func (h *Host) Probe(now time.Duration) (Load, bool) {
	h.pass(now)
	if !h.Reachable() {
		return Load{}, false
	}
	h.steal(h.p.ProbeWork)
	if h.reported < 0 || now-h.reported >= h.p.ReportEvery {
		h.reported = now
		h.report = Load{Queue: float64(len(h.queue)), InFlight: float64(len(h.queue) + len(h.running)),
			FreeSlots: float64(h.Lanes - h.busy)}
	}
	return h.report, true
}

// Fail has it fail a share of its jobs at once, until it is told otherwise.
func (h *Host) Fail(share float64) { h.failing = share }

// Vanish cuts its machine off: nothing comes in, nothing is heard. What runs there runs on, for nobody.
func (h *Host) Vanish(now time.Duration) {
	h.pass(now)
	h.silent = true
}

// Kill ends its process: what it held is lost, and its machine says so to whoever asks.
func (h *Host) Kill(now time.Duration) {
	h.pass(now)
	for _, t := range h.running {
		h.Wasted += min(h.service(now)-t.begins, t.work)
		h.tell(Note{now, t.job, Lost, 0})
	}
	for _, t := range h.queue {
		h.tell(Note{now, t.job, Lost, 0})
	}
	h.up, h.busy, h.running, h.queue, h.conns = false, 0, nil, nil, 0
	h.inflow, h.inflowed = nil, 0
}

// Start starts it anew, cold. One that fell over stays down.
func (h *Host) Start(now time.Duration) {
	h.pass(now)
	if h.toppled {
		return
	}
	if h.silent { // what it told meanwhile is lost
		h.notes = h.notes[:0]
	}
	h.up, h.silent, h.draining, h.born, h.reported = true, false, false, now, -1
}

// Drain has it finish what runs and give back what has not begun.
func (h *Host) Drain(now time.Duration) {
	h.pass(now)
	h.draining = true
	for _, t := range h.queue {
		h.tell(Note{now, t.job, Returned, 0})
	}
	h.queue = nil
}
