package state_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/state"
)

const (
	benchTenants    = 160
	benchPlacements = 20_000
	benchPool       = 2600
)

// machineWithManyRuns returns a state with 160 tenants and 20,000 runs that may exist. Each tenant uses 15 of its 16 accelerators and has
// two more tasks that take one each.
func machineWithManyRuns(b *testing.B, quotas bool) *state.Machine {
	b.Helper()
	m := state.New()
	var tenants []string
	for index := range benchTenants {
		tenants = append(tenants, fmt.Sprintf(`{"name":"team-%03d","share":0.00625}`, index))
	}
	if quotas {
		require.Equal(b, state.Applied, configure(m, 1, fmt.Sprintf(`"accelerators":%d,"tenants":[%s]`, benchPool, strings.Join(tenants, ","))))
	}
	const withAccelerator, runsPerTenant = 15, benchPlacements / benchTenants
	for index := range benchTenants {
		id := state.JobID(index)
		accept(m, id, fmt.Sprintf("team-%03d", index), fmt.Sprintf(`{"count":%d,"gpus":1},{"count":%d}`, withAccelerator+2, runsPerTenant-withAccelerator))
		starts := make([]state.Start, runsPerTenant)
		for number := range starts {
			starts[number] = startOf(id, uint32(number), 1)
			if number >= withAccelerator {
				starts[number].Task.Step, starts[number].Task.Index = 1, uint32(number-withAccelerator)
			}
			starts[number].Worker = fmt.Sprint("w", (index+number)%325)
		}
		require.Len(b, start(m, starts...), runsPerTenant)
	}
	return m
}

// BenchmarkStart commits a start and then voids it.
func BenchmarkStart(b *testing.B) {
	for _, quotas := range []bool{false, true} {
		b.Run(fmt.Sprintf("quotas=%v", quotas), func(b *testing.B) {
			m := machineWithManyRuns(b, quotas)
			b.ReportAllocs()
			attempt := uint32(0)
			for b.Loop() {
				attempt++
				next := startOf(state.JobID(attempt%benchTenants), 15, attempt)
				if got := m.Apply(state.Command{Kind: state.KindTasksStarting, TasksStarting: []state.Start{next}}); len(got.Started) != 1 {
					b.Fatal("the start was rejected")
				}
				m.Apply(state.Command{Kind: state.KindStartsVoided, StartsVoided: []state.Run{next.Run}})
			}
		})
	}
}

// BenchmarkRejectedStart commits a start that exceeds its tenant's share.
func BenchmarkRejectedStart(b *testing.B) {
	m := machineWithManyRuns(b, true)
	for index := range state.JobID(benchTenants) {
		require.Len(b, start(m, startOf(index, 15, 1)), 1)
	}
	b.ReportAllocs()
	attempt := uint32(0)
	for b.Loop() {
		attempt++
		next := startOf(state.JobID(attempt%benchTenants), 16, 1)
		if got := m.Apply(state.Command{Kind: state.KindTasksStarting, TasksStarting: []state.Start{next}}); len(got.Started) != 0 {
			b.Fatal("the start was not rejected")
		}
	}
}

// BenchmarkReconfigure replaces the configuration of all tenants while 20,000 runs may exist.
func BenchmarkReconfigure(b *testing.B) {
	m := machineWithManyRuns(b, true)
	body := string(m.Config().Body)
	b.ReportAllocs()
	version := m.Config().Version
	for b.Loop() {
		next := &state.ConfigReplaced{Base: version, Version: version + 1, Body: []byte(body)}
		version++
		if m.Apply(state.Command{Kind: state.KindConfigReplaced, ConfigReplaced: next}).Outcome != state.Applied {
			b.Fatal("the configuration was not applied")
		}
	}
}
