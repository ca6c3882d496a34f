package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"gaugeslip/internal/system/state"
)

// Finding is a task that has been ready for long without a known run, or a worker that was not contacted.
type Finding struct {
	// Task is the zero name if the finding is about a worker.
	Task state.TaskName
	// Waited is how long ago the task became ready, or its last run ended.
	Waited time.Duration
	// Reason is what the task waits for.
	Reason string
	// Worker is where a run of the task may exist; empty if there is none.
	Worker string
	// Refused reports that its starts were refused several times in a row.
	Refused bool
	// Repaired reports that no reason held, and that the task or worker was scheduled again.
	Repaired bool
}

const (
	// auditInterval is how often the audit looks for waiting tasks; auditMinWait is how long a task must wait before it is looked at.
	auditInterval = time.Second
	auditMinWait  = 3 * time.Second
	// reportAgainAfter is how soon a task that still waits is looked at and reported again.
	reportAgainAfter = 5 * time.Second
	// maxAuditedTasks limits the queued tasks that one audit tries on all workers; maxFindings limits the findings that are reported.
	maxAuditedTasks = 24
	maxFindings     = 8
)

// auditing is the state of the audit.
type auditing struct {
	tried    int // queued tasks that this audit has tried
	findings []Finding
}

// planAudit schedules the next audit.
func (s *Scheduler) planAudit() {
	s.runAt(s.now+auditInterval, func() {
		s.audit()
		s.planAudit()
	})
}

// audit repairs states that should not occur: jobs, steps and waiting tasks missing from their queue, tasks that could start but do not,
// and workers that are not contacted. It reports these repairs, and for tasks that have waited long it reports what they wait for.
func (s *Scheduler) audit() {
	s.audits.tried = 0
	s.auditJobs()
	s.auditWorkers()
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		for _, number := range slices.Sorted(maps.Keys(j.occurrences)) {
			s.auditOccurrence(j, j.occurrences[number])
		}
	}
}

// auditJobs opens unfinished jobs that are not tracked.
func (s *Scheduler) auditJobs() {
	var missed []state.JobID
	for id, record := range s.machine.Jobs() {
		if !record.State.Finished() && s.jobs[id] == nil {
			missed = append(missed, id)
		}
	}
	slices.Sort(missed)
	for _, id := range missed {
		s.openJob(s.trackJob(s.machine.Job(id)))
		s.reportFinding(Finding{Task: state.TaskName{Job: id}, Reason: "the job was not tracked", Repaired: true})
	}
}

// auditWorkers sends a hold to listed workers that have none in flight and none scheduled.
func (s *Scheduler) auditWorkers() {
	var missed []string
	for instance, w := range s.workers {
		if w.listed && w.identity.Address != "" && !w.lossProposed && w.reach != reachOver &&
			!w.hold.inFirstQueue && w.hold.callID == 0 && w.hold.nextAt+auditMinWait < s.now {
			missed = append(missed, instance)
		}
	}
	slices.Sort(missed)
	for _, instance := range missed {
		w := s.workers[instance]
		reason := "no hold is in flight or scheduled to the worker, which is " + reachNames[w.reach]
		s.reportFinding(Finding{Worker: instance, Reason: reason, Repaired: true})
		w.hold.nextAt = 0
		s.scheduleHold(w, s.now)
	}
}

func (s *Scheduler) auditOccurrence(j *job, t *occurrence) {
	for i := range t.steps {
		st := t.steps[i]
		if (st == nil || !st.opened) && j.stepReady(t.number, uint32(i)) {
			s.openStep(s.ensureStep(j, t, uint32(i)))
			s.reportFinding(Finding{Task: t.steps[i].name(0), Reason: "the step was not open", Repaired: true})
		}
		if st != nil && st.opened && !st.closed {
			s.auditStep(st)
		}
	}
}

func (s *Scheduler) auditStep(st *step) {
	if st.hasWaiting() && !st.queued {
		s.enqueue(st)
		s.reportFinding(Finding{Task: st.name(0), Reason: "the step was not queued", Repaired: true})
	}
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.state == taskDone || t.waitingSince == 0 || s.now-t.waitingSince < auditMinWait ||
			s.now < t.reportedAt+reportAgainAfter && !t.unexplained {
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
	} else if s.audits.tried < maxAuditedTasks {
		s.audits.tried++
		found.Reason, found.Repaired = s.auditQueued(st, index, t)
		found.Refused = t.refusals > freeRefusals
	}
	if found.Reason != "" {
		t.reportedAt = s.now
		s.reportFinding(found)
	}
}

func (s *Scheduler) reportFinding(found Finding) {
	if len(s.audits.findings) < maxFindings {
		s.audits.findings = append(s.audits.findings, found)
	}
}

// pendingRun returns the run that a task waits for: its newest, or for a gang the newest run of any member. It returns nil if there is
// none.
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

// waitReason returns what a run that is not known to exist waits for; empty if it exists and its worker answers.
func (r *run) waitReason() string {
	if r.phase == runPresent && r.worker.reach == reachAnswering {
		return ""
	}
	return "its run is " + phaseNames[r.phase] + ", its worker " + reachNames[r.worker.reach]
}

// auditQueued returns what a task without a run waits for. If two consecutive audits find that it could start, it is tried again.
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

// queueReason returns why a task without a run is not started. idle reports that nothing prevents it.
func (s *Scheduler) queueReason(st *step, t *task) (reason string, idle bool) {
	s.refreshLayout(st.service)
	refused := ""
	if t.refusals > freeRefusals {
		refused = fmt.Sprintf(", %d consecutive starts refused, the last: %v", t.refusals, t.lastRefusal)
	}
	switch {
	case st.stage.Gang && st.gang != gangWaiting || !st.stage.Gang && t.state != taskWaiting:
		if s.now <= st.backoffUntil(t)+auditInterval { // its timer may fire next
			return "it is in backoff" + refused, false
		}
		return "it is neither queued nor running" + refused, true
	case st.service.tryAll || len(st.service.freed) > 0:
		return "it is about to be tried" + refused, false
	case !s.shares.fit(st):
		return s.blockedReason(st, t) + refused, false
	case st.stage.Gang && s.chooseGang(st) == nil:
		return "no capacity for all members at once" + refused, false
	case !st.stage.Gang && s.chooseWorker(st, t) == nil:
		return s.blockedReason(st, t) + refused, false
	}
	return "there is free capacity" + refused, true
}

// backoffUntil returns until when a task, or its whole gang, is in backoff.
func (st *step) backoffUntil(t *task) time.Duration {
	if st.stage.Gang {
		return st.tasks[0].backoffUntil
	}
	return t.backoffUntil
}

// forceRetry has a task that waits without a reason tried on all workers.
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
