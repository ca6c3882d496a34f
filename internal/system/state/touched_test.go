package state

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// snapshots gives each job's part of a snapshot.
func (m *Machine) snapshots() map[JobID]string {
	all := map[JobID]string{}
	for id, job := range m.jobs {
		var w writer
		m.writeJob(&w, job, tenantSnapshotFormat)
		all[id] = string(w.data)
	}
	return all
}

// A command changes, adds and takes away no other jobs than those that it tells of.
func TestACommandTouchesWhatItChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			before := m.snapshots()
			command := drawCommand(t)
			touched := map[JobID]bool{}
			all := command.AffectedJobs(func(id JobID) { touched[id] = true })
			m.Apply(command)
			after := m.snapshots()
			for id := range before {
				require.True(t, all || touched[id] || before[id] == after[id], "kind %d changes job %d", command.Kind, id)
			}
			for id := range after {
				require.True(t, all || touched[id] || before[id] == after[id], "kind %d changes job %d", command.Kind, id)
			}
		}
	})
}
