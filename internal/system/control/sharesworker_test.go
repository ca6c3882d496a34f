package control

import (
	"time"

	"gaugeslip/internal/system/scheduler"
	"gaugeslip/internal/system/workerapi"
)

// shareWorker is a worker that keeps its contract: the highest token seen, due times, cumulative ends, and a capacity that it does not
// exceed.
type shareWorker struct {
	sim      *shareSim
	instance string
	service  string
	// The fields below are guarded by the simulation's mutex.
	token      uint64
	running    map[string]workerapi.RunningTask
	attempts   map[string]int
	finished   []workerapi.FinishedTask
	ends       uint64
	waiting    func(workerapi.HoldReply)
	holdNumber int
}

func (s *shareWorker) clockMs() int64 { return time.Since(s.sim.started).Milliseconds() + 1 }

// handleCall carries out a call.
func (s *shareWorker) handleCall(made *scheduler.Call, answer func(workerapi.HoldReply)) {
	s.sim.mutex.Lock()
	reply, later := s.perform(made, answer)
	reply.ClockMs = s.clockMs()
	s.sim.mutex.Unlock()
	if !later {
		answer(reply)
	}
}

func (s *shareWorker) perform(made *scheduler.Call, answer func(workerapi.HoldReply)) (reply workerapi.HoldReply, later bool) {
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
	task := s.sim.tasks[order.Task]
	switch {
	case order.Attempt <= s.attempts[order.Task]:
		return workerapi.RefusedStale
	case order.DueAtMs < s.clockMs():
		return workerapi.RefusedLate
	case s.used()+task.accelerators > acceleratorsPerWorker:
		return workerapi.RefusedCapacity
	}
	if s.attempts == nil {
		s.attempts = map[string]int{}
	}
	run := workerapi.RunningTask{Task: order.Task, Attempt: order.Attempt}
	s.running[order.Task], s.attempts[order.Task] = run, order.Attempt
	s.sim.starts++
	s.sim.checkRunning(task.tenant)
	time.AfterFunc(task.length, func() {
		s.sim.mutex.Lock()
		defer s.sim.mutex.Unlock()
		if s.running[order.Task] == run {
			s.end(run, workerapi.EndDone)
		}
	})
	return workerapi.Done
}

func (s *shareWorker) used() int64 {
	sum := int64(0)
	for name := range s.running {
		sum += s.sim.tasks[name].accelerators
	}
	return sum
}

// checkRunning checks what runs on the workers against the tenant's share.
func (w *shareSim) checkRunning(tenant string) {
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

// hold answers at once if there are ends to report, otherwise with the next end or when the wait is over.
func (s *shareWorker) hold(order *workerapi.HoldOrder, answer func(workerapi.HoldReply)) (workerapi.HoldReply, bool) {
	s.answerHold()
	for len(s.finished) > 0 && s.finished[0].N <= order.LastSeen {
		s.finished = s.finished[1:]
	}
	if len(s.finished) > 0 || order.WaitMs == 0 {
		return s.listReply(), false
	}
	s.holdNumber++
	asked := s.holdNumber
	s.waiting = answer
	time.AfterFunc(time.Duration(order.WaitMs)*time.Millisecond, func() {
		s.sim.mutex.Lock()
		defer s.sim.mutex.Unlock()
		if s.holdNumber == asked {
			s.answerHold()
		}
	})
	return workerapi.HoldReply{}, true
}

func (s *shareWorker) answerHold() {
	if waiting := s.waiting; waiting != nil {
		s.waiting = nil
		reply := s.listReply()
		reply.ClockMs = s.clockMs()
		go waiting(reply)
	}
}

func (s *shareWorker) listReply() workerapi.HoldReply {
	reply := workerapi.HoldReply{Outcome: workerapi.Done, Finished: append([]workerapi.FinishedTask(nil), s.finished...)}
	for _, run := range s.running {
		reply.Running = append(reply.Running, run)
	}
	return reply
}
