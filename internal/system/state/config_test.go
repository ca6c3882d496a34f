package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// modelRegister is the configuration as a plain list of all that was ever in force: what a machine's answers are held against.
type modelRegister struct{ applied []Config }

func (r *modelRegister) current() uint64 {
	if len(r.applied) == 0 {
		return 0
	}
	return r.applied[len(r.applied)-1].Version
}

func (r *modelRegister) has(order *ConfigReplaced) bool {
	for _, before := range r.applied {
		if before.Version == order.Version && string(before.Body) == string(order.Body) {
			return true
		}
	}
	return false
}

// allows tells whether an answer to an order is one that may be given now, and carries the order out.
func (r *modelRegister) allows(order *ConfigReplaced, outcome Outcome) bool {
	switch outcome {
	case Applied:
		fits := order.Base == r.current() && order.Version > r.current() && !r.has(order)
		r.applied = append(r.applied, Config{Version: order.Version, Body: order.Body})
		return fits
	case Repeated:
		return r.has(order)
	case Conflict:
		return !r.has(order) && order.Base != r.current()
	case Stale:
		return !r.has(order) && order.Version <= r.current()
	case Forgotten:
		return len(r.applied) >= historyLimit && order.Version < r.applied[len(r.applied)-historyLimit].Version
	}
	return false
}

// applyConfigs puts that many configurations in force, with gaps between their versions.
func applyConfigs(machine *Machine, register *modelRegister, count int) {
	for range count {
		base := register.current()
		order := &ConfigReplaced{Base: base, Version: base + 1 + base%3, Body: fmt.Appendf(nil, "body %d", base)}
		if !register.allows(order, machine.replaceConfig(order)) {
			panic(fmt.Sprintf("a configuration on top of version %d isn't taken", base))
		}
	}
}

// drawConfigChange draws orders round what is in force, old ones sent again, and other changes under their numbers.
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

// The configuration is one register with conditional writes, whatever was forgotten and however often the state was restored.
func TestConfigurationIsOneRegister(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine, register := New(), &modelRegister{}
		applyConfigs(machine, register, rapid.SampledFrom([]int{0, 1, 5, historyLimit - 2, historyLimit, historyLimit + 40}).Draw(t, "before"))
		for range rapid.IntRange(1, 60).Draw(t, "orders") {
			order := drawConfigChange(t, register)
			expected := machine.CheckConfig(order)
			outcome := machine.Apply(Command{Kind: KindConfigReplaced, ConfigReplaced: order}).Outcome
			require.Equal(t, expected, outcome)
			require.True(t, register.allows(order, outcome), "order %+v, outcome %d, version in force %d", order, outcome, register.current())
			require.Equal(t, register.current(), machine.Config().Version)
			if rapid.IntRange(0, 20).Draw(t, "restore") == 0 {
				restored := New()
				require.NoError(t, restored.Restore(machine.Snapshot()))
				machine = restored
			}
		}
	})
}

// requireOutcome holds what an order would come to.
func requireOutcome(t *testing.T, machine *Machine, base, version uint64, body string, expected Outcome) {
	t.Helper()
	order := &ConfigReplaced{Base: base, Version: version, Body: []byte(body)}
	assert.Equal(t, expected, machine.CheckConfig(order), "base %d, version %d, body %q", base, version, body)
}

func TestOneOfTwoChangesToTheSameVersionWins(t *testing.T) {
	machine := New()
	for _, order := range []*ConfigReplaced{{Base: 0, Version: 3, Body: []byte("first")}, {Base: 3, Version: 7, Body: []byte("winner")}} {
		require.Equal(t, Applied, machine.replaceConfig(order))
	}
	requireOutcome(t, machine, 3, 7, "loser", Conflict)
	requireOutcome(t, machine, 3, 9, "loser", Conflict)
	requireOutcome(t, machine, 5, 9, "on a version that never was", Conflict)
	requireOutcome(t, machine, 8, 9, "on a version that isn't yet", Conflict)
	requireOutcome(t, machine, 7, 7, "same number", Stale)
	requireOutcome(t, machine, 7, 6, "lower number", Stale)
	requireOutcome(t, machine, 3, 7, "winner", Repeated)
	requireOutcome(t, machine, 0, 3, "first", Repeated)
	requireOutcome(t, machine, 7, 9, "next", Applied)
}

// An order that was taken is never refused. What surely wasn't taken still is, also against all that is forgotten.
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
	requireOutcome(t, machine, before, oldest, "under the oldest number that is remembered", Conflict)
	requireOutcome(t, machine, before, oldest+100000, "on the newest version that is forgotten", Conflict)
	requireOutcome(t, machine, before, before, "not higher than its base", Conflict)
	requireOutcome(t, machine, 0, before, "any that may have been taken", Forgotten)
	requireOutcome(t, machine, register.current(), before, "on the version in force, with a lower number", Stale)
	requireOutcome(t, machine, register.current(), register.current()+1, "next", Applied)
	for range 3 {
		applyConfigs(machine, register, 1)
		assert.Len(t, machine.history, historyLimit)
		requireOutcome(t, machine, 0, register.applied[0].Version, string(register.applied[0].Body), Forgotten)
	}
}

// While nothing is forgotten, nothing is left unclear.
func TestNothingIsForgottenBeforeTheHistoryIsFull(t *testing.T) {
	machine := New()
	require.Equal(t, Applied, machine.replaceConfig(&ConfigReplaced{Base: 0, Version: 5, Body: []byte("first")}))
	requireOutcome(t, machine, 0, 2, "lost the race for the first", Conflict)
}

// A restored state knows what was taken as the one before did, also what it has forgotten.
func TestRestoredStateKeepsTheConfigHistory(t *testing.T) {
	machine, register := New(), &modelRegister{}
	applyConfigs(machine, register, historyLimit+3)
	restored := New()
	require.NoError(t, restored.Restore(machine.Snapshot()))
	last := register.applied[len(register.applied)-2]
	requireOutcome(t, restored, 0, last.Version, string(last.Body), Repeated)
	requireOutcome(t, restored, 0, last.Version, "another under that number", Conflict)
	requireOutcome(t, restored, 0, register.applied[0].Version, string(register.applied[0].Body), Forgotten)
	requireOutcome(t, restored, register.current(), register.current()+1, "next", Applied)
}
