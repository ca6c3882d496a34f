package scheduler

import (
	"time"

	"gaugeslip/internal/system/state"
)

// deadlineClass ranks queued steps: those that can meet their job's objective, those that are late, and those too late to earn anything.
type deadlineClass uint8

const (
	onTime deadlineClass = iota
	late
	expired
)

const (
	// lateFactor is how many objectives after its start a job still earns something.
	lateFactor = 3
	// classSpan and prioritySpan are added to deadlines so that lower classes and priorities sort behind all others.
	classSpan    = 50 * 365 * 24 * time.Hour
	prioritySpan = 20 * 365 * 24 * time.Hour
	// trustedEstimateShare is the fraction of the estimated remaining work used to decide whether a job can still meet its objective.
	trustedEstimateShare = 0.7
)

// objective returns how long the job may take from the beginning of its objective.
func (j *job) objective() time.Duration {
	extension := max(j.record.Extension, 1)
	target := time.Duration(j.record.TargetLatencyMs * float64(time.Millisecond))
	return target + time.Duration(extension*float64(j.longestChain))
}

// deadline returns when the step's tasks have to end so that the dependent steps can end in time.
func (st *step) deadline() time.Duration {
	behind := st.job.remainingWork[st.number] - st.stage.Estimated
	return st.occurrence.objectiveFrom + st.job.objective() - behind
}

// deadlineClassAt returns the step's class at a time, and until when it keeps that class; 0 means for good.
func (st *step) deadlineClassAt(now time.Duration) (rank deadlineClass, until time.Duration) {
	if st.stage.LongRunning {
		return onTime, 0
	}
	ahead := time.Duration(trustedEstimateShare * float64(st.job.remainingWork[st.number]))
	objective := st.job.objective()
	if last := st.occurrence.objectiveFrom + objective - ahead; now <= last {
		return onTime, last
	}
	if last := st.occurrence.objectiveFrom + lateFactor*objective - ahead; now <= last {
		return late, last
	}
	return expired, 0
}

// queueKey orders queued steps: by class, then the most urgent queue (priority 0) before the others, then by deadline.
func (st *step) queueKey(rank deadlineClass) time.Duration {
	key := st.deadline() + time.Duration(rank)*classSpan
	if st.job.record.Priority > 0 {
		key += prioritySpan
	}
	return key
}

// enqueue queues a step with waiting tasks and has it tried on all workers.
func (s *Scheduler) enqueue(st *step) {
	st.tryAll = true
	st.service.tryAll = true
	if st.queued {
		return
	}
	rank, until := st.deadlineClassAt(s.now)
	st.queued = true
	st.ticket = st.service.queue.Push(st.queueKey(rank), st)
	if until > 0 {
		ticket := st.ticket
		s.runAt(until+time.Millisecond, func() {
			if st.queued && st.ticket == ticket {
				s.requeue(st)
			}
		})
	}
}

// dequeue removes a step from the queue and releases its reservations.
func (s *Scheduler) dequeue(st *step) {
	if !st.queued {
		return
	}
	st.service.queue.Remove(st.ticket)
	st.queued, st.overdue = false, false
	s.releaseShare(st)
	if st.service.reserved.step == st {
		s.releaseWorkers(st.service)
	}
}

// requeue recomputes a queued step's rank and keeps its share reservation.
func (s *Scheduler) requeue(st *step) {
	tryAll, overdue, reservation := st.tryAll, st.overdue, s.shares.reservationFor(st)
	s.dequeue(st)
	s.enqueue(st)
	st.tryAll, st.overdue = tryAll, overdue
	if reservation != nil {
		s.shares.reservations[st.tenant()] = reservation
	}
}

// dispatch starts what can be started. If the limit of starts in flight is reached, the remaining steps are tried when some of those are
// answered.
func (s *Scheduler) dispatch() {
	s.retryShareBlocked()
	for _, svc := range s.serviceOrder {
		for (svc.tryAll || len(svc.freed) > 0) && !s.startLimiter.atLimit() {
			s.dispatchService(svc)
		}
	}
}

// dispatchService goes once through the queued steps, earliest deadline first. Steps marked tryAll are tried on all workers, the others
// only on workers with freed capacity.
func (s *Scheduler) dispatchService(svc *service) {
	freed := svc.takeFreed()
	svc.tryAll, svc.shareBlocked = false, false
	queued := s.scratch.queued[:0]
	if svc.queue.Len() > 0 {
		for _, st := range svc.queue.All() {
			queued = append(queued, st)
		}
		s.refreshLayout(svc)
	}
	for at, st := range queued {
		if s.startLimiter.atLimit() {
			s.postpone(svc, queued[at:])
			break
		}
		if s.stillShareBlocked(st) {
			continue
		}
		if st.tryAll {
			s.placeAnywhere(st)
		} else if len(freed) > 0 {
			s.placeOnFreed(st, freed)
		}
		switch {
		case !st.hasWaiting():
			s.dequeue(st)
		case st.shareBlocked:
			s.considerReservingShare(st)
		default:
			s.considerReservingWorkers(st)
		}
	}
	clear(queued)
	s.scratch.queued = queued[:0]
}

// postpone has queued steps tried on all workers later.
func (s *Scheduler) postpone(svc *service, queued []*step) {
	svc.tryAll = true
	for _, st := range queued {
		st.tryAll = true
	}
}

// takeFreed returns the workers on which capacity was freed, and resets the list. Capacity that is freed from now on counts for the next
// round.
func (svc *service) takeFreed() []*worker {
	freed := svc.freed
	svc.freed = nil
	for _, w := range freed {
		w.freed = false
	}
	return freed
}

// hasWaiting reports whether tasks of the step, or its gang, wait for capacity.
func (st *step) hasWaiting() bool {
	if st.stage.Gang {
		return st.gang == gangWaiting
	}
	return len(st.waiting) > 0
}

// placeAnywhere starts as many of the step's tasks as find a worker.
func (s *Scheduler) placeAnywhere(st *step) {
	st.tryAll = false
	if st.stage.Gang {
		s.placeGang(st)
		return
	}
	left := st.waiting[:0]
	full := false
	st.lastChosen = nil
	for at, index := range st.waiting {
		st.unplaced = len(st.waiting) - at
		if !s.shareFits(st) {
			left = append(left, st.waiting[at:]...)
			break
		}
		t := &st.tasks[index]
		if full && t.unrestricted() {
			left = append(left, index)
			continue
		}
		w := s.chooseWorker(st, t)
		if w == nil {
			full = full || t.unrestricted()
			left = append(left, index)
			continue
		}
		s.proposeStart(st, index, w)
	}
	st.waiting = left
}

// placeOnFreed starts tasks of the step on workers with freed capacity.
func (s *Scheduler) placeOnFreed(st *step, freed []*worker) {
	if st.stage.Gang {
		s.retryGang(st)
		return
	}
	for _, w := range freed {
		if !st.need.fitsInto(w.free()) || !s.dataAllows(st, w) {
			continue
		}
		s.fillWorker(st, w)
	}
}

// fillWorker starts tasks of the step on one worker.
func (s *Scheduler) fillWorker(st *step, w *worker) {
	left := st.waiting[:0]
	for at, index := range st.waiting {
		if !s.shareFits(st) {
			left = append(left, st.waiting[at:]...)
			break
		}
		if !s.feasible(w, st, &st.tasks[index]) {
			left = append(left, index)
			continue
		}
		s.proposeStart(st, index, w)
	}
	st.waiting = left
}

// reconcileTask reconciles a task by name, if its step is tracked.
func (s *Scheduler) reconcileTask(name state.TaskName) {
	if st := s.findStep(name); st != nil {
		s.reconcile(st, name.Index)
	}
}
