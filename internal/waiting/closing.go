package waiting

import (
	"maps"
	"slices"
	"time"
)

// Close begins the end of the program, which answers until by. What waits with a client on the line and can't be
// ready by then is refused now, the rest by then; nothing more is taken.
func (r *Room) Close(now, by time.Duration) {
	r.closing = true
	for _, w := range r.asks {
		w.until = now
	}
	r.asksAt = now
	r.overdueAsks(now)
	numbers := slices.Sorted(maps.Keys(r.open)) // an order that does not hang on the map's
	for _, n := range numbers {
		i := r.open[n]
		e := r.all.at(i)
		if !e.is(attached) || e.is(fresh) || e.state > Ready {
			if e.is(attached) && e.state == Released { // what the module then refuses is not held once more
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

// Crashed tells that the module has forgotten all that it held: what was before it may have run and has failed. The
// program answers those itself.
func (r *Room) Crashed(now time.Duration) {
	for _, n := range slices.Sorted(maps.Keys(r.open)) {
		if i := r.open[n]; r.all.at(i).state == Released {
			r.finish(now, i, Failed, StatusFailed, "failed", false)
		}
	}
}

// Keeps tells whether a job is held and not before the module: it outlives the module's end.
func (r *Room) Keeps(number uint64) bool {
	i := r.open[number]
	return i != 0 && r.all.at(i).state < Released
}
