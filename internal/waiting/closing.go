package waiting

import (
	"maps"
	"slices"
	"time"
)

// Close begins the end of the program, which answers until by. What waits with a client on the line and can't be
// ready by then is refused now, the rest by then; nothing more is taken.
func (q *Room) Close(now, by time.Duration) {
	q.closing = true
	for _, w := range q.queries {
		w.deadline = now
	}
	q.nextQueryTimeout = now
	q.answerOverdueQueries(now)
	numbers := slices.Sorted(maps.Keys(q.active)) // an order that does not hang on the map's
	for _, n := range numbers {
		i := q.active[n]
		e := q.entries.at(i)
		if !e.has(attached) || e.has(fresh) || e.state > Ready {
			if e.has(attached) && e.state == Released { // what the module then refuses is not held once more
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

// Crashed tells that the module has forgotten all that it held: what was before it may have run and has failed. The
// program answers those itself.
func (q *Room) Crashed(now time.Duration) {
	for _, n := range slices.Sorted(maps.Keys(q.active)) {
		if i := q.active[n]; q.entries.at(i).state == Released {
			q.finish(now, i, Failed, StatusFailed, "failed", false)
		}
	}
}

// Keeps tells whether a job is held and not before the module: it outlives the module's end.
func (q *Room) Keeps(number uint64) bool {
	i := q.active[number]
	return i != 0 && q.entries.at(i).state < Released
}
