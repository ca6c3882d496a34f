package scheduler

import "time"

const (
	// hangAfter is how long a run may show no progress at the least before it counts as standing still.
	hangAfter = 1500 * time.Millisecond
	// hangPart is the part of its estimate for which a run may show none.
	hangPart = 3
	// silentFactor is how many times its estimate a run may take without a word of progress.
	silentFactor = 3
	// movingRuns is how many runs must have shown progress before a lack of it means anything.
	movingRuns = 5
	// mostMoves is how often a task is moved for being slow or standing still.
	mostMoves = 3
	// leastShown is how much progress, in hundredths, makes a pace.
	leastShown = 5
	// moveGain is how many times as long as elsewhere a run must still take to be moved.
	moveGain = 2
	// leastGain is how much sooner a task must end for being moved.
	leastGain = 1500 * time.Millisecond
	// startOver is what a stop and a start cost besides.
	startOver = 150 * time.Millisecond
	// copyFactor is how many times its estimate a run takes before a copy of it is started, where copies may be.
	copyFactor = 2
)

// watch looks at what runs on a worker after each of its answers: runs that stand still or are far behind are moved.
func (s *Scheduler) watch(w *worker) {
	if w.draining {
		s.evacuate(w)
		return
	}
	for _, r := range w.list {
		if r.phase != runPresent || r.stopWanted || r.task() == nil || r.step.stage.LongRunning {
			continue
		}
		s.watchRun(r)
	}
}

func (s *Scheduler) watchRun(r *run) {
	w, t := r.worker, r.task()
	expected := s.expectedOn(r)
	elapsed := s.now - r.presentAt
	if elapsed > copyFactor*expected && r.step.stage.Speculative {
		s.wantCopy(r)
	}
	if !r.slowNoted && elapsed > moveGain*expected+overdueAfter {
		r.slowNoted = true
		s.spend(r, PartSlow)
		w.health.measured(float64(elapsed) / float64(expected))
	}
	if t.moves >= mostMoves {
		return
	}
	if s.standsStill(r, expected, elapsed) {
		w.health.failedAt = max(s.now, 1)
		s.shut(w)
		s.move(r)
		return
	}
	if s.worthMoving(r, expected) {
		s.move(r)
	}
}

// expectedOn is how long the run ought to take on its worker, were that sound.
func (s *Scheduler) expectedOn(r *run) time.Duration {
	expected := time.Duration(float64(r.step.size) * s.distance(r.step, r.worker))
	if r.resumed {
		expected += s.bounds.Restore()
	}
	return expected
}

// standsStill tells whether a run makes no progress though runs elsewhere do. What counts is the worker's own time between two of its lists:
// that this replica was late to take one in says nothing of the run.
func (s *Scheduler) standsStill(r *run, expected, elapsed time.Duration) bool {
	if s.movingRuns < movingRuns {
		return elapsed > silentFactor*expected+2*hangAfter && r.percent == 0
	}
	still := time.Duration(r.worker.hold.listedMs-r.percentMs) * time.Millisecond
	return r.percent < 100 && r.percentMs > 0 && still > s.hangPatience(r, expected)
}

// hangPatience is for how long a run may show no progress.
func (s *Scheduler) hangPatience(r *run, expected time.Duration) time.Duration {
	patience := max(hangAfter, expected/hangPart)
	if r.resumed {
		patience += s.bounds.Restore()
	}
	return patience
}

// worthMoving tells whether a run is so far behind that its task ends sooner, and by much, when it is started elsewhere, and whether
// that matters: what it has done is lost unless it is saved.
func (s *Scheduler) worthMoving(r *run, expected time.Duration) bool {
	shown := r.percent - r.firstShown
	took := r.percentAt - r.firstAt
	if shown < leastShown || took <= 0 {
		return false
	}
	pace := took / time.Duration(shown)
	left := pace * time.Duration(100-r.percent)
	if s.now+left <= r.step.deadline() || 100*pace < moveGain*expected {
		return false
	}
	elsewhere := r.step.size + s.bounds.Stop() + startOver
	if r.step.stage.Checkpoints {
		elsewhere = r.step.size*time.Duration(100-r.percent)/100 + s.bounds.Stop() + s.bounds.Restore() + startOver
	}
	return left > moveGain*elsewhere && left-elsewhere > leastGain && s.roomElsewhere(r)
}

// wantCopy has a second run of a task started, where copies may run at the same time.
func (s *Scheduler) wantCopy(r *run) {
	st, t := r.step, r.task()
	if t == nil || !st.stage.Speculative || !st.opened || st.closed || len(t.runs) != 1 || t.state != taskActive || r.stopWanted {
		return
	}
	if t.copies >= mostMoves {
		return
	}
	t.copies++
	t.avoid = r.worker
	s.wait(st, r.name.Task.Index)
}

// suspected takes note that a worker has stopped answering: where copies may run at the same time, they don't wait for its loss.
func (s *Scheduler) suspected(w *worker) {
	for _, r := range w.list {
		if r.task() != nil && r.phase.mayRun() {
			s.wantCopy(r)
		}
	}
}
