package decisionlab

import "gaugeslip/internal/system/scheduler"

// Result is the outcome of one play of a day.
type Result struct {
	Jobs, Completed, InTime, Starts int
	Owed, Earned, WastedCoreSeconds float64
	// Late is the number of jobs that the scheduler counts as late. Spent is how their time was spent. Both are set for the scheduler only.
	Late  int             `json:",omitempty"`
	Spent scheduler.Spent `json:",omitempty"`
}

// Worth returns the fraction of the owed worth that was earned.
func (r *Result) Worth() float64 { return r.Earned / r.Owed }

func (r *Result) addLate(late *scheduler.LateJob) {
	r.Late++
	for part, spent := range late.Spent {
		r.Spent[part] += spent
	}
}
