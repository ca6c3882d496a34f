package scheduler

import (
	"time"

	"gaugeslip/internal/system/workerapi"
)

const (
	// maxHoldWait is how long a hold waits for an end if nothing runs on the worker. runningHoldWait applies if something runs, and
	// lossyHoldWait while answers are being lost: it limits the delay of an end whose hold was lost.
	maxHoldWait = workerapi.MaxWaitMs * time.Millisecond
	// In a large fleet both are longer, to limit the holds per second.
	runningHoldWait   = 600 * time.Millisecond
	lossyHoldWait     = 200 * time.Millisecond
	holdWaitPerWorker = 3 * time.Millisecond
	// silentAfter is after how many consecutive unanswered holds a worker counts as silent; silentAfterLossy applies while answers are
	// being lost.
	silentAfter      = 2
	silentAfterLossy = 4
	// overdueHoldWait is how long a hold waits if a run is overdue.
	overdueHoldWait = 700 * time.Millisecond
	// commitWait is how long the next hold is delayed for the commit of the ends that the last one listed.
	commitWait = 300 * time.Millisecond
	minRetry   = 100 * time.Millisecond
	maxRetry   = 500 * time.Millisecond
	idleRetry  = 2 * time.Second
	// earlyAnswer is the time below which an answer without new ends counts as too early for a hold that was to wait; the next hold is then
	// delayed by earlyAnswerPause.
	earlyAnswer      = 50 * time.Millisecond
	earlyAnswerPause = 250 * time.Millisecond
)

// holdState is the loop of holds of one worker: one is in flight, or the next is scheduled.
type holdState struct {
	callID       uint64 // the hold in flight; 0 if none
	probeID      uint64 // a second hold: for runs in doubt, or while answers are being lost; 0 if none
	listClockMs  int64  // the worker's clock at the newest list of running tasks
	sentWait     time.Duration
	nextAt       time.Duration // when the next hold is scheduled; 0 if none
	failures     int
	listMark     uint64 // of the last platform list that had the worker
	lossCheckAt  time.Duration
	inFirstQueue bool   // its first hold waits for its turn
	gangMark     uint64 // the gang placement for which it was chosen last
}

// scheduleHold has the next hold sent at a time, unless an earlier one is scheduled.
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
	w.hold.sentWait = s.holdWait(w)
	w.hold.callID = s.sendHoldOrder(w, w.hold.sentWait)
	if s.lossy() && len(w.runs) > 0 && w.hold.probeID == 0 && s.hasSpareCalls() {
		w.hold.probeID = s.sendHoldOrder(w, w.hold.sentWait)
	}
}

// probe sends a hold without a wait, beside the one in flight, to resolve a run in doubt.
func (s *Scheduler) probe(w *worker) {
	if w.hold.callID == 0 || w.hold.sentWait == 0 {
		s.scheduleHold(w, s.now)
		return
	}
	if w.hold.probeID == 0 && w.reach != reachOver && !w.lossProposed {
		w.hold.probeID = s.sendHoldOrder(w, 0)
	}
}

// sendHoldOrder sends a hold and returns its call ID.
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

// holdDueMs returns the due time of the next hold, on the worker's clock. For a silent worker it never exceeds what was sent before: any
// hold may be carried out although no answer comes, and the runs there must expire at some point.
func (s *Scheduler) holdDueMs(w *worker) int64 {
	if w.reach == reachSilent {
		return w.maxDueMs
	}
	return w.clock.lowerBound(s.now) + s.bounds.MaxHold().Milliseconds()
}

// lastCommittedEnd returns the number up to which ends are committed. It is kept here too, because the loss of a worker removes the number
// from the replicated state, although the same instance may come back and list those ends again.
func (s *Scheduler) lastCommittedEnd(w *worker) uint64 {
	if record := s.machine.Worker(w.identity.Instance); record != nil {
		w.lastCommittedEnd = max(w.lastCommittedEnd, record.LastSeen)
	}
	return w.lastCommittedEnd
}

// holdWait returns how long the next hold may wait for an end.
func (s *Scheduler) holdWait(w *worker) time.Duration {
	if w.reach != reachAnswering || !w.clock.known || w.hold.failures > 0 {
		return 0 // the sooner it answers or fails, the sooner starts there can stop
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

// holdWaitForRun returns how long a hold may wait in view of one run.
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

// holdEnded handles the answer to a hold, or its failure.
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
	case workerapi.OtherInstance:
		s.instanceEnded(w)
	default:
		w.clock.observe(reply.ClockMs, s.now)
		s.holdFailed(w)
	}
}

// probeEnded handles the answer to a probe. A lost probe has no consequence; the runs in doubt are probed again.
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
	case workerapi.OtherInstance:
		s.instanceEnded(w)
	}
}

// markSilent marks a worker as silent and probes it. Nothing is started there until it answers a hold.
func (s *Scheduler) markSilent(w *worker) {
	if w.reach != reachAnswering {
		return
	}
	w.reach = reachSilent
	s.enterPartOnWorker(w, PartSilent)
	s.requestCopiesOfRuns(w)
	s.probe(w)
}

// markAnswering marks a worker that has answered a hold as answering.
func (s *Scheduler) markAnswering(w *worker) {
	if w.reach == reachAnswering || w.reach == reachOver {
		return
	}
	w.reach = reachAnswering
	s.enterPartOnWorker(w, PartRun)
	s.capacityFreed(w)
}

// holdFailed handles a hold without an answer and schedules the next try.
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

// holdAnswered processes both lists of a worker.
func (s *Scheduler) holdAnswered(w *worker, ended *call, reply *workerapi.HoldReply) {
	if w.hold.failures > 0 && w.reach == reachAnswering {
		s.noteLostAnswer()
	}
	w.hold.failures = 0
	hasNew := s.processLists(w, ended, reply)
	s.markAnswering(w)
	if reply.RemainingMs > 0 {
		s.drain(w, reply.RemainingMs)
	}
	s.watchWorker(w)
	s.scheduleHold(w, s.now+s.holdPause(w, ended, hasNew))
}

// holdPause returns how long to wait before the next hold: for the commit of ends, or because the last answer came too early.
func (s *Scheduler) holdPause(w *worker, ended *call, hasNew bool) time.Duration {
	if w.lastProposedEnd > s.lastCommittedEnd(w) {
		return commitWait
	}
	if !hasNew && w.hold.sentWait > earlyAnswer && s.now-ended.sentAt < earlyAnswer {
		return earlyAnswerPause
	}
	return 0
}
