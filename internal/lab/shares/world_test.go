package shares

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// mean of seconds from one on.
func mean(all []float64, from, to int) (m float64) {
	for _, x := range all[from:to] {
		m += x / float64(to-from)
	}
	return m
}

// The sum is kept whatever goes wrong, in what is owned at every instant and in what is used in any window.
func TestSumIsKept(t *testing.T) {
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

// What the members reckon with is needed: with clocks that differ by more than they believe, a share is owned twice.
func TestDriftMatters(t *testing.T) {
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

// Where few members are asked much, talk uses nine tenths of the whole, of which equal parts must refuse half; a dead member's part, and an island's after it is healed, are back as soon.
func TestWholeIsUsed(t *testing.T) {
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

// A leader that dies, and all voters at once, cost the units beyond the floors for a bounded time; the floors go on.
func TestLeaderAndVotersDie(t *testing.T) {
	for _, members := range [][]int{{0}, {0, 1, 2}} {
		w := Even(12, 2)
		w.Troubles = []Trouble{{Kind: "kill", At: 10 * time.Second, For: 50 * time.Millisecond, Members: members}}
		r := Play(w, 3)
		assert.Empty(t, r.Breaches)
		assert.Greater(t, mean(r.Share, 10, 15), 0.2, "the floors")
		assert.Greater(t, mean(r.Share, 17, 30), 0.9, "killed %v", members)
	}
}
