package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

// repairs returns the reasons of the findings that the audit has repaired.
func (h *harness) repairs() []string {
	var reasons []string
	for _, found := range h.findings {
		if found.Repaired {
			reasons = append(reasons, found.Reason)
		}
	}
	return reasons
}

// advanceUnchecked advances the time without checking the invariants, which the test has broken.
func (h *harness) advanceUnchecked(span time.Duration) {
	for end := h.now + span; h.now < end; {
		h.now += 10 * time.Millisecond
		h.sched.Tick(h.now)
		output := h.sched.Drain()
		h.commands = append(h.commands, output.Commands...)
		h.calls = append(h.calls, output.Calls...)
		h.findings = append(h.findings, output.Findings...)
	}
}

// queuedStep returns the step of a job with one task that is queued because another task uses the worker's whole capacity.
func (h *harness) queuedStep() *step {
	h.list(listEntry("w1", 2000))
	h.submit(stage(1, 2000, time.Hour))
	h.commit()
	h.acceptStart("w1")
	id := h.submit(stage(1, 2000, time.Second))
	h.commit()
	require.Zero(h, h.countCalls(CallStart))
	return h.sched.jobs[id].occurrences[0].steps[0]
}

func TestAuditReportsButDoesNotRepairTaskWaitingForCapacity(t *testing.T) {
	h := newHarness(t)
	h.queuedStep()
	h.advance(10 * time.Second)
	require.Empty(t, h.repairs())
	require.NotEmpty(t, h.findings)
	require.Equal(t, "no free capacity on any worker that it may use", h.findings[0].Reason)
	require.GreaterOrEqual(t, h.findings[0].Waited, auditMinWait)
	require.LessOrEqual(t, len(h.findings), 2, "a finding is reported again only after a while")
}

func TestAuditStartsTaskWaitingBesideFreeCapacity(t *testing.T) {
	h := newHarness(t)
	h.queuedStep()
	h.sched.workers["w1"].capacity.CPU = 4000 // without a freed-capacity notification
	h.advanceUnchecked(auditMinWait + 3*auditInterval)
	require.Equal(t, []string{"there is free capacity"}, h.repairs())
	h.commit()
	h.mustTakeCall(CallStart, "w1")
}

func TestAuditQueuesStepMissingFromQueue(t *testing.T) {
	h := newHarness(t)
	st := h.queuedStep()
	h.sched.dequeue(st)
	h.advanceUnchecked(2 * auditInterval)
	require.True(t, st.queued)
	require.Equal(t, []string{"the step was not queued"}, h.repairs())
	require.NoError(t, h.sched.Check())
}

func TestAuditStartsTaskWhoseBackoffNeverEnds(t *testing.T) {
	h := newHarness(t)
	st := h.queuedStep()
	h.sched.dequeueTask(st, 0)
	st.tasks[0].state = taskInBackoff
	h.sched.workers["w1"].capacity.CPU = 4000
	h.advanceUnchecked(auditMinWait + 3*auditInterval)
	require.Equal(t, []string{"it is neither queued nor running"}, h.repairs())
	h.commit()
	h.mustTakeCall(CallStart, "w1")
}

func TestAuditStartsGangWhoseBackoffNeverEnds(t *testing.T) {
	h := newHarness(t)
	gang := stage(2, 1000, time.Second)
	gang.Gang = true
	id := h.submit(gang)
	h.commit()
	st := h.sched.jobs[id].occurrences[0].steps[0]
	h.sched.dequeue(st)
	st.gang = gangInBackoff
	h.list(listEntry("w1", 4000))
	h.advanceUnchecked(auditMinWait + 3*auditInterval)
	require.Equal(t, []string{"it is neither queued nor running"}, h.repairs())
	h.commit()
	require.Equal(t, 2, h.countCalls(CallStart))
}

func TestAuditOpensUntrackedJobsAndSteps(t *testing.T) {
	h := newHarness(t)
	id := h.submit(stage(1, 1000, time.Second))
	h.sched.abandonStep(h.sched.jobs[id].occurrences[0].steps[0], state.Cancelled)
	delete(h.sched.jobs, id)
	h.list(listEntry("w1", 4000))
	h.advanceUnchecked(2 * auditInterval)
	require.Equal(t, []string{"the job was not tracked"}, h.repairs())
	h.commit()
	h.mustTakeCall(CallStart, "w1")

	h.findings = nil
	other := h.submit(stage(1, 1000, time.Second))
	times := h.sched.jobs[other].occurrences[0]
	h.sched.abandonStep(times.steps[0], state.Cancelled)
	times.steps[0] = nil
	h.commands = nil
	h.advanceUnchecked(2 * auditInterval)
	require.Contains(t, h.repairs(), "the step was not open")
}

func TestAuditSendsHoldToUncontactedWorkers(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w1", 4000))
	h.advance(time.Second)
	h.mustTakeCall(CallHold, "w1")
	w := h.sched.workers["w1"]
	w.hold.callID, w.hold.nextAt = 0, 0
	h.advanceUnchecked(auditMinWait + 2*auditInterval)
	require.Equal(t, []string{"no hold is in flight or scheduled to the worker, which is answering"}, h.repairs())
	h.mustTakeCall(CallHold, "w1")
}

func TestAuditReportsWhyStartsAreRefused(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w1", 4000))
	h.submit(stage(1, 1000, time.Second))
	for range 60 {
		h.commit()
		for call, found := h.takeCall(CallStart, "w1"); found; call, found = h.takeCall(CallStart, "w1") {
			h.answerCall(call, workerapi.NotSent)
		}
		h.advance(100 * time.Millisecond)
	}
	require.Empty(t, h.repairs())
	reported := fmt.Sprint(h.findings)
	require.Contains(t, reported, "refused, the last: not sent")
}

// While no start can be sent, no task may be lost: in a cluster of 3,000 workers all waiting tasks start soon after sending recovers, and
// the findings give the reason for the wait.
func TestTasksStartSoonAfterSendingRecoversInALargeCluster(t *testing.T) {
	const workers, jobs, tasks = 3000, 60, 8
	r := newLoadCluster(workers, tasks, 4*time.Second)
	r.run(r.now + time.Second)
	r.unsentUntil = r.now + 8*time.Second
	for range jobs {
		r.submit()
		r.run(r.now + 50*time.Millisecond)
	}
	for r.now+50*time.Millisecond < r.unsentUntil {
		r.run(r.now + 50*time.Millisecond)
	}
	require.Zero(t, r.started)
	require.Contains(t, fmt.Sprint(r.findings), "refused, the last: not sent")
	for range 24 { // the longest backoff, and the rest of the outage
		r.run(r.now + 50*time.Millisecond)
	}
	require.Equal(t, jobs*tasks, r.started)
	for _, found := range r.findings {
		require.False(t, found.Repaired, "%+v", found)
	}
	require.NoError(t, r.sched.Check())
}
