package waiting

import (
	"maps"
	"slices"
	"time"
)

// Close begins the shutdown of the program, which answers clients until the time by. Attached jobs that cannot become
// ready by then are refused now, other attached jobs by then. No further jobs are accepted.
func (r *Queue) Close(now, by time.Duration) {
	r.closing = true
	for _, w := range r.asks {
		w.until = now
	}
	r.asksAt = now
	r.overdueAsks(now)
	numbers := slices.Sorted(maps.Keys(r.open)) // for an order that does not depend on map iteration
	for _, n := range numbers {
		i := r.open[n]
		e := r.all.at(i)
		if !e.is(attached) || e.is(fresh) || e.state > Ready {
			if e.is(attached) && e.state == Released { // if the decision module refuses it, it is not queued again
				e.deadline = min(e.deadline, by)
			}
			continue
		}
		if e.deadline = min(e.deadline, by); e.state == Waiting && e.ready >= by {
			r.finish(now, i, Refused, StatusFull, "stopping", true)
			continue
		}
		r.ends.remove(i)
		r.ends.push(i, e.deadline-lastCall)
	}
}

// ModuleCrashed records that the decision module has lost all jobs it held. Jobs that were released may have run and end as
// failed. The program sends their answers itself.
func (r *Queue) ModuleCrashed(now time.Duration) {
	for _, n := range slices.Sorted(maps.Keys(r.open)) {
		if i := r.open[n]; r.all.at(i).state == Released {
			r.finish(now, i, Failed, StatusFailed, "failed", false)
		}
	}
}

// Keeps reports whether a job is held and not released, so that a crash of the decision module does not affect it.
func (r *Queue) Keeps(number uint64) bool {
	i := r.open[number]
	return i != 0 && r.all.at(i).state < Released
}
