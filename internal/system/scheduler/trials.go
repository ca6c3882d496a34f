package scheduler

import "time"

// Workers on which several jobs have failed are quarantined: for a while nothing starts there, then one run at a time until one succeeds. That
// saves the tasks' attempts as long as other workers can take them. While most capacity is free it must not keep work waiting: if all workers
// are quarantined, the success that would end the quarantine may never come.
const (
	// trialWait is how long a task waits for a trusted worker while most capacity is free.
	trialWait = 2 * time.Second
	// minTrialRest is how long after its last failure a worker gets no task in any case. It covers the first quarantine and time for a
	// trial to end.
	minTrialRest = 3 * time.Second
	// maxMostlyFree is the used fraction of a service's capacity below which the capacity counts as mostly free.
	maxMostlyFree = 0.5
	// reviewInterval is how often queued steps are reviewed; maxOverdueSteps limits how many steps are marked overdue at a time.
	reviewInterval  = 500 * time.Millisecond
	maxOverdueSteps = 16
)

// mayUseQuarantined reports whether tasks of a step may go to quarantined workers beyond one trial at a time. Only reviewTrials changes
// that.
func (st *step) mayUseQuarantined() bool { return st.overdue && st.service.useQuarantined }

// mayTryQuarantined reports whether a task may be started on a quarantined worker.
func (s *Scheduler) mayTryQuarantined(w *worker, st *step, t *task) bool {
	h := &w.health
	if s.now >= h.quarantinedUntil && len(w.runs) == 0 && t.failures == 0 {
		return true
	}
	return st.mayUseQuarantined() && s.now >= h.failedAt+minTrialRest
}

// planRestEnd has queued steps tried on a quarantined worker once minTrialRest has passed.
func (s *Scheduler) planRestEnd(w *worker) {
	s.runAt(w.health.failedAt+minTrialRest, func() {
		if w.health.quarantined {
			s.capacityFreed(w)
		}
	})
}

// planTrialReviews schedules the regular review of overdue steps.
func (s *Scheduler) planTrialReviews() {
	s.runAt(s.now+reviewInterval, func() {
		for _, svc := range s.serviceOrder {
			s.reviewTrials(svc)
		}
		s.planTrialReviews()
	})
}

// reviewTrials lets the first queued steps whose tasks have waited too long use quarantined workers, while most capacity is free.
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

// mostlyFree reports whether less than half of the capacity of the service's workers is used.
func (svc *service) mostlyFree() bool {
	used, capacity := Resources{}, Resources{}
	for _, w := range svc.workers {
		if w.schedulable() {
			used, capacity = used.plus(w.used), capacity.plus(w.capacity)
		}
	}
	return used.dominantShare(capacity) < maxMostlyFree
}

func (svc *service) anyQuarantined() bool {
	for _, w := range svc.workers {
		if w.health.quarantined {
			return true
		}
	}
	return false
}

// firstWaitingTask returns the task that will start first of those that wait; nil if none does.
func (st *step) firstWaitingTask() *task {
	switch {
	case !st.hasWaiting():
		return nil
	case st.stage.Gang:
		return &st.tasks[0]
	}
	return &st.tasks[st.waiting[0]]
}
