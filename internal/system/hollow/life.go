package hollow

import (
	"math"
	"slices"
	"time"
)

// lapseStep is how soon a hold is looked at again that hasn't quite run out by the worker's clock.
const lapseStep = time.Microsecond

// clockMs is what the worker's own clock shows.
func (worker *Worker) clockMs() int64 {
	lived := float64(worker.world.now-worker.startedAt) * worker.settings.ClockRate
	shown := worker.settings.ClockZero + time.Duration(lived)
	return shown.Milliseconds()
}

// worldTime returns when the worker's clock shows so many milliseconds.
func (worker *Worker) worldTime(milliseconds int64) time.Duration {
	shown := time.Duration(milliseconds)*time.Millisecond - worker.settings.ClockZero
	return worker.startedAt + time.Duration(math.Ceil(float64(shown)/worker.settings.ClockRate))
}

// renew lengthens the hold of all that runs; it never shortens it.
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

// checkLapse kills everything once the hold has run out; a hold renewed since is looked at again later.
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

// voidEnds notes that ends which weren't taken note of until now never count.
func (worker *Worker) voidEnds() {
	for i := range worker.finished {
		if record := worker.finished[i].record; record != nil && !record.acknowledged {
			record.void = true
			record.starts = nil
		}
	}
}

// remove frees a run's room and remembers its attempt.
func (worker *Worker) remove(run *run) {
	delete(worker.runs, runKey{run.task.name, run.attempt})
	worker.used = worker.used.minus(run.task.stage.Need)
	worker.rejectAttemptsUpTo(run.task.name, run.attempt)
}

// rejectAttemptsUpTo remembers that no attempt of the task up to this one starts here any more.
func (worker *Worker) rejectAttemptsUpTo(task string, attempt int) {
	worker.endedAttempts[task] = max(worker.endedAttempts[task], attempt)
}

// listEnd adds an end to the list and wakes the holds that wait for one.
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

// acknowledgeEnds forgets the ends that the caller has seen.
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
