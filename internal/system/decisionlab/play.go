package decisionlab

import (
	"context"
	"runtime"
	"sync"
)

// Plan says which days are played, with which policies.
type Plan struct {
	Deployment *Deployment
	Policies   []Policy
	// Days is how many days are drawn, from FirstSeed on; Draws how often each is played with other delays.
	FirstSeed   uint64
	Days, Draws int
}

// Played is one day's worth by policy and draw, and its bound.
type Played struct {
	Seed    uint64
	Bound   float64
	Results map[Policy][]Result
}

// PlayAll plays all days of a plan, as many at the same time as there are processors; what becomes of each depends on its seeds alone.
func PlayAll(ctx context.Context, plan Plan) ([]Played, error) {
	played := make([]Played, plan.Days)
	var group sync.WaitGroup
	free := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range played {
		select {
		case free <- struct{}{}:
		case <-ctx.Done():
			group.Wait()
			return nil, ctx.Err()
		}
		group.Go(func() {
			defer func() { <-free }()
			played[i] = playDay(plan, plan.FirstSeed+uint64(i))
		})
	}
	group.Wait()
	return played, nil
}

// playDay plays one day with each policy and draw.
func playDay(plan Plan, seed uint64) Played {
	day := plan.Deployment.Draw(seed)
	played := Played{Seed: seed, Bound: Bound(day), Results: map[Policy][]Result{}}
	for _, policy := range plan.Policies {
		for draw := range max(plan.Draws, 1) {
			played.Results[policy] = append(played.Results[policy], Play(day, policy, uint64(draw)))
		}
	}
	return played
}
