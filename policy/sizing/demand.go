package sizing

import (
	"slices"
	"time"
)

// Task is a task in a demand test.
type Task struct {
	Remaining time.Duration // length of its run, or what remains of it if it has started
	Deadline  time.Duration
	Lanes     int  // lanes that it takes at once; less than one counts as one
	Started   bool // it holds its lanes until it ends
}

// Demand is the EDF demand test for a set of lanes. The zero value is ready for use. It keeps its buffer between calls, so
// reuse one for many tests.
type Demand struct {
	free []time.Duration // when each lane becomes free, ascending
}

// Admits reports whether the candidate and each accepted task that it delays ends by its deadline. See Ends.
func (d *Demand) Admits(now time.Duration, lanes int, accepted []Task, candidate Task) bool {
	_, ok := d.EndTime(now, lanes, accepted, candidate)
	return ok
}

// EndTime returns when the candidate ends if it is accepted, and whether it and each accepted task that it delays ends by its
// deadline. The accepted tasks must be sorted by deadline. From now on, started tasks keep running. The others start in order
// of deadlines, the candidate after those of an equal deadline, and none starts before the one ahead of it. Tasks ahead of the
// candidate are not tested, as it doesn't delay them.
//
// The result still holds if runs turn out shorter. On one lane, a set that fails can't meet its deadlines in any other order
// either. A test takes O(len(accepted) x lanes) and allocates only for more lanes than in any test before.
func (d *Demand) EndTime(now time.Duration, lanes int, accepted []Task, candidate Task) (ends time.Duration, ok bool) {
	if width(candidate) > lanes {
		return 0, false
	}
	d.reset(now, lanes, accepted)
	placed := false
	for _, task := range accepted {
		if !placed && task.Deadline > candidate.Deadline {
			placed = true
			if ends = d.start(candidate); ends > candidate.Deadline {
				return ends, false
			}
		}
		if task.Started {
			continue
		}
		if end := d.start(task); placed && end > task.Deadline {
			return ends, false
		}
	}
	if !placed {
		ends = d.start(candidate)
	}
	return ends, ends <= candidate.Deadline
}

// reset makes all lanes free at now, except those of started tasks.
func (d *Demand) reset(now time.Duration, lanes int, accepted []Task) {
	d.free = slices.Grow(d.free[:0], lanes)
	for range lanes {
		d.free = append(d.free, now)
	}
	for _, task := range accepted {
		if task.Started {
			taken := min(width(task), lanes)
			d.occupy(taken, max(now+max(task.Remaining, 0), d.free[taken-1])) // later if more tasks run than there are lanes
		}
	}
}

// start runs a task on the lanes that become free first and returns when it ends.
func (d *Demand) start(task Task) time.Duration {
	taken := min(width(task), len(d.free))
	end := d.free[taken-1] + max(task.Remaining, 0)
	d.occupy(taken, end)
	return end
}

// occupy takes the first lanes until end and keeps all lanes sorted.
func (d *Demand) occupy(lanes int, end time.Duration) {
	at := lanes
	for at < len(d.free) && d.free[at] < end {
		d.free[at-lanes] = d.free[at]
		at++
	}
	for i := at - lanes; i < at; i++ {
		d.free[i] = end
	}
}

func width(task Task) int { return max(task.Lanes, 1) }
