package scheduler

import "time"

const (
	// stallAfter is how long a run may show no progress at the least before it counts as standing still.
	stallAfter = 1500 * time.Millisecond
	// stallDivisor is the part of its estimate for which a run may show none.
	stallDivisor = 3
	// noProgressFactor is how many times its estimate a run may take without a word of progress.
	noProgressFactor = 3
	// minProgressingRuns is how many runs must have shown progress before a lack of it means anything.
	minProgressingRuns = 5
	// maxMoves is how often a task is moved for being slow or standing still.
	maxMoves = 3
	// minShownPercent is how much progress, in hundredths, makes a pace.
	minShownPercent = 5
	// minMoveFactor is how many times as long as elsewhere a run must still take to be moved.
	minMoveFactor = 2
	// minMoveGain is how much sooner a task must end for being moved.
	minMoveGain = 1500 * time.Millisecond
	// restartCost is what a stop and a start cost besides.
	restartCost = 150 * time.Millisecond
	// copyFactor is how many times its estimate a run takes before a copy of it is started, where copies may be.
	copyFactor = 2
)

// watchWorker looks at what runs on a worker after each of its answers: runs that stand still or are far behind are moved.
func (s *Scheduler) watchWorker(w *worker) {
	if w.draining {
		s.evacuate(w)
		return
	}
	for _, r := range w.runList {
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
		s.requestCopy(r)
	}
	if !r.countedSlow && elapsed > minMoveFactor*expected+overdueMargin {
		r.countedSlow = true
		s.enterPart(r, PartSlow)
		w.health.observe(float64(elapsed) / float64(expected))
	}
	if t.moves >= maxMoves {
		return
	}
	if s.stalled(r, expected, elapsed) {
		w.health.failedAt = max(s.now, 1)
		s.quarantine(w)
		s.moveRun(r)
		return
	}
	if s.worthMoving(r, expected) {
		s.moveRun(r)
	}
}

// expectedOn is how long the run ought to take on its worker, were that sound.
func (s *Scheduler) expectedOn(r *run) time.Duration {
	expected := time.Duration(float64(r.step.runTime) * s.dataPenalty(r.step, r.worker))
	if r.resumed {
		expected += s.bounds.Restore()
	}
	return expected
}

// stalled tells whether a run makes no progress though runs elsewhere do. What counts is the worker's own time between two of its lists:
// that this replica was late to take one in says nothing of the run.
func (s *Scheduler) stalled(r *run, expected, elapsed time.Duration) bool {
	if s.progressingRuns < minProgressingRuns {
		return elapsed > noProgressFactor*expected+2*stallAfter && r.percent == 0
	}
	still := time.Duration(r.worker.hold.listClockMs-r.percentClockMs) * time.Millisecond
	return r.percent < 100 && r.percentClockMs > 0 && still > s.stallTimeout(r, expected)
}

// stallTimeout is for how long a run may show no progress.
func (s *Scheduler) stallTimeout(r *run, expected time.Duration) time.Duration {
	patience := max(stallAfter, expected/stallDivisor)
	if r.resumed {
		patience += s.bounds.Restore()
	}
	return patience
}

// worthMoving tells whether a run is so far behind that its task ends sooner, and by much, when it is started elsewhere, and whether
// that matters: what it has done is lost unless it is saved.
func (s *Scheduler) worthMoving(r *run, expected time.Duration) bool {
	shown := r.percent - r.firstPercent
	took := r.percentAt - r.firstProgressAt
	if shown < minShownPercent || took <= 0 {
		return false
	}
	pace := took / time.Duration(shown)
	left := pace * time.Duration(100-r.percent)
	if s.now+left <= r.step.deadline() || 100*pace < minMoveFactor*expected {
		return false
	}
	elsewhere := r.step.runTime + s.bounds.Stop() + restartCost
	if r.step.stage.Checkpoints {
		elsewhere = r.step.runTime*time.Duration(100-r.percent)/100 + s.bounds.Stop() + s.bounds.Restore() + restartCost
	}
	return left > minMoveFactor*elsewhere && left-elsewhere > minMoveGain && s.fitsElsewhere(r)
}

// requestCopy has a second run of a task started, where copies may run at the same time.
func (s *Scheduler) requestCopy(r *run) {
	st, t := r.step, r.task()
	if t == nil || !st.stage.Speculative || !st.opened || st.closed || len(t.runs) != 1 || t.state != taskActive || r.stopWanted {
		return
	}
	if t.copies >= maxMoves {
		return
	}
	t.copies++
	t.avoid = r.worker
	s.enqueueTask(st, r.name.Task.Index)
}

// requestCopiesOfRuns takes note that a worker has stopped answering: where copies may run at the same time, they don't wait for its loss.
func (s *Scheduler) requestCopiesOfRuns(w *worker) {
	for _, r := range w.runList {
		if r.task() != nil && r.phase.mayExist() {
			s.requestCopy(r)
		}
	}
}
