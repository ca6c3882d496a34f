package scheduler

import (
	"time"

	"gaugeslip/internal/system/workerapi"
)

const (
	// longestWait is how long a hold waits for an end where nothing runs, runningWait where something does, and lossyWait while
	// answers are lost now and then: what an end costs whose hold was lost.
	longestWait = workerapi.MaxWaitMs * time.Millisecond
	// In a large fleet both are longer, so that there are no more than some looks a second.
	runningWait = 600 * time.Millisecond
	lossyWait   = 200 * time.Millisecond
	waitAWorker = 3 * time.Millisecond
	// failuresToSilence is after how many unanswered holds a worker counts as out of reach, lossyFailures while answers are lost.
	failuresToSilence = 2
	lossyFailures     = 4
	// shortWait is how long a hold waits where a run is overdue.
	shortWait = 700 * time.Millisecond
	// commitPatience is how long the next hold waits for the commit of the ends that the last one listed.
	commitPatience = 300 * time.Millisecond
	firstRetry     = 100 * time.Millisecond
	longestRetry   = 500 * time.Millisecond
	idleRetry      = 2 * time.Second
	// quickAnswer is how soon an answer without ends is too soon for a hold that was to wait.
	quickAnswer   = 50 * time.Millisecond
	emptyInterval = 250 * time.Millisecond
)

// holdState is the loop of holds of one worker: one is out, or the next has a time.
type holdState struct {
	out      uint64
	probe    uint64 // a second one, without a wait, for runs in doubt
	listedMs int64  // the worker's clock at the newest list of what runs
	wait     time.Duration
	nextAt   time.Duration // 0: none
	failures int
	mark     uint64 // of the last list
	lossAt   time.Duration
	inTurn   bool   // its first look waits for its turn
	taken    uint64 // the gang for which it was chosen last
}

// holdAt has the next hold sent at a time, or earlier if that was settled before.
func (s *Scheduler) holdAt(w *worker, at time.Duration) {
	if w.hold.out != 0 || w.reach == over || w.losing || w.life.Address == "" {
		return
	}
	if at <= s.now {
		s.sendHold(w)
		return
	}
	if w.hold.nextAt > s.now && w.hold.nextAt <= at {
		return
	}
	w.hold.nextAt = at
	s.at(at, func() {
		if w.hold.nextAt == at && s.workers[w.life.Instance] == w {
			s.holdAt(w, s.now)
		}
	})
}

func (s *Scheduler) sendHold(w *worker) {
	if !s.mayLook(w) {
		return
	}
	w.hold.nextAt = 0
	w.hold.wait = s.holdWait(w)
	w.hold.out = s.orderHold(w, w.hold.wait)
	if s.lossy() && len(w.runs) > 0 && w.hold.probe == 0 && s.callsLeft() {
		w.hold.probe = s.orderHold(w, w.hold.wait)
	}
}

// probe looks at a worker at once, beside the hold that is out, for the sake of a run in doubt.
func (s *Scheduler) probe(w *worker) {
	if w.hold.out == 0 || w.hold.wait == 0 {
		s.holdAt(w, s.now)
		return
	}
	if w.hold.probe == 0 && w.reach != over && !w.losing {
		w.hold.probe = s.orderHold(w, 0)
	}
}

func (s *Scheduler) orderHold(w *worker, wait time.Duration) uint64 {
	order := workerapi.HoldOrder{
		FenceToken: s.token,
		LastSeen:   s.lastSeen(w),
		WaitMs:     wait.Milliseconds(),
	}
	if w.clock.known {
		order.DueAtMs = s.renewal(w)
		w.highestDue = max(w.highestDue, order.DueAtMs)
	}
	return s.send(Call{Kind: CallHold, Hold: order, Timeout: wait + s.answers.timeout()}, w, nil)
}

// renewal is the due time of the next hold, on the worker's clock. A worker out of reach is asked for nothing beyond what it was asked
// for before: any hold may be carried out though no answer comes, and what runs there has to run out some time.
func (s *Scheduler) renewal(w *worker) int64 {
	if w.reach == silent {
		return w.highestDue
	}
	return w.clock.lower(s.now) + s.bounds.MaxHold().Milliseconds()
}

// lastSeen is the number up to which ends are committed. The loss of a worker takes it out of the replicated state, though the same
// life may come back and list those ends again.
func (s *Scheduler) lastSeen(w *worker) uint64 {
	if record := s.machine.Worker(w.life.Instance); record != nil {
		w.committed = max(w.committed, record.LastSeen)
	}
	return w.committed
}

// holdWait is how long the next hold is to wait for an end.
func (s *Scheduler) holdWait(w *worker) time.Duration {
	if w.reach != answering || !w.clock.known || w.hold.failures > 0 {
		return 0 // the sooner it answers or doesn't, the sooner nothing more is started there
	}
	wait := min(longestWait, s.bounds.MaxHold()/3)
	if len(w.runs) > 0 {
		share := waitAWorker * time.Duration(len(s.workers))
		if s.lossy() {
			wait = min(wait, max(lossyWait, share/2))
		} else {
			wait = min(wait, max(runningWait, share))
		}
	}
	for _, r := range w.list {
		wait = min(wait, s.waitFor(r))
	}
	return max(wait, 0).Truncate(time.Millisecond)
}

// waitFor is how long a hold may wait for the sake of one run.
func (s *Scheduler) waitFor(r *run) time.Duration {
	switch {
	case r.phase == runDoubtful:
		return max(r.worker.clock.surelyPast(r.dueAtMs)-s.now, 0) + firstRetry
	case r.stopWanted && r.phase.mayRun():
		return s.bounds.Stop() + firstRetry
	case r.overdue(s.now):
		return shortWait
	}
	return longestWait
}

// holdEnded takes in the answer to a hold, or its failure.
func (s *Scheduler) holdEnded(ended *call, reply *workerapi.HoldReply) {
	w := ended.worker
	if ended.id == w.hold.probe {
		s.probeEnded(ended, reply)
		return
	}
	w.hold.out = 0
	switch reply.Outcome {
	case workerapi.Done:
		s.holdAnswered(w, ended, reply)
	case workerapi.OtherLife:
		s.lifeOver(w)
	default:
		w.clock.read(reply.ClockMs, s.now)
		s.holdFailed(w)
	}
}

// probeEnded takes in the answer to a second hold; its loss says nothing, and the runs in doubt are looked for again.
func (s *Scheduler) probeEnded(ended *call, reply *workerapi.HoldReply) {
	w := ended.worker
	w.hold.probe = 0
	switch reply.Outcome {
	case workerapi.Done:
		s.takeLists(w, ended, reply)
		s.heard(w)
		if w.seen > s.lastSeen(w) || w.hold.out != 0 {
			return
		}
		s.holdAt(w, s.now)
	case workerapi.OtherLife:
		s.lifeOver(w)
	}
}

// silence takes a worker for out of reach, and looks whether it is: nothing is started there until it answers a hold.
func (s *Scheduler) silence(w *worker) {
	if w.reach != answering {
		return
	}
	w.reach = silent
	s.noteSilence(w, PartSilent)
	s.suspected(w)
	s.probe(w)
}

// heard takes a worker that has answered a hold for one in reach.
func (s *Scheduler) heard(w *worker) {
	if w.reach == answering || w.reach == over {
		return
	}
	w.reach = answering
	s.noteSilence(w, PartRun)
	s.roomFreed(w)
}

// holdFailed takes note of a worker that can't be reached, and tries again.
func (s *Scheduler) holdFailed(w *worker) {
	w.hold.failures++
	most := failuresToSilence
	if s.lossy() {
		most = lossyFailures
	}
	if w.hold.failures >= most {
		s.silence(w)
	}
	s.checkLoss(w)
	retry := idleRetry
	if w.reach == answering {
		retry = 0
	} else if len(w.runs) > 0 {
		retry = min(firstRetry<<min(w.hold.failures-1, 8), longestRetry)
	}
	s.holdAt(w, s.now+retry)
}

// holdAnswered takes in both lists of a worker.
func (s *Scheduler) holdAnswered(w *worker, ended *call, reply *workerapi.HoldReply) {
	if w.hold.failures > 0 && w.reach == answering {
		s.answerLost()
	}
	w.hold.failures = 0
	news := s.takeLists(w, ended, reply)
	s.heard(w)
	if reply.RemainingMs > 0 {
		s.drain(w, reply.RemainingMs)
	}
	s.watch(w)
	s.holdAt(w, s.now+s.holdPause(w, ended, news))
}

// holdPause is how long to wait before the next hold: for the commit of ends, or since the last answer came too soon.
func (s *Scheduler) holdPause(w *worker, ended *call, news bool) time.Duration {
	if w.seen > s.lastSeen(w) {
		return commitPatience
	}
	if !news && w.hold.wait > quickAnswer && s.now-ended.sentAt < quickAnswer {
		return emptyInterval
	}
	return 0
}
