package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

// repairs gives the reasons of what the audit has mended.
func (d *harness) repairs() []string {
	var reasons []string
	for _, found := range d.findings {
		if found.Mended {
			reasons = append(reasons, found.Reason)
		}
	}
	return reasons
}

// advanceUnchecked lets time go by without a check of the records, which a test has broken.
func (d *harness) advanceUnchecked(span time.Duration) {
	for end := d.now + span; d.now < end; {
		d.now += 10 * time.Millisecond
		d.sched.Tick(d.now)
		output := d.sched.Drain()
		d.commands = append(d.commands, output.Commands...)
		d.calls = append(d.calls, output.Calls...)
		d.findings = append(d.findings, output.Findings...)
	}
}

// queuedStep has a job of one task held for want of room on a worker where another runs.
func (d *harness) queuedStep() *step {
	d.list(listEntry("w1", 2000))
	d.submit(stage(1, 2000, time.Hour))
	d.commit()
	d.acceptStart("w1")
	id := d.submit(stage(1, 2000, time.Second))
	d.commit()
	require.Zero(d, d.countCalls(CallStart))
	return d.sched.jobs[id].occurrences[0].steps[0]
}

func TestAuditReportsButDoesNotRepairTaskWaitingForCapacity(t *testing.T) {
	d := newHarness(t)
	d.queuedStep()
	d.advance(10 * time.Second)
	require.Empty(t, d.repairs())
	require.NotEmpty(t, d.findings)
	require.Equal(t, "no free capacity on any worker that it may use", d.findings[0].Reason)
	require.GreaterOrEqual(t, d.findings[0].Waited, auditMinWait)
	require.LessOrEqual(t, len(d.findings), 2, "it is told of again only after a while")
}

func TestAuditStartsTaskWaitingBesideFreeCapacity(t *testing.T) {
	d := newHarness(t)
	d.queuedStep()
	d.sched.workers["w1"].capacity.CPU = 4000 // and nobody is told
	d.advanceUnchecked(auditMinWait + 3*auditInterval)
	require.Equal(t, []string{"there is free capacity"}, d.repairs())
	d.commit()
	d.mustTakeCall(CallStart, "w1")
}

func TestAuditQueuesStepMissingFromQueue(t *testing.T) {
	d := newHarness(t)
	st := d.queuedStep()
	d.sched.dequeue(st)
	d.advanceUnchecked(2 * auditInterval)
	require.True(t, st.queued)
	require.Equal(t, []string{"the step was not queued"}, d.repairs())
	require.NoError(t, d.sched.Check())
}

func TestAuditStartsTaskWhoseBackoffNeverEnds(t *testing.T) {
	d := newHarness(t)
	st := d.queuedStep()
	d.sched.dequeueTask(st, 0)
	st.tasks[0].state = taskPaused
	d.sched.workers["w1"].capacity.CPU = 4000
	d.advanceUnchecked(auditMinWait + 3*auditInterval)
	require.Equal(t, []string{"it is neither queued nor running"}, d.repairs())
	d.commit()
	d.mustTakeCall(CallStart, "w1")
}

func TestAuditStartsGangWhoseBackoffNeverEnds(t *testing.T) {
	d := newHarness(t)
	gang := stage(2, 1000, time.Second)
	gang.Gang = true
	id := d.submit(gang)
	d.commit()
	st := d.sched.jobs[id].occurrences[0].steps[0]
	d.sched.dequeue(st)
	st.gang = gangPaused
	d.list(listEntry("w1", 4000))
	d.advanceUnchecked(auditMinWait + 3*auditInterval)
	require.Equal(t, []string{"it is neither queued nor running"}, d.repairs())
	d.commit()
	require.Equal(t, 2, d.countCalls(CallStart))
}

func TestAuditOpensUntrackedJobsAndSteps(t *testing.T) {
	d := newHarness(t)
	id := d.submit(stage(1, 1000, time.Second))
	d.sched.abandonStep(d.sched.jobs[id].occurrences[0].steps[0], state.Cancelled)
	delete(d.sched.jobs, id)
	d.list(listEntry("w1", 4000))
	d.advanceUnchecked(2 * auditInterval)
	require.Equal(t, []string{"the job was not tracked"}, d.repairs())
	d.commit()
	d.mustTakeCall(CallStart, "w1")

	d.findings = nil
	other := d.submit(stage(1, 1000, time.Second))
	times := d.sched.jobs[other].occurrences[0]
	d.sched.abandonStep(times.steps[0], state.Cancelled)
	times.steps[0] = nil
	d.commands = nil
	d.advanceUnchecked(2 * auditInterval)
	require.Contains(t, d.repairs(), "the step was not open")
}

func TestAuditSendsHoldToUncontactedWorkers(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w1", 4000))
	d.advance(time.Second)
	d.mustTakeCall(CallHold, "w1")
	w := d.sched.workers["w1"]
	w.hold.callID, w.hold.nextAt = 0, 0
	d.advanceUnchecked(auditMinWait + 2*auditInterval)
	require.Equal(t, []string{"no hold is in flight or scheduled to the worker, which is answering"}, d.repairs())
	d.mustTakeCall(CallHold, "w1")
}

func TestAuditReportsWhyStartsAreRefused(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w1", 4000))
	d.submit(stage(1, 1000, time.Second))
	for range 60 {
		d.commit()
		for made, found := d.takeCall(CallStart, "w1"); found; made, found = d.takeCall(CallStart, "w1") {
			d.answerCall(made, workerapi.NotSent)
		}
		d.advance(100 * time.Millisecond)
	}
	require.Empty(t, d.repairs())
	told := fmt.Sprint(d.findings)
	require.Contains(t, told, "refused, the last: not sent")
}

// While no start can be sent nothing is lost: in a cluster of 3,000 workers all that waits starts soon after, and the log has told why.
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
	for range 24 { // the longest pause, and what is left of the outage
		r.run(r.now + 50*time.Millisecond)
	}
	require.Equal(t, jobs*tasks, r.started)
	for _, found := range r.findings {
		require.False(t, found.Mended, "%+v", found)
	}
	require.NoError(t, r.sched.Check())
}
