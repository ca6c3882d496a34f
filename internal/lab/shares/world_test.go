package shares

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// mean returns the mean of the values from index from up to, but not including, index to.
func mean(all []float64, from, to int) (m float64) {
	for _, x := range all[from:to] {
		m += x / float64(to-from)
	}
	return m
}

// The total budget is never exceeded under any faults, neither by the owned shares at any time nor by the use in any window.
func TestBudgetIsNeverExceeded(t *testing.T) {
	seeds := uint64(400)
	if testing.Short() {
		seeds = 50
	}
	for seed := range seeds {
		if r := Play(Draw(seed), seed); len(r.Breaches) > 0 {
			t.Errorf("seed %d (gaugelab budgets draw --seed %d --seeds 1): %v", seed, seed, r.Breaches)
		}
	}
}

// The allowance for drift is necessary: if clocks drift by more than the members assume, two members own the same share.
func TestUnderestimatedDriftBreaksBudget(t *testing.T) {
	found := 0
	for seed := range uint64(60) {
		w := Draw(seed)
		w.Drift, w.Believed, w.Loss = 0.3, 1e-9, 0.1
		if len(Play(w, seed).Breaches) > 0 {
			found++
		}
	}
	assert.Positive(t, found)
}

// With uneven demand, leased shares use 0.9 of the budget where equal shares use less than half. The share of a killed member, and
// that of a healed partition, are soon in use again.
func TestLeasedSharesUseWholeBudget(t *testing.T) {
	for _, n := range []int{3, 30, 100} {
		w := Uneven(n)
		r := Play(w, 7)
		assert.Empty(t, r.Breaches)
		assert.Greater(t, mean(r.Share, 6, 30), 0.9, n)
		w.Static = true
		equal := Play(w, 7)
		assert.Empty(t, equal.Breaches)
		assert.Less(t, mean(equal.Share, 6, 30), 0.5, n)

		w = Even(n, 1.5)
		w.Troubles = []Trouble{{Kind: "kill", At: 12 * time.Second, Members: []int{n - 1}}}
		r = Play(w, 7)
		assert.Empty(t, r.Breaches)
		assert.Greater(t, mean(r.Share, 16, 30), 0.9, "after a death, %d members", n)

		w.Troubles = []Trouble{{Kind: "islands", Islands: 2, At: 10 * time.Second, For: 6 * time.Second}}
		r = Play(w, 7)
		assert.Empty(t, r.Breaches)
		assert.GreaterOrEqual(t, r.Recovered, time.Duration(0), n)
		assert.LessOrEqual(t, r.Recovered, 2*time.Second, n)
	}
}

// After a kill of the leader, or of all voters at once, units above the floors are unavailable for a bounded time. The floors remain.
func TestRecoveryAfterLeaderAndVoterKills(t *testing.T) {
	for _, members := range [][]int{{0}, {0, 1, 2}} {
		w := Even(12, 2)
		w.Troubles = []Trouble{{Kind: "kill", At: 10 * time.Second, For: 50 * time.Millisecond, Members: members}}
		r := Play(w, 3)
		assert.Empty(t, r.Breaches)
		assert.Greater(t, mean(r.Share, 10, 15), 0.2, "the floors")
		assert.Greater(t, mean(r.Share, 17, 30), 0.9, "killed %v", members)
	}
}
