package scheduler

import "time"

const (
	// stallAfter is the shortest time without progress after which a run counts as stalled.
	stallAfter = 1500 * time.Millisecond
	// stallDivisor sets the fraction of its estimate for which a run may show no progress.
	stallDivisor = 3
	// noProgressFactor is how many times its estimate a run may take without any reported progress.
	noProgressFactor = 3
	// minProgressingRuns is how many runs must have shown progress before a lack of it means anything.
	minProgressingRuns = 5
	// maxMoves limits how often a task is moved for being slow or stalled, and how many copies of it are requested.
	maxMoves = 3
	// minShownPercent is how much progress, in percent, is needed to estimate a pace.
	minShownPercent = 5
	// minMoveFactor is how many times longer than elsewhere a run must still take to be moved.
	minMoveFactor = 2
	// minMoveGain is how much sooner a task must end to be moved.
	minMoveGain = 1500 * time.Millisecond
	// restartCost is the additional time that a stop and a start cost.
	restartCost = 150 * time.Millisecond
	// copyFactor is how many times its estimate a run takes before a copy of it is started, if its step allows copies.
	copyFactor = 2
)

// watchWorker checks the runs on a worker after each of its answers. Runs that are stalled or far behind are moved.
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

// expectedOn returns how long the run should take on its worker if the worker is sound.
func (s *Scheduler) expectedOn(r *run) time.Duration {
	expected := time.Duration(float64(r.step.runTime) * s.dataPenalty(r.step, r.worker))
	if r.resumed {
		expected += s.bounds.Restore()
	}
	return expected
}

// stalled reports whether a run makes no progress although other runs do. It counts the worker's own time between two of its lists, because
// a list that this replica processed late says nothing about the run.
func (s *Scheduler) stalled(r *run, expected, elapsed time.Duration) bool {
	if s.progressingRuns < minProgressingRuns {
		return elapsed > noProgressFactor*expected+2*stallAfter && r.percent == 0
	}
	still := time.Duration(r.worker.hold.listClockMs-r.percentClockMs) * time.Millisecond
	return r.percent < 100 && r.percentClockMs > 0 && still > s.stallTimeout(r, expected)
}

// stallTimeout returns for how long a run may show no progress.
func (s *Scheduler) stallTimeout(r *run, expected time.Duration) time.Duration {
	patience := max(stallAfter, expected/stallDivisor)
	if r.resumed {
		patience += s.bounds.Restore()
	}
	return patience
}

// worthMoving reports whether a run will miss its deadline and its task would end much sooner if it were started elsewhere. Progress that
// is not saved is lost by a move.
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

// requestCopy has a second run of a task started, if its step allows copies.
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

// requestCopiesOfRuns requests copies of the runs on a worker that has stopped answering, so that speculative tasks do not wait for its
// loss.
func (s *Scheduler) requestCopiesOfRuns(w *worker) {
	for _, r := range w.runList {
		if r.task() != nil && r.phase.mayExist() {
			s.requestCopy(r)
		}
	}
}
