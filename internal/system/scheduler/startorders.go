package scheduler

import (
	"time"

	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

// A worker may carry out a start for as long as both sendings are waited for, within these bounds: what gets no answer is soon known to be
// over, and answers that are slow altogether leave time for the order.
const (
	minStartWindow = 150 * time.Millisecond
	maxStartWindow = 300 * time.Millisecond
)

// startWindow is how long a worker may carry out a start that is sent now, from the least that its clock may show.
func (s *Scheduler) startWindow(w *worker) time.Duration {
	waited := s.latency.hedgeDelay() + s.latency.timeout()
	return min(max(waited, minStartWindow), maxStartWindow) + w.clock.maxAhead(s.now)
}

// sendCommittedStarts sends the starts whose intents were committed, but for those that are unwanted by now.
func (s *Scheduler) sendCommittedStarts() {
	for _, r := range s.committedStarts {
		if r.phase == runCommitted && !s.stillWanted(r) {
			s.stopRestOfGang(r)
		}
	}
	for _, r := range s.committedStarts {
		if r.phase != runCommitted {
			continue
		}
		if !s.stillWanted(r) {
			s.voidRun(r)
			continue
		}
		s.orderStart(r)
	}
	clear(s.committedStarts)
	s.committedStarts = s.committedStarts[:0]
}

func (s *Scheduler) stillWanted(r *run) bool {
	return !r.stopWanted && r.worker.schedulable() && r.step != nil && r.worker.runs[r.name] == r
}

func (s *Scheduler) orderStart(r *run) {
	w := r.worker
	r.setPhase(runOrdered)
	r.orderedAt = s.now
	r.dueAtMs = w.clock.lowerBound(s.now) + s.startWindow(w).Milliseconds()
	w.maxDueMs = max(w.maxDueMs, r.dueAtMs)
	s.sendStart(r)
	s.runAt(s.now+s.latency.hedgeDelay(), func() {
		if r.phase == runOrdered && w.runs[r.name] == r && !r.stopWanted && !s.latency.slow() {
			s.sendStart(r)
		}
	})
	s.scheduleHold(w, s.now)
}

// sendStart sends the start of a run. It may be sent twice, unless answers are slow altogether: a worker takes the same run's start for the
// same order.
func (s *Scheduler) sendStart(r *run) {
	w := r.worker
	order := workerapi.StartOrder{
		Task:       r.name.Task.String(),
		Attempt:    int(r.name.Attempt),
		Spec:       r.step.job.record.Spec.Text,
		DueAtMs:    r.dueAtMs,
		FenceToken: s.token,
		Checkpoint: r.checkpoint,
	}
	r.startsInFlight++
	s.startLimiter.addSent()
	s.send(Call{Kind: CallStart, Start: order, Timeout: s.latency.timeout()}, w, r)
}

// startEnded takes in the answer to a start. What the worker has listed since goes before it.
func (s *Scheduler) startEnded(ended *call, reply *workerapi.HoldReply) {
	r, w := ended.run, ended.worker
	r.startsInFlight--
	w.clock.observe(reply.ClockMs, s.now)
	if reply.Outcome == workerapi.OtherLife {
		s.instanceEnded(w)
		return
	}
	r.startInDoubt = r.startInDoubt || reply.Outcome == workerapi.Unknown
	if r.phase != runOrdered || w.runs[r.name] != r {
		return
	}
	switch reply.Outcome {
	case workerapi.Done:
		r.percentClockMs = reply.ClockMs
		s.markPresent(r)
	case workerapi.Unknown:
		s.markDoubtful(r)
	case workerapi.RefusedFence:
	case workerapi.RefusedRoom:
		s.withholdCapacity(w, r.need)
		s.startRefused(r, reply.Outcome)
	case workerapi.Busy:
		s.noteBusy(w)
		s.startRefused(r, reply.Outcome)
	default:
		s.startRefused(r, reply.Outcome)
	}
}

// startRefused takes note that one sending of a start was surely not carried out; another may have been.
func (s *Scheduler) startRefused(r *run, outcome workerapi.Outcome) {
	if r.startsInFlight > 0 || r.startInDoubt {
		s.markDoubtful(r)
		return
	}
	s.giveUpStart(r, outcome)
}

// markDoubtful takes note that a start has no clear answer, unless another sending of it still may have one.
func (s *Scheduler) markDoubtful(r *run) {
	if r.startsInFlight > 0 {
		return
	}
	r.setPhase(runDoubtful)
	s.enterPart(r, PartUnanswered)
	if r.worker.answeredAt < r.orderedAt {
		s.markSilent(r.worker)
	}
	s.stopRestOfGang(r)
	s.runAt(r.worker.clock.passedBy(r.dueAtMs), func() { s.probeForRun(r) })
}

// probeForRun looks for a run that is still in doubt.
func (s *Scheduler) probeForRun(r *run) {
	if r.phase == runDoubtful && r.worker.runs[r.name] == r {
		s.probe(r.worker)
	}
}

// giveUpStart gives up a run that the worker surely hasn't started and won't.
func (s *Scheduler) giveUpStart(r *run, outcome workerapi.Outcome) {
	if t := r.task(); t != nil {
		t.refusals++
		t.lastRefusal = outcome
		t.avoid = r.worker
	}
	s.stopRestOfGang(r)
	s.voidRun(r)
}

// voidRun proposes that a run doesn't exist and never will.
func (s *Scheduler) voidRun(r *run) {
	r.setPhase(runVoided)
	s.capacityFreed(r.worker)
	if r.foreign {
		s.dropRun(r)
		return
	}
	s.voiding[r.name] = r
	s.newVoids = append(s.newVoids, r.name)
}

func (s *Scheduler) proposeVoids() {
	if len(s.newVoids) == 0 {
		return
	}
	s.propose(state.Command{Kind: state.KindStartsVoided, StartsVoided: s.newVoids})
	s.newVoids = nil
}

// voidsCommitted takes in the commit of runs that don't exist.
func (s *Scheduler) voidsCommitted(names []state.Run) {
	for _, name := range names {
		if r := s.voiding[name]; r != nil {
			s.dropRun(r)
		}
		s.reconcileTask(name.Task)
	}
}
