package control

import (
	"time"

	"gaugeslip/internal/system/scheduler"
	"gaugeslip/internal/system/workerapi"
)

// shareWorker is a worker that keeps its contract: one highest token, due times, cumulative ends, and room that it guards.
type shareWorker struct {
	world    *shareWorld
	instance string
	service  string
	// All that follows is under the world's mutex.
	token    uint64
	running  map[string]workerapi.RunningTask
	attempts map[string]int
	finished []workerapi.FinishedTask
	ends     uint64
	waiting  func(workerapi.HoldReply)
	asked    int
}

func (s *shareWorker) clockMs() int64 { return time.Since(s.world.started).Milliseconds() + 1 }

// take carries out a call.
func (s *shareWorker) take(made *scheduler.Call, answer func(workerapi.HoldReply)) {
	s.world.mutex.Lock()
	reply, later := s.carryOut(made, answer)
	reply.ClockMs = s.clockMs()
	s.world.mutex.Unlock()
	if !later {
		answer(reply)
	}
}

func (s *shareWorker) carryOut(made *scheduler.Call, answer func(workerapi.HoldReply)) (reply workerapi.HoldReply, later bool) {
	token := max(made.Start.FenceToken, made.Stop.FenceToken, made.Hold.FenceToken)
	if token < s.token {
		return workerapi.HoldReply{Outcome: workerapi.RefusedFence}, false
	}
	s.token = token
	switch made.Kind {
	case scheduler.CallStart:
		return workerapi.HoldReply{Outcome: s.start(&made.Start)}, false
	case scheduler.CallStop:
		if run, runs := s.running[made.Stop.Task]; runs && run.Attempt <= made.Stop.Attempt {
			s.end(run, workerapi.EndStopped)
		}
		return workerapi.HoldReply{Outcome: workerapi.Done}, false
	}
	return s.hold(&made.Hold, answer)
}

func (s *shareWorker) start(order *workerapi.StartOrder) workerapi.Outcome {
	if run, runs := s.running[order.Task]; runs && run.Attempt == order.Attempt {
		return workerapi.Done
	}
	task := s.world.tasks[order.Task]
	switch {
	case order.Attempt <= s.attempts[order.Task]:
		return workerapi.RefusedStale
	case order.DueAtMs < s.clockMs():
		return workerapi.RefusedLate
	case s.used()+task.accelerators > acceleratorsEach:
		return workerapi.RefusedCapacity
	}
	if s.attempts == nil {
		s.attempts = map[string]int{}
	}
	run := workerapi.RunningTask{Task: order.Task, Attempt: order.Attempt}
	s.running[order.Task], s.attempts[order.Task] = run, order.Attempt
	s.world.starts++
	s.world.checkRunning(task.tenant)
	time.AfterFunc(task.length, func() {
		s.world.mutex.Lock()
		defer s.world.mutex.Unlock()
		if s.running[order.Task] == run {
			s.end(run, workerapi.EndDone)
		}
	})
	return workerapi.Done
}

func (s *shareWorker) used() int64 {
	sum := int64(0)
	for name := range s.running {
		sum += s.world.tasks[name].accelerators
	}
	return sum
}

// checkRunning counts what really runs of a tenant.
func (w *shareWorld) checkRunning(tenant string) {
	sum := int64(0)
	for _, worker := range w.workers {
		for name := range worker.running {
			if w.tasks[name].tenant == tenant {
				sum += w.tasks[name].accelerators
			}
		}
	}
	if sum > w.limits[tenant] {
		w.t.Errorf("%d accelerators of tenant %s run, its share is %d", sum, tenant, w.limits[tenant])
	}
}

func (s *shareWorker) end(run workerapi.RunningTask, how workerapi.EndReason) {
	delete(s.running, run.Task)
	s.ends++
	s.finished = append(s.finished, workerapi.FinishedTask{N: s.ends, Task: run.Task, Attempt: run.Attempt, How: how})
	s.answerHold()
}

// hold answers at once if there is an end to tell, else with the next one or when the wait is over.
func (s *shareWorker) hold(order *workerapi.HoldOrder, answer func(workerapi.HoldReply)) (workerapi.HoldReply, bool) {
	s.answerHold()
	for len(s.finished) > 0 && s.finished[0].N <= order.LastSeen {
		s.finished = s.finished[1:]
	}
	if len(s.finished) > 0 || order.WaitMs == 0 {
		return s.lists(), false
	}
	s.asked++
	asked := s.asked
	s.waiting = answer
	time.AfterFunc(time.Duration(order.WaitMs)*time.Millisecond, func() {
		s.world.mutex.Lock()
		defer s.world.mutex.Unlock()
		if s.asked == asked {
			s.answerHold()
		}
	})
	return workerapi.HoldReply{}, true
}

func (s *shareWorker) answerHold() {
	if waiting := s.waiting; waiting != nil {
		s.waiting = nil
		reply := s.lists()
		reply.ClockMs = s.clockMs()
		go waiting(reply)
	}
}

func (s *shareWorker) lists() workerapi.HoldReply {
	reply := workerapi.HoldReply{Outcome: workerapi.Done, Finished: append([]workerapi.FinishedTask(nil), s.finished...)}
	for _, run := range s.running {
		reply.Running = append(reply.Running, run)
	}
	return reply
}
