package shares

import (
	"math/rand/v2"
	"time"
)

// Draw generates a difficult world from a seed: 3 to 24 members, clocks whose rates are off by up to 2 %, up to 30 % lost
// messages, and one to six troubles that may overlap: kills and pauses of single members, of all voters or of a random set, and
// several forms of partitions, which heal.
func Draw(seed uint64) *World {
	rng := rand.New(rand.NewPCG(seed, 23))
	sizes := []int{3, 4, 5, 8, 12, 24}
	n := sizes[rng.IntN(len(sizes))]
	w := &World{Members: n, Voters: []int{1, 3, 3, 3, 5}[rng.IntN(5)], Length: 20 * time.Second, Floor: []float64{0, 0.25, 0.5}[rng.IntN(3)],
		Rate: 200, Burst: 20, Drift: 0.02 * rng.Float64(), Delay: time.Duration(1+rng.IntN(30)) * time.Millisecond,
		Loss: []float64{0, 0.05, 0.3}[rng.IntN(3)], Twice: 0.2 * rng.Float64(), Late: 0.05 * rng.Float64()}
	w.Voters = min(w.Voters, n)
	for range n {
		w.Demand = append(w.Demand, rng.ExpFloat64()/float64(n))
	}
	w.Demand[rng.IntN(n)] += 0.8
	for range 1 + rng.IntN(6) {
		t := Trouble{At: time.Duration(rng.Float64() * 16 * float64(time.Second)), For: time.Duration(50+rng.IntN(6000)) * time.Millisecond,
			Kind: []string{"kill", "kill", "pause", "pause", "cut", "mute", "islands"}[rng.IntN(7)], Islands: 2 + rng.IntN(2)}
		switch rng.IntN(4) {
		case 0: // all voters, and so the leader too
			for i := range w.Voters {
				t.Members = append(t.Members, i)
			}
		case 1:
			for i := range n {
				if rng.IntN(2) == 0 {
					t.Members = append(t.Members, i)
				}
			}
		default:
			t.Members = append(t.Members, rng.IntN(n))
		}
		w.Troubles = append(w.Troubles, t)
	}
	return w
}

// Uneven returns a world in which a tenth of the members together get demand for the whole budget, and the others for a fifth of it.
func Uneven(members int) *World {
	w := Even(members, 0.2)
	few := max(1, members/10)
	for i := range few {
		w.Demand[i] = 1 / float64(few)
	}
	return w
}

// Even returns a world in which all members get equal demand, in total the given multiple of the budget.
func Even(members int, times float64) *World {
	w := &World{Members: members, Voters: min(members, 3), Length: 30 * time.Second, Floor: 0.25, Rate: 40 * float64(members), Drift: 0.01,
		Delay: 2 * time.Millisecond, Demand: make([]float64, members)}
	w.Burst = w.Rate / 2
	for i := range w.Demand {
		w.Demand[i] = times / float64(members)
	}
	return w
}
