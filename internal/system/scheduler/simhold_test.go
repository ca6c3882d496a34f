package scheduler

import (
	"slices"
	"time"

	"gaugeslip/internal/system/workerapi"
)

func (worker *simWorker) hold(order *workerapi.HoldOrder, reply func(workerapi.HoldReply)) {
	worker.world.stats.holds++
	worker.renew(order.DueAtMs)
	worker.acknowledge(order.LastSeen)
	if len(worker.finished) > 0 || order.WaitMs == 0 {
		reply(worker.lists())
		return
	}
	wait := &waitingHold{}
	instance := worker.instance
	wait.answer = func() {
		if !wait.done && worker.instance == instance && worker.up() {
			wait.done = true
			reply(worker.lists())
		}
	}
	worker.waiting = append(worker.waiting, wait)
	worker.world.schedule(time.Duration(order.WaitMs)*time.Millisecond, wait.answer)
}

func (worker *simWorker) acknowledge(lastSeen uint64) {
	for len(worker.finished) > 0 && worker.finished[0].number <= lastSeen {
		end := worker.finished[0]
		worker.finished = worker.finished[1:]
		end.acknowledged = true
		worker.world.checkEndAcknowledged(end)
	}
}

func (worker *simWorker) lists() workerapi.HoldReply {
	answer := worker.answer(workerapi.Done)
	for _, r := range worker.sorted() {
		if r.stopping {
			continue // the benchmark's workers do not list it until it has ended
		}
		answer.Running = append(answer.Running, workerapi.RunningTask{
			Task: r.name.Task.String(), Attempt: int(r.name.Attempt), Checkpoint: r.gang.savedText, Percent: r.gang.percent(),
		})
	}
	for _, end := range worker.finished[:min(len(worker.finished), workerapi.MaxFinished)] {
		answer.Finished = append(answer.Finished, workerapi.FinishedTask{
			N: end.number, Task: end.run.Task.String(), Attempt: int(end.run.Attempt), How: end.how, Checkpoint: end.checkpoint,
		})
	}
	if worker.drainSince > 0 {
		answer.RemainingMs = max(1, (worker.leavesAt - worker.world.now).Milliseconds())
	}
	return answer
}

func (worker *simWorker) sorted() []*simRun {
	runs := make([]*simRun, 0, len(worker.runs))
	for _, r := range worker.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *simRun) int {
		if order := a.name.Task.Compare(b.name.Task); order != 0 {
			return order
		}
		return int(a.name.Attempt) - int(b.name.Attempt)
	})
	return runs
}
