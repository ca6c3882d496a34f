package scheduler

import (
	"time"

	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

// present takes note that a run exists on its worker.
func (s *Scheduler) present(r *run) {
	if r.phase == runPresent || !r.phase.takesRoom() {
		return
	}
	r.setPhase(runPresent)
	r.presentAt = s.now
	r.percentAt = s.now
	s.spend(r, PartRun)
	if t := r.task(); t != nil {
		t.refusals, t.since = 0, 0
		s.pending.begin(r.step.job)
	}
}

// foreign makes the record of a run that the worker lists and the replicated state doesn't know there. It is stopped, and takes
// room until it is gone: all of it, if what it needs isn't known.
func (s *Scheduler) foreign(w *worker, name state.Run) *run {
	r := &run{name: name, worker: w, need: w.room, foreign: true, resumed: true}
	if stage := s.stageOf(name.Task); stage != nil {
		r.need = stageNeed(stage)
	}
	s.add(r)
	s.present(r)
	s.wantStop(r)
	return r
}

// progress takes in how far a run has come.
func (s *Scheduler) progress(r *run, listed *workerapi.RunningTask) {
	t := r.task()
	if t != nil {
		t.saw(r.name.Attempt, listed.Checkpoint)
	}
	if r.firstAt == 0 {
		r.firstAt, r.firstShown = s.now, listed.Percent
	}
	if listed.Percent != r.percent || r.percentMs == 0 {
		r.percentMs = r.worker.hold.listedMs
	}
	if listed.Percent != r.percent {
		if r.percent == 0 {
			s.movingRuns++
		}
		r.percent, r.percentAt = listed.Percent, s.now
	}
}

// saw takes in the progress that an attempt has saved.
func (t *task) saw(attempt uint32, text string) {
	if text != "" && attempt >= t.checkpoint.attempt {
		t.checkpoint = checkpoint{attempt: attempt, text: text}
	}
}

// ended takes note of an end that the worker lists: the room is free, the rest waits for the commit.
func (s *Scheduler) ended(r *run, end *state.End) {
	if !r.phase.takesRoom() {
		return
	}
	s.learn(r, end.How)
	r.setPhase(runEnded)
	s.roomFreed(r.worker)
	t := r.task()
	if t == nil {
		return
	}
	s.pending.begin(r.step.job)
	s.waits(t)
	if end.How == state.Done {
		s.spend(r, PartNoted)
	} else {
		s.spoiled(r, spoiledBy(end.How))
	}
	t.saw(r.name.Attempt, end.Checkpoint)
	t.avoid = nil
	if end.How == state.Failed && !r.step.stage.LongRunning || r.moved {
		t.avoid = r.worker
	}
	if r.step.stage.LongRunning {
		t.noteEnd(s.now - r.presentAt)
	}
}

// noteEnd counts the ends of a task that lasts which came soon after its start.
func (t *task) noteEnd(lasted time.Duration) {
	if lasted >= quickEndAfter {
		t.quickEnds = 0
		return
	}
	t.quickEnds++
}

// voidAbsent gives up runs of which a worker's lists prove that they don't exist and never will: the start was out of time by the
// worker's clock, or the hold was sent after a clear answer to the start or the stop, or the start can only have been a predecessor's,
// whose orders the worker refuses since it has seen this scheduler's token.
func (s *Scheduler) voidAbsent(w *worker, hold *call, clockMs int64, mark uint64) {
	for i := len(w.list) - 1; i >= 0; i-- { // backwards, as one may be dropped
		r := w.list[i]
		if r.mark == mark || !r.phase.mayRun() || !absent(r, hold, clockMs) || !s.absentForGood(r, hold) {
			continue
		}
		s.spoilGang(r)
		s.void(r)
	}
}

// absentForGood tells whether an absent run can't be one that is just being stopped: until its end is listed, a worker may list it
// nowhere, though it still runs. So wherever somebody may have ordered its stop, it has to be absent for longer than a stop lasts.
func (s *Scheduler) absentForGood(r *run, hold *call) bool {
	if !r.stopSent && (r.phase == runOrdered || r.phase == runDoubtful) {
		return true
	}
	lasts := time.Duration(float64(s.bounds.Stop())*holdStretch) + stopMargin
	if r.absentAt == 0 {
		r.absentAt = s.now
		w := r.worker
		s.at(s.now+lasts+time.Millisecond, func() {
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
	if r.stopAnswered && hold.sentAt > r.stopAnswerAt {
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

// wantStop has a run stopped, and stopped again until it is gone.
func (s *Scheduler) wantStop(r *run) {
	if r.stopWanted {
		return
	}
	r.stopWanted = true
	s.sendStop(r)
}

// sendStop orders the stop of a run that may exist.
func (s *Scheduler) sendStop(r *run) {
	w := r.worker
	if r.stopOut || !r.phase.mayRun() || w.runs[r.name] != r || w.reach == over || w.losing {
		return
	}
	if w.life.Address == "" {
		s.stopAgain(r, longestRetry)
		return
	}
	r.stopOut, r.stopSent = true, true
	order := workerapi.StopOrder{Task: r.name.Task.String(), Attempt: int(r.name.Attempt), FenceToken: s.token}
	s.send(Call{Kind: CallStop, Stop: order, Timeout: s.answers.timeout()}, w, r)
}

// stopEnded takes in the answer to a stop.
func (s *Scheduler) stopEnded(ended *call, reply *workerapi.HoldReply) {
	r, w := ended.run, ended.worker
	r.stopOut = false
	w.clock.read(reply.ClockMs, s.now)
	switch reply.Outcome {
	case workerapi.OtherLife:
		s.lifeOver(w)
	case workerapi.Done:
		r.stopAnswered, r.stopAnswerAt = true, s.now
		s.probe(w)
		s.stopAgain(r, s.bounds.Stop()+longestRetry)
	default:
		r.stopFailures++
		s.stopAgain(r, min(firstRetry<<min(r.stopFailures, 8), longestRetry))
	}
}

// stopAgain repeats a stop after a while.
func (s *Scheduler) stopAgain(r *run, after time.Duration) {
	if r.stopScheduled || r.worker.runs[r.name] != r {
		return
	}
	r.stopScheduled = true
	s.at(s.now+after, func() {
		r.stopScheduled = false
		s.sendStop(r)
	})
}
