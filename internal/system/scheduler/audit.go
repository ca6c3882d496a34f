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
	// auditEvery is how often it is looked for tasks that wait, auditAfter for how long one has to wait to be looked at.
	auditEvery = time.Second
	auditAfter = 3 * time.Second
	// tellAgain is how soon a task that still waits is looked at and told of again.
	tellAgain = 5 * time.Second
	// mostAudited bounds the held tasks that one audit tries on all workers, mostFindings those that it tells of.
	mostAudited  = 24
	mostFindings = 8
)

// auditing is where the audit stands.
type auditing struct {
	tried    int // held tasks that were tried in this audit
	findings []Finding
}

// planAudit has the next audit made.
func (s *Scheduler) planAudit() {
	s.at(s.now+auditEvery, func() {
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
		for _, number := range slices.Sorted(maps.Keys(j.times)) {
			s.auditTime(j, j.times[number])
		}
	}
}

// auditJobs opens jobs that aren't over and aren't known here.
func (s *Scheduler) auditJobs() {
	var missed []state.JobID
	for id, record := range s.machine.Jobs() {
		if !record.State.Finished() && s.jobs[id] == nil {
			missed = append(missed, id)
		}
	}
	slices.Sort(missed)
	for _, id := range missed {
		s.openJob(s.addJob(s.machine.Job(id)))
		s.tell(Finding{Task: state.TaskName{Job: id}, Reason: "the job wasn't known", Mended: true})
	}
}

// auditWorkers asks the listed workers to which no hold is out and none is planned.
func (s *Scheduler) auditWorkers() {
	var missed []string
	for instance, w := range s.workers {
		if w.listed && w.life.Address != "" && !w.losing && w.reach != over && !w.hold.inTurn && w.hold.out == 0 && w.hold.nextAt+auditAfter < s.now {
			missed = append(missed, instance)
		}
	}
	slices.Sort(missed)
	for _, instance := range missed {
		w := s.workers[instance]
		s.tell(Finding{Worker: instance, Reason: "nobody asks the worker, which is " + reachNames[w.reach], Mended: true})
		w.hold.nextAt = 0
		s.holdAt(w, s.now)
	}
}

func (s *Scheduler) auditTime(j *job, t *jobTime) {
	for i := range t.steps {
		st := t.steps[i]
		if (st == nil || !st.opened) && j.record.StepReady(t.number, uint32(i)) {
			s.openStep(s.ensureStep(j, t, uint32(i)))
			s.tell(Finding{Task: t.steps[i].name(0), Reason: "the step wasn't open", Mended: true})
		}
		if st != nil && st.opened && !st.closed {
			s.auditStep(st)
		}
	}
}

func (s *Scheduler) auditStep(st *step) {
	if st.hasWaiting() && !st.queued {
		s.enqueue(st)
		s.tell(Finding{Task: st.name(0), Reason: "the step wasn't held", Mended: true})
	}
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.state == taskDone || t.since == 0 || s.now-t.since < auditAfter || s.now < t.toldAt+tellAgain && !t.doubted {
			continue
		}
		s.auditTask(st, uint32(i), t)
	}
}

// auditTask looks at one task that has waited for long.
func (s *Scheduler) auditTask(st *step, index uint32, t *task) {
	found := Finding{Task: st.name(index), Waited: s.now - t.since}
	if r := st.awaitedRun(t); r != nil {
		found.Worker, found.Reason = r.worker.life.Instance, r.awaited()
	} else if s.auditing.tried < mostAudited {
		s.auditing.tried++
		found.Reason, found.Mended = s.auditHeld(st, index, t)
		found.Refused = t.refusals > freeRefusals
	}
	if found.Reason != "" {
		t.toldAt = s.now
		s.tell(found)
	}
}

func (s *Scheduler) tell(found Finding) {
	if len(s.auditing.findings) < mostFindings {
		s.auditing.findings = append(s.auditing.findings, found)
	}
}

// awaitedRun is the run that a task waits for: its newest, or for a gang one of any member. Nil: there is none.
func (st *step) awaitedRun(t *task) *run {
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

// awaited says what a run that isn't known to be there waits for; empty: it is there.
func (r *run) awaited() string {
	if r.phase == runPresent && r.worker.reach == answering {
		return ""
	}
	return "its run is " + phaseNames[r.phase] + ", its worker " + reachNames[r.worker.reach]
}

// auditHeld says what a task without a run waits for. One that could start, as two audits in turn have found, is tried again.
func (s *Scheduler) auditHeld(st *step, index uint32, t *task) (reason string, mended bool) {
	reason, idle := s.holdReason(st, t)
	if !idle {
		t.doubted = false
		return reason, false
	}
	if !t.doubted {
		t.doubted = true
		return "", false
	}
	t.doubted = false
	s.startOver(st, index, t)
	return reason, true
}

// holdReason says why a task without a run isn't started; idle: nothing keeps it from that.
func (s *Scheduler) holdReason(st *step, t *task) (reason string, idle bool) {
	s.refreshLayout(st.service)
	refused := ""
	if t.refusals > freeRefusals {
		refused = fmt.Sprintf(", %d starts in turn refused, the last: %v", t.refusals, t.refusal)
	}
	switch {
	case st.stage.Gang && st.gang != gangWaiting || !st.stage.Gang && t.state != taskWaiting:
		if s.now <= st.pauseOf(t)+auditEvery { // its timer may be next
			return "it pauses" + refused, false
		}
		return "it is neither held nor run" + refused, true
	case st.service.fresh || len(st.service.freed) > 0:
		return "it is about to be tried" + refused, false
	case !s.shares.fit(st):
		return s.obstacle(st, t) + refused, false
	case st.stage.Gang && s.chooseGang(st) == nil:
		return "no room for all members at once" + refused, false
	case !st.stage.Gang && s.choose(st, t) == nil:
		return s.obstacle(st, t) + refused, false
	}
	return "there is room" + refused, true
}

// pauseOf is until when a task, or its whole gang, pauses.
func (st *step) pauseOf(t *task) time.Duration {
	if st.stage.Gang {
		return st.tasks[0].pausedUntil
	}
	return t.pausedUntil
}

// startOver has a task tried on all workers that waits without a reason.
func (s *Scheduler) startOver(st *step, index uint32, t *task) {
	switch {
	case st.stage.Gang && st.gang == gangWaiting || !st.stage.Gang && t.state == taskWaiting:
		s.tryAgain(st)
	case st.stage.Gang:
		s.waitGang(st)
	default:
		s.wait(st, index)
	}
}
