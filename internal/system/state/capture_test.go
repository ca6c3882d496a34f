package state

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A capture equals the state at its start, whatever commands are applied meanwhile.
func TestCaptureEqualsSnapshotAtItsStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		for range rapid.IntRange(0, 40).Draw(t, "before") {
			m.Apply(drawCommand(t))
		}
		want := m.Snapshot()
		capture := m.Capture()
		for range rapid.IntRange(0, 12).Draw(t, "during") {
			if rapid.IntRange(0, 3).Draw(t, "part") == 0 {
				capture.Continue(rapid.IntRange(1, 40).Draw(t, "bytes"))
			}
			m.Apply(drawCommand(t))
		}
		for !capture.Continue(10) {
		}
		require.Equal(t, want, capture.Bytes())
	})
}

// KindWorkerLost names only the worker. The jobs of its runs must be saved before it is applied.
func TestCaptureSavesJobsOfALostWorker(t *testing.T) {
	m := New()
	m.Apply(Command{Kind: KindJobAccepted, JobAccepted: &JobAccepted{ID: 1, Body: []byte(`{"stages":[{"count":1}]}`)}})
	run := Run{Task: TaskName{Job: 1}, Attempt: 1}
	started := m.Apply(Command{Kind: KindTasksStarting, TasksStarting: []Start{{Run: run, Worker: "w"}}})
	require.Len(t, started.Started, 1)
	want := m.Snapshot()
	capture := m.Capture()
	m.Apply(Command{Kind: KindWorkerLost, WorkerLost: "w"})
	require.NotEqual(t, want, m.Snapshot())
	require.True(t, capture.Continue(1))
	require.Equal(t, want, capture.Bytes())
}
