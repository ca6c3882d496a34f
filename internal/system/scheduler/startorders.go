package scheduler

import (
	"time"

	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

// A worker may carry out a start for as long as both sendings are waited for, within these bounds: what gets no answer is soon known to be
// over, and answers that are slow altogether leave time for the order.
const (
	shortestWindow = 150 * time.Millisecond
	longestWindow  = 300 * time.Millisecond
)

// startWindow is how long a worker may carry out a start that is sent now, from the least that its clock may show.
func (s *Scheduler) startWindow(w *worker) time.Duration {
	waited := s.answers.hedge() + s.answers.timeout()
	return min(max(waited, shortestWindow), longestWindow) + w.clock.mayBeAhead(s.now)
}

// orderStarts sends the starts whose intents were committed, but for those that are unwanted by now.
func (s *Scheduler) orderStarts() {
	for _, r := range s.ordered {
		if r.phase == runCommitted && !s.orderable(r) {
			s.spoilGang(r)
		}
	}
	for _, r := range s.ordered {
		if r.phase != runCommitted {
			continue
		}
		if !s.orderable(r) {
			s.void(r)
			continue
		}
		s.orderStart(r)
	}
	clear(s.ordered)
	s.ordered = s.ordered[:0]
}

func (s *Scheduler) orderable(r *run) bool {
	return !r.stopWanted && r.worker.open() && r.step != nil && r.worker.runs[r.name] == r
}

func (s *Scheduler) orderStart(r *run) {
	w := r.worker
	r.setPhase(runOrdered)
	r.orderedAt = s.now
	r.dueAtMs = w.clock.lower(s.now) + s.startWindow(w).Milliseconds()
	w.highestDue = max(w.highestDue, r.dueAtMs)
	s.sendStart(r)
	s.at(s.now+s.answers.hedge(), func() {
		if r.phase == runOrdered && w.runs[r.name] == r && !r.stopWanted && !s.answers.slow() {
			s.sendStart(r)
		}
	})
	s.holdAt(w, s.now)
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
	r.startsOut++
	s.pace.sending()
	s.send(Call{Kind: CallStart, Start: order, Timeout: s.answers.timeout()}, w, r)
}

// startEnded takes in the answer to a start. What the worker has listed since goes before it.
func (s *Scheduler) startEnded(ended *call, reply *workerapi.HoldReply) {
	r, w := ended.run, ended.worker
	r.startsOut--
	w.clock.read(reply.ClockMs, s.now)
	if reply.Outcome == workerapi.OtherLife {
		s.lifeOver(w)
		return
	}
	r.startInDoubt = r.startInDoubt || reply.Outcome == workerapi.Unknown
	if r.phase != runOrdered || w.runs[r.name] != r {
		return
	}
	switch reply.Outcome {
	case workerapi.Done:
		r.percentMs = reply.ClockMs
		s.present(r)
	case workerapi.Unknown:
		s.doubt(r)
	case workerapi.RefusedFence:
	case workerapi.RefusedRoom:
		s.full(w, r.need)
		s.startRefused(r, reply.Outcome)
	case workerapi.Busy:
		s.busy(w)
		s.startRefused(r, reply.Outcome)
	default:
		s.startRefused(r, reply.Outcome)
	}
}

// startRefused takes note that one sending of a start was surely not carried out; another may have been.
func (s *Scheduler) startRefused(r *run, outcome workerapi.Outcome) {
	if r.startsOut > 0 || r.startInDoubt {
		s.doubt(r)
		return
	}
	s.refused(r, outcome)
}

// doubt takes note that a start has no clear answer, unless another sending of it still may have one.
func (s *Scheduler) doubt(r *run) {
	if r.startsOut > 0 {
		return
	}
	r.setPhase(runDoubtful)
	s.spend(r, PartUnanswered)
	if r.worker.answeredAt < r.orderedAt {
		s.silence(r.worker)
	}
	s.spoilGang(r)
	s.at(r.worker.clock.surelyPast(r.dueAtMs), func() { s.probeFor(r) })
}

// probeFor looks for a run that is still in doubt.
func (s *Scheduler) probeFor(r *run) {
	if r.phase == runDoubtful && r.worker.runs[r.name] == r {
		s.probe(r.worker)
	}
}

// refused gives up a run that the worker surely hasn't started and won't.
func (s *Scheduler) refused(r *run, outcome workerapi.Outcome) {
	if t := r.task(); t != nil {
		t.refusals++
		t.refusal = outcome
		t.avoid = r.worker
	}
	s.spoilGang(r)
	s.void(r)
}

// void proposes that a run doesn't exist and never will.
func (s *Scheduler) void(r *run) {
	r.setPhase(runVoided)
	s.roomFreed(r.worker)
	if r.foreign {
		s.drop(r)
		return
	}
	s.voiding[r.name] = r
	s.voids = append(s.voids, r.name)
}

func (s *Scheduler) proposeVoids() {
	if len(s.voids) == 0 {
		return
	}
	s.propose(state.Command{Kind: state.KindStartsVoided, StartsVoided: s.voids})
	s.voids = nil
}

// voidsCommitted takes in the commit of runs that don't exist.
func (s *Scheduler) voidsCommitted(names []state.Run) {
	for _, name := range names {
		if r := s.voiding[name]; r != nil {
			s.drop(r)
		}
		s.settleName(name.Task)
	}
}
