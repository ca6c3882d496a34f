package scheduler

import (
	"cmp"
	"slices"
	"time"

	"gaugeslip/internal/system/state"
)

// WorkerView describes one worker instance for operators.
type WorkerView struct {
	Instance, Address, Service string
	Reach                      string
	Listed, Draining           bool
	Capacity, Used             Resources
	// Runs is how many runs may exist there, Withheld how many tasks' capacity is withheld after refusals.
	Runs, Withheld int
	// Slowness is the ratio of run times to expectations on the worker.
	Slowness float64
	// Quarantined reports that the worker is quarantined.
	Quarantined bool
}

// View describes workers and queues for operators.
type View struct {
	Workers []WorkerView
	// QueuedSteps is how many steps are queued, by service.
	QueuedSteps map[string]int
}

// Snapshot returns a view of workers and queues.
func (s *Scheduler) Snapshot() View {
	view := View{QueuedSteps: make(map[string]int, len(s.services))}
	for _, w := range s.workers {
		view.Workers = append(view.Workers, w.view())
	}
	slices.SortFunc(view.Workers, func(a, b WorkerView) int { return cmp.Compare(a.Instance, b.Instance) })
	for name, svc := range s.services {
		view.QueuedSteps[name] = svc.queue.Len()
	}
	return view
}

func (w *worker) view() WorkerView {
	view := WorkerView{
		Instance:    w.identity.Instance,
		Address:     w.identity.Address,
		Reach:       reachNames[w.reach],
		Listed:      w.listed,
		Draining:    w.draining,
		Capacity:    w.capacity,
		Used:        w.used,
		Runs:        len(w.runs),
		Withheld:    len(w.withheld),
		Slowness:    w.health.slowness(),
		Quarantined: w.health.quarantined,
	}
	if w.service != nil {
		view.Service = w.service.name
	}
	return view
}

// TaskView tells why one task of a job is not done.
type TaskView struct {
	Task state.TaskName
	// State is idle, waiting, active, paused or done.
	State string
	// Reason says what keeps a waiting task from starting.
	Reason string
	// Runs are the workers on which runs of the task may exist.
	Runs []string
	// Spent is its time so far by part, including that of the steps it depended on.
	Spent Spent
	// Deadline is on the monotonic clock.
	Deadline time.Duration
}

var taskStateNames = [...]string{taskIdle: "idle", taskWaiting: "waiting", taskActive: "active", taskInBackoff: "paused", taskDone: "done"}

// ExplainJob returns the unfinished tasks of a job's open steps and what each waits for; nil if the job is not tracked.
func (s *Scheduler) ExplainJob(id state.JobID) []TaskView {
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
		view.Reason = s.blockedReason(st, t)
	}
	return view
}

// blockedReason says what keeps a task from the worker that comes nearest to taking it.
func (s *Scheduler) blockedReason(st *step, t *task) string {
	if !s.shares.fit(st) {
		if s.shares.reservedAgainst(st) > 0 {
			return "its tenant's share of accelerators is reserved for a gang or a larger task with an earlier deadline"
		}
		return "its tenant's share of accelerators is used up"
	}
	reason := "its service has no worker that answers"
	for _, w := range st.service.workers {
		switch {
		case !w.schedulable():
			continue
		case !w.hasLabels(st.stage.Requirements):
			reason = "no worker with its labels answers"
			continue
		case !st.need.fitsInto(w.capacity):
			reason = "no worker is large enough"
			continue
		case !st.need.fitsInto(w.free()):
			return "no free capacity on any worker that it may use"
		case !s.feasible(w, st, t):
			return "the workers with free capacity are quarantined, reserved, or have enough tasks of its step"
		}
		return "about to start"
	}
	return reason
}
