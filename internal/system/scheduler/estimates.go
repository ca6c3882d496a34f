package scheduler

import (
	"time"

	"gaugeslip/internal/system/state"
	"gaugeslip/policy/sizing"
)

// estimateKey names a class of tasks whose hints err alike.
type estimateKey struct {
	route string
	gang  bool
}

// estimate refines the hints of one class by measured run times.
type estimate struct {
	sizing.Estimator
}

const (
	// taught is how many runs of a class have to be measured before its hints are corrected.
	taught = 8
	// sizesOfStep is how many tasks of a step the size map takes in at most.
	sizesOfStep = 8
	// shortestRun is the least size that is expected of a task.
	shortestRun = time.Millisecond
)

func (s *Scheduler) estimateOf(st *step) *estimate {
	key := estimateKey{route: st.job.record.Route, gang: st.stage.Gang}
	known := s.estimates[key]
	if known == nil {
		known = &estimate{Estimator: sizing.NewEstimator()}
		s.estimates[key] = known
	}
	return known
}

// expect estimates the run time of a step's tasks on a sound worker near its data.
func (s *Scheduler) expect(st *step) time.Duration {
	known := s.estimateOf(st)
	if known.Runs() < taught {
		return max(st.stage.Estimated, shortestRun)
	}
	return max(known.Size(st.stage.Estimated), shortestRun)
}

// arrived takes in the sizes of a step whose turn has come.
func (s *Scheduler) arrived(st *step) {
	s.estimateOf(st).ObserveHint(max(st.stage.Estimated, shortestRun))
	st.size = s.expect(st)
	for range min(len(st.tasks), sizesOfStep) {
		st.service.sizes.Observe(st.size)
	}
}

// measure learns the size of a class and the speed of a worker from a run that was done in one go.
func (s *Scheduler) measure(r *run) {
	st, w := r.step, r.worker
	if r.resumed || st.stage.LongRunning || r.orderedAt == 0 {
		return
	}
	took := max(s.now-r.orderedAt, shortestRun)
	sound := time.Duration(float64(took) / s.distance(st, w))
	if w.health.slowness() < slowFrom {
		s.estimateOf(st).ObserveRun(max(st.stage.Estimated, shortestRun), sound)
	}
	w.health.measured(float64(sound) / float64(st.size))
}

// distance is how many times as long a step's tasks take on a worker for lying away from its data.
func (s *Scheduler) distance(st *step, w *worker) float64 {
	if st.stage.Colocation == "" || w.hasLabel(st.stage.Colocation) {
		return 1
	}
	return s.bounds.Far()
}

// duration is how long the step's tasks are expected to run on a worker.
func (s *Scheduler) duration(st *step, w *worker) time.Duration {
	return time.Duration(float64(st.size) * s.distance(st, w) * w.health.factor())
}

// remaining is how much longer a run is expected to take.
func (s *Scheduler) remaining(r *run) time.Duration {
	if r.step == nil || r.phase == runInherited {
		return 0
	}
	expected := s.duration(r.step, r.worker)
	if r.phase != runPresent {
		return expected
	}
	left := expected - (s.now - r.presentAt)
	if shown := r.percent - r.firstShown; shown >= 10 {
		pace := (r.percentAt - r.firstAt) / time.Duration(shown)
		left = pace*time.Duration(100-r.percent) - (s.now - r.percentAt)
	}
	return max(left, (s.now-r.presentAt)/4)
}

// overdue tells whether a run takes so much longer than expected that it has to be watched.
func (r *run) overdue(now time.Duration) bool {
	if r.phase != runPresent || r.step == nil || r.step.stage.LongRunning {
		return false
	}
	return now-r.presentAt > r.step.size*3/2+overdueAfter
}

const overdueAfter = 500 * time.Millisecond

// learn takes in what an end tells of its worker and its class.
func (s *Scheduler) learn(r *run, how state.EndReason) {
	if r.step == nil || r.foreign {
		return
	}
	switch how {
	case state.Done:
		s.measure(r)
		r.worker.regain()
		s.succeeded(r)
	case state.Failed:
		s.failed(r)
	}
}
