package decisionlab

import (
	"cmp"
	"slices"
	"time"
)

// Bound returns an upper bound on the fraction of the owed worth that any policy can earn. It knows how long each task takes and which runs
// fail. It keeps only one constraint: work that is to end by some time takes cores up to then. Tasks may be split over all workers, start
// before their job has arrived and never fail, and calls and commits take no time. What jobs earn in time and what they earn late are
// bounded separately.
func Bound(day *Day) float64 {
	cores, owed := day.cores(), 0.0
	var inTime, late []earnable
	for _, job := range day.Jobs {
		owed += job.Worth
		work, lateWorth := job.work(), job.Worth*job.Class.LateWorth
		inTime = append(inTime, earnable{job.Worth - lateWorth, work, job.At + job.Objective})
		late = append(late, earnable{lateWorth, work, job.At + maxLateObjectives*job.Objective})
	}
	return (maxWorth(inTime, cores) + maxWorth(late, cores)) / owed
}

// earnable is worth that is earned by work that is done by a deadline.
type earnable struct {
	worth, work float64
	deadline    time.Duration
}

// maxWorth returns the largest sum of worth whose work can be done in time, including parts of portions: the work due by any time is at most
// what all cores do up to then. Taking portions in order of worth per core-second, each as far as the constraints allow, is optimal for
// such constraints.
func maxWorth(portions []earnable, cores float64) float64 {
	byMoment := slices.Clone(portions)
	slices.SortFunc(byMoment, func(a, b earnable) int { return cmp.Compare(a.deadline, b.deadline) })
	left := make([]float64, len(byMoment)) // work that can still be added by each moment
	for i := range byMoment {
		left[i] = cores * byMoment[i].deadline.Seconds()
	}
	order := make([]int, len(byMoment))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(byMoment[b].worth*byMoment[a].work, byMoment[a].worth*byMoment[b].work)
	})
	sum := 0.0
	for _, i := range order {
		p := byMoment[i]
		taken := max(0, min(p.work, slices.Min(left[i:])))
		for k := i; k < len(left); k++ {
			left[k] -= taken
		}
		sum += p.worth * taken / p.work
	}
	return sum
}
