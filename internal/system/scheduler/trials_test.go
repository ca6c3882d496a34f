package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

// maxWaitBesideFreeWorkers is for how long a task may wait beside room that is mostly free.
const maxWaitBesideFreeWorkers = 3 * time.Second

// quarantine has workers shut out whose last failure was a while ago.
func (d *harness) quarantine(failedAgo, pause time.Duration, workers ...string) {
	for _, name := range workers {
		h := &d.sched.workers[name].health
		h.quarantined, h.failedAt, h.quarantinedUntil = true, d.now-failedAgo, d.now+pause
	}
}

// startsWithin lets time go by until so many starts were ordered, and tells how many were.
func (d *harness) startsWithin(patience time.Duration, wanted int) int {
	d.commit()
	for end := d.now + patience; d.now < end && d.countCalls(CallStart) < wanted; {
		d.advance(50 * time.Millisecond)
		d.commit()
	}
	return d.countCalls(CallStart)
}

// A gang with more members than there are workers on trial starts, as nothing else may come that ends their trials.
func TestGangLargerThanTheQuarantinedWorkersStarts(t *testing.T) {
	d := newHarness(t)
	d.advance(10 * time.Second)
	d.list(listEntry("w1", 16000), listEntry("w2", 16000))
	d.quarantine(5*time.Second, 0, "w1", "w2")
	gang := stage(4, 1000, time.Second)
	gang.Gang = true
	d.submit(gang)
	assert.Equal(t, 4, d.startsWithin(maxWaitBesideFreeWorkers, 4))
}

// A task that has failed before starts where all workers are shut out.
func TestFailedTaskStartsWhenAllWorkersAreQuarantined(t *testing.T) {
	d := newHarness(t)
	d.advance(10 * time.Second)
	d.list(listEntry("w1", 16000))
	id := d.submit(stage(1, 1000, time.Second))
	d.commit()
	made := d.acceptStart("w1")
	d.answerHold("w1", nil, finished(1, made, workerapi.HowFailed))
	d.commit()
	require.EqualValues(t, 1, d.machine.Job(id).Task(state.TaskName{Job: id}).Failures)
	d.calls = nil
	d.quarantine(time.Second, 0, "w1")
	assert.Equal(t, 1, d.startsWithin(maxWaitBesideFreeWorkers, 1))
}

// Nothing waits for the end of a long pause beside room that is mostly free.
func TestTasksStartWhenAllWorkersAreQuarantined(t *testing.T) {
	d := newHarness(t)
	d.advance(10 * time.Second)
	d.list(listEntry("w1", 16000), listEntry("w2", 16000))
	d.quarantine(2*time.Second, 6*time.Second, "w1", "w2")
	d.submit(stage(6, 1000, time.Second))
	assert.Equal(t, 6, d.startsWithin(maxWaitBesideFreeWorkers, 6))
}

// While others are busy with most of the room, those that are shut out keep their pause and their trials.
func TestWorkersStayQuarantinedWhileOthersAreBusy(t *testing.T) {
	d := newHarness(t)
	d.advance(10 * time.Second)
	d.list(listEntry("w1", 4000), listEntry("w2", 16000))
	d.quarantine(time.Second, 7*time.Second, "w1")
	d.submit(stage(16, 1000, time.Minute))
	require.Equal(t, 16, d.startsWithin(maxWaitBesideFreeWorkers, 16))
	for {
		made, found := d.takeCall(CallStart, "w2")
		if !found {
			break
		}
		d.answerCall(made, workerapi.Done)
	}
	d.calls = nil
	d.submit(stage(1, 1000, time.Second))
	d.advance(maxWaitBesideFreeWorkers)
	d.commit()
	_, found := d.takeCall(CallStart, "w1")
	assert.False(t, found)
}
