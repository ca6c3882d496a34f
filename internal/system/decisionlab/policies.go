package decisionlab

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Policy is what decides on a day.
type Policy string

// The policies.
const (
	// Scheduler is the project's own.
	Scheduler Policy = "scheduler"
	// FirstCome places tasks in the order in which their turn comes, on the first worker that has room.
	FirstCome Policy = "first-come"
	// EarliestDeadline places them by deadline, without ranges by size, on the worker that they fill best.
	EarliestDeadline Policy = "earliest-deadline"
	// LeastLoaded places them in the order in which their turn comes, on the worker that has most room.
	LeastLoaded Policy = "least-loaded"
	// RandomOfTwo places them in that order on the emptier of two workers drawn at random.
	RandomOfTwo Policy = "random-of-two"
)

// Policies are all of them, the project's own first.
func Policies() []Policy {
	return []Policy{Scheduler, FirstCome, EarliestDeadline, LeastLoaded, RandomOfTwo}
}

// ParsePolicies reads names that commas separate.
func ParsePolicies(text string) ([]Policy, error) {
	var list []Policy
	for _, name := range strings.Split(text, ",") {
		policy := Policy(strings.TrimSpace(name))
		if !slices.Contains(Policies(), policy) {
			return nil, fmt.Errorf("policy %q: want some of %v", name, Policies())
		}
		list = append(list, policy)
	}
	return list, nil
}

// Play plays a day with a policy. Luck is the seed of delays and of lost answers.
func Play(day *Day, policy Policy, luck uint64) Result {
	switch policy {
	case FirstCome:
		return playPlain(day, luck, plainRule{before: byTurn, choose: first})
	case EarliestDeadline:
		return playPlain(day, luck, plainRule{before: byDeadline, choose: fullest})
	case LeastLoaded:
		return playPlain(day, luck, plainRule{before: byTurn, choose: emptiest})
	case RandomOfTwo:
		return playPlain(day, luck, plainRule{before: byTurn, choose: emptierOfTwo})
	}
	return playScheduler(day, luck)
}

func byTurn(a, b *plainTask) int { return 0 }

func byDeadline(a, b *plainTask) int { return cmp.Compare(a.deadline, b.deadline) }

func first(_ *plain, _ *plainTask, able []*worker) *worker { return able[0] }

func fullest(p *plain, _ *plainTask, able []*worker) *worker {
	return slices.MinFunc(able, func(a, b *worker) int { return cmp.Compare(p.emptiness(a), p.emptiness(b)) })
}

func emptiest(p *plain, _ *plainTask, able []*worker) *worker {
	return slices.MaxFunc(able, func(a, b *worker) int { return cmp.Compare(p.emptiness(a), p.emptiness(b)) })
}

func emptierOfTwo(p *plain, t *plainTask, able []*worker) *worker {
	pair := []*worker{able[p.luck.IntN(len(able))], able[p.luck.IntN(len(able))]}
	return emptiest(p, t, pair)
}

// emptiness is the part of a worker's cores that is free, starts on their way taken off.
func (p *plain) emptiness(w *worker) float64 {
	return float64(w.free.minus(p.claimed[w]).CPU) / float64(w.spec.Room.CPU)
}
