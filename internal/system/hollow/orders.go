package hollow

import (
	"net/http"
	"time"
)

const (
	maxFinished = 500
	maxWait     = 2 * time.Second
)

// startOrder, stopOrder and holdOrder are the request bodies of the worker protocol.
type startOrder struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DueAtMs    int64  `json:"dueAtMs"`
	FenceToken uint64 `json:"fenceToken"`
	Checkpoint string `json:"checkpoint"`
}

type stopOrder struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	FenceToken uint64 `json:"fenceToken"`
}

type holdOrder struct {
	DueAtMs    int64  `json:"dueAtMs"`
	FenceToken uint64 `json:"fenceToken"`
	LastSeen   uint64 `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
}

// answer is the response to a call: a status and, unless bodyless, a JSON body.
type answer struct {
	status   int
	bodyless bool
	ClockMs  int64    `json:"clockMs,omitempty"`
	Reason   string   `json:"reason,omitempty"`
	Running  [][4]any `json:"running,omitempty"`
	Finished [][5]any `json:"finished,omitempty"`
}

func (worker *Worker) accept() answer {
	return answer{status: http.StatusOK, ClockMs: worker.clockMs()}
}

func (worker *Worker) refuse(reason string) answer {
	return answer{status: http.StatusConflict, ClockMs: worker.clockMs(), Reason: reason}
}

// raiseFence reports whether an order with this fencing token is accepted, and remembers the token. A token lower than one seen is rejected.
func (worker *Worker) raiseFence(token uint64) bool {
	if token < worker.fence {
		return false
	}
	worker.fence = token
	return true
}

// start executes a start order.
func (worker *Worker) start(order *startOrder) answer {
	world := worker.world
	if !worker.raiseFence(order.FenceToken) {
		world.stats.StartsFence++
		return worker.refuse("fence")
	}
	if worker.runs[runKey{order.Task, order.Attempt}] != nil {
		worker.renew(order.DueAtMs)
		return worker.accept()
	}
	if order.DueAtMs <= worker.clockMs() {
		world.stats.StartsLate++
		return worker.refuse("late")
	}
	worker.renew(order.DueAtMs)
	if order.Attempt <= worker.endedAttempts[order.Task] {
		world.stats.StartsOld++
		return worker.refuse("old")
	}
	task := world.findTask(order.Task)
	if task == nil || order.Attempt < 1 {
		world.checker.report(world, RuleUnasked, order.Task, worker.instance, "no client sent it")
		return answer{status: http.StatusBadRequest, ClockMs: worker.clockMs()}
	}
	if worker.settings.Guarded && !task.stage.Need.fitsInto(worker.free()) {
		world.stats.StartsRoom++
		return worker.refuse("room")
	}
	worker.startRun(task, order)
	return worker.accept()
}

// startRun adds a run to the worker and to its execution.
func (worker *Worker) startRun(task *task, order *startOrder) {
	world := worker.world
	started := &run{
		worker:     worker,
		task:       task,
		attempt:    order.Attempt,
		checkpoint: order.Checkpoint,
		startedAt:  world.now,
	}
	world.checker.checkStart(world, started, order.Spec)
	world.stats.Starts++
	worker.runs[runKey{task.name, order.Attempt}] = started
	worker.used = worker.used.plus(task.stage.Need)
	execution := world.executionFor(task, order.Attempt)
	execution.resumeFrom(order.Checkpoint)
	execution.join(started)
}

// stop executes a stop order.
func (worker *Worker) stop(order *stopOrder) answer {
	if !worker.raiseFence(order.FenceToken) {
		return worker.refuse("fence")
	}
	worker.world.stats.Stops++
	if run := worker.runs[runKey{order.Task, order.Attempt}]; run != nil {
		run.stop()
		return worker.accept()
	}
	worker.rejectAttemptsUpTo(order.Task, order.Attempt)
	return worker.accept()
}

// hold executes a hold order: it renews the hold and drops the acknowledged ends. It reports whether there are ends to list.
func (worker *Worker) hold(order *holdOrder) (refused *answer, ended bool) {
	if !worker.raiseFence(order.FenceToken) {
		refusal := worker.refuse("fence")
		return &refusal, false
	}
	worker.world.stats.Holds++
	worker.renew(order.DueAtMs)
	worker.acknowledgeEnds(order.LastSeen)
	return nil, len(worker.finished) > 0
}

// listRuns returns the answer to a hold: the present runs and the first maxFinished ends.
func (worker *Worker) listRuns() answer {
	answer := worker.accept()
	for _, run := range worker.sortedRuns() {
		row := [4]any{run.task.name, run.attempt, run.latestCheckpoint(), run.execution.percent()}
		answer.Running = append(answer.Running, row)
	}
	for _, end := range worker.finished[:min(len(worker.finished), maxFinished)] {
		row := [5]any{end.number, end.task, end.attempt, endReasonNames[end.reason], end.checkpoint}
		answer.Finished = append(answer.Finished, row)
	}
	return answer
}

// wait registers a hold that waits for an end, for at most the given time and maxWait.
func (worker *Worker) wait(milliseconds int64) *waiter {
	world := worker.world
	added := &waiter{wake: make(chan struct{})}
	worker.waiters[added] = struct{}{}
	span := min(time.Duration(milliseconds)*time.Millisecond, maxWait)
	added.expiry = world.after(span, added.signal)
	world.waitingHolds++
	world.waitChanged.Broadcast()
	return added
}

func (worker *Worker) endWait(waiter *waiter) {
	delete(worker.waiters, waiter)
	waiter.expiry.cancel()
	worker.world.waitingHolds--
}

// findTask returns the task with this name, or nil if no job has such a task.
func (world *World) findTask(name string) *task {
	key, valid := parseTaskKey(name)
	if !valid {
		return nil
	}
	job := world.jobs[key.job]
	if job == nil {
		return nil
	}
	return job.task(key)
}

// resumeFrom sets the checkpoint from the start order of a member. If it is invalid or the members of a gang differ, the execution
// starts from the beginning.
func (execution *execution) resumeFrom(checkpoint string) {
	progress, valid := checkpointProgress(execution.group, checkpoint)
	if valid && len(execution.members) == 0 {
		execution.saved = progress
		execution.savedCheckpoint = checkpoint
	}
	if execution.savedCheckpoint != checkpoint {
		execution.saved = 0
		execution.savedCheckpoint = ""
	}
}
