package state

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// jobSnapshots returns the encoded form of each job.
func (m *Machine) jobSnapshots() map[JobID]string {
	all := map[JobID]string{}
	for id, job := range m.jobs {
		var w writer
		m.writeJob(&w, job, tenantSnapshotFormat)
		all[id] = string(w.data)
	}
	return all
}

// A command must change, add and delete only the jobs that AffectedJobs reports.
func TestCommandReportsAffectedJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			before := m.jobSnapshots()
			command := drawCommand(t)
			touched := map[JobID]bool{}
			all := command.AffectedJobs(func(id JobID) { touched[id] = true })
			m.Apply(command)
			after := m.jobSnapshots()
			for id := range before {
				require.True(t, all || touched[id] || before[id] == after[id], "command of kind %d changes job %d, which AffectedJobs does not report", command.Kind, id)
			}
			for id := range after {
				require.True(t, all || touched[id] || before[id] == after[id], "command of kind %d changes job %d, which AffectedJobs does not report", command.Kind, id)
			}
		}
	})
}
