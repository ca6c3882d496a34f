package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/state"
)

// wideJob returns a job with one step of many waiting tasks.
func wideJob(tasks int) *job {
	record := &state.Job{JobAccepted: state.JobAccepted{ID: 1, Route: "barn"}, Spec: &jobspec.Spec{Stages: []jobspec.Stage{{Count: tasks}}},
		Times: map[uint32]*state.Occurrence{0: {Steps: []state.Step{{Tasks: make([]state.Task, tasks)}}}}}
	j := &job{record: record, occurrences: map[uint32]*occurrence{}}
	t := &occurrence{steps: make([]*step, 1)}
	j.occurrences[0] = t
	st := &step{job: j, occurrence: t, stage: &record.Spec.Stages[0], tasks: make([]task, tasks), opened: true, queued: true}
	for i := range tasks {
		st.tasks[i].state = taskWaiting
		st.waiting = append(st.waiting, uint32(i))
	}
	t.steps[0] = st
	return j
}

// In running systems the check of one job must cost a bounded time, whatever the job's size.
func TestSampledCheckOfAWideJobIsBounded(t *testing.T) {
	j := wideJob(jobspec.MaxTasks)
	s := &Scheduler{pending: pendingJobs{}}
	s.pending.add(j)
	comparisons := sampledComparisons
	require.NoError(t, s.checkJob(j, &comparisons))
	assert.LessOrEqual(t, comparisons, 0)
	assert.Greater(t, comparisons, -2*jobspec.MaxTasks, "at most one task beyond the limit is checked")
	j.occurrences[0].steps[0].tasks[5].state = taskIdle
	found := false
	for call := range uint64(10) {
		s.lastCallID, comparisons = call, sampledComparisons
		found = found || s.checkJob(j, &comparisons) != nil
	}
	assert.True(t, found, "a different task is checked each time")
}
