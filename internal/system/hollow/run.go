package hollow

import (
	"math"
	"time"
)

// endReason is why a run ended. It is the index of Stats.Ends.
type endReason uint8

const (
	endDone endReason = iota
	endFailed
	endStopped
	endLapsed
	endGangBroken
	endGangIncomplete
	endCrashed // the worker is gone; never listed
	endReasonCount
)

var endReasonNames = [endReasonCount]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "crashed"}

// run is one run of a task on a worker, from its start to its end.
type run struct {
	worker     *Worker
	task       *task
	attempt    int
	checkpoint string
	startedAt  time.Duration
	stopping   bool
	ended      bool
	execution  *execution
}

// recordGangFailure records that this attempt of the gang has failed.
func (run *run) recordGangFailure() {
	if !run.task.stage.Gang {
		return
	}
	key := run.task.key
	key.index = 0
	job := run.task.job
	if job.gangFailures == nil {
		job.gangFailures = make(map[taskKey]map[int]bool)
	}
	if job.gangFailures[key] == nil {
		job.gangFailures[key] = make(map[int]bool)
	}
	job.gangFailures[key][run.attempt] = true
}

// timeOutGathering ends a member whose gang is still incomplete.
func (run *run) timeOutGathering() {
	if run.ended || run.execution.state != gathering {
		return
	}
	world := run.worker.world
	world.stats.GangWaitCPU += coreTime(run.task.stage.Need, world.now-run.startedAt)
	world.checker.reportIncompleteGang(world, run)
	run.end(endGangIncomplete)
}

// stop starts the stop of a run. The run keeps its capacity until the stop is complete.
func (run *run) stop() {
	if run.ended || run.stopping {
		return
	}
	run.stopping = true
	if run.execution.state != gathering {
		run.execution.halt()
		run.execution.save()
	}
	run.worker.world.after(run.worker.world.settings.Stop, func() { run.end(endStopped) })
}

// end ends the run and, if the work had started, the other members of its gang.
func (run *run) end(reason endReason) {
	if run.ended {
		return
	}
	if run.execution.state == working {
		run.execution.updateProgress()
	}
	run.finish(reason)
	run.execution.memberEnded(run)
}

// finish removes the run from its worker and lists its end.
func (run *run) finish(reason endReason) {
	if run.ended {
		return
	}
	run.ended = true
	world := run.worker.world
	world.stats.Ends[reason]++
	if reason != endDone {
		world.stats.WastedCPU += coreTime(run.task.stage.Need, run.execution.unsaved())
	}
	if reason == endFailed {
		run.task.failures++
		run.recordGangFailure()
	}
	run.worker.remove(run)
	world.checker.recordEnd(world, run, reason)
	run.worker.listEnd(run, reason)
}

// slowdown returns the time per unit of work on this worker.
func (run *run) slowdown() float64 {
	faults := &run.worker.faults
	if faults.Hang {
		return math.Inf(1)
	}
	factor := max(faults.Slow, 1)
	colocation := run.task.stage.Colocation
	if colocation != "" && !run.worker.hasLabel(colocation) {
		factor *= run.worker.world.settings.Far
	}
	return factor
}

// latestCheckpoint returns the checkpoint that the worker lists: the execution's, or the one that the run was started with.
func (run *run) latestCheckpoint() string {
	if run.execution.savedCheckpoint != "" {
		return run.execution.savedCheckpoint
	}
	return run.checkpoint
}
