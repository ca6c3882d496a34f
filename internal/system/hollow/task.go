package hollow

import (
	"strconv"
	"time"
)

// task is a task with what the checker remembers of it.
type task struct {
	job      *job
	stage    *Stage
	place    taskPlace
	name     string
	failures int // runs that ended failed
	done     bool
	doneEnds []*endRecord
	failed   []*endRecord
	running  int
	idle     time.Duration // since when nothing of it runs
}

// endRecord is one end and whether its worker was told that it is known.
type endRecord struct {
	task   *task
	how    how
	noted  bool
	void   bool          // the worker's hold lapsed before it was noted
	starts []startRecord // starts after this end
}

// startRecord is one start, for a finding that may turn out later.
type startRecord struct {
	at     time.Duration
	worker string
	failed int // failed ends before it
}

// group names whose checkpoints serve the task: its own, or those of its gang.
func (task *task) group() string {
	if !task.stage.Gang {
		return task.name
	}
	place := task.place
	return place.job + "." + strconv.Itoa(place.repetition) + "." + strconv.Itoa(place.stage)
}

// siblings returns the known tasks of the same step and repetition.
func (task *task) siblings() (known []*task) {
	for index := range task.stage.Count {
		place := task.place
		place.index = index
		if sibling := task.job.tasks[place]; sibling != nil {
			known = append(known, sibling)
		}
	}
	return known
}

// idleSince returns since when nothing of the task runs, though its job was known and its time had come.
func (task *task) idleSince() time.Duration {
	return max(task.idle, task.job.added, task.job.due(task.place.repetition), task.job.lastDone)
}

// hopeless tells whether the task has failed as often as its queue allows.
func (task *task) hopeless() bool {
	limit := task.job.MaxRetries
	return limit > 0 && !task.stage.LongRunning && task.failures >= limit
}
