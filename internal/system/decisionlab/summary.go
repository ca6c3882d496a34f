package decisionlab

import (
	"math"
	"time"

	"gaugeslip/internal/system/scheduler"
)

// Summary is the performance of a policy over the days of a deployment.
type Summary struct {
	Deployment string
	Load       float64
	Policy     Policy
	Days       int
	// Worth is the mean over the days and Error its standard error. Bound is the mean of the days' upper bounds.
	Worth, Error, Bound float64
	// Less is how much less than the project's scheduler the policy earns, paired by day. LessError is that difference's standard error.
	Less, LessError float64
	// Noise is the standard deviation between plays of one day with other delays.
	Noise   float64
	InTime  float64 // fraction of the jobs
	Starts  float64 // per job
	Wasted  float64 // core-seconds per job
	LateFor []LatePart
}

// LatePart is the mean time that late jobs spent in one part of their time.
type LatePart struct {
	Part string
	Mean time.Duration
}

// Summarize returns a summary of a plan's days for each policy.
func Summarize(plan Plan, days []Played) []Summary {
	var all []Summary
	for _, policy := range plan.Policies {
		all = append(all, summarize(plan, days, policy))
	}
	return all
}

func summarize(plan Plan, days []Played, policy Policy) Summary {
	s := Summary{Deployment: plan.Deployment.Name, Load: plan.Deployment.Load, Policy: policy, Days: len(days)}
	var worths, less, bounds, variances []float64
	var spent scheduler.Spent
	jobs, inTime, starts, late := 0, 0, 0, 0
	wasted := 0.0
	for _, day := range days {
		draws := worthOfEach(day.Results[policy])
		worths, bounds = append(worths, mean(draws)), append(bounds, day.Bound)
		variances = append(variances, variance(draws))
		if own, ok := day.Results[Scheduler]; ok {
			less = append(less, mean(worthOfEach(own))-mean(draws))
		}
		for _, result := range day.Results[policy] {
			jobs, inTime, starts, late = jobs+result.Jobs, inTime+result.InTime, starts+result.Starts, late+result.Late
			wasted += result.WastedCoreSeconds
			for part := range spent {
				spent[part] += result.Spent[part]
			}
		}
	}
	s.Worth, s.Error, s.Bound = mean(worths), standardError(worths), mean(bounds)
	s.Less, s.LessError = mean(less), standardError(less)
	s.Noise = math.Sqrt(mean(variances))
	s.InTime, s.Starts, s.Wasted = float64(inTime)/float64(jobs), float64(starts)/float64(jobs), wasted/float64(jobs)
	for part, total := range spent {
		if total > 0 {
			s.LateFor = append(s.LateFor, LatePart{scheduler.Part(part).String(), total / time.Duration(late)})
		}
	}
	return s
}

func worthOfEach(results []Result) []float64 {
	list := make([]float64, len(results))
	for i := range results {
		list[i] = results[i].Worth()
	}
	return list
}

func mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

// variance returns the sample variance of the values, or 0 for fewer than two.
func variance(values []float64) float64 {
	if len(values) < 2 {
		return 0
	}
	middle, sum := mean(values), 0.0
	for _, value := range values {
		sum += (value - middle) * (value - middle)
	}
	return sum / float64(len(values)-1)
}

func standardError(values []float64) float64 {
	return math.Sqrt(variance(values) / max(float64(len(values)), 1))
}
