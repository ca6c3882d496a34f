package hollow

import (
	"math"
	"slices"
	"time"
)

// lapseStep is the shortest wait before the next check of a hold that has not quite lapsed by the worker's clock.
const lapseStep = time.Microsecond

// clockMs returns the reading of the worker's own clock in milliseconds.
func (worker *Worker) clockMs() int64 {
	lived := float64(worker.world.now-worker.startedAt) * worker.settings.ClockRate
	shown := worker.settings.ClockZero + time.Duration(lived)
	return shown.Milliseconds()
}

// worldTime returns the world's time at which the worker's clock shows the given milliseconds.
func (worker *Worker) worldTime(milliseconds int64) time.Duration {
	shown := time.Duration(milliseconds)*time.Millisecond - worker.settings.ClockZero
	return worker.startedAt + time.Duration(math.Ceil(float64(shown)/worker.settings.ClockRate))
}

// renew extends the hold of all present runs. It never shortens it.
func (worker *Worker) renew(dueAtMs int64) {
	furthest := worker.clockMs() + worker.world.settings.MaxHold.Milliseconds()
	due := min(dueAtMs, furthest)
	if due <= worker.heldUntil {
		return
	}
	worker.heldUntil = due
	worker.scheduleLapse()
}

func (worker *Worker) scheduleLapse() {
	if worker.lapse != nil {
		return
	}
	at := max(worker.worldTime(worker.heldUntil), worker.world.now+lapseStep)
	worker.lapse = worker.world.events.add(at, worker.checkLapse)
}

// checkLapse ends all runs once the hold has lapsed. If the hold was renewed, it schedules another check.
func (worker *Worker) checkLapse() {
	worker.lapse = nil
	if worker.clockMs() < worker.heldUntil {
		worker.scheduleLapse()
		return
	}
	worker.voidEnds()
	for _, run := range worker.sortedRuns() {
		run.end(endLapsed)
	}
}

// voidEnds marks the ends that were not acknowledged as void: they are never counted.
func (worker *Worker) voidEnds() {
	for i := range worker.finished {
		if record := worker.finished[i].record; record != nil && !record.acknowledged {
			record.void = true
			record.starts = nil
		}
	}
}

// remove frees the capacity of a run and records its attempt.
func (worker *Worker) remove(run *run) {
	delete(worker.runs, runKey{run.task.name, run.attempt})
	worker.used = worker.used.minus(run.task.stage.Need)
	worker.rejectAttemptsUpTo(run.task.name, run.attempt)
}

// rejectAttemptsUpTo makes the worker refuse starts of the task up to this attempt.
func (worker *Worker) rejectAttemptsUpTo(task string, attempt int) {
	worker.endedAttempts[task] = max(worker.endedAttempts[task], attempt)
}

// listEnd adds an end to the list and wakes the waiting holds.
func (worker *Worker) listEnd(run *run, reason endReason) {
	if !worker.alive() {
		return
	}
	worker.lastNumber++
	checkpoint := ""
	if reason != endDone {
		checkpoint = run.latestCheckpoint()
	}
	worker.finished = append(worker.finished, finishedEnd{
		number:     worker.lastNumber,
		task:       run.task.name,
		attempt:    run.attempt,
		reason:     reason,
		checkpoint: checkpoint,
		record:     run.task.recordEnd(reason),
	})
	worker.wakeAll()
}

// acknowledgeEnds removes the ends up to lastSeen, which the caller has seen, from the list.
func (worker *Worker) acknowledgeEnds(lastSeen uint64) {
	seen := 0
	for seen < len(worker.finished) && worker.finished[seen].number <= lastSeen {
		worker.world.checker.acknowledgeEnd(worker.world, worker.finished[seen].record)
		seen++
	}
	worker.finished = slices.Delete(worker.finished, 0, seen)
}

func (worker *Worker) wakeAll() {
	for waiter := range worker.waiters {
		waiter.signal()
	}
}
