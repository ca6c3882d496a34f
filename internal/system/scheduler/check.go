package scheduler

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"gaugeslip/internal/system/state"
)

// Check verifies the scheduler's invariants and returns the first violation: sums of used capacity, tasks that are neither queued nor
// running, and runs that differ from the replicated state. It looks at everything and is meant for tests.
func (s *Scheduler) Check() error {
	for instance, w := range s.workers {
		if err := s.checkWorker(w); err != nil {
			return fmt.Errorf("worker %s: %w", instance, err)
		}
	}
	all := math.MaxInt
	for id, j := range s.jobs {
		if err := s.checkJob(j, &all); err != nil {
			return fmt.Errorf("job %s: %w", id, err)
		}
	}
	return cmp.Or(s.checkShareReservations(), s.checkStartLimiter(), s.checkPending(), s.checkPlacements())
}

// checkStartLimiter verifies the limiter's counts: sent starts equal the outstanding calls, and proposed starts are at most the counted
// ones.
func (s *Scheduler) checkStartLimiter() error {
	sent, proposed := 0, 0
	for _, outstanding := range s.calls {
		if outstanding.kind == CallStart {
			sent++
		}
	}
	for _, w := range s.workers {
		for _, r := range w.runList {
			if r.phase == runProposed {
				proposed++
			}
		}
	}
	if sent != s.startLimiter.sent || proposed > s.startLimiter.proposed {
		return fmt.Errorf("%d starts are in flight and %d proposed, but the limiter counts %d and %d",
			sent, proposed, s.startLimiter.sent, s.startLimiter.proposed)
	}
	return nil
}

// These constants limit the work of CheckSome. A step may have a hundred thousand tasks, and each is searched for among the waiting ones, so
// the number of comparisons is limited over all jobs.
const (
	sampledWorkers     = 8
	sampledJobs        = 16
	sampledComparisons = 20_000
)

// CheckSome is Check for a few workers and jobs, different ones each time. It is meant for running systems.
func (s *Scheduler) CheckSome() error {
	left := sampledWorkers
	for instance, w := range s.workers { // map iteration order varies
		if left--; left < 0 {
			break
		}
		if err := cmp.Or(s.checkWorker(w), s.checkPlacementsOf(instance, w)); err != nil {
			return fmt.Errorf("worker %s: %w", instance, err)
		}
	}
	left = sampledJobs
	comparisons := sampledComparisons
	for id, j := range s.jobs {
		if left--; left < 0 {
			break
		}
		if err := s.checkJob(j, &comparisons); err != nil {
			return fmt.Errorf("job %s: %w", id, err)
		}
	}
	return s.checkShareReservations()
}

func (s *Scheduler) checkShareReservations() error {
	for tenant, reservation := range s.shares.reservations {
		if st := reservation.step; !st.queued || st.tenant() != tenant {
			return fmt.Errorf("the share of %q is reserved for a step of %q with queued=%v", tenant, st.tenant(), st.queued)
		}
	}
	return nil
}

func (s *Scheduler) checkWorker(w *worker) error {
	if len(w.runList) != len(w.runs) {
		return fmt.Errorf("%d runs in the list, %d in the map", len(w.runList), len(w.runs))
	}
	used := Resources{}
	for name, r := range w.runs {
		if r.name != name || r.worker != w {
			return fmt.Errorf("run %v is stored under the name %v", r.name, name)
		}
		if r.phase.usesCapacity() {
			used = used.plus(r.need)
		}
	}
	if used != w.used {
		return fmt.Errorf("the runs use %v, but %v is counted", used, w.used)
	}
	if w.schedulable() && len(w.withheld) == 0 && !used.fitsInto(w.capacity) && !w.hasUnorderedRuns() {
		return fmt.Errorf("%v is used, more than the capacity %v", used, w.capacity)
	}
	return nil
}

// hasUnorderedRuns reports whether the worker has a foreign, inherited or resumed run. Such runs may exceed its capacity.
func (w *worker) hasUnorderedRuns() bool {
	for _, r := range w.runs {
		if r.foreign || r.phase == runInherited || r.resumed {
			return true
		}
	}
	return false
}

// checkJob checks a job until the comparisons are used up.
func (s *Scheduler) checkJob(j *job, comparisons *int) error {
	if j.record.State.Finished() {
		return fmt.Errorf("is over with state %s", j.record.State)
	}
	if s.pending.contains(j) == j.begun {
		return fmt.Errorf("counts as pending: %v, has begun: %v", !j.begun, j.begun)
	}
	for _, t := range j.occurrences {
		for number, st := range t.steps {
			if st == nil {
				if j.stepReady(t.number, uint32(number)) {
					return fmt.Errorf("step %d.%d is ready but not open", t.number, number)
				}
				continue
			}
			if err := s.checkStep(st, comparisons); err != nil {
				return fmt.Errorf("step %d.%d: %w", t.number, number, err)
			}
		}
	}
	return nil
}

func (s *Scheduler) checkStep(st *step, comparisons *int) error {
	if len(st.tasks) == 0 {
		return errors.New("has no tasks")
	}
	if st.queued != (st.hasWaiting() && !st.closed) {
		return fmt.Errorf("queued is %v with %d waiting tasks, closed is %v", st.queued, len(st.waiting), st.closed)
	}
	for k := range st.tasks {
		if *comparisons <= 0 {
			return nil
		}
		*comparisons -= 1 + len(st.waiting)
		i := (int(s.lastCallID) + k) % len(st.tasks) // begin with another task each time
		if err := s.checkTask(st, uint32(i)); err != nil {
			return fmt.Errorf("task %d: %w", i, err)
		}
	}
	return nil
}

func (s *Scheduler) checkTask(st *step, index uint32) error {
	t := &st.tasks[index]
	record := st.record(index)
	done := record != nil && record.Done
	switch {
	case !st.opened || st.stage.Gang:
		return nil
	case done != (t.state == taskDone):
		return fmt.Errorf("done is %v in task state %d", done, t.state)
	case t.state == taskActive && len(t.runs) == 0:
		return fmt.Errorf("is active without a run")
	case (t.state == taskWaiting) != slices.Contains(st.waiting, index) && !st.stage.Speculative:
		return fmt.Errorf("is in state %d, in the waiting list: %v", t.state, slices.Contains(st.waiting, index))
	case t.state == taskIdle:
		return fmt.Errorf("is idle in an open step")
	}
	return nil
}

// checkPending verifies that no finished job counts as pending.
func (s *Scheduler) checkPending() error {
	for route, queue := range s.pending {
		for id := range queue {
			if record := s.machine.Job(id); record == nil || record.State.Finished() {
				return fmt.Errorf("job %s of %q is over but counts as pending", id, route)
			}
		}
	}
	return nil
}

// checkPlacements compares the runs with those of the replicated state.
func (s *Scheduler) checkPlacements() error {
	for instance, record := range s.machine.Workers() {
		if w := s.workers[instance]; w == nil && len(record.Runs) > 0 {
			return fmt.Errorf("%d runs on %s are not tracked", len(record.Runs), instance)
		}
	}
	for instance, w := range s.workers {
		if err := s.checkPlacementsOf(instance, w); err != nil {
			return err
		}
	}
	return nil
}

// checkPlacementsOf compares the runs of one worker in both directions.
func (s *Scheduler) checkPlacementsOf(instance string, w *worker) error {
	record := s.machine.Worker(instance)
	if record != nil {
		for name := range record.Runs {
			if w.runs[name] == nil {
				return fmt.Errorf("run %v on %s is not tracked", name, instance)
			}
		}
	}
	for name, r := range w.runs {
		if r.foreign || r.phase == runProposed {
			continue
		}
		if !isPlacement(record, name) {
			return fmt.Errorf("run %v on %s, in phase %s, is not in the replicated state", name, instance, phaseNames[r.phase])
		}
	}
	return nil
}

func isPlacement(record *state.Worker, name state.Run) bool {
	if record == nil {
		return false
	}
	_, ok := record.Runs[name]
	return ok
}
