// Package fleet models game workers in virtual time: hosts with lanes, a queue, a cold start and an overload limit. It uses no
// I/O, clocks or goroutines; all randomness comes from seeded sources. internal/lab runs real dispatchers against these hosts,
// and internal/emulator serves the same hosts on sockets.
package fleet

import (
	"math"
	"time"
)

// Params are the parameters that all hosts of a deployment share. A zero value disables the corresponding feature.
type Params struct {
	Queue       int           // maximum number of waiting jobs; the host rejects further ones without looking at them
	ColdFrom    float64       // share of the capacity available right after a start
	WarmUp      time.Duration // time from a start to full capacity
	TipMultiple float64       // a cold host collapses when it is sent this multiple of its capacity
	OverloadFor time.Duration // during a window of this length
	ReportEvery time.Duration // maximum age of a load report
	Progress    time.Duration // interval between progress notes
	ProbeWork   time.Duration // work that a probe costs
	HandshakeOf time.Duration // work that a new connection costs
	MaxConns    int           // maximum number of connections; 0: unlimited
	DropWaiting bool          // remove a cancelled job from the queue
}

// Verdict is a host's immediate reply to a job.
type Verdict uint8

// The verdicts.
const (
	Taken  Verdict = iota
	Full           // rejected without being looked at
	Silent         // no reply, now or later
	Down           // no process is listening
	Broken         // the job fails immediately and may have run
)

// NoteKind is the kind of a later notification about a job.
type NoteKind uint8

// The kinds of notes.
const (
	Started NoteKind = iota
	Progressed
	Done
	Returned // by a draining host, before the job ran
	Lost     // the host's process ended
)

// Note is a host's notification about a job.
type Note struct {
	At    time.Duration
	Job   uint64
	Kind  NoteKind
	Share float64 // completed share of the work, for Progressed
}

// Load is a host's load report.
type Load struct{ Queue, InFlight, FreeSlots float64 }

// task is a job at a host.
type task struct {
	job      uint64
	work     float64 // seconds of a standard lane
	slots    int
	ends     float64 // on the host's service clock
	begins   float64
	nextNote time.Duration // time of the next progress note
}

// Host is one game worker. Calls must come in order of time; each first advances the host to the time of the call.
type Host struct {
	Name       string
	Kind, Room int
	Lanes      int
	Speed      float64 // of a lane, relative to a standard lane

	p         Params
	startedAt time.Duration // time of the last start; 0: long ago
	up        bool
	silent    bool // the machine is unreachable
	toppled   bool
	draining  bool
	failing   float64 // share of jobs that fail immediately
	random    func() float64
	now       time.Duration
	busy      int
	running   []task // sorted by end
	queue     []task
	notes     []Note
	report    Load
	reported  time.Duration
	conns     int
	inflow    []inflowEntry // while cold
	inflowSum float64

	Worked float64 // seconds of completed work
	Wasted float64 // seconds of work that was lost when the process ended
}

type inflowEntry struct {
	at   time.Duration
	work float64
}

// NewHost returns a host that has been up for a long time. random returns numbers from 0 to 1.
func NewHost(name string, kind, room, lanes int, speed float64, p Params, random func() float64) *Host {
	return &Host{Name: name, Kind: kind, Room: room, Lanes: lanes, Speed: speed, p: p, up: true, random: random, reported: -1}
}

// Born returns the time at which the process started; 0 means long ago.
func (h *Host) Born() time.Duration { return h.startedAt }

// Up reports whether the process runs.
func (h *Host) Up() bool { return h.up }

// Reachable reports whether the process runs and the machine can be reached.
func (h *Host) Reachable() bool { return h.up && !h.silent }

// Busy returns the number of lanes in use.
func (h *Host) Busy() int { return h.busy }

// Waiting returns the number of queued jobs.
func (h *Host) Waiting() int { return len(h.queue) }

// Draining reports whether the host rejects new jobs because it drains.
func (h *Host) Draining() bool { return h.draining }

// Failing reports whether the host fails a share of its jobs immediately.
func (h *Host) Failing() bool { return h.failing > 0 }

// Toppled reports whether the host collapsed under overload.
func (h *Host) Toppled() bool { return h.toppled }

// capacityShare returns the share of its full capacity that the host has at a time.
func (h *Host) capacityShare(now time.Duration) float64 {
	if h.startedAt == 0 || h.p.WarmUp <= 0 || h.p.ColdFrom <= 0 {
		return 1
	}
	age := float64(now-h.startedAt) / float64(h.p.WarmUp)
	return h.p.ColdFrom + float64((1-h.p.ColdFrom)*min(max(age, 0), 1))
}

// Capacity returns the present capacity in standard lanes.
func (h *Host) Capacity(now time.Duration) float64 {
	return float64(h.Lanes) * h.Speed * h.capacityShare(now)
}

// Cold reports whether the host has not yet reached its full capacity.
func (h *Host) Cold(now time.Duration) bool { return h.capacityShare(now) < 1 }

// service returns the work in seconds that one lane could have done by t: the integral of its speed since the start. Explicit
// conversions round each product, so that no platform fuses a multiplication with an addition.
func (h *Host) service(t time.Duration) float64 {
	if h.startedAt == 0 || h.p.WarmUp <= 0 || h.p.ColdFrom <= 0 {
		return float64(h.Speed * t.Seconds())
	}
	a, w, c := (t - h.startedAt).Seconds(), h.p.WarmUp.Seconds(), h.p.ColdFrom
	if a <= w {
		return float64(h.Speed * (float64(c*a) + float64((1-c)*a*a/(2*w))))
	}
	return float64(h.Speed * (float64(w*(1+c)/2) + (a - w)))
}

// timeOfService returns the first time at which service reaches s.
func (h *Host) timeOfService(s float64) time.Duration {
	x := s / h.Speed
	var a float64
	base := h.startedAt
	switch w, c := h.p.WarmUp.Seconds(), h.p.ColdFrom; {
	case h.startedAt == 0 || w <= 0 || c <= 0:
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

// Next returns the time of the host's next note if it receives no further calls, and false if there is none.
func (h *Host) Next() (time.Duration, bool) {
	if !h.up || len(h.running) == 0 {
		return 0, false
	}
	at := h.timeOfService(h.running[0].ends)
	if h.p.Progress > 0 {
		for i := range h.running {
			at = min(at, h.running[i].nextNote)
		}
	}
	return max(at, h.now), true
}

// Advance moves the host to the given time and returns its new notes. The result is valid until the next call.
func (h *Host) Advance(now time.Duration) []Note {
	h.advanceTo(now)
	out := h.notes
	h.notes = h.notes[len(h.notes):]
	if cap(h.notes) < 8 {
		h.notes = make([]Note, 0, 64)
	}
	if h.silent { // notes of an unreachable machine are lost
		return nil
	}
	return out
}

func (h *Host) advanceTo(now time.Duration) {
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
			h.addNote(Note{at, t.job, Done, 1})
			h.start()
			continue
		}
		for i := range h.running {
			if t := &h.running[i]; t.nextNote <= at {
				t.nextNote = at + h.p.Progress
				h.addNote(Note{at, t.job, Progressed, min((h.service(at)-t.begins)/t.work, 1)})
			}
		}
	}
	h.now = max(h.now, now)
}

func (h *Host) addNote(n Note) { h.notes = append(h.notes, n) }

// start runs queued jobs on free lanes in order. The first in the queue blocks the others until enough lanes are free.
func (h *Host) start() {
	for len(h.queue) > 0 && h.busy+h.queue[0].slots <= h.Lanes {
		t := h.queue[0]
		h.queue = h.queue[1:]
		h.busy += t.slots
		t.begins = h.service(h.now)
		t.ends = t.begins + t.work
		t.nextNote = h.now + h.p.Progress
		at := len(h.running)
		for at > 0 && h.running[at-1].ends > t.ends {
			at--
		}
		h.running = append(h.running, task{})
		copy(h.running[at+1:], h.running[at:])
		h.running[at] = t
		h.addNote(Note{h.now, t.job, Started, 0})
	}
}

// Take submits a job to the host.
func (h *Host) Take(now time.Duration, job uint64, work time.Duration, slots int) Verdict {
	h.advanceTo(now)
	switch {
	case !h.up:
		return Down
	case h.silent:
		return Silent
	}
	h.trackInflow(work.Seconds())
	switch {
	case !h.up: // collapsed under this job's load
		return Down
	case h.draining || slots > h.Lanes || len(h.queue) >= h.p.Queue && h.busy+slots > h.Lanes:
		return Full
	case h.failing > 0 && h.random() < h.failing:
		return Broken
	}
	h.queue = append(h.queue, task{job: job, work: work.Seconds(), slots: slots})
	h.start()
	return Taken
}

// trackInflow adds up the work sent to a cold host within the window, and makes the host collapse when that exceeds its limit.
func (h *Host) trackInflow(work float64) {
	if h.p.TipMultiple <= 0 || !h.Cold(h.now) {
		h.inflow, h.inflowSum = nil, 0
		return
	}
	h.inflow, h.inflowSum = append(h.inflow, inflowEntry{h.now, work}), h.inflowSum+work
	for h.inflow[0].at <= h.now-h.p.OverloadFor {
		h.inflowSum -= h.inflow[0].work
		h.inflow = h.inflow[1:]
	}
	if h.inflowSum > h.p.TipMultiple*h.Capacity(h.now)*h.p.OverloadFor.Seconds()*1.05 {
		h.toppled = true
		h.Kill(h.now)
	}
}

// Drop cancels a job. A running job continues.
func (h *Host) Drop(now time.Duration, job uint64) {
	h.advanceTo(now)
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

// Connect opens a connection. It returns false if the host has reached its limit.
func (h *Host) Connect(now time.Duration) bool {
	h.advanceTo(now)
	if h.p.MaxConns > 0 && h.conns >= h.p.MaxConns {
		return false
	}
	h.conns++
	h.addOverhead(h.p.HandshakeOf)
	return true
}

// Disconnect closes a connection.
func (h *Host) Disconnect() { h.conns = max(0, h.conns-1) }

// addOverhead delays the running jobs by work that belongs to no job, such as probes and handshakes.
func (h *Host) addOverhead(work time.Duration) {
	if len(h.running) == 0 {
		return
	}
	part := work.Seconds() / float64(h.Lanes)
	for i := range h.running {
		h.running[i].ends += part
	}
}

// Probe returns the host's load report, which is up to Params.ReportEvery old. It returns false if the host is unreachable.
func (h *Host) Probe(now time.Duration) (Load, bool) {
	h.advanceTo(now)
	if !h.Reachable() {
		return Load{}, false
	}
	h.addOverhead(h.p.ProbeWork)
	if h.reported < 0 || now-h.reported >= h.p.ReportEvery {
		h.reported = now
		h.report = Load{Queue: float64(len(h.queue)), InFlight: float64(len(h.queue) + len(h.running)),
			FreeSlots: float64(h.Lanes - h.busy)}
	}
	return h.report, true
}

// Fail makes the host fail a share of its jobs immediately, until the next call of Fail.
func (h *Host) Fail(share float64) { h.failing = share }

// Vanish makes the machine unreachable. Running jobs continue, but their notes are lost.
func (h *Host) Vanish(now time.Duration) {
	h.advanceTo(now)
	h.silent = true
}

// Kill ends the process. Its jobs are lost, and the machine refuses connections.
func (h *Host) Kill(now time.Duration) {
	h.advanceTo(now)
	for _, t := range h.running {
		h.Wasted += min(h.service(now)-t.begins, t.work)
		h.addNote(Note{now, t.job, Lost, 0})
	}
	for _, t := range h.queue {
		h.addNote(Note{now, t.job, Lost, 0})
	}
	h.up, h.busy, h.running, h.queue, h.conns = false, 0, nil, nil, 0
	h.inflow, h.inflowSum = nil, 0
}

// Start restarts the process, cold. A host that collapsed stays down.
func (h *Host) Start(now time.Duration) {
	h.advanceTo(now)
	if h.toppled {
		return
	}
	if h.silent { // notes made while unreachable are lost
		h.notes = h.notes[:0]
	}
	h.up, h.silent, h.draining, h.startedAt, h.reported = true, false, false, now, -1
}

// Drain makes the host finish running jobs and return queued ones.
func (h *Host) Drain(now time.Duration) {
	h.advanceTo(now)
	h.draining = true
	for _, t := range h.queue {
		h.addNote(Note{now, t.job, Returned, 0})
	}
	h.queue = nil
}
