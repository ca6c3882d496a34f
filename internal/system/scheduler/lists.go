package scheduler

import (
	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

// processLists handles both lists of an answer and reports whether they contain new ends. Answers may overtake one another: a list of
// running tasks that is older than one already seen is ignored.
func (s *Scheduler) processLists(w *worker, ended *call, reply *workerapi.HoldReply) (hasNew bool) {
	w.clock.observe(reply.ClockMs, s.now)
	if reply.ClockMs < w.hold.listClockMs {
		return s.processFinished(w, reply.Finished)
	}
	w.hold.listClockMs = reply.ClockMs
	s.lastMark++
	mark := s.lastMark
	s.processRunning(w, reply.Running, mark)
	hasNew = s.processFinished(w, reply.Finished)
	if len(reply.Finished) < workerapi.MaxFinished {
		s.voidAbsent(w, ended, reply.ClockMs, mark)
	}
	return hasNew
}

// processRunning handles the list of running tasks.
func (s *Scheduler) processRunning(w *worker, running []workerapi.RunningTask, mark uint64) {
	for i := range running {
		listed := &running[i]
		name, ok := jobspec.ParseTask(listed.Task)
		if !ok {
			continue
		}
		key := state.Run{Task: name, Attempt: uint32(listed.Attempt)}
		r := w.runs[key]
		if r == nil {
			r = s.addForeign(w, key)
		}
		r.listMark = mark
		r.absentAt = 0
		s.markPresent(r)
		s.noteProgress(r, listed)
	}
}

// processFinished handles the list of ends and proposes those that are new.
func (s *Scheduler) processFinished(w *worker, finished []workerapi.FinishedTask) (hasNew bool) {
	seen := max(w.lastProposedEnd, s.lastCommittedEnd(w))
	var ends []state.End
	for i := range finished {
		listed := &finished[i]
		if listed.N <= seen {
			continue
		}
		name, _ := jobspec.ParseTask(listed.Task)
		end := state.End{
			Run:        state.Run{Task: name, Attempt: uint32(listed.Attempt)},
			Number:     listed.N,
			How:        endHow(listed.How),
			Checkpoint: listed.Checkpoint,
		}
		ends = append(ends, end)
		seen = listed.N
		if r := w.runs[end.Run]; r != nil {
			s.noteEnd(r, &end)
		}
	}
	if len(ends) == 0 {
		return false
	}
	w.lastProposedEnd = seen
	ended := &state.TasksEnded{Worker: w.identity.Instance, Ends: ends}
	s.propose(state.Command{Kind: state.KindTasksEnded, TasksEnded: ended})
	return true
}

// endHow converts the way in which a run ended. An unknown one counts as stopped, which uses up no attempt.
func endHow(how workerapi.EndReason) state.EndReason {
	switch how {
	case workerapi.EndDone:
		return state.Done
	case workerapi.EndFailed:
		return state.Failed
	case workerapi.EndLapsed:
		return state.Lapsed
	case workerapi.EndGangBroken:
		return state.GangBroken
	case workerapi.EndGangIncomplete:
		return state.GangIncomplete
	}
	return state.Stopped
}

// endsCommitted handles the commit of ends that a worker listed.
func (s *Scheduler) endsCommitted(ended *state.TasksEnded, finished []*state.Job) {
	w := s.workers[ended.Worker]
	for i := range ended.Ends {
		if w == nil {
			break
		}
		w.lastCommittedEnd = max(w.lastCommittedEnd, ended.Ends[i].Number)
		if r := w.runs[ended.Ends[i].Run]; r != nil {
			s.dropRun(r)
		}
	}
	s.jobsEnded(finished)
	for i := range ended.Ends {
		s.reconcileTask(ended.Ends[i].Task)
	}
	if w != nil && w.lastProposedEnd <= s.lastCommittedEnd(w) {
		s.scheduleHold(w, s.now)
	}
}
