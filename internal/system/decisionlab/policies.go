package decisionlab

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Policy is the name of a scheduling policy.
type Policy string

// The policies.
const (
	// Scheduler is the project's own scheduler.
	Scheduler Policy = "scheduler"
	// FirstCome places tasks in the order in which they become ready, on the first worker with capacity.
	FirstCome Policy = "first-come"
	// EarliestDeadline places tasks by deadline, without ranges by size, on the worker with the least free capacity that fits.
	EarliestDeadline Policy = "earliest-deadline"
	// LeastLoaded places tasks in the order in which they become ready, on the worker with the most free capacity.
	LeastLoaded Policy = "least-loaded"
	// RandomOfTwo places tasks in that order on the less loaded of two random workers.
	RandomOfTwo Policy = "random-of-two"
)

// Policies returns all policies, the project's own first.
func Policies() []Policy {
	return []Policy{Scheduler, FirstCome, EarliestDeadline, LeastLoaded, RandomOfTwo}
}

// ParsePolicies parses a comma-separated list of policy names.
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

// Play plays a day with a policy. delaySeed is the seed of the delays and the lost answers.
func Play(day *Day, policy Policy, delaySeed uint64) Result {
	switch policy {
	case FirstCome:
		return playBaseline(day, delaySeed, baselineRule{before: bySequence, choose: firstFit})
	case EarliestDeadline:
		return playBaseline(day, delaySeed, baselineRule{before: byDeadline, choose: bestFit})
	case LeastLoaded:
		return playBaseline(day, delaySeed, baselineRule{before: bySequence, choose: mostFree})
	case RandomOfTwo:
		return playBaseline(day, delaySeed, baselineRule{before: bySequence, choose: randomOfTwo})
	}
	return playScheduler(day, delaySeed)
}

func bySequence(a, b *baselineTask) int { return 0 }

func byDeadline(a, b *baselineTask) int { return cmp.Compare(a.deadline, b.deadline) }

func firstFit(_ *baseline, _ *baselineTask, able []*worker) *worker { return able[0] }

func bestFit(p *baseline, _ *baselineTask, able []*worker) *worker {
	return slices.MinFunc(able, func(a, b *worker) int { return cmp.Compare(p.freeShare(a), p.freeShare(b)) })
}

func mostFree(p *baseline, _ *baselineTask, able []*worker) *worker {
	return slices.MaxFunc(able, func(a, b *worker) int { return cmp.Compare(p.freeShare(a), p.freeShare(b)) })
}

func randomOfTwo(p *baseline, t *baselineTask, able []*worker) *worker {
	pair := []*worker{able[p.random.IntN(len(able))], able[p.random.IntN(len(able))]}
	return mostFree(p, t, pair)
}

// freeShare returns the fraction of a worker's cores that is free, without those reserved for pending starts.
func (p *baseline) freeShare(w *worker) float64 {
	return float64(w.free.minus(p.reserved[w]).CPU) / float64(w.spec.Room.CPU)
}
