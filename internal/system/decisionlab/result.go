package decisionlab

import "gaugeslip/internal/system/scheduler"

// Result is what became of a day.
type Result struct {
	Jobs, Completed, InTime, Starts int
	Owed, Earned, WastedCoreSeconds float64
	// Late are the jobs that missed their objective as the scheduler judges it, Spent what their time went to; of the scheduler only.
	Late  int             `json:",omitempty"`
	Spent scheduler.Spent `json:",omitempty"`
}

// Worth is the part of what was owed that was earned.
func (r *Result) Worth() float64 { return r.Earned / r.Owed }

func (r *Result) addLate(late *scheduler.LateJob) {
	r.Late++
	for part, spent := range late.Spent {
		r.Spent[part] += spent
	}
}
