package sizing

import (
	"slices"
	"time"
)

// Task is a task as the demand test sees it.
type Task struct {
	Remaining time.Duration // of its run, once it runs
	Deadline  time.Duration
	Lanes     int  // that it takes at once; under one counts as one
	Started   bool // it has its lanes, and keeps them until it ends
}

// Demand is the EDF demand test of one set of lanes. The zero value is ready; it keeps room for the lanes between calls, so
// use one for many tests.
type Demand struct {
	free []time.Duration // when each lane is free, ascending
}

// Admits tells whether the new task, and each accepted one that it delays, ends by its deadline. See Ends.
func (d *Demand) Admits(now time.Duration, lanes int, accepted []Task, candidate Task) bool {
	_, ok := d.EndTime(now, lanes, accepted, candidate)
	return ok
}

// EndTime tells when a new task ends if it is let onto the lanes, and whether it and each accepted one that it delays ends by
// its deadline. Counted from now, started tasks run on, and the others start by deadline, the new one behind its equals, none
// before the one ahead of it. Accepted tasks are sorted by deadline. Those ahead of the new one are not judged: it doesn't
// delay them.
//
// The answer holds, too, if runs turn out shorter than told. With one lane a set that fails can't be run in time in any other
// order either. A test takes O(len(accepted) x lanes), and doesn't allocate but for more lanes than ever before.
func (d *Demand) EndTime(now time.Duration, lanes int, accepted []Task, candidate Task) (ends time.Duration, ok bool) {
	if width(candidate) > lanes {
		return 0, false
	}
	d.begin(now, lanes, accepted)
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

// begin frees all lanes at now, but for those of started tasks.
func (d *Demand) begin(now time.Duration, lanes int, accepted []Task) {
	d.free = slices.Grow(d.free[:0], lanes)
	for range lanes {
		d.free = append(d.free, now)
	}
	for _, task := range accepted {
		if task.Started {
			taken := min(width(task), lanes)
			d.take(taken, max(now+max(task.Remaining, 0), d.free[taken-1])) // later where more runs than there are lanes
		}
	}
}

// start runs a task on the lanes that are free first, and returns when it ends.
func (d *Demand) start(task Task) time.Duration {
	taken := min(width(task), len(d.free))
	end := d.free[taken-1] + max(task.Remaining, 0)
	d.take(taken, end)
	return end
}

// take keeps the first lanes until end, and the order of all.
func (d *Demand) take(lanes int, end time.Duration) {
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
