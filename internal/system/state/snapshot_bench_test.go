package state_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/state"
)

// machineWithSnapshotOf returns a state with a snapshot of about the given length. Each job has a body of about 1 kB, 100 tasks and a run of
// each task.
func machineWithSnapshotOf(b *testing.B, bytes int) *state.Machine {
	b.Helper()
	const tasks, bytesPerJob = 100, 4500
	m := state.New()
	note := strings.Repeat("x", 900)
	for index := range bytes / bytesPerJob {
		id := state.JobID(index + 1)
		accept(m, id, "team", fmt.Sprintf(`{"count":%d,"note":%q}`, tasks, note))
		starts := make([]state.Start, tasks)
		for number := range starts {
			starts[number] = startOf(id, uint32(number), 1)
			starts[number].Worker = fmt.Sprint("worker-", (index+number)%325)
		}
		require.Len(b, start(m, starts...), tasks)
	}
	return m
}

// BenchmarkSnapshot and BenchmarkRestore measure the cost of a snapshot to its sender and to the learner. MB/s refers to its length.
func BenchmarkSnapshot(b *testing.B) {
	m := machineWithSnapshotOf(b, 50<<20)
	b.SetBytes(int64(len(m.Snapshot())))
	for b.Loop() {
		m.Snapshot()
	}
}

func BenchmarkRestore(b *testing.B) {
	snapshot := machineWithSnapshotOf(b, 50<<20).Snapshot()
	b.SetBytes(int64(len(snapshot)))
	for b.Loop() {
		require.NoError(b, state.New().Restore(snapshot))
	}
}
