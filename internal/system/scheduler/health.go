package scheduler

import (
	"cmp"
	"math"
	"time"

	"gaugeslip/internal/system/state"
)

// health is what was learnt of one life of a worker.
type health struct {
	recent           [8]endRecord // the last ends, newest first
	ends             int
	successes        int
	failedAt         time.Duration
	quarantinedUntil time.Duration
	quarantines      int
	quarantined      bool
	busyUntil        time.Duration
	busyAnswers      int
	slowLog          float64 // mean logarithm of run time against estimate
	slowWeight       float64
	slow             float64 // the same as a factor; 0 before the first run
}

// endRecord is one end, as it counts for the worker.
type endRecord struct {
	failed bool
	job    state.JobID
}

const (
	// A worker is shut out when of its last few ends, or of some more, so many have failed, of as many jobs.
	shortWindow, shortWindowFailures = 3, 2
	longWindow, longWindowFailures   = 8, 3
	minQuarantine                    = 2 * time.Second
	maxQuarantine                    = 8 * time.Second
	// suspicionHalfLife is how soon half of the suspicion after a failure is gone.
	suspicionHalfLife = 3 * time.Second
	minBusyBackoff    = 500 * time.Millisecond
	maxBusyBackoff    = 4 * time.Second
	// slowThreshold is how many times as long as expected runs take on a slow worker.
	slowThreshold = 1.6
	slowSamples   = 6
)

// observe takes in how long a run took against what was expected.
func (h *health) observe(ratio float64) {
	h.slowWeight = min(h.slowWeight+1, slowSamples)
	value := math.Log(min(max(ratio, 0.1), 20))
	h.slowLog += (value - h.slowLog) / (h.slowWeight + 1)
	h.slow = math.Exp(h.slowLog)
}

// slowness is how many times as long as expected runs take here.
func (h *health) slowness() float64 { return cmp.Or(h.slow, 1) }

// factor is by how much runs here are expected to be longer; small differences don't count.
func (h *health) factor() float64 {
	if slow := h.slowness(); slow >= slowThreshold {
		return slow
	}
	return 1
}

// suspicion is between 0 and 1: how recently something has failed here.
func (h *health) suspicion(now time.Duration) float64 {
	if h.failedAt == 0 {
		return 0
	}
	return math.Exp2(-float64(now-h.failedAt) / float64(suspicionHalfLife))
}

// onTrial tells whether the worker is given one task at a time only.
func (h *health) onTrial() bool { return h.quarantined }

// recordEnd takes in one end, newest first.
func (h *health) recordEnd(end endRecord) {
	copy(h.recent[1:], h.recent[:])
	h.recent[0] = end
	h.ends++
}

// failedJobs is of how many different jobs runs have failed among the last ends.
func (h *health) failedJobs(last int) int {
	count := 0
	for i := range min(h.ends, last) {
		if h.recent[i].failed && !h.jobCounted(i) {
			count++
		}
	}
	return count
}

func (h *health) jobCounted(at int) bool {
	for i := range at {
		if h.recent[i].failed && h.recent[i].job == h.recent[at].job {
			return true
		}
	}
	return false
}

// noteSuccess takes note of a clean finish: it reopens a worker that was shut out.
func (s *Scheduler) noteSuccess(r *run) {
	h := &r.worker.health
	h.recordEnd(endRecord{job: r.name.Task.Job})
	h.successes++
	h.busyAnswers = 0
	if h.quarantined {
		h.quarantined, h.quarantines, h.quarantinedUntil = false, 0, 0
		h.reset()
	}
}

func (h *health) reset() {
	h.recent = [longWindow]endRecord{}
	h.ends = 0
	h.failedAt = 0
}

// excuseJob takes back what the failure of a job's task has told against the worker.
func (h *health) excuseJob(job state.JobID) {
	still := false
	for i := range h.recent {
		if h.recent[i].job == job {
			h.recent[i].failed = false
		}
		still = still || h.recent[i].failed
	}
	if !still {
		h.failedAt = 0
	}
}

// noteFailure takes note of a failed run, and shuts the worker out if several jobs have failed there of late. A task that has failed
// elsewhere too is taken to be at fault itself, on both workers.
func (s *Scheduler) noteFailure(r *run) {
	if r.step.stage.LongRunning {
		return
	}
	h, t := &r.worker.health, &r.step.tasks[r.name.Task.Index]
	before := t.failedOn
	t.failedOn = r.worker
	if before != nil && before != r.worker && !h.quarantined {
		before.health.excuseJob(r.name.Task.Job)
		s.capacityFreed(before)
		h.recordEnd(endRecord{job: r.name.Task.Job})
		return
	}
	h.recordEnd(endRecord{failed: true, job: r.name.Task.Job})
	h.failedAt = max(s.now, 1)
	if h.quarantined || h.failedJobs(shortWindow) >= shortWindowFailures || h.failedJobs(longWindow) >= longWindowFailures {
		s.quarantine(r.worker)
	}
}

// quarantine keeps tasks from a worker for a while; after that it gets one at a time until one ends well.
func (s *Scheduler) quarantine(w *worker) {
	h := &w.health
	h.quarantined = true
	s.planRestEnd(w)
	if s.now < h.quarantinedUntil {
		return
	}
	pause := min(minQuarantine<<min(h.quarantines, 8), maxQuarantine)
	h.quarantines++
	h.quarantinedUntil = s.now + pause
	s.runAt(h.quarantinedUntil, func() { s.capacityFreed(w) })
}

// noteBusy keeps tasks from a worker that says that it isn't well.
func (s *Scheduler) noteBusy(w *worker) {
	h := &w.health
	pause := min(minBusyBackoff<<min(h.busyAnswers, 8), maxBusyBackoff)
	h.busyAnswers++
	h.busyUntil = max(h.busyUntil, s.now+pause)
	s.runAt(h.busyUntil, func() { s.capacityFreed(w) })
}

// trusted tells whether a task may be risked on a worker.
func (s *Scheduler) trusted(w *worker, st *step, t *task) bool {
	h := &w.health
	if s.now < h.busyUntil {
		return false
	}
	if h.quarantined {
		return s.mayTryQuarantined(w, st, t)
	}
	return t.failures == 0 || s.now >= t.provenOnlyUntil || s.proven(w, st, t)
}

const (
	// maxProvenSuspicion is the suspicion below which a worker may be given a task that has failed before.
	maxProvenSuspicion = 0.25
	// restrictFor is how long such a task waits for a worker that is proven.
	restrictFor = 1500 * time.Millisecond
)

// proven tells whether a task that has failed before may be given to a worker; at its last try only one where runs have ended well.
func (s *Scheduler) proven(w *worker, st *step, t *task) bool {
	h := &w.health
	if h.suspicion(s.now) > maxProvenSuspicion || h.factor() > 1 {
		return false
	}
	lastTry := int(t.failures)+1 >= st.job.record.MaxRetries
	return !lastTry || h.successes > 0
}
