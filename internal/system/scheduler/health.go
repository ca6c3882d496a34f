package scheduler

import (
	"math"
	"time"

	"gaugeslip/internal/system/state"
)

// health is what was learnt of one life of a worker.
type health struct {
	recent     [3]verdict // the last ends, newest first
	ends       int
	cleanEnds  int
	failedAt   time.Duration
	shutUntil  time.Duration
	shutTimes  int
	shut       bool
	busyUntil  time.Duration
	busyTimes  int
	slowLog    float64 // mean logarithm of run time against estimate
	slowWeight float64
}

// verdict is one end, as it counts for the worker.
type verdict struct {
	failed bool
	job    state.JobID
}

const (
	// failuresToShut of the last ends, of several jobs, shut a worker out.
	failuresToShut = 2
	firstShut      = 2 * time.Second
	longestShut    = 8 * time.Second
	// suspicionFades is how soon half of the suspicion after a failure is gone.
	suspicionFades = 3 * time.Second
	firstBusy      = 500 * time.Millisecond
	longestBusy    = 4 * time.Second
	// slowFrom is how many times as long as expected runs take on a slow worker.
	slowFrom   = 1.6
	slowMemory = 6
)

// measured takes in how long a run took against what was expected.
func (h *health) measured(ratio float64) {
	h.slowWeight = min(h.slowWeight+1, slowMemory)
	value := math.Log(min(max(ratio, 0.1), 20))
	h.slowLog += (value - h.slowLog) / (h.slowWeight + 1)
}

// slowness is how many times as long as expected runs take here.
func (h *health) slowness() float64 { return math.Exp(h.slowLog) }

// factor is by how much runs here are expected to be longer; small differences don't count.
func (h *health) factor() float64 {
	if slow := h.slowness(); slow >= slowFrom {
		return slow
	}
	return 1
}

// suspicion is between 0 and 1: how recently something has failed here.
func (h *health) suspicion(now time.Duration) float64 {
	if h.failedAt == 0 {
		return 0
	}
	return math.Exp2(-float64(now-h.failedAt) / float64(suspicionFades))
}

// onTrial tells whether the worker is given one task at a time only.
func (h *health) onTrial() bool { return h.shut }

// noteEnd takes in one end, newest first.
func (h *health) noteEnd(end verdict) {
	copy(h.recent[1:], h.recent[:])
	h.recent[0] = end
	h.ends++
}

// failures is how many of the last ends failed, of how many different jobs.
func (h *health) failures() int {
	count := 0
	for i := range min(h.ends, len(h.recent)) {
		if h.recent[i].failed && !h.failedBefore(i) {
			count++
		}
	}
	return count
}

func (h *health) failedBefore(at int) bool {
	for i := range at {
		if h.recent[i].failed && h.recent[i].job == h.recent[at].job {
			return true
		}
	}
	return false
}

// succeeded takes note of a clean finish: it reopens a worker that was shut out.
func (s *Scheduler) succeeded(r *run) {
	h := &r.worker.health
	h.noteEnd(verdict{job: r.name.Task.Job})
	h.cleanEnds++
	h.busyTimes = 0
	if h.shut {
		h.shut, h.shutTimes, h.shutUntil = false, 0, 0
		h.recent = [3]verdict{}
		h.ends = 0
	}
}

// failed takes note of a failed run, and shuts the worker out if several jobs have failed there of late.
func (s *Scheduler) failed(r *run) {
	if r.step.stage.LongRunning {
		return
	}
	h := &r.worker.health
	h.noteEnd(verdict{failed: true, job: r.name.Task.Job})
	h.failedAt = max(s.now, 1)
	if h.shut || h.failures() >= failuresToShut {
		s.shut(r.worker)
	}
}

// shut keeps tasks from a worker for a while; after that it gets one at a time until one ends well.
func (s *Scheduler) shut(w *worker) {
	h := &w.health
	h.shut = true
	pause := min(firstShut<<min(h.shutTimes, 8), longestShut)
	h.shutTimes++
	h.shutUntil = s.now + pause
	s.at(h.shutUntil, func() { s.roomFreed(w) })
}

// busy keeps tasks from a worker that says that it isn't well.
func (s *Scheduler) busy(w *worker) {
	h := &w.health
	pause := min(firstBusy<<min(h.busyTimes, 8), longestBusy)
	h.busyTimes++
	h.busyUntil = max(h.busyUntil, s.now+pause)
	s.at(h.busyUntil, func() { s.roomFreed(w) })
}

// trusted tells whether a task may be risked on a worker.
func (s *Scheduler) trusted(w *worker, st *step, t *task) bool {
	h := &w.health
	if s.now < h.busyUntil || s.now < h.shutUntil {
		return false
	}
	return !h.shut || len(w.runs) == 0
}

// suspected takes note that a worker has stopped answering.
func (s *Scheduler) suspected(w *worker) {}

// watch looks at what runs on a worker after each of its answers.
func (s *Scheduler) watch(w *worker) {}
