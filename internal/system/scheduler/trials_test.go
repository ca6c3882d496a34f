package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

// maxWaitBesideFreeWorkers is how long a task may wait while most capacity is free.
const maxWaitBesideFreeWorkers = 3 * time.Second

// quarantine quarantines workers whose last failure was failedAgo ago.
func (h *harness) quarantine(failedAgo, remaining time.Duration, workers ...string) {
	for _, name := range workers {
		health := &h.sched.workers[name].health
		health.quarantined, health.failedAt, health.quarantinedUntil = true, h.now-failedAgo, h.now+remaining
	}
}

// startsWithin advances the time until the wanted number of starts is ordered or the time is over, and returns the number.
func (h *harness) startsWithin(timeout time.Duration, wanted int) int {
	h.commit()
	for end := h.now + timeout; h.now < end && h.countCalls(CallStart) < wanted; {
		h.advance(50 * time.Millisecond)
		h.commit()
	}
	return h.countCalls(CallStart)
}

// A gang with more members than there are quarantined workers starts, because nothing else may come that ends their trials.
func TestGangLargerThanTheQuarantinedWorkersStarts(t *testing.T) {
	h := newHarness(t)
	h.advance(10 * time.Second)
	h.list(listEntry("w1", 16000), listEntry("w2", 16000))
	h.quarantine(5*time.Second, 0, "w1", "w2")
	gang := stage(4, 1000, time.Second)
	gang.Gang = true
	h.submit(gang)
	assert.Equal(t, 4, h.startsWithin(maxWaitBesideFreeWorkers, 4))
}

// A task that has failed before starts even if all workers are quarantined.
func TestFailedTaskStartsWhenAllWorkersAreQuarantined(t *testing.T) {
	h := newHarness(t)
	h.advance(10 * time.Second)
	h.list(listEntry("w1", 16000))
	id := h.submit(stage(1, 1000, time.Second))
	h.commit()
	call := h.acceptStart("w1")
	h.answerHold("w1", nil, finished(1, call, workerapi.EndFailed))
	h.commit()
	require.EqualValues(t, 1, h.machine.Job(id).Task(state.TaskName{Job: id}).Failures)
	h.calls = nil
	h.quarantine(time.Second, 0, "w1")
	assert.Equal(t, 1, h.startsWithin(maxWaitBesideFreeWorkers, 1))
}

// While most capacity is free, no task waits for the end of a long quarantine.
func TestTasksStartWhenAllWorkersAreQuarantined(t *testing.T) {
	h := newHarness(t)
	h.advance(10 * time.Second)
	h.list(listEntry("w1", 16000), listEntry("w2", 16000))
	h.quarantine(2*time.Second, 6*time.Second, "w1", "w2")
	h.submit(stage(6, 1000, time.Second))
	assert.Equal(t, 6, h.startsWithin(maxWaitBesideFreeWorkers, 6))
}

// While the other workers use most of the capacity, quarantined workers stay in quarantine.
func TestWorkersStayQuarantinedWhileOthersAreBusy(t *testing.T) {
	h := newHarness(t)
	h.advance(10 * time.Second)
	h.list(listEntry("w1", 4000), listEntry("w2", 16000))
	h.quarantine(time.Second, 7*time.Second, "w1")
	h.submit(stage(16, 1000, time.Minute))
	require.Equal(t, 16, h.startsWithin(maxWaitBesideFreeWorkers, 16))
	for {
		call, found := h.takeCall(CallStart, "w2")
		if !found {
			break
		}
		h.answerCall(call, workerapi.Done)
	}
	h.calls = nil
	h.submit(stage(1, 1000, time.Second))
	h.advance(maxWaitBesideFreeWorkers)
	h.commit()
	_, found := h.takeCall(CallStart, "w1")
	assert.False(t, found)
}
