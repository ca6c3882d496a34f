package decisionlab

import (
	"context"
	"runtime"
	"sync"
)

// Plan selects the days and the policies to play.
type Plan struct {
	Deployment *Deployment
	Policies   []Policy
	// Days is the number of days, with seeds from FirstSeed on. Draws is how often each is played with different delays.
	FirstSeed   uint64
	Days, Draws int
}

// Played holds the results of one day by policy and draw, and the day's bound.
type Played struct {
	Seed    uint64
	Bound   float64
	Results map[Policy][]Result
}

// PlayAll plays all days of a plan, as many concurrently as GOMAXPROCS. The result of each day depends on its seeds only.
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
