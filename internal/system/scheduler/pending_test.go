package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"gaugeslip/internal/system/state"
)

// A job counts as pending until a task of it has begun, whether that was reported as running or only by its end, and not once it is over.
func TestPendingJobsCountUntilTheyBegin(t *testing.T) {
	waiting := func(id state.JobID) *job {
		return &job{record: &state.Job{JobAccepted: state.JobAccepted{ID: id, Route: "barn"}}}
	}
	pending := pendingJobs{}
	first, second, third := waiting(1), waiting(2), waiting(3)
	for _, j := range []*job{first, second, third} {
		pending.add(j)
	}
	assert.Len(t, pending["barn"], 3)
	pending.markBegun(first)
	pending.markBegun(first)
	assert.Len(t, pending["barn"], 2, "marking it twice counts once")
	pending.remove(first)
	assert.Len(t, pending["barn"], 2, "it no longer counted")
	pending.remove(second)
	pending.markBegun(second)
	assert.Len(t, pending["barn"], 1, "a later report of it changes nothing")
	pending.remove(third)
	assert.Empty(t, pending)
}

// A new head knows from the committed state of tasks which jobs have begun.
func TestNewHeadKnowsWhichJobsHaveBegun(t *testing.T) {
	for name, step := range map[string]state.Step{
		"done":       {Tasks: []state.Task{{}, {Done: true}}},
		"failed":     {Tasks: []state.Task{{Failures: 1}}},
		"saved":      {Tasks: []state.Task{{Checkpoint: "text"}}},
		"gang broke": {Tasks: []state.Task{{}}, GangFailures: 1},
	} {
		record := &state.Job{Times: map[uint32]*state.Occurrence{0: {Steps: []state.Step{step}}}}
		assert.True(t, hasBegun(record), name)
	}
	ordered := state.Step{Tasks: []state.Task{{Attempt: 2, Placements: []state.Placement{{Attempt: 2, Worker: "i-1"}}}}}
	assert.False(t, hasBegun(&state.Job{Times: map[uint32]*state.Occurrence{0: {Steps: []state.Step{ordered}}}}), "a placement proves no begin")
}
