package scheduler

import (
	"time"

	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

// A worker may carry out a start for as long as answers to both of its sendings are awaited, within these bounds. So it is soon
// certain that a start without an answer does not run, and if answers are slow in general, starts still have enough time.
const (
	minStartWindow = 150 * time.Millisecond
	maxStartWindow = 300 * time.Millisecond
)

// startWindow returns for how long a worker may carry out a start that is sent now, counted from the lower bound of its clock.
func (s *Scheduler) startWindow(w *worker) time.Duration {
	waited := s.latency.hedgeDelay() + s.latency.timeout()
	return min(max(waited, minStartWindow), maxStartWindow) + w.clock.maxAhead(s.now)
}

// sendCommittedStarts sends the starts whose intents were committed, and voids those that are no longer wanted.
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

// sendStart sends the start of a run. It may be sent twice, unless answers are slow in general; a worker treats both sendings as the same
// order.
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

// startEnded handles the answer to a start. What the worker has listed in the meantime takes precedence.
func (s *Scheduler) startEnded(ended *call, reply *workerapi.HoldReply) {
	r, w := ended.run, ended.worker
	r.startsInFlight--
	w.clock.observe(reply.ClockMs, s.now)
	if reply.Outcome == workerapi.OtherInstance {
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
	case workerapi.RefusedCapacity:
		s.withholdCapacity(w, r.need)
		s.startRefused(r, reply.Outcome)
	case workerapi.Busy:
		s.noteBusy(w)
		s.startRefused(r, reply.Outcome)
	default:
		s.startRefused(r, reply.Outcome)
	}
}

// startRefused handles a sending of a start that was certainly not carried out. Another sending of it may have been.
func (s *Scheduler) startRefused(r *run, outcome workerapi.Outcome) {
	if r.startsInFlight > 0 || r.startInDoubt {
		s.markDoubtful(r)
		return
	}
	s.giveUpStart(r, outcome)
}

// markDoubtful marks a start as in doubt, unless another sending of it is still in flight.
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

// probeForRun probes the worker of a run that is still in doubt.
func (s *Scheduler) probeForRun(r *run) {
	if r.phase == runDoubtful && r.worker.runs[r.name] == r {
		s.probe(r.worker)
	}
}

// giveUpStart gives up a run that the worker certainly has not started and will not start.
func (s *Scheduler) giveUpStart(r *run, outcome workerapi.Outcome) {
	if t := r.task(); t != nil {
		t.refusals++
		t.lastRefusal = outcome
		t.avoid = r.worker
	}
	s.stopRestOfGang(r)
	s.voidRun(r)
}

// voidRun proposes that a run does not exist and never will.
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

// voidsCommitted handles the commit of voided runs.
func (s *Scheduler) voidsCommitted(names []state.Run) {
	for _, name := range names {
		if r := s.voiding[name]; r != nil {
			s.dropRun(r)
		}
		s.reconcileTask(name.Task)
	}
}
