package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// modelRegister is the reference model: a plain list of all configurations that were ever in force.
type modelRegister struct{ applied []Config }

func (r *modelRegister) current() uint64 {
	if len(r.applied) == 0 {
		return 0
	}
	return r.applied[len(r.applied)-1].Version
}

func (r *modelRegister) has(change *ConfigReplaced) bool {
	for _, before := range r.applied {
		if before.Version == change.Version && string(before.Body) == string(change.Body) {
			return true
		}
	}
	return false
}

// allows reports whether the outcome of a change is permitted now, and adds the change to the model if it was applied.
func (r *modelRegister) allows(change *ConfigReplaced, outcome Outcome) bool {
	switch outcome {
	case Applied:
		fits := change.Base == r.current() && change.Version > r.current() && !r.has(change)
		r.applied = append(r.applied, Config{Version: change.Version, Body: change.Body})
		return fits
	case Repeated:
		return r.has(change)
	case Conflict:
		return !r.has(change) && (change.Base < r.current() || change.Base > r.current() && change.Version <= change.Base)
	case BaseAhead:
		return !r.has(change) && change.Base > r.current() && change.Version > change.Base
	case Stale:
		return !r.has(change) && change.Version <= r.current()
	case Forgotten:
		return len(r.applied) >= historyLimit && change.Version < r.applied[len(r.applied)-historyLimit].Version
	}
	return false
}

// applyConfigs applies the given number of configurations, with gaps between their versions.
func applyConfigs(machine *Machine, register *modelRegister, count int) {
	for range count {
		base := register.current()
		change := &ConfigReplaced{Base: base, Version: base + 1 + base%3, Body: fmt.Appendf(nil, "body %d", base)}
		if !register.allows(change, machine.replaceConfig(change)) {
			panic(fmt.Sprintf("a configuration based on version %d is not applied", base))
		}
	}
}

// drawConfigChange draws changes near the version in force, repeated old changes, and different bodies under old versions.
func drawConfigChange(t *rapid.T, register *modelRegister) *ConfigReplaced {
	body := []byte(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "body"))
	old := Config{Version: 1}
	base := uint64(0)
	if n := len(register.applied); n > 0 {
		at := rapid.IntRange(0, n-1).Draw(t, "at")
		old = register.applied[at]
		if at > 0 {
			base = register.applied[at-1].Version
		}
	}
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return &ConfigReplaced{Base: base, Version: old.Version, Body: old.Body}
	case 1:
		return &ConfigReplaced{Base: base, Version: old.Version, Body: body}
	case 2:
		return &ConfigReplaced{Base: old.Version, Version: old.Version + rapid.Uint64Range(0, 3).Draw(t, "step"), Body: body}
	case 3:
		near := register.current() + 3
		return &ConfigReplaced{Base: near - rapid.Uint64Range(0, min(near, 6)).Draw(t, "below"),
			Version: near + 3 - rapid.Uint64Range(0, min(near, 9)).Draw(t, "under"), Body: body}
	}
	return &ConfigReplaced{Base: register.current(), Version: register.current() + rapid.Uint64Range(0, 3).Draw(t, "step"), Body: body}
}

// The configuration behaves as one register with conditional writes, however much history is lost and however often the state is restored.
func TestConfigurationIsOneRegister(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine, register := New(), &modelRegister{}
		applyConfigs(machine, register, rapid.SampledFrom([]int{0, 1, 5, historyLimit - 2, historyLimit, historyLimit + 40}).Draw(t, "before"))
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			change := drawConfigChange(t, register)
			expected := machine.CheckConfig(change)
			outcome := machine.Apply(Command{Kind: KindConfigReplaced, ConfigReplaced: change}).Outcome
			require.Equal(t, expected, outcome)
			require.True(t, register.allows(change, outcome), "change %+v, outcome %d, version in force %d", change, outcome, register.current())
			require.Equal(t, register.current(), machine.Config().Version)
			if rapid.IntRange(0, 20).Draw(t, "restore") == 0 {
				restored := New()
				require.NoError(t, restored.Restore(machine.Snapshot()))
				machine = restored
			}
		}
	})
}

// requireOutcome checks the outcome that a change would have now.
func requireOutcome(t *testing.T, machine *Machine, base, version uint64, body string, expected Outcome) {
	t.Helper()
	change := &ConfigReplaced{Base: base, Version: version, Body: []byte(body)}
	assert.Equal(t, expected, machine.CheckConfig(change), "base %d, version %d, body %q", base, version, body)
}

func TestOneOfTwoChangesToTheSameVersionWins(t *testing.T) {
	machine := New()
	for _, change := range []*ConfigReplaced{{Base: 0, Version: 3, Body: []byte("first")}, {Base: 3, Version: 7, Body: []byte("winner")}} {
		require.Equal(t, Applied, machine.replaceConfig(change))
	}
	requireOutcome(t, machine, 3, 7, "loser", Conflict)
	requireOutcome(t, machine, 3, 9, "loser", Conflict)
	requireOutcome(t, machine, 5, 9, "on a version that never existed", Conflict)
	requireOutcome(t, machine, 8, 9, "on a version that may come", BaseAhead)
	requireOutcome(t, machine, 9, 9, "on a version that may come, and not above it", Conflict)
	requireOutcome(t, machine, 7, 7, "same version", Stale)
	requireOutcome(t, machine, 7, 6, "lower version", Stale)
	requireOutcome(t, machine, 3, 7, "winner", Repeated)
	requireOutcome(t, machine, 0, 3, "first", Repeated)
	requireOutcome(t, machine, 7, 9, "next", Applied)
}

// A change that was applied is never rejected. One that certainly wasn't applied still is, even against lost history.
func TestForgottenChangesAreNotRejected(t *testing.T) {
	machine, register := New(), &modelRegister{}
	const forgotten = 50
	applyConfigs(machine, register, historyLimit+forgotten)
	for at, before := range register.applied {
		base := uint64(0)
		if at > 0 {
			base = register.applied[at-1].Version
		}
		expected := Repeated
		if at < forgotten {
			expected = Forgotten
		}
		requireOutcome(t, machine, base, before.Version, string(before.Body), expected)
	}
	oldest, before := register.applied[forgotten].Version, register.applied[forgotten-1].Version
	requireOutcome(t, machine, before, oldest, "another body under the oldest remembered version", Conflict)
	requireOutcome(t, machine, before, oldest+100000, "on the newest forgotten version", Conflict)
	requireOutcome(t, machine, before, before, "not higher than its base", Conflict)
	requireOutcome(t, machine, 0, before, "may have been applied", Forgotten)
	requireOutcome(t, machine, register.current(), before, "on the version in force, with a lower version", Stale)
	requireOutcome(t, machine, register.current(), register.current()+1, "next", Applied)
	for range 3 {
		applyConfigs(machine, register, 1)
		assert.Len(t, machine.history, historyLimit)
		requireOutcome(t, machine, 0, register.applied[0].Version, string(register.applied[0].Body), Forgotten)
	}
}

// While the history is complete, no outcome is uncertain.
func TestNothingIsForgottenBeforeTheHistoryIsFull(t *testing.T) {
	machine := New()
	require.Equal(t, Applied, machine.replaceConfig(&ConfigReplaced{Base: 0, Version: 5, Body: []byte("first")}))
	requireOutcome(t, machine, 0, 2, "lost the race for the first version", Conflict)
}

// A restored state has the same history and the same knowledge of its limit.
func TestRestoredStateKeepsTheConfigHistory(t *testing.T) {
	machine, register := New(), &modelRegister{}
	applyConfigs(machine, register, historyLimit+3)
	restored := New()
	require.NoError(t, restored.Restore(machine.Snapshot()))
	last := register.applied[len(register.applied)-2]
	requireOutcome(t, restored, 0, last.Version, string(last.Body), Repeated)
	requireOutcome(t, restored, 0, last.Version, "another body under that version", Conflict)
	requireOutcome(t, restored, 0, register.applied[0].Version, string(register.applied[0].Body), Forgotten)
	requireOutcome(t, restored, register.current(), register.current()+1, "next", Applied)
}

// A refusal ends an operator's call, so no copy of a refused change may be applied later: a change that waited in a machine that stood
// still was in force although it had been refused (review, case 2).
func TestRefusedChangeIsNeverAppliedLater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine, register := New(), &modelRegister{}
		var refused []*ConfigReplaced
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			change := drawConfigChange(t, register)
			if len(refused) > 0 && rapid.Bool().Draw(t, "earlier copy") {
				change = rapid.SampledFrom(refused).Draw(t, "refused")
			}
			outcome := machine.Apply(Command{Kind: KindConfigReplaced, ConfigReplaced: change}).Outcome
			require.True(t, register.allows(change, outcome), "change %+v, outcome %v, version in force %d", change, outcome, register.current())
			if outcome == Applied {
				require.NotContains(t, refused, change, "refused before")
			}
			if outcome == Conflict || outcome == Stale {
				refused = append(refused, change)
			}
		}
	})
}
