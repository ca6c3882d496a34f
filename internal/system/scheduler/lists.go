package scheduler

import (
	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

// takeLists takes in both lists. Answers may overtake one another: a list of what runs that is older than another is passed over.
func (s *Scheduler) takeLists(w *worker, ended *call, reply *workerapi.HoldReply) (news bool) {
	w.clock.read(reply.ClockMs, s.now)
	if reply.ClockMs < w.hold.listedMs {
		return s.takeFinished(w, reply.Finished)
	}
	w.hold.listedMs = reply.ClockMs
	s.lastMark++
	mark := s.lastMark
	s.takeRunning(w, reply.Running, mark)
	news = s.takeFinished(w, reply.Finished)
	if len(reply.Finished) < workerapi.MaxFinished {
		s.voidAbsent(w, ended, reply.ClockMs, mark)
	}
	return news
}

// takeRunning takes in the list of what runs.
func (s *Scheduler) takeRunning(w *worker, running []workerapi.RunningTask, mark uint64) {
	for i := range running {
		listed := &running[i]
		name, ok := jobspec.ParseTask(listed.Task)
		if !ok {
			continue
		}
		key := state.Run{Task: name, Attempt: uint32(listed.Attempt)}
		r := w.runs[key]
		if r == nil {
			r = s.foreign(w, key)
		}
		r.mark = mark
		r.absentAt = 0
		s.present(r)
		s.progress(r, listed)
	}
}

// takeFinished takes in the list of ends and proposes those that are new.
func (s *Scheduler) takeFinished(w *worker, finished []workerapi.FinishedTask) (news bool) {
	seen := max(w.seen, s.lastSeen(w))
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
			How:        howOf(listed.How),
			Checkpoint: listed.Checkpoint,
		}
		ends = append(ends, end)
		seen = listed.N
		if r := w.runs[end.Run]; r != nil {
			s.ended(r, &end)
		}
	}
	if len(ends) == 0 {
		return false
	}
	w.seen = seen
	ended := &state.TasksEnded{Worker: w.life.Instance, Ends: ends}
	s.propose(state.Command{Kind: state.KindTasksEnded, TasksEnded: ended})
	return true
}

// howOf reads the way in which a run ended; one that isn't known spends no attempt.
func howOf(how workerapi.How) state.EndReason {
	switch how {
	case workerapi.HowDone:
		return state.Done
	case workerapi.HowFailed:
		return state.Failed
	case workerapi.HowLapsed:
		return state.Lapsed
	case workerapi.HowBroken:
		return state.GangBroken
	case workerapi.HowAlone:
		return state.GangIncomplete
	}
	return state.Stopped
}

// endsCommitted takes in the commit of ends that a worker listed.
func (s *Scheduler) endsCommitted(ended *state.TasksEnded, finished []*state.Job) {
	w := s.workers[ended.Worker]
	for i := range ended.Ends {
		if w == nil {
			break
		}
		w.committed = max(w.committed, ended.Ends[i].Number)
		if r := w.runs[ended.Ends[i].Run]; r != nil {
			s.drop(r)
		}
	}
	s.jobsOver(finished)
	for i := range ended.Ends {
		s.settleName(ended.Ends[i].Task)
	}
	if w != nil && w.seen <= s.lastSeen(w) {
		s.holdAt(w, s.now)
	}
}
