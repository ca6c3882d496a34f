package hollow

import (
	"strconv"
	"time"
)

// task is a task with what the checker remembers of it.
type task struct {
	job        *job
	stage      *Stage
	key        taskKey
	name       string
	failures   int // runs that ended failed
	done       bool
	doneEnds   []*endRecord
	failedEnds []*endRecord
	running    int
	lastEnd    time.Duration // since when nothing of it runs
}

// endRecord is one end and whether its worker was told that it is known.
type endRecord struct {
	task         *task
	reason       endReason
	acknowledged bool
	void         bool          // the worker's hold lapsed before it was noted
	starts       []startRecord // starts after this end
}

// startRecord is one start, for a finding that may turn out later.
type startRecord struct {
	at     time.Duration
	worker string
	failed int // failed ends before it
}

// checkpointGroup names whose checkpoints serve the task: its own, or those of its gang.
func (task *task) checkpointGroup() string {
	if !task.stage.Gang {
		return task.name
	}
	key := task.key
	return key.job + "." + strconv.Itoa(key.repetition) + "." + strconv.Itoa(key.stage)
}

// siblings returns the known tasks of the same step and repetition.
func (task *task) siblings() (known []*task) {
	for index := range task.stage.Count {
		key := task.key
		key.index = index
		if sibling := task.job.tasks[key]; sibling != nil {
			known = append(known, sibling)
		}
	}
	return known
}

// idleSince returns since when nothing of the task runs, though its job was known and its time had come.
func (task *task) idleSince() time.Duration {
	return max(task.lastEnd, task.job.added, task.job.due(task.key.repetition), task.job.lastDone)
}

// retriesExhausted tells whether the task has failed as often as its queue allows.
func (task *task) retriesExhausted() bool {
	limit := task.job.MaxRetries
	return limit > 0 && !task.stage.LongRunning && task.failures >= limit
}
