package scheduler

import (
	"gaugeslip/internal/system/state"
)

// proposeStart reserves capacity for the next run of a task and proposes its intent.
func (s *Scheduler) proposeStart(st *step, index uint32, w *worker) {
	attempt, checkpoint := uint32(1), ""
	if record := st.record(index); record != nil {
		attempt, checkpoint = record.Attempt+1, record.Checkpoint
	}
	s.proposeRun(st, index, w, attempt, st.tasks[index].checkpoint.newest(attempt-1, checkpoint))
}

// newest returns the checkpoint to start from: the last one seen, unless the replicated one is of a later attempt.
func (c checkpoint) newest(attempt uint32, replicated string) string {
	if c.text != "" && c.attempt >= attempt {
		return c.text
	}
	return replicated
}

func (s *Scheduler) proposeRun(st *step, index uint32, w *worker, attempt uint32, checkpoint string) {
	name := state.Run{Task: st.name(index), Attempt: attempt}
	s.addRun(&run{name: name, worker: w, step: st, need: st.need, checkpoint: checkpoint, resumed: checkpoint != ""})
	s.shares.propose(name, st)
	s.startLimiter.addProposed()
	s.newStarts = append(s.newStarts, state.Start{Run: name, Worker: w.identity.Instance, Checkpoint: checkpoint})
}

// maxStartsPerCommand limits the intents in one command. Intents of one step stay together and may exceed it.
const maxStartsPerCommand = 1000

// proposeStarts proposes the intents of this round in few commands.
func (s *Scheduler) proposeStarts() {
	for len(s.newStarts) > 0 {
		end := min(maxStartsPerCommand, len(s.newStarts))
		for end < len(s.newStarts) && sameStep(&s.newStarts[end-1], &s.newStarts[end]) {
			end++
		}
		s.propose(state.Command{Kind: state.KindTasksStarting, TasksStarting: s.newStarts[:end:end]})
		s.newStarts = s.newStarts[end:]
	}
	s.newStarts = nil
}

func sameStep(a, b *state.Start) bool {
	return a.Task.Job == b.Task.Job && a.Task.Time == b.Task.Time && a.Task.Step == b.Task.Step
}

// startsCommitted handles the commit of intents. Those that the state accepted are sent; the others never run.
func (s *Scheduler) startsCommitted(all, accepted []state.Start) {
	for i := range all {
		ok := len(accepted) > 0 && accepted[0].Run == all[i].Run
		if ok {
			accepted = accepted[1:]
		}
		s.startCommitted(&all[i], ok)
	}
}

func (s *Scheduler) startCommitted(start *state.Start, accepted bool) {
	s.shares.decided(start.Run, accepted)
	s.startLimiter.removeProposed()
	w := s.ensureWorker(start.Worker)
	r := w.runs[start.Run]
	switch {
	case r == nil || r.phase != runProposed:
		if accepted && r == nil {
			s.adoptRun(w, start.Run)
		}
	case accepted:
		r.setPhase(runCommitted)
		s.committedStarts = append(s.committedStarts, r)
	default:
		s.dropRun(r)
		s.reconcileTask(start.Task)
	}
}

// adoptRun tracks a run that an earlier head may have started.
func (s *Scheduler) adoptRun(w *worker, name state.Run) {
	r := &run{name: name, worker: w, phase: runInherited, resumed: true}
	if stage := s.stageSpec(name.Task); stage != nil {
		r.need = stageNeed(stage)
	}
	j := s.jobs[name.Task.Job]
	if j != nil {
		r.step = s.ensureStep(j, s.ensureOccurrence(j, name.Task.Time), name.Task.Step)
	}
	if r.step != nil {
		s.dequeueTask(r.step, name.Task.Index)
	}
	s.addRun(r)
	if t := r.task(); t != nil {
		s.noteWaiting(t)
	}
	if j == nil {
		s.requestStop(r)
	}
}
