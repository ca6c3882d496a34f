package hollow

import (
	"strconv"
	"time"
)

// task is a task with the state that the checker needs.
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
	lastEnd    time.Duration // when a run of it last ended
}

// endRecord is one end of a run. It records whether a hold has acknowledged the end.
type endRecord struct {
	task         *task
	reason       endReason
	acknowledged bool
	void         bool          // the worker's hold lapsed before the end was acknowledged
	starts       []startRecord // starts between this end and its acknowledgement
}

// startRecord is one start. The acknowledgement of an earlier end may show later that it broke a rule.
type startRecord struct {
	at     time.Duration
	worker string
	failed int // number of failed ends before it
}

// checkpointGroup returns the name under which the task's checkpoints are stored: the task's own, or that of its gang.
func (task *task) checkpointGroup() string {
	if !task.stage.Gang {
		return task.name
	}
	key := task.key
	return key.job + "." + strconv.Itoa(key.repetition) + "." + strconv.Itoa(key.stage)
}

// siblings returns the known tasks of the same stage and repetition, the task itself included.
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

// idleSince returns the time since which the task could have run and did not: its job was known, it was due, and the job made no
// progress.
func (task *task) idleSince() time.Duration {
	return max(task.lastEnd, task.job.added, task.job.due(task.key.repetition), task.job.lastDone)
}

// retriesExhausted reports whether the task has failed as often as its queue allows.
func (task *task) retriesExhausted() bool {
	limit := task.job.MaxRetries
	return limit > 0 && !task.stage.LongRunning && task.failures >= limit
}
