package scheduler

import (
	"cmp"
	"math"
	"time"

	"gaugeslip/internal/system/state"
)

// health is the observed reliability and speed of one worker instance.
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
	slowLog          float64 // weighted mean logarithm of run time divided by estimate
	slowWeight       float64
	slow             float64 // the same as a factor; 0 before the first run
}

// endRecord is one end of a run, as it counts for the worker's health.
type endRecord struct {
	failed bool
	job    state.JobID
}

const (
	// A worker is quarantined when runs of shortWindowFailures different jobs failed among its last shortWindow ends, or of longWindowFailures
	// jobs among its last longWindow ends.
	shortWindow, shortWindowFailures = 3, 2
	longWindow, longWindowFailures   = 8, 3
	minQuarantine                    = 2 * time.Second
	maxQuarantine                    = 8 * time.Second
	// suspicionHalfLife is the time in which the suspicion after a failure halves.
	suspicionHalfLife = 3 * time.Second
	minBusyBackoff    = 500 * time.Millisecond
	maxBusyBackoff    = 4 * time.Second
	// slowThreshold is the ratio of run time to expectation from which a worker counts as slow.
	slowThreshold = 1.6
	slowSamples   = 6
)

// observe records the ratio of a run's time to its expectation.
func (h *health) observe(ratio float64) {
	h.slowWeight = min(h.slowWeight+1, slowSamples)
	value := math.Log(min(max(ratio, 0.1), 20))
	h.slowLog += (value - h.slowLog) / (h.slowWeight + 1)
	h.slow = math.Exp(h.slowLog)
}

// slowness returns the ratio of run times to expectations on this worker.
func (h *health) slowness() float64 { return cmp.Or(h.slow, 1) }

// factor returns by how much runs here are expected to be longer. Ratios below slowThreshold do not count.
func (h *health) factor() float64 {
	if slow := h.slowness(); slow >= slowThreshold {
		return slow
	}
	return 1
}

// suspicion is between 0 and 1 and tells how recently a run has failed here.
func (h *health) suspicion(now time.Duration) float64 {
	if h.failedAt == 0 {
		return 0
	}
	return math.Exp2(-float64(now-h.failedAt) / float64(suspicionHalfLife))
}

// onTrial reports whether the worker is given only one task at a time.
func (h *health) onTrial() bool { return h.quarantined }

// recordEnd adds one end in front of the others.
func (h *health) recordEnd(end endRecord) {
	copy(h.recent[1:], h.recent[:])
	h.recent[0] = end
	h.ends++
}

// failedJobs returns of how many different jobs runs have failed among the last ends.
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

// noteSuccess records a run that ended as done. It ends the worker's quarantine.
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

// excuseJob removes a job's failures from the worker's record.
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

// noteFailure records a failed run, and quarantines the worker if several jobs have failed there recently. If the task has also failed on
// another worker, the task is assumed to be the cause, and neither worker is blamed.
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

// quarantine keeps tasks from a worker for a while. After that the worker gets one task at a time until one succeeds.
func (s *Scheduler) quarantine(w *worker) {
	h := &w.health
	h.quarantined = true
	s.planRestEnd(w)
	if s.now < h.quarantinedUntil {
		return
	}
	duration := min(minQuarantine<<min(h.quarantines, 8), maxQuarantine)
	h.quarantines++
	h.quarantinedUntil = s.now + duration
	s.runAt(h.quarantinedUntil, func() { s.capacityFreed(w) })
}

// noteBusy keeps tasks from a worker that answered that it is busy.
func (s *Scheduler) noteBusy(w *worker) {
	h := &w.health
	backoff := min(minBusyBackoff<<min(h.busyAnswers, 8), maxBusyBackoff)
	h.busyAnswers++
	h.busyUntil = max(h.busyUntil, s.now+backoff)
	s.runAt(h.busyUntil, func() { s.capacityFreed(w) })
}

// trusted reports whether the worker's health allows starting a task there.
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
	// maxProvenSuspicion is the suspicion up to which a worker may be given a task that has failed before.
	maxProvenSuspicion = 0.25
	// restrictFor is how long such a task waits for a proven worker.
	restrictFor = 1500 * time.Millisecond
)

// proven reports whether a task that has failed before may be given to a worker. For its last try, the worker must also have had a success.
func (s *Scheduler) proven(w *worker, st *step, t *task) bool {
	h := &w.health
	if h.suspicion(s.now) > maxProvenSuspicion || h.factor() > 1 {
		return false
	}
	lastTry := int(t.failures)+1 >= st.job.record.MaxRetries
	return !lastTry || h.successes > 0
}
