package scheduler

import "time"

// Workers on which several jobs have failed are shut out: for a pause nothing starts there, then one run at a time till one ends well. That
// spares tasks their attempts as long as others can take them. Beside room that is mostly free it must not keep work waiting: where
// all workers are shut out, the clean end that would reopen them may never come.
const (
	// trialWait is how long a task waits for a trusted worker beside such room.
	trialWait = 2 * time.Second
	// minTrialRest is how long after its last failure a worker is spared all the same: its pause at first, and time for a trial to end well.
	minTrialRest = 3 * time.Second
	// maxMostlyFree is the share of a service's room up to which it counts as mostly free.
	maxMostlyFree = 0.5
	// reviewInterval is how often it is looked whether steps are overdue, maxOverdueSteps how many of them are let go at a time.
	reviewInterval  = 500 * time.Millisecond
	maxOverdueSteps = 16
)

// mayUseQuarantined tells whether tasks of a step may go to workers where they otherwise wouldn't. Only reviewTrials changes that.
func (st *step) mayUseQuarantined() bool { return st.overdue && st.service.useQuarantined }

// mayTryQuarantined tells whether a task may be risked on a worker that is shut out.
func (s *Scheduler) mayTryQuarantined(w *worker, st *step, t *task) bool {
	h := &w.health
	if s.now >= h.quarantinedUntil && len(w.runs) == 0 && t.failures == 0 {
		return true
	}
	return st.mayUseQuarantined() && s.now >= h.failedAt+minTrialRest
}

// planRestEnd has held steps tried on a worker that is shut out once it was spared for long enough.
func (s *Scheduler) planRestEnd(w *worker) {
	s.runAt(w.health.failedAt+minTrialRest, func() {
		if w.health.quarantined {
			s.capacityFreed(w)
		}
	})
}

// planTrialReviews has it reviewed, now and then, which held steps are overdue.
func (s *Scheduler) planTrialReviews() {
	s.runAt(s.now+reviewInterval, func() {
		for _, svc := range s.serviceOrder {
			s.reviewTrials(svc)
		}
		s.planTrialReviews()
	})
}

// reviewTrials lets the first held steps whose tasks have waited for too long beside room that is mostly free go to workers that are shut out.
func (s *Scheduler) reviewTrials(svc *service) {
	svc.useQuarantined = svc.anyQuarantined() && svc.mostlyFree()
	if !svc.useQuarantined {
		return
	}
	left := maxOverdueSteps
	for _, st := range svc.queue.All() {
		t := st.firstWaitingTask()
		st.overdue = left > 0 && t != nil && t.waitingSince > 0 && s.now-t.waitingSince >= trialWait
		if st.overdue {
			s.retryOnAll(st)
			left--
		}
	}
}

// maxMostlyFree tells whether less than half of the room of the service's workers is in use.
func (svc *service) mostlyFree() bool {
	used, room := Resources{}, Resources{}
	for _, w := range svc.workers {
		if w.schedulable() {
			used, room = used.plus(w.used), room.plus(w.capacity)
		}
	}
	return used.dominantShare(room) < maxMostlyFree
}

func (svc *service) anyQuarantined() bool {
	for _, w := range svc.workers {
		if w.health.quarantined {
			return true
		}
	}
	return false
}

// firstWaitingTask is the task that leaves first of those that wait, nil if none does.
func (st *step) firstWaitingTask() *task {
	switch {
	case !st.hasWaiting():
		return nil
	case st.stage.Gang:
		return &st.tasks[0]
	}
	return &st.tasks[st.waiting[0]]
}
