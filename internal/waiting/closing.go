package waiting

import (
	"maps"
	"slices"
	"time"
)

// Close begins the shutdown of the program, which answers clients until the time by. Attached jobs that cannot become
// ready by then are refused now, other attached jobs by then. No further jobs are accepted.
func (q *Queue) Close(now, by time.Duration) {
	q.closing = true
	for _, w := range q.queries {
		w.deadline = now
	}
	q.nextQueryTimeout = now
	q.answerOverdueQueries(now)
	numbers := slices.Sorted(maps.Keys(q.active)) // for an order that does not depend on map iteration
	for _, n := range numbers {
		i := q.active[n]
		e := q.entries.at(i)
		if !e.has(attached) || e.has(fresh) || e.state > Ready {
			if e.has(attached) && e.state == Released { // if the decision module refuses it, it is not queued again
				e.deadline = min(e.deadline, by)
			}
			continue
		}
		if e.deadline = min(e.deadline, by); e.state == Waiting && e.ready >= by {
			q.finish(now, i, Refused, StatusFull, "stopping", true)
			continue
		}
		q.deadlines.remove(i)
		q.deadlines.push(i, e.deadline-answerMargin)
	}
}

// ModuleCrashed records that the decision module has lost all jobs it held. Jobs that were released may have run and end as
// failed. The program sends their answers itself.
func (q *Queue) ModuleCrashed(now time.Duration) {
	for _, n := range slices.Sorted(maps.Keys(q.active)) {
		if i := q.active[n]; q.entries.at(i).state == Released {
			q.finish(now, i, Failed, StatusFailed, "failed", false)
		}
	}
}

// Keeps reports whether a job is held and not released, so that a crash of the decision module does not affect it.
func (q *Queue) Keeps(number uint64) bool {
	i := q.active[number]
	return i != 0 && q.entries.at(i).state < Released
}
