package scheduler

import (
	"time"

	"gaugeslip/internal/system/workerapi"
)

const (
	// maxHoldWait is how long a hold waits for an end where nothing runs, runningHoldWait where something does, and lossyHoldWait while
	// answers are lost now and then: what an end costs whose hold was lost.
	maxHoldWait = workerapi.MaxWaitMs * time.Millisecond
	// In a large fleet both are longer, so that there are no more than some looks a second.
	runningHoldWait   = 600 * time.Millisecond
	lossyHoldWait     = 200 * time.Millisecond
	holdWaitPerWorker = 3 * time.Millisecond
	// silentAfter is after how many unanswered holds a worker counts as out of reach, silentAfterLossy while answers are lost.
	silentAfter      = 2
	silentAfterLossy = 4
	// overdueHoldWait is how long a hold waits where a run is overdue.
	overdueHoldWait = 700 * time.Millisecond
	// commitWait is how long the next hold waits for the commit of the ends that the last one listed.
	commitWait = 300 * time.Millisecond
	minRetry   = 100 * time.Millisecond
	maxRetry   = 500 * time.Millisecond
	idleRetry  = 2 * time.Second
	// earlyAnswer is how soon an answer without ends is too soon for a hold that was to wait.
	earlyAnswer      = 50 * time.Millisecond
	earlyAnswerPause = 250 * time.Millisecond
)

// holdState is the loop of holds of one worker: one is out, or the next has a time.
type holdState struct {
	callID       uint64
	probeID      uint64 // a second one, without a wait, for runs in doubt
	listClockMs  int64  // the worker's clock at the newest list of what runs
	wait         time.Duration
	nextAt       time.Duration // 0: none
	failures     int
	mark         uint64 // of the last list
	lossCheckAt  time.Duration
	inFirstQueue bool   // its first look waits for its turn
	gangMark     uint64 // the gang for which it was chosen last
}

// scheduleHold has the next hold sent at a time, or earlier if that was settled before.
func (s *Scheduler) scheduleHold(w *worker, at time.Duration) {
	if w.hold.callID != 0 || w.reach == reachOver || w.lossProposed || w.identity.Address == "" {
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
	s.runAt(at, func() {
		if w.hold.nextAt == at && s.workers[w.identity.Instance] == w {
			s.scheduleHold(w, s.now)
		}
	})
}

func (s *Scheduler) sendHold(w *worker) {
	if !s.maySendHold(w) {
		return
	}
	w.hold.nextAt = 0
	w.hold.wait = s.holdWait(w)
	w.hold.callID = s.sendHoldOrder(w, w.hold.wait)
	if s.lossy() && len(w.runs) > 0 && w.hold.probeID == 0 && s.hasSpareCalls() {
		w.hold.probeID = s.sendHoldOrder(w, w.hold.wait)
	}
}

// probe looks at a worker at once, beside the hold that is out, for the sake of a run in doubt.
func (s *Scheduler) probe(w *worker) {
	if w.hold.callID == 0 || w.hold.wait == 0 {
		s.scheduleHold(w, s.now)
		return
	}
	if w.hold.probeID == 0 && w.reach != reachOver && !w.lossProposed {
		w.hold.probeID = s.sendHoldOrder(w, 0)
	}
}

func (s *Scheduler) sendHoldOrder(w *worker, wait time.Duration) uint64 {
	order := workerapi.HoldOrder{
		FenceToken: s.token,
		LastSeen:   s.lastCommittedEnd(w),
		WaitMs:     wait.Milliseconds(),
	}
	if w.clock.known {
		order.DueAtMs = s.holdDueMs(w)
		w.maxDueMs = max(w.maxDueMs, order.DueAtMs)
	}
	return s.send(Call{Kind: CallHold, Hold: order, Timeout: wait + s.latency.timeout()}, w, nil)
}

// holdDueMs is the due time of the next hold, on the worker's clock. A worker out of reach is asked for nothing beyond what it was asked
// for before: any hold may be carried out though no answer comes, and what runs there has to run out some time.
func (s *Scheduler) holdDueMs(w *worker) int64 {
	if w.reach == reachSilent {
		return w.maxDueMs
	}
	return w.clock.lowerBound(s.now) + s.bounds.MaxHold().Milliseconds()
}

// lastCommittedEnd is the number up to which ends are committed. The loss of a worker takes it out of the replicated state, though the same
// life may come back and list those ends again.
func (s *Scheduler) lastCommittedEnd(w *worker) uint64 {
	if record := s.machine.Worker(w.identity.Instance); record != nil {
		w.lastCommittedEnd = max(w.lastCommittedEnd, record.LastSeen)
	}
	return w.lastCommittedEnd
}

// holdWait is how long the next hold is to wait for an end.
func (s *Scheduler) holdWait(w *worker) time.Duration {
	if w.reach != reachAnswering || !w.clock.known || w.hold.failures > 0 {
		return 0 // the sooner it answers or doesn't, the sooner nothing more is started there
	}
	wait := min(maxHoldWait, s.bounds.MaxHold()/3)
	if len(w.runs) > 0 {
		share := holdWaitPerWorker * time.Duration(len(s.workers))
		if s.lossy() {
			wait = min(wait, max(lossyHoldWait, share/2))
		} else {
			wait = min(wait, max(runningHoldWait, share))
		}
	}
	for _, r := range w.runList {
		wait = min(wait, s.holdWaitForRun(r))
	}
	return max(wait, 0).Truncate(time.Millisecond)
}

// holdWaitForRun is how long a hold may wait for the sake of one run.
func (s *Scheduler) holdWaitForRun(r *run) time.Duration {
	switch {
	case r.phase == runDoubtful:
		return max(r.worker.clock.passedBy(r.dueAtMs)-s.now, 0) + minRetry
	case r.stopWanted && r.phase.mayExist():
		return s.bounds.Stop() + minRetry
	case r.overdue(s.now):
		return overdueHoldWait
	}
	return maxHoldWait
}

// holdEnded takes in the answer to a hold, or its failure.
func (s *Scheduler) holdEnded(ended *call, reply *workerapi.HoldReply) {
	w := ended.worker
	if ended.id == w.hold.probeID {
		s.probeEnded(ended, reply)
		return
	}
	w.hold.callID = 0
	switch reply.Outcome {
	case workerapi.Done:
		s.holdAnswered(w, ended, reply)
	case workerapi.OtherLife:
		s.instanceEnded(w)
	default:
		w.clock.observe(reply.ClockMs, s.now)
		s.holdFailed(w)
	}
}

// probeEnded takes in the answer to a second hold; its loss says nothing, and the runs in doubt are looked for again.
func (s *Scheduler) probeEnded(ended *call, reply *workerapi.HoldReply) {
	w := ended.worker
	w.hold.probeID = 0
	switch reply.Outcome {
	case workerapi.Done:
		s.processLists(w, ended, reply)
		s.markAnswering(w)
		if w.lastProposedEnd > s.lastCommittedEnd(w) || w.hold.callID != 0 {
			return
		}
		s.scheduleHold(w, s.now)
	case workerapi.OtherLife:
		s.instanceEnded(w)
	}
}

// markSilent takes a worker for out of reach, and looks whether it is: nothing is started there until it answers a hold.
func (s *Scheduler) markSilent(w *worker) {
	if w.reach != reachAnswering {
		return
	}
	w.reach = reachSilent
	s.enterPartOnWorker(w, PartSilent)
	s.requestCopiesOfRuns(w)
	s.probe(w)
}

// markAnswering takes a worker that has answered a hold for one in reach.
func (s *Scheduler) markAnswering(w *worker) {
	if w.reach == reachAnswering || w.reach == reachOver {
		return
	}
	w.reach = reachAnswering
	s.enterPartOnWorker(w, PartRun)
	s.capacityFreed(w)
}

// holdFailed takes note of a worker that can't be reached, and tries again.
func (s *Scheduler) holdFailed(w *worker) {
	w.hold.failures++
	most := silentAfter
	if s.lossy() {
		most = silentAfterLossy
	}
	if w.hold.failures >= most {
		s.markSilent(w)
	}
	s.checkLoss(w)
	retry := idleRetry
	if w.reach == reachAnswering {
		retry = 0
	} else if len(w.runs) > 0 {
		retry = min(minRetry<<min(w.hold.failures-1, 8), maxRetry)
	}
	s.scheduleHold(w, s.now+retry)
}

// holdAnswered takes in both lists of a worker.
func (s *Scheduler) holdAnswered(w *worker, ended *call, reply *workerapi.HoldReply) {
	if w.hold.failures > 0 && w.reach == reachAnswering {
		s.noteLostAnswer()
	}
	w.hold.failures = 0
	news := s.processLists(w, ended, reply)
	s.markAnswering(w)
	if reply.RemainingMs > 0 {
		s.drain(w, reply.RemainingMs)
	}
	s.watchWorker(w)
	s.scheduleHold(w, s.now+s.holdPause(w, ended, news))
}

// holdPause is how long to wait before the next hold: for the commit of ends, or since the last answer came too soon.
func (s *Scheduler) holdPause(w *worker, ended *call, news bool) time.Duration {
	if w.lastProposedEnd > s.lastCommittedEnd(w) {
		return commitWait
	}
	if !news && w.hold.wait > earlyAnswer && s.now-ended.sentAt < earlyAnswer {
		return earlyAnswerPause
	}
	return 0
}
