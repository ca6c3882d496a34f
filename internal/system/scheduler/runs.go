package scheduler

import (
	"time"

	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

// markPresent records that a run exists on its worker.
func (s *Scheduler) markPresent(r *run) {
	if r.phase == runPresent || !r.phase.usesCapacity() {
		return
	}
	r.setPhase(runPresent)
	r.presentAt = s.now
	r.percentAt = s.now
	s.enterPart(r, PartRun)
	if t := r.task(); t != nil {
		t.refusals, t.waitingSince = 0, 0
		s.pending.markBegun(r.step.job)
	}
}

// addForeign records a run that the worker lists but the replicated state does not place there. It is stopped and uses capacity until it is
// gone. If its requirements are unknown, it counts as using all of the worker.
func (s *Scheduler) addForeign(w *worker, name state.Run) *run {
	r := &run{name: name, worker: w, need: w.capacity, foreign: true, resumed: true}
	if stage := s.stageSpec(name.Task); stage != nil {
		r.need = stageNeed(stage)
	}
	s.addRun(r)
	s.markPresent(r)
	s.requestStop(r)
	return r
}

// noteProgress records the listed progress of a run.
func (s *Scheduler) noteProgress(r *run, listed *workerapi.RunningTask) {
	t := r.task()
	if t != nil {
		t.noteCheckpoint(r.name.Attempt, listed.Checkpoint)
	}
	if r.firstProgressAt == 0 {
		r.firstProgressAt, r.firstPercent = s.now, listed.Percent
	}
	if listed.Percent != r.percent || r.percentClockMs == 0 {
		r.percentClockMs = r.worker.hold.listClockMs
	}
	if listed.Percent != r.percent {
		if r.percent == 0 {
			s.progressingRuns++
		}
		r.percent, r.percentAt = listed.Percent, s.now
	}
}

// noteCheckpoint records a checkpoint that an attempt has saved.
func (t *task) noteCheckpoint(attempt uint32, text string) {
	if text != "" && attempt >= t.checkpoint.attempt {
		t.checkpoint = checkpoint{attempt: attempt, text: text}
	}
}

// noteEnd handles an end that the worker lists. The capacity is free at once; everything else waits for the commit.
func (s *Scheduler) noteEnd(r *run, end *state.End) {
	if !r.phase.usesCapacity() {
		return
	}
	s.learnFromEnd(r, end.How)
	r.setPhase(runEnded)
	s.capacityFreed(r.worker)
	t := r.task()
	if t == nil {
		return
	}
	s.pending.markBegun(r.step.job)
	s.noteWaiting(t)
	if end.How == state.Done {
		s.enterPart(r, PartEndCommit)
	} else {
		s.markWasted(r, wastedPart(end.How))
	}
	t.noteCheckpoint(r.name.Attempt, end.Checkpoint)
	t.avoid = nil
	if end.How == state.Failed && !r.step.stage.LongRunning || r.moved {
		t.avoid = r.worker
	}
	if r.step.stage.LongRunning {
		t.countQuickEnd(s.now - r.presentAt)
	}
}

// countQuickEnd counts consecutive ends of a long-running task soon after its start.
func (t *task) countQuickEnd(lasted time.Duration) {
	if lasted >= quickEndLimit {
		t.quickEnds = 0
		return
	}
	t.quickEnds++
}

// voidAbsent voids runs of which a worker's lists prove that they do not exist and never will. The proof is one of these: the start is past
// its due time by the worker's clock; the hold was sent after a definite answer to the start or the stop; or only an earlier head can have
// sent the start, whose orders the worker refuses since it has seen this scheduler's token.
func (s *Scheduler) voidAbsent(w *worker, hold *call, clockMs int64, mark uint64) {
	for i := len(w.runList) - 1; i >= 0; i-- { // backwards, because the current run may be dropped
		r := w.runList[i]
		if r.listMark == mark || !r.phase.mayExist() || !absent(r, hold, clockMs) || !s.absentForGood(r, hold) {
			continue
		}
		s.stopRestOfGang(r)
		s.voidRun(r)
	}
}

// absentForGood reports whether an absent run cannot be one that is just being stopped. A worker may omit a run from its lists while
// stopping it, although it still runs. So if a stop may have been sent, by this head or an earlier one, the run must be absent for longer
// than a stop lasts.
func (s *Scheduler) absentForGood(r *run, hold *call) bool {
	if !r.stopSent && (r.phase == runOrdered || r.phase == runDoubtful) {
		return true
	}
	lasts := time.Duration(float64(s.bounds.Stop())*clockStretch) + stopMargin
	if r.absentAt == 0 {
		r.absentAt = s.now
		w := r.worker
		s.runAt(s.now+lasts+time.Millisecond, func() {
			if w.runs[r.name] == r && r.absentAt > 0 {
				s.probe(w)
			}
		})
		return false
	}
	return hold.sentAt >= r.absentAt+lasts
}

// stopMargin is added to the longest duration of a stop.
const stopMargin = 20 * time.Millisecond

// absent reports whether a list without the run proves that it does not exist, given the hold that returned the list and the worker's
// clock.
func absent(r *run, hold *call, clockMs int64) bool {
	if r.stopAnswered && hold.sentAt > r.stopAnsweredAt {
		return true
	}
	switch r.phase {
	case runInherited:
		return true
	case runPresent:
		return hold.sentAt > r.presentAt
	default:
		return clockMs > r.dueAtMs
	}
}

// requestStop has a run stopped; the stop is resent until the run is gone.
func (s *Scheduler) requestStop(r *run) {
	if r.stopWanted {
		return
	}
	r.stopWanted = true
	s.sendStop(r)
}

// sendStop sends the stop of a run that may exist.
func (s *Scheduler) sendStop(r *run) {
	w := r.worker
	if r.stopInFlight || !r.phase.mayExist() || w.runs[r.name] != r || w.reach == reachOver || w.lossProposed {
		return
	}
	if w.identity.Address == "" {
		s.scheduleStop(r, maxRetry)
		return
	}
	r.stopInFlight, r.stopSent = true, true
	order := workerapi.StopOrder{Task: r.name.Task.String(), Attempt: int(r.name.Attempt), FenceToken: s.token}
	s.send(Call{Kind: CallStop, Stop: order, Timeout: s.latency.timeout()}, w, r)
}

// stopEnded handles the answer to a stop.
func (s *Scheduler) stopEnded(ended *call, reply *workerapi.HoldReply) {
	r, w := ended.run, ended.worker
	r.stopInFlight = false
	w.clock.observe(reply.ClockMs, s.now)
	switch reply.Outcome {
	case workerapi.OtherInstance:
		s.instanceEnded(w)
	case workerapi.Done:
		r.stopAnswered, r.stopAnsweredAt = true, s.now
		s.probe(w)
		s.scheduleStop(r, s.bounds.Stop()+maxRetry)
	default:
		r.stopFailures++
		s.scheduleStop(r, min(minRetry<<min(r.stopFailures, 8), maxRetry))
	}
}

// scheduleStop resends a stop after a delay.
func (s *Scheduler) scheduleStop(r *run, after time.Duration) {
	if r.stopScheduled || r.worker.runs[r.name] != r {
		return
	}
	r.stopScheduled = true
	s.runAt(s.now+after, func() {
		r.stopScheduled = false
		s.sendStop(r)
	})
}
