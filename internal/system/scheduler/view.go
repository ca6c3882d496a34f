package scheduler

import (
	"cmp"
	"slices"
	"time"

	"gaugeslip/internal/system/state"
)

// WorkerView is what an operator is shown of one life of a worker.
type WorkerView struct {
	Instance, Address, Service string
	Reach                      string
	Listed, Draining           bool
	Room, Used                 Resources
	// Runs is how many may exist there, Withheld how many lanes refusals have cost.
	Runs, Withheld int
	// Slowness is how many times as long as expected runs take there.
	Slowness float64
	// Shut tells that it gets trial tasks only.
	Shut bool
}

// View is what an operator is shown.
type View struct {
	Workers []WorkerView
	// Held is how many steps have tasks that wait for room, by service.
	Held map[string]int
}

// Snapshot gives a read-only view of workers and queues.
func (s *Scheduler) Snapshot() View {
	view := View{Held: make(map[string]int, len(s.services))}
	for _, w := range s.workers {
		view.Workers = append(view.Workers, w.view())
	}
	slices.SortFunc(view.Workers, func(a, b WorkerView) int { return cmp.Compare(a.Instance, b.Instance) })
	for name, svc := range s.services {
		view.Held[name] = svc.queue.Len()
	}
	return view
}

func (w *worker) view() WorkerView {
	view := WorkerView{
		Instance: w.identity.Instance,
		Address:  w.identity.Address,
		Reach:    reachNames[w.reach],
		Listed:   w.listed,
		Draining: w.draining,
		Room:     w.capacity,
		Used:     w.used,
		Runs:     len(w.runs),
		Withheld: len(w.withheld),
		Slowness: w.health.slowness(),
		Shut:     w.health.quarantined,
	}
	if w.service != nil {
		view.Service = w.service.name
	}
	return view
}

// TaskView tells why one task of a job isn't done.
type TaskView struct {
	Task state.TaskName
	// State is waiting, active, paused or done.
	State string
	// Why says for a waiting task what keeps it from starting.
	Why string
	// Runs are the workers on which runs of it may exist.
	Runs []string
	// Spent is its time so far by part, with that of the steps it waited for.
	Spent Spent
	// Deadline is on the steady clock.
	Deadline time.Duration
}

var taskStateNames = [...]string{taskIdle: "idle", taskWaiting: "waiting", taskActive: "active", taskPaused: "paused", taskDone: "done"}

// Why tells of each task of a job's open steps that isn't done what it waits for.
func (s *Scheduler) Why(id state.JobID) []TaskView {
	j := s.jobs[id]
	if j == nil {
		return nil
	}
	var views []TaskView
	for _, t := range j.occurrences {
		for _, st := range t.steps {
			if st == nil || st.closed {
				continue
			}
			for i := range st.tasks {
				if st.tasks[i].state != taskDone {
					views = append(views, s.viewTask(st, uint32(i)))
				}
			}
		}
	}
	slices.SortFunc(views, func(a, b TaskView) int { return a.Task.Compare(b.Task) })
	return views
}

func (s *Scheduler) viewTask(st *step, index uint32) TaskView {
	t := &st.tasks[index]
	view := TaskView{Task: st.name(index), State: taskStateNames[t.state], Deadline: st.deadline(), Spent: st.upstreamSpent.plus(t.account.totalsAt(s.now))}
	for _, r := range t.runs {
		view.Runs = append(view.Runs, r.worker.identity.Instance)
	}
	if t.state == taskWaiting {
		view.Why = s.blockedReason(st, t)
	}
	return view
}

// blockedReason says what keeps a task from the worker that comes nearest to taking it.
func (s *Scheduler) blockedReason(st *step, t *task) string {
	if !s.shares.fit(st) {
		if s.shares.reservedAgainst(st) > 0 {
			return "its tenant's share of accelerators is kept for a gang or a larger task with an earlier deadline"
		}
		return "its tenant's share of accelerators is used up"
	}
	obstacle := "its service has no worker that answers"
	for _, w := range st.service.workers {
		switch {
		case !w.schedulable():
			continue
		case !w.hasLabels(st.stage.Requirements):
			obstacle = "no worker with its labels answers"
			continue
		case !st.need.fitsInto(w.capacity):
			obstacle = "no worker is large enough"
			continue
		case !st.need.fitsInto(w.free()):
			return "no room on any worker that it may use"
		case !s.feasible(w, st, t):
			return "the workers with room are shut out or hold enough of its step"
		}
		return "about to start"
	}
	return obstacle
}
