package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// register is the configuration as a plain list of all that was ever in force: what a machine's answers are held against.
type register struct{ taken []Config }

func (r *register) current() uint64 {
	if len(r.taken) == 0 {
		return 0
	}
	return r.taken[len(r.taken)-1].Version
}

func (r *register) has(order *ConfigReplaced) bool {
	for _, before := range r.taken {
		if before.Version == order.Version && string(before.Body) == string(order.Body) {
			return true
		}
	}
	return false
}

// allows tells whether an answer to an order is one that may be given now, and carries the order out.
func (r *register) allows(order *ConfigReplaced, outcome Outcome) bool {
	switch outcome {
	case Applied:
		fits := order.Base == r.current() && order.Version > r.current() && !r.has(order)
		r.taken = append(r.taken, Config{Version: order.Version, Body: order.Body})
		return fits
	case Repeated:
		return r.has(order)
	case Conflict:
		return !r.has(order) && order.Base != r.current()
	case Stale:
		return !r.has(order) && order.Version <= r.current()
	case Forgotten:
		return len(r.taken) >= keptVersions && order.Version < r.taken[len(r.taken)-keptVersions].Version
	}
	return false
}

// fill puts that many configurations in force, with gaps between their versions.
func fill(machine *Machine, register *register, count int) {
	for range count {
		base := register.current()
		order := &ConfigReplaced{Base: base, Version: base + 1 + base%3, Body: fmt.Appendf(nil, "body %d", base)}
		if !register.allows(order, machine.replaceConfig(order)) {
			panic(fmt.Sprintf("a configuration on top of version %d isn't taken", base))
		}
	}
}

// drawOrder draws orders round what is in force, old ones sent again, and other changes under their numbers.
func drawOrder(t *rapid.T, register *register) *ConfigReplaced {
	body := []byte(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "body"))
	old := Config{Version: 1}
	base := uint64(0)
	if n := len(register.taken); n > 0 {
		at := rapid.IntRange(0, n-1).Draw(t, "at")
		old = register.taken[at]
		if at > 0 {
			base = register.taken[at-1].Version
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
func TestTheConfigurationIsOneRegister(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine, register := New(), &register{}
		fill(machine, register, rapid.SampledFrom([]int{0, 1, 5, keptVersions - 2, keptVersions, keptVersions + 40}).Draw(t, "before"))
		for range rapid.IntRange(1, 60).Draw(t, "orders") {
			order := drawOrder(t, register)
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

// checkOrder holds what an order would come to.
func checkOrder(t *testing.T, machine *Machine, base, version uint64, body string, expected Outcome) {
	t.Helper()
	order := &ConfigReplaced{Base: base, Version: version, Body: []byte(body)}
	assert.Equal(t, expected, machine.CheckConfig(order), "base %d, version %d, body %q", base, version, body)
}

func TestOfTwoChangesOnTheSameVersionOneWins(t *testing.T) {
	machine := New()
	for _, order := range []*ConfigReplaced{{Base: 0, Version: 3, Body: []byte("first")}, {Base: 3, Version: 7, Body: []byte("winner")}} {
		require.Equal(t, Applied, machine.replaceConfig(order))
	}
	checkOrder(t, machine, 3, 7, "loser", Conflict)
	checkOrder(t, machine, 3, 9, "loser", Conflict)
	checkOrder(t, machine, 5, 9, "on a version that never was", Conflict)
	checkOrder(t, machine, 8, 9, "on a version that isn't yet", Conflict)
	checkOrder(t, machine, 7, 7, "same number", Stale)
	checkOrder(t, machine, 7, 6, "lower number", Stale)
	checkOrder(t, machine, 3, 7, "winner", Repeated)
	checkOrder(t, machine, 0, 3, "first", Repeated)
	checkOrder(t, machine, 7, 9, "next", Applied)
}

// An order that was taken is never refused. What surely wasn't taken still is, also against all that is forgotten.
func TestForgottenOrdersAreNotRefused(t *testing.T) {
	machine, register := New(), &register{}
	const forgotten = 50
	fill(machine, register, keptVersions+forgotten)
	for at, before := range register.taken {
		base := uint64(0)
		if at > 0 {
			base = register.taken[at-1].Version
		}
		expected := Repeated
		if at < forgotten {
			expected = Forgotten
		}
		checkOrder(t, machine, base, before.Version, string(before.Body), expected)
	}
	oldest, before := register.taken[forgotten].Version, register.taken[forgotten-1].Version
	checkOrder(t, machine, before, oldest, "under the oldest number that is remembered", Conflict)
	checkOrder(t, machine, before, oldest+100000, "on the newest version that is forgotten", Conflict)
	checkOrder(t, machine, before, before, "not higher than its base", Conflict)
	checkOrder(t, machine, 0, before, "any that may have been taken", Forgotten)
	checkOrder(t, machine, register.current(), before, "on the version in force, with a lower number", Stale)
	checkOrder(t, machine, register.current(), register.current()+1, "next", Applied)
	for range 3 {
		fill(machine, register, 1)
		assert.Len(t, machine.history, keptVersions)
		checkOrder(t, machine, 0, register.taken[0].Version, string(register.taken[0].Body), Forgotten)
	}
}

// While nothing is forgotten, nothing is left unclear.
func TestNothingIsLeftUnclearBeforeTheHistoryIsFull(t *testing.T) {
	machine := New()
	require.Equal(t, Applied, machine.replaceConfig(&ConfigReplaced{Base: 0, Version: 5, Body: []byte("first")}))
	checkOrder(t, machine, 0, 2, "lost the race for the first", Conflict)
}

// A restored state knows what was taken as the one before did, also what it has forgotten.
func TestARestoredStateKnowsWhatWasTaken(t *testing.T) {
	machine, register := New(), &register{}
	fill(machine, register, keptVersions+3)
	restored := New()
	require.NoError(t, restored.Restore(machine.Snapshot()))
	last := register.taken[len(register.taken)-2]
	checkOrder(t, restored, 0, last.Version, string(last.Body), Repeated)
	checkOrder(t, restored, 0, last.Version, "another under that number", Conflict)
	checkOrder(t, restored, 0, register.taken[0].Version, string(register.taken[0].Body), Forgotten)
	checkOrder(t, restored, register.current(), register.current()+1, "next", Applied)
}
