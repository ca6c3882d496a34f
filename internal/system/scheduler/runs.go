package scheduler

import (
	"time"

	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

// markPresent takes note that a run exists on its worker.
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

// addForeign makes the record of a run that the worker lists and the replicated state doesn't know there. It is stopped, and takes
// room until it is gone: all of it, if what it needs isn't known.
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

// noteProgress takes in how far a run has come.
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

// noteCheckpoint takes in the progress that an attempt has saved.
func (t *task) noteCheckpoint(attempt uint32, text string) {
	if text != "" && attempt >= t.checkpoint.attempt {
		t.checkpoint = checkpoint{attempt: attempt, text: text}
	}
}

// noteEnd takes note of an end that the worker lists: the room is free, the rest waits for the commit.
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
		s.enterPart(r, PartNoted)
	} else {
		s.markWasted(r, spoiledBy(end.How))
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

// recordEnd counts the ends of a task that lasts which came soon after its start.
func (t *task) countQuickEnd(lasted time.Duration) {
	if lasted >= quickEndLimit {
		t.quickEnds = 0
		return
	}
	t.quickEnds++
}

// voidAbsent gives up runs of which a worker's lists prove that they don't exist and never will: the start was out of time by the
// worker's clock, or the hold was sent after a clear answer to the start or the stop, or the start can only have been a predecessor's,
// whose orders the worker refuses since it has seen this scheduler's token.
func (s *Scheduler) voidAbsent(w *worker, hold *call, clockMs int64, mark uint64) {
	for i := len(w.runList) - 1; i >= 0; i-- { // backwards, as one may be dropped
		r := w.runList[i]
		if r.mark == mark || !r.phase.mayExist() || !absent(r, hold, clockMs) || !s.absentForGood(r, hold) {
			continue
		}
		s.stopRestOfGang(r)
		s.voidRun(r)
	}
}

// absentForGood tells whether an absent run can't be one that is just being stopped: until its end is listed, a worker may list it
// nowhere, though it still runs. So wherever somebody may have ordered its stop, it has to be absent for longer than a stop lasts.
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

// stopMargin is added to how long a stop lasts.
const stopMargin = 20 * time.Millisecond

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

// requestStop has a run stopped, and stopped again until it is gone.
func (s *Scheduler) requestStop(r *run) {
	if r.stopWanted {
		return
	}
	r.stopWanted = true
	s.sendStop(r)
}

// sendStop orders the stop of a run that may exist.
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

// stopEnded takes in the answer to a stop.
func (s *Scheduler) stopEnded(ended *call, reply *workerapi.HoldReply) {
	r, w := ended.run, ended.worker
	r.stopInFlight = false
	w.clock.observe(reply.ClockMs, s.now)
	switch reply.Outcome {
	case workerapi.OtherLife:
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

// scheduleStop repeats a stop after a while.
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
