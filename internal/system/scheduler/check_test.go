package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/state"
)

// wideJob is a job with one step of many tasks that all wait.
func wideJob(tasks int) *job {
	record := &state.Job{JobAccepted: state.JobAccepted{ID: 1, Route: "barn"}, Spec: &jobspec.Spec{Stages: []jobspec.Stage{{Count: tasks}}},
		Times: map[uint32]*state.Occurrence{0: {Steps: []state.Step{{Tasks: make([]state.Task, tasks)}}}}}
	j := &job{record: record, times: map[uint32]*jobTime{}}
	t := &jobTime{steps: make([]*step, 1)}
	j.times[0] = t
	st := &step{job: j, time: t, stage: &record.Spec.Stages[0], tasks: make([]task, tasks), opened: true, queued: true}
	for i := range tasks {
		st.tasks[i].state = taskWaiting
		st.waiting = append(st.waiting, uint32(i))
	}
	t.steps[0] = st
	return j
}

// In running systems the check of one job costs a bounded time, whatever its size.
func TestCheckingSomeOfAWideJobIsBounded(t *testing.T) {
	j := wideJob(jobspec.MaxTasks)
	s := &Scheduler{pending: pendingJobs{}}
	s.pending.add(j)
	comparisons := someComparisons
	require.NoError(t, s.checkJob(j, &comparisons))
	assert.LessOrEqual(t, comparisons, 0)
	assert.Greater(t, comparisons, -2*jobspec.MaxTasks, "one task more than there was room for at most")
	j.times[0].steps[0].tasks[5].state = taskIdle
	found := false
	for call := range uint64(10) {
		s.lastCall, comparisons = call, someComparisons
		found = found || s.checkJob(j, &comparisons) != nil
	}
	assert.True(t, found, "another task is looked at each time")
}
