package scheduler

import (
	"time"

	"gaugeslip/internal/system/state"
	"gaugeslip/policy/sizing"
)

// estimateKey identifies a class of tasks whose hints are assumed to have the same error.
type estimateKey struct {
	route string
	gang  bool
}

// estimate corrects the run time hints of one class by measured run times.
type estimate struct {
	sizing.Estimator
}

const (
	// minMeasuredRuns is how many runs of a class have to be measured before its hints are corrected.
	minMeasuredRuns = 8
	// maxSizesPerStep limits how many tasks of a step are recorded in the size map.
	maxSizesPerStep = 8
	// minRunTime is the shortest expected run time.
	minRunTime = time.Millisecond
)

// estimateOf returns the estimate of a step's class and creates it if needed.
func (s *Scheduler) estimateOf(st *step) *estimate {
	key := estimateKey{route: st.job.record.Route, gang: st.stage.Gang}
	known := s.estimates[key]
	if known == nil {
		known = &estimate{Estimator: sizing.NewEstimator()}
		s.estimates[key] = known
	}
	return known
}

// expectedRunTime estimates the run time of a step's tasks on a sound worker near its data.
func (s *Scheduler) expectedRunTime(st *step) time.Duration {
	known := s.estimateOf(st)
	if known.Runs() < minMeasuredRuns {
		return max(st.stage.Estimated, minRunTime)
	}
	return max(known.Size(st.stage.Estimated), minRunTime)
}

// observeArrival records the sizes of a step that became ready.
func (s *Scheduler) observeArrival(st *step) {
	s.estimateOf(st).ObserveHint(max(st.stage.Estimated, minRunTime))
	st.runTime = s.expectedRunTime(st)
	for range min(len(st.tasks), maxSizesPerStep) {
		st.service.sizes.Observe(st.runTime)
	}
}

// measureRun updates the class estimate and the worker's speed from a run that was done without a restart from a checkpoint.
func (s *Scheduler) measureRun(r *run) {
	st, w := r.step, r.worker
	if r.resumed || st.stage.LongRunning || r.orderedAt == 0 {
		return
	}
	took := max(s.now-r.orderedAt, minRunTime)
	sound := time.Duration(float64(took) / s.dataPenalty(st, w))
	if w.health.slowness() < slowThreshold {
		s.estimateOf(st).ObserveRun(max(st.stage.Estimated, minRunTime), sound)
	}
	w.health.observe(float64(sound) / float64(st.runTime))
}

// dataPenalty returns by what factor a step's tasks take longer on a worker that is away from their data.
func (s *Scheduler) dataPenalty(st *step, w *worker) float64 {
	if st.stage.Colocation == "" || w.hasLabel(st.stage.Colocation) {
		return 1
	}
	return s.bounds.Far()
}

// runTimeOn returns how long the step's tasks are expected to run on a worker.
func (s *Scheduler) runTimeOn(st *step, w *worker) time.Duration {
	return time.Duration(float64(st.runTime) * s.dataPenalty(st, w) * w.health.factor())
}

// remaining returns how much longer a run is expected to take.
func (s *Scheduler) remaining(r *run) time.Duration {
	if r.step == nil || r.phase == runInherited {
		return 0
	}
	expected := s.runTimeOn(r.step, r.worker)
	if r.phase != runPresent {
		return expected
	}
	left := expected - (s.now - r.presentAt)
	if shown := r.percent - r.firstPercent; shown >= 10 {
		pace := (r.percentAt - r.firstProgressAt) / time.Duration(shown)
		left = pace*time.Duration(100-r.percent) - (s.now - r.percentAt)
	}
	return max(left, (s.now-r.presentAt)/4)
}

// overdue reports whether a run takes so much longer than expected that it has to be watched.
func (r *run) overdue(now time.Duration) bool {
	if r.phase != runPresent || r.step == nil || r.step.stage.LongRunning {
		return false
	}
	return now-r.presentAt > r.step.runTime*3/2+overdueMargin
}

const overdueMargin = 500 * time.Millisecond

// learnFromEnd updates the worker's health and the class estimate from an end.
func (s *Scheduler) learnFromEnd(r *run, how state.EndReason) {
	if r.step == nil || r.foreign {
		return
	}
	switch how {
	case state.Done:
		s.measureRun(r)
		r.worker.returnWithheld()
		s.noteSuccess(r)
	case state.Failed:
		s.noteFailure(r)
	}
}
