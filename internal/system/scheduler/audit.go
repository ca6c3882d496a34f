package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"gaugeslip/internal/system/state"
)

// Finding is a task whose turn came long ago and of which no run is known to be there, or a worker that nobody asked.
type Finding struct {
	// Task is the zero name where a worker is meant.
	Task state.TaskName
	// Waited is for how long its turn has come, or since it ran last.
	Waited time.Duration
	// Reason is what it waits for.
	Reason string
	// Worker is where a run of it may exist, empty if there is none.
	Worker string
	// Refused tells that its starts were refused several times in turn.
	Refused bool
	// Mended tells that no reason held, and that it was put back among those that are tried or asked.
	Mended bool
}

const (
	// auditInterval is how often it is looked for tasks that wait, auditMinWait for how long one has to wait to be looked at.
	auditInterval = time.Second
	auditMinWait  = 3 * time.Second
	// reportAgainAfter is how soon a task that still waits is looked at and told of again.
	reportAgainAfter = 5 * time.Second
	// maxAuditedTasks bounds the held tasks that one audit tries on all workers, maxFindings those that it tells of.
	maxAuditedTasks = 24
	maxFindings     = 8
)

// auditing is where the audit stands.
type auditing struct {
	tried    int // held tasks that were tried in this audit
	findings []Finding
}

// planAudit has the next audit made.
func (s *Scheduler) planAudit() {
	s.runAt(s.now+auditInterval, func() {
		s.audit()
		s.planAudit()
	})
}

// audit mends what should never be: jobs, steps and tasks that wait and are in no queue, tasks that could start and don't, workers that
// nobody asks. It tells of that, and of tasks that have waited for long what each waits for.
func (s *Scheduler) audit() {
	s.auditing.tried = 0
	s.auditJobs()
	s.auditWorkers()
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		for _, number := range slices.Sorted(maps.Keys(j.occurrences)) {
			s.auditOccurrence(j, j.occurrences[number])
		}
	}
}

// auditJobs opens jobs that aren't over and aren't known here.
func (s *Scheduler) auditJobs() {
	var missed []state.JobID
	for id, record := range s.machine.Jobs() {
		if !record.State.Over() && s.jobs[id] == nil {
			missed = append(missed, id)
		}
	}
	slices.Sort(missed)
	for _, id := range missed {
		s.openJob(s.trackJob(s.machine.Job(id)))
		s.reportFinding(Finding{Task: state.TaskName{Job: id}, Reason: "the job wasn't known", Mended: true})
	}
}

// auditWorkers asks the listed workers to which no hold is out and none is planned.
func (s *Scheduler) auditWorkers() {
	var missed []string
	for instance, w := range s.workers {
		if w.listed && w.identity.Address != "" && !w.lossProposed && w.reach != reachOver && !w.hold.inFirstQueue && w.hold.callID == 0 && w.hold.nextAt+auditMinWait < s.now {
			missed = append(missed, instance)
		}
	}
	slices.Sort(missed)
	for _, instance := range missed {
		w := s.workers[instance]
		s.reportFinding(Finding{Worker: instance, Reason: "nobody asks the worker, which is " + reachNames[w.reach], Mended: true})
		w.hold.nextAt = 0
		s.scheduleHold(w, s.now)
	}
}

func (s *Scheduler) auditOccurrence(j *job, t *occurrence) {
	for i := range t.steps {
		st := t.steps[i]
		if (st == nil || !st.opened) && j.record.StepReady(t.number, uint32(i)) {
			s.openStep(s.ensureStep(j, t, uint32(i)))
			s.reportFinding(Finding{Task: t.steps[i].name(0), Reason: "the step wasn't open", Mended: true})
		}
		if st != nil && st.opened && !st.closed {
			s.auditStep(st)
		}
	}
}

func (s *Scheduler) auditStep(st *step) {
	if st.hasWaiting() && !st.queued {
		s.enqueue(st)
		s.reportFinding(Finding{Task: st.name(0), Reason: "the step wasn't held", Mended: true})
	}
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.state == taskDone || t.waitingSince == 0 || s.now-t.waitingSince < auditMinWait || s.now < t.reportedAt+reportAgainAfter && !t.unexplained {
			continue
		}
		s.auditTask(st, uint32(i), t)
	}
}

// auditTask looks at one task that has waited for long.
func (s *Scheduler) auditTask(st *step, index uint32, t *task) {
	found := Finding{Task: st.name(index), Waited: s.now - t.waitingSince}
	if r := st.pendingRun(t); r != nil {
		found.Worker, found.Reason = r.worker.identity.Instance, r.waitReason()
	} else if s.auditing.tried < maxAuditedTasks {
		s.auditing.tried++
		found.Reason, found.Mended = s.auditQueued(st, index, t)
		found.Refused = t.refusals > freeRefusals
	}
	if found.Reason != "" {
		t.reportedAt = s.now
		s.reportFinding(found)
	}
}

func (s *Scheduler) reportFinding(found Finding) {
	if len(s.auditing.findings) < maxFindings {
		s.auditing.findings = append(s.auditing.findings, found)
	}
}

// pendingRun is the run that a task waits for: its newest, or for a gang one of any member. Nil: there is none.
func (st *step) pendingRun(t *task) *run {
	if len(t.runs) > 0 {
		return t.runs[len(t.runs)-1]
	}
	if !st.stage.Gang {
		return nil
	}
	for i := range st.tasks {
		if runs := st.tasks[i].runs; len(runs) > 0 {
			return runs[len(runs)-1]
		}
	}
	return nil
}

// waitReason says what a run that isn't known to be there waits for; empty: it is there.
func (r *run) waitReason() string {
	if r.phase == runPresent && r.worker.reach == reachAnswering {
		return ""
	}
	return "its run is " + phaseNames[r.phase] + ", its worker " + reachNames[r.worker.reach]
}

// auditQueued says what a task without a run waits for. One that could start, as two audits in turn have found, is tried again.
func (s *Scheduler) auditQueued(st *step, index uint32, t *task) (reason string, mended bool) {
	reason, idle := s.queueReason(st, t)
	if !idle {
		t.unexplained = false
		return reason, false
	}
	if !t.unexplained {
		t.unexplained = true
		return "", false
	}
	t.unexplained = false
	s.forceRetry(st, index, t)
	return reason, true
}

// queueReason says why a task without a run isn't started; idle: nothing keeps it from that.
func (s *Scheduler) queueReason(st *step, t *task) (reason string, idle bool) {
	s.refreshLayout(st.service)
	refused := ""
	if t.refusals > freeRefusals {
		refused = fmt.Sprintf(", %d starts in turn refused, the last: %v", t.refusals, t.lastRefusal)
	}
	switch {
	case st.stage.Gang && st.gang != gangWaiting || !st.stage.Gang && t.state != taskWaiting:
		if s.now <= st.backoffUntil(t)+auditInterval { // its timer may be next
			return "it pauses" + refused, false
		}
		return "it is neither held nor run" + refused, true
	case st.service.tryAll || len(st.service.freed) > 0:
		return "it is about to be tried" + refused, false
	case !s.shares.fit(st):
		return s.blockedReason(st, t) + refused, false
	case st.stage.Gang && s.chooseGang(st) == nil:
		return "no room for all members at once" + refused, false
	case !st.stage.Gang && s.chooseWorker(st, t) == nil:
		return s.blockedReason(st, t) + refused, false
	}
	return "there is room" + refused, true
}

// backoffUntil is until when a task, or its whole gang, pauses.
func (st *step) backoffUntil(t *task) time.Duration {
	if st.stage.Gang {
		return st.tasks[0].backoffUntil
	}
	return t.backoffUntil
}

// restartCost has a task tried on all workers that waits without a reason.
func (s *Scheduler) forceRetry(st *step, index uint32, t *task) {
	switch {
	case st.stage.Gang && st.gang == gangWaiting || !st.stage.Gang && t.state == taskWaiting:
		s.retryOnAll(st)
	case st.stage.Gang:
		s.enqueueGang(st)
	default:
		s.enqueueTask(st, index)
	}
}
