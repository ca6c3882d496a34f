package state_test

import (
	"encoding/hex"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/quota"
	"gaugeslip/internal/system/state"
)

// Encodings from before tenants were introduced: an accepted job, and the snapshot of a state with that job and one run.
const (
	oldAccepted = "02f8364bd9217a0e5c01720173020600000000000004400000000000708740f6a1abfef962477b2273706563223a2278222c22737461676573223a5b7b22636f756e74223a322c22637075223a3130302c2267707573223a342c22657374696d617465644d73223a35307d5d7d"
	oldSnapshot = "01030d7b2276657273696f6e223a337d0103c062add944609edf01f8364bd9217a0e5c01720173020600000000000004400000000000708740f6a1abfef962477b2273706563223a2278222c22737461676573223a5b7b22636f756e74223a322c22637075223a3130302c2267707573223a342c22657374696d617465644d73223a35307d5d7d0100010000000000000000010000000101017701017700"
)

func configure(m *state.Machine, version uint64, body string) state.Outcome {
	next := &state.ConfigReplaced{Base: m.Config().Version, Version: version, Body: fmt.Appendf(nil, `{"version":%d,%s}`, version, body)}
	return m.Apply(state.Command{Kind: state.KindConfigReplaced, ConfigReplaced: next}).Outcome
}

func accept(m *state.Machine, id state.JobID, tenant, stages string) {
	job := &state.JobAccepted{ID: id, Route: "r", Service: "s", MaxRetries: 3, Body: []byte(`{"stages":[` + stages + `]}`), Tenant: tenant}
	m.ApplyBytes(state.Command{Kind: state.KindJobAccepted, JobAccepted: job}.Encode())
}

func startOf(id state.JobID, index, attempt uint32) state.Start {
	return state.Start{Run: state.Run{Task: state.TaskName{Job: id, Index: index}, Attempt: attempt}, Worker: "w"}
}

func start(m *state.Machine, starts ...state.Start) []state.Start {
	return m.ApplyBytes(state.Command{Kind: state.KindTasksStarting, TasksStarting: starts}.Encode()).Started
}

func TestJobsWithoutTenantKeepOldEncoding(t *testing.T) {
	data, err := hex.DecodeString(oldAccepted)
	require.NoError(t, err)
	command, err := state.Decode(data)
	require.NoError(t, err)
	assert.Empty(t, command.JobAccepted.Tenant)
	assert.Equal(t, data, command.Encode())

	command.JobAccepted.Tenant = "teff"
	again, err := state.Decode(command.Encode())
	require.NoError(t, err)
	assert.Equal(t, command, again)
}

func TestOldSnapshotFormatIsUsedWithoutTenants(t *testing.T) {
	data, err := hex.DecodeString(oldSnapshot)
	require.NoError(t, err)
	m := state.New()
	require.NoError(t, m.Restore(data))
	require.NoError(t, m.Check())
	assert.EqualValues(t, 4, m.Quotas().Used(""))
	assert.Equal(t, data, m.Snapshot())
}

func TestSnapshotKeepsTenantsAndShares(t *testing.T) {
	m := state.New()
	require.Equal(t, state.Applied, configure(m, 1, `"accelerators":10,"tenants":[{"name":"teff","share":0.5}]`))
	accept(m, 1, "teff", `{"count":4,"gpus":2}`)
	accept(m, 2, "", `{"count":1,"gpus":1}`)
	require.Len(t, start(m, startOf(1, 0, 1), startOf(1, 1, 1), startOf(1, 2, 1), startOf(2, 0, 1)), 3)

	restored := state.New()
	require.NoError(t, restored.Restore(m.Snapshot()))
	require.NoError(t, restored.Check())
	assert.Equal(t, m.Snapshot(), restored.Snapshot())
	assert.Equal(t, m.Quotas().Accounts(), restored.Quotas().Accounts())
	assert.Empty(t, start(restored, startOf(1, 2, 1)))
}

func TestStartBeyondTheShareIsRejected(t *testing.T) {
	m := state.New()
	configure(m, 1, `"tenants":[{"name":"teff","accelerators":4}]`)
	accept(m, 1, "teff", `{"count":3,"gpus":2},{"count":1}`)
	accept(m, 2, "rye", `{"count":1,"gpus":100}`)
	held := start(m, startOf(1, 0, 1), startOf(1, 1, 1), startOf(1, 2, 1), startOf(2, 0, 1))
	assert.Equal(t, []state.Start{startOf(1, 0, 1), startOf(1, 1, 1), startOf(2, 0, 1)}, held)
	withoutAccelerators := startOf(1, 0, 1)
	withoutAccelerators.Task.Step = 1
	assert.Len(t, start(m, withoutAccelerators), 1)
	assert.Empty(t, start(m, startOf(1, 2, 1)))

	m.Apply(state.Command{Kind: state.KindStartsVoided, StartsVoided: []state.Run{startOf(1, 0, 1).Run}})
	assert.Len(t, start(m, startOf(1, 2, 1)), 1)
	require.NoError(t, m.Check())
}

func TestEveryRunRemovalFreesItsShare(t *testing.T) {
	run := startOf(1, 0, 1)
	ways := map[string]state.Command{
		"void": {Kind: state.KindStartsVoided, StartsVoided: []state.Run{run.Run}},
		"end": {Kind: state.KindTasksEnded, TasksEnded: &state.TasksEnded{Worker: "w",
			Ends: []state.End{{Run: run.Run, Number: 1, How: state.Done}}}},
		"loss": {Kind: state.KindWorkerLost, WorkerLost: "w"},
	}
	for name, way := range ways {
		for _, cancelled := range []bool{false, true} {
			m := state.New()
			configure(m, 1, `"tenants":[{"name":"teff","accelerators":4}]`)
			accept(m, 1, "teff", `{"count":1,"gpus":4}`)
			require.Len(t, start(m, run), 1)
			if cancelled {
				m.Apply(state.Command{Kind: state.KindJobCancelled, JobCancelled: &state.JobCancelled{ID: 1}})
			}
			assert.EqualValues(t, 4, m.Quotas().Used("teff"), "a run counts until its end is committed")
			m.Apply(way)
			assert.Zero(t, m.Quotas().Used("teff"), "%s, cancelled %v", name, cancelled)
			m.Apply(way)
			assert.Zero(t, m.Quotas().Used("teff"), "%s twice, cancelled %v", name, cancelled)
			require.NoError(t, m.Check())
		}
	}
}

func TestGangStartsTogetherOrNotAtAll(t *testing.T) {
	m := state.New()
	configure(m, 1, `"tenants":[{"name":"teff","accelerators":6}]`)
	accept(m, 1, "teff", `{"count":3,"gpus":2,"gang":true}`)
	accept(m, 2, "teff", `{"count":1,"gpus":1}`)
	require.Len(t, start(m, startOf(2, 0, 1)), 1)
	gang := []state.Start{startOf(1, 0, 1), startOf(1, 1, 1), startOf(1, 2, 1)}
	assert.Empty(t, start(m, gang...))
	m.Apply(state.Command{Kind: state.KindStartsVoided, StartsVoided: []state.Run{startOf(2, 0, 1).Run}})
	assert.Equal(t, gang, start(m, gang...))
}

func TestNewConfigurationAppliesFromItsCommit(t *testing.T) {
	m := state.New()
	configure(m, 1, `"tenants":[{"name":"teff","accelerators":4}]`)
	accept(m, 1, "teff", `{"count":9,"gpus":1}`)
	require.Len(t, start(m, startOf(1, 0, 1), startOf(1, 1, 1), startOf(1, 2, 1), startOf(1, 3, 1), startOf(1, 4, 1)), 4)
	configure(m, 2, `"tenants":[{"name":"teff","accelerators":2}]`)
	assert.EqualValues(t, 4, m.Quotas().Used("teff"), "existing runs stay")
	assert.Empty(t, start(m, startOf(1, 4, 1)))
	configure(m, 3, `"tenants":[{"name":"teff","accelerators":5}]`)
	assert.Len(t, start(m, startOf(1, 4, 1), startOf(1, 5, 1)), 1)
	configure(m, 4, `"routes":[]`)
	assert.Len(t, start(m, startOf(1, 5, 1)), 1, "without tenants there is no limit")
	assert.Equal(t, state.Applied, m.Apply(state.Command{Kind: state.KindConfigReplaced,
		ConfigReplaced: &state.ConfigReplaced{Base: 4, Version: 5, Body: []byte("{")}}).Outcome)
	assert.False(t, m.Quotas().InForce())
}

func TestCheckShareReportsOversizeJobs(t *testing.T) {
	m := state.New()
	configure(m, 1, `"accelerators":8,"tenants":[{"name":"teff","accelerators":6}]`)
	check := func(tenant, stages string) error {
		return m.CheckShare(&state.JobAccepted{Tenant: tenant, Body: []byte(`{"stages":[` + stages + `]}`)})
	}
	assert.NoError(t, check("teff", `{"count":50,"gpus":6}`))
	assert.NoError(t, check("teff", `{"count":3,"gpus":2,"gang":true}`))
	assert.NoError(t, check("teff", `{"count":0,"gpus":7}`))
	assert.NoError(t, check("", `{"count":2,"gpus":2}`))
	var oversize *quota.OversizeError
	require.ErrorAs(t, check("teff", `{"count":1},{"count":4,"gpus":2,"gang":true}`), &oversize)
	assert.Equal(t, quota.OversizeError{Tenant: "teff", Stage: 1, Need: 8, Limit: 6}, *oversize)
	assert.Error(t, check("", `{"count":1,"gpus":3}`))
	assert.ErrorContains(t, check("teff", `7`), "byte")
	configure(m, 2, `"accelerators":8`)
	assert.NoError(t, check("teff", `{"count":1,"gpus":1000000}`), "without tenants there is no limit")
}
