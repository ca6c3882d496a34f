package scheduler

import (
	"time"
)

// gangState is the scheduling state of a gang.
type gangState uint8

const (
	gangIdle      gangState = iota
	gangWaiting             // for capacity for all of its members at once
	gangActive              // runs of it are proposed or may exist
	gangInBackoff           // in backoff before the next start
)

const (
	// gangEndGrace is how long after a gang is done its members may take until their own ends are listed.
	gangEndGrace = 500 * time.Millisecond
	// gangRetryInterval is how often a queued gang is tried while capacity is freed.
	gangRetryInterval = 20 * time.Millisecond
)

// reconcileGang brings a gang in line with the replicated state and with the runs of its members.
func (s *Scheduler) reconcileGang(st *step) {
	if st.closed {
		return
	}
	if st.allDone() {
		s.finishGang(st)
		return
	}
	withRuns := 0
	for i := range st.tasks {
		if len(st.tasks[i].runs) > 0 {
			withRuns++
		}
	}
	switch {
	case withRuns == 0:
		s.awaitGangCapacity(st)
	case withRuns < len(st.tasks):
		st.gang = gangActive
		s.stopGang(st)
	default:
		st.gang = gangActive
	}
}

func (s *Scheduler) finishGang(st *step) {
	for i := range st.tasks {
		st.tasks[i].account.enter(s.now, PartEndCommit)
		st.tasks[i].state = taskDone
		for _, r := range st.tasks[i].runs {
			s.runAt(s.now+gangEndGrace, func() { s.requestStop(r) })
		}
	}
	s.closeStep(st)
}

// awaitGangCapacity makes the whole gang wait for capacity, after a backoff if its starts were refused several times in a row.
func (s *Scheduler) awaitGangCapacity(st *step) {
	if st.gang == gangWaiting || st.gang == gangInBackoff {
		return
	}
	backoff := time.Duration(0)
	for i := range st.tasks {
		st.tasks[i].state = taskWaiting
		st.tasks[i].account.enter(s.now, PartCapacity)
		s.noteWaiting(&st.tasks[i])
		backoff = max(backoff, st.tasks[i].backoff())
	}
	if backoff > 0 {
		st.gang = gangInBackoff
		st.tasks[0].backoffUntil = s.now + backoff
		s.runAt(s.now+backoff, func() { s.gangBackoffOver(st) })
		return
	}
	s.enqueueGang(st)
}

func (s *Scheduler) gangBackoffOver(st *step) {
	if st.gang == gangInBackoff && !st.closed {
		s.enqueueGang(st)
	}
}

// enqueueGang makes the gang wait for capacity from now on.
func (s *Scheduler) enqueueGang(st *step) {
	st.gang = gangWaiting
	s.enqueue(st)
	for i := range st.tasks {
		s.restrictPlacement(st, &st.tasks[i])
	}
}

// gangAvoids reports whether any member has to avoid a worker now.
func (s *Scheduler) gangAvoids(st *step, w *worker) bool {
	for i := range st.tasks {
		if st.tasks[i].avoid == w && s.now < st.tasks[i].avoidUntil {
			return true
		}
	}
	return false
}

// stopGang stops all members of a gang that is no longer complete.
func (s *Scheduler) stopGang(st *step) {
	for i := range st.tasks {
		for _, r := range st.tasks[i].runs {
			s.requestStop(r)
		}
	}
}

// stopRestOfGang stops the other members of a gang of which one member was not started.
func (s *Scheduler) stopRestOfGang(r *run) {
	if r.step != nil && !r.foreign && r.step.stage.Gang && !r.step.closed {
		s.stopGang(r.step)
	}
}

// retryGang tries a queued gang again, at most once per gangRetryInterval.
func (s *Scheduler) retryGang(st *step) {
	if s.now >= st.gangRetryAt {
		s.placeGang(st)
		return
	}
	if st.gangRetryPlanned {
		return
	}
	st.gangRetryPlanned = true
	s.runAt(st.gangRetryAt, func() {
		st.gangRetryPlanned = false
		s.retryOnAll(st)
	})
}

// placeGang starts all members at once, or none.
func (s *Scheduler) placeGang(st *step) {
	if st.gang != gangWaiting || !s.shareFits(st) {
		return
	}
	st.gangRetryAt = s.now + gangRetryInterval
	members := s.chooseGang(st)
	if members == nil {
		return
	}
	attempt, text := uint32(0), s.gangCheckpoint(st)
	for i := range st.tasks {
		if record := st.record(uint32(i)); record != nil {
			attempt = max(attempt, record.Attempt)
		}
	}
	st.gang = gangActive
	for i, w := range members {
		s.proposeRun(st, uint32(i), w, attempt+1, text)
	}
}

// gangCheckpoint returns the newest checkpoint of any member; it is valid for all members.
func (s *Scheduler) gangCheckpoint(st *step) string {
	newest := checkpoint{}
	for i := range st.tasks {
		if seen := st.tasks[i].checkpoint; seen.text != "" && seen.attempt >= newest.attempt {
			newest = seen
		}
		record := st.record(uint32(i))
		if record != nil && record.Checkpoint != "" && (newest.text == "" || record.Attempt > newest.attempt) {
			newest = checkpoint{attempt: record.Attempt, text: record.Checkpoint}
		}
	}
	return newest.text
}

// chooseGang finds workers for all members: in one rack if the gang asks for that and one has capacity, else anywhere. It returns nil if
// there are none.
func (s *Scheduler) chooseGang(st *step) []*worker {
	if st.stage.SameRack {
		if members := s.chooseRack(st); members != nil {
			return members
		}
	}
	return s.chooseMembers(st, func(*worker) bool { return true })
}

// chooseRack picks the rack that can take all members with the least capacity left over.
func (s *Scheduler) chooseRack(st *step) []*worker {
	room := make(map[string]int)
	for _, w := range st.service.workers {
		if s.feasible(w, st, &st.tasks[0]) {
			room[w.rack()] += s.gangCapacity(w, st)
		}
	}
	best := ""
	for rack, fits := range room {
		if fits < len(st.tasks) {
			continue
		}
		if best == "" || fits < room[best] || fits == room[best] && rack < best {
			best = rack
		}
	}
	if best == "" {
		return nil
	}
	return s.chooseMembers(st, func(w *worker) bool { return w.rack() == best })
}

// gangCapacity returns how many members fit on a worker.
func (s *Scheduler) gangCapacity(w *worker, st *step) int {
	fits := st.need.fitCount(w.free())
	if st.stage.AntiAffinity > 0 {
		fits = min(fits, st.stage.AntiAffinity)
	}
	if w.health.onTrial() && !st.mayUseQuarantined() {
		fits = min(fits, 1)
	}
	return fits
}

// chooseMembers assigns the members to the best workers that are allowed.
func (s *Scheduler) chooseMembers(st *step, allowed func(*worker) bool) []*worker {
	members := s.scratch.members[:0]
	s.lastMark++
	mark := s.lastMark
	for len(members) < len(st.tasks) {
		st.unplaced = len(st.tasks) - len(members)
		w := s.bestUnusedWorker(st, allowed, mark)
		if w == nil {
			return nil
		}
		w.hold.gangMark = mark
		for range min(s.gangCapacity(w, st), len(st.tasks)-len(members)) {
			members = append(members, w)
		}
	}
	s.scratch.members = members
	return members
}

// bestUnusedWorker returns the best worker that has been given no members in this round.
func (s *Scheduler) bestUnusedWorker(st *step, allowed func(*worker) bool, mark uint64) *worker {
	return s.bestAmong(st.service.workers, st, func(w *worker) bool {
		return w.hold.gangMark != mark && allowed(w) && !s.gangAvoids(st, w) && s.feasible(w, st, &st.tasks[0])
	})
}
