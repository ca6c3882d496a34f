package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

// mended gives the reasons of what the audit has mended.
func (d *desk) mended() []string {
	var reasons []string
	for _, found := range d.findings {
		if found.Mended {
			reasons = append(reasons, found.Reason)
		}
	}
	return reasons
}

// passUnchecked lets time go by without a check of the records, which a test has broken.
func (d *desk) passUnchecked(span time.Duration) {
	for end := d.now + span; d.now < end; {
		d.now += 10 * time.Millisecond
		d.sched.Tick(d.now)
		output := d.sched.Drain()
		d.commands = append(d.commands, output.Commands...)
		d.calls = append(d.calls, output.Calls...)
		d.findings = append(d.findings, output.Findings...)
	}
}

// held has a job of one task held for want of room on a worker where another runs.
func (d *desk) held() *step {
	d.list(entry("w1", 2000))
	d.submit(stage(1, 2000, time.Hour))
	d.commit()
	d.start("w1")
	id := d.submit(stage(1, 2000, time.Second))
	d.commit()
	require.Zero(d, d.count(CallStart))
	return d.sched.jobs[id].times[0].steps[0]
}

func TestTaskThatWaitsForRoomIsNoFault(t *testing.T) {
	d := newDesk(t)
	d.held()
	d.pass(10 * time.Second)
	require.Empty(t, d.mended())
	require.NotEmpty(t, d.findings)
	require.Equal(t, "no room on any worker that it may use", d.findings[0].Reason)
	require.GreaterOrEqual(t, d.findings[0].Waited, auditAfter)
	require.LessOrEqual(t, len(d.findings), 2, "it is told of again only after a while")
}

func TestAuditStartsWhatWaitsBesideRoom(t *testing.T) {
	d := newDesk(t)
	d.held()
	d.sched.workers["w1"].room.CPU = 4000 // and nobody is told
	d.passUnchecked(auditAfter + 3*auditEvery)
	require.Equal(t, []string{"there is room"}, d.mended())
	d.commit()
	d.must(CallStart, "w1")
}

func TestAuditHoldsWhatIsInNoQueue(t *testing.T) {
	d := newDesk(t)
	st := d.held()
	d.sched.dequeue(st)
	d.passUnchecked(2 * auditEvery)
	require.True(t, st.queued)
	require.Equal(t, []string{"the step wasn't held"}, d.mended())
	require.NoError(t, d.sched.Check())
}

func TestAuditStartsWhatPausesWithoutEnd(t *testing.T) {
	d := newDesk(t)
	st := d.held()
	d.sched.unwait(st, 0)
	st.tasks[0].state = taskPaused
	d.sched.workers["w1"].room.CPU = 4000
	d.passUnchecked(auditAfter + 3*auditEvery)
	require.Equal(t, []string{"it is neither held nor run"}, d.mended())
	d.commit()
	d.must(CallStart, "w1")
}

func TestAuditStartsAGangThatPausesWithoutEnd(t *testing.T) {
	d := newDesk(t)
	gang := stage(2, 1000, time.Second)
	gang.Gang = true
	id := d.submit(gang)
	d.commit()
	st := d.sched.jobs[id].times[0].steps[0]
	d.sched.dequeue(st)
	st.gang = gangPaused
	d.list(entry("w1", 4000))
	d.passUnchecked(auditAfter + 3*auditEvery)
	require.Equal(t, []string{"it is neither held nor run"}, d.mended())
	d.commit()
	require.Equal(t, 2, d.count(CallStart))
}

func TestAuditOpensJobsAndStepsThatAreNotKnown(t *testing.T) {
	d := newDesk(t)
	id := d.submit(stage(1, 1000, time.Second))
	d.sched.abandonStep(d.sched.jobs[id].times[0].steps[0], state.Cancelled)
	delete(d.sched.jobs, id)
	d.list(entry("w1", 4000))
	d.passUnchecked(2 * auditEvery)
	require.Equal(t, []string{"the job wasn't known"}, d.mended())
	d.commit()
	d.must(CallStart, "w1")

	d.findings = nil
	other := d.submit(stage(1, 1000, time.Second))
	times := d.sched.jobs[other].times[0]
	d.sched.abandonStep(times.steps[0], state.Cancelled)
	times.steps[0] = nil
	d.commands = nil
	d.passUnchecked(2 * auditEvery)
	require.Contains(t, d.mended(), "the step wasn't open")
}

func TestAuditAsksWorkersThatNobodyAsks(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w1", 4000))
	d.pass(time.Second)
	d.must(CallHold, "w1")
	w := d.sched.workers["w1"]
	w.hold.out, w.hold.nextAt = 0, 0
	d.passUnchecked(auditAfter + 2*auditEvery)
	require.Equal(t, []string{"nobody asks the worker, which is answering"}, d.mended())
	d.must(CallHold, "w1")
}

func TestAuditTellsWhyStartsAreRefused(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w1", 4000))
	d.submit(stage(1, 1000, time.Second))
	for range 60 {
		d.commit()
		for made, found := d.take(CallStart, "w1"); found; made, found = d.take(CallStart, "w1") {
			d.answer(made, workerapi.NotSent)
		}
		d.pass(100 * time.Millisecond)
	}
	require.Empty(t, d.mended())
	told := fmt.Sprint(d.findings)
	require.Contains(t, told, "refused, the last: not sent")
}

// While no start can be sent nothing is lost: in a cluster of 3,000 workers all that waits starts soon after, and the log has told why.
func TestStartsThatCannotBeSentAreMadeUpForInALargeCluster(t *testing.T) {
	const workers, jobs, tasks = 3000, 60, 8
	r := newRush(workers, tasks, 4*time.Second)
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
