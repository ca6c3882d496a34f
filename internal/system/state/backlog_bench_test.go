package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/jobspec"
)

// Size of the backlog: jobs of two steps. Each start and each end is an entry of its own, as at a head that commits often.
const (
	backlogJobs    = 8000
	backlogTasks   = 3
	backlogWorkers = 350
)

// backlogEntries returns the commands of the jobs in the order in which a head commits them.
func backlogEntries(b *testing.B) [][]byte {
	b.Helper()
	spec := jobspec.Spec{Text: "cut the reed, bind it, carry it to the barn", Stages: []jobspec.Stage{{Count: 1, CPU: 1}, {Count: backlogTasks - 1, CPU: 2, DependsOn: []int{0}}}}
	body, err := spec.Encode()
	require.NoError(b, err)
	var entries [][]byte
	add := func(command Command) { entries = append(entries, command.Encode()) }
	for i := range backlogJobs {
		id := JobID(i + 1)
		worker := fmt.Sprintf("worker-%d", i%backlogWorkers)
		add(Command{Kind: KindJobAccepted, JobAccepted: &JobAccepted{ID: id, Route: "barn", Service: "press", MaxRetries: 3, Body: body}})
		for task := range backlogTasks {
			name := TaskName{Job: id, Step: uint32(min(task, 1)), Index: uint32(max(task-1, 0))}
			run := Run{Task: name, Attempt: 1}
			add(Command{Kind: KindTasksStarting, TasksStarting: []Start{{Run: run, Worker: worker}}})
			add(Command{Kind: KindTasksEnded, TasksEnded: &TasksEnded{Worker: worker, Ends: []End{{Run: run, Number: uint64(i/backlogWorkers*backlogTasks + task + 1), How: Done}}}})
		}
	}
	return entries
}

// BenchmarkBacklog measures how fast a replica that has just started applies a backlog.
func BenchmarkBacklog(b *testing.B) {
	entries := backlogEntries(b)
	b.ReportAllocs()
	for b.Loop() {
		machine := New()
		for _, entry := range entries {
			machine.ApplyBytes(entry)
		}
		for _, job := range machine.Jobs() {
			require.Equal(b, Completed, job.State)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(len(entries)), "ns/entry")
}
