package decisionlab

import (
	"cmp"
	"slices"
	"time"
)

// Bound is a part of what is owed that no policy can pass, whatever it knows: it knows how long each task takes and which runs fail. It relaxes all but
// one thing: work that is to end by some moment takes cores up to then. Tasks may be split over all workers, start before their job has
// come, never fail, and call and commit take no time. What a job earns in time and what it earns late are bounded apart from each other.
func Bound(day *Day) float64 {
	cores, owed := day.cores(), 0.0
	var inTime, late []portion
	for _, job := range day.Jobs {
		owed += job.Worth
		work, lateWorth := job.work(), job.Worth*job.Class.LateWorth
		inTime = append(inTime, portion{job.Worth - lateWorth, work, job.At + job.Objective})
		late = append(late, portion{lateWorth, work, job.At + lateObjectives*job.Objective})
	}
	return (most(inTime, cores) + most(late, cores)) / owed
}

// portion is worth that is earned with work that is done by a moment.
type portion struct {
	worth, work float64
	by          time.Duration
}

// most is the highest sum of worth whose work can be done in time, parts of portions included: the work that is due by any moment is at most what
// all cores do up to then. Taking portions by their worth a core-second, each as far as that allows, is the best for such bounds.
func most(portions []portion, cores float64) float64 {
	byMoment := slices.Clone(portions)
	slices.SortFunc(byMoment, func(a, b portion) int { return cmp.Compare(a.by, b.by) })
	left := make([]float64, len(byMoment)) // work that can still be added by each moment
	for i := range byMoment {
		left[i] = cores * byMoment[i].by.Seconds()
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
