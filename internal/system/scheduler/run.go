package scheduler

import (
	"slices"
	"time"

	"gaugeslip/internal/system/state"
)

// runPhase tells how much is certain of a run.
type runPhase uint8

const (
	runProposed  runPhase = iota // its intent isn't committed
	runCommitted                 // its start hasn't been sent
	runOrdered                   // its start is out
	runDoubtful                  // its start got no clear answer
	runInherited                 // a predecessor may have started it
	runPresent                   // the worker has said that it is there
	runEnded                     // the worker has listed its end
	runVoided                    // it surely doesn't exist, and never will
)

var phaseNames = [...]string{"proposed", "committed", "ordered", "doubtful", "inherited", "present", "ended", "voided"}

// usesCapacity tells whether a run in this phase uses its worker's room, or may come to.
func (p runPhase) usesCapacity() bool { return p < runEnded }

// mayExist tells whether a run in this phase may exist on its worker.
func (p runPhase) mayExist() bool { return p >= runOrdered && p < runEnded }

// run is one run of a task that is proposed or may exist on a worker.
type run struct {
	name    state.Run
	worker  *worker
	step    *step // nil where the job is over and gone
	need    Resources
	phase   runPhase
	foreign bool // it is no placement of the replicated state
	slot    int  // in the list of its worker's runs
	mark    uint64
	dueAtMs int64 // of its start
	resumed bool  // it was started from a checkpoint
	// checkpoint is what its start carries, each time that it is sent: an end that comes late may change the replicated one.
	checkpoint string

	spentBefore Spent // of its task, when the run was proposed

	orderedAt       time.Duration
	presentAt       time.Duration
	percent         int
	percentAt       time.Duration // when it changed last
	percentClockMs  int64         // the same on the worker's clock; 0: nothing was listed yet
	firstProgressAt time.Duration // the first progress that was seen, and when
	firstPercent    int

	startsInFlight int  // sendings of its start without an answer so far
	startInDoubt   bool // one of them surely got none

	stopWanted     bool
	stopInFlight   bool
	stopSent       bool          // its stop may have been carried out
	absentAt       time.Duration // when a list that lacks it was first seen; 0: it was listed since
	stopFailures   int
	stopAnswered   bool
	stopAnsweredAt time.Duration
	moved          bool // its stop was ordered to start it elsewhere
	countedSlow    bool // it was counted as slow
	stopScheduled  bool
}

// setPhase is the only way in which a run's phase changes; it keeps the worker's sum of what is used.
func (r *run) setPhase(phase runPhase) {
	if r.phase.usesCapacity() && !phase.usesCapacity() {
		r.worker.used = r.worker.used.minus(r.need)
	}
	r.phase = phase
}

// addRun makes a run's record on its worker, where it takes room from now on. One of the same name, which the worker has listed without having been
// ordered it, ends with that: the worker shows by the order whether it is there.
func (s *Scheduler) addRun(r *run) {
	w := r.worker
	if listed := w.runs[r.name]; listed != nil {
		s.dropRun(listed)
	}
	w.runs[r.name] = r
	r.slot = len(w.runList)
	w.runList = append(w.runList, r)
	w.used = w.used.plus(r.need)
	if r.step == nil || r.foreign {
		return
	}
	t := &r.step.tasks[r.name.Task.Index]
	t.runs = append(t.runs, r)
	t.state = taskActive
	t.account.enter(s.now, PartOrder)
	r.spentBefore = t.account.spent
	if r.step.runsPerWorker != nil {
		r.step.runsPerWorker[w]++
	}
}

// unlist takes a run out of the list of a worker's runs; the last one takes its place.
func (w *worker) unlist(r *run) {
	last := len(w.runList) - 1
	w.runList[r.slot] = w.runList[last]
	w.runList[r.slot].slot = r.slot
	w.runList[last] = nil
	w.runList = w.runList[:last]
}

// dropRun ends a run's record, whatever was still proposed of it.
func (s *Scheduler) dropRun(r *run) {
	w := r.worker
	if w.runs[r.name] != r {
		return
	}
	delete(s.voiding, r.name)
	if r.phase.usesCapacity() {
		w.used = w.used.minus(r.need)
		r.phase = runEnded
	}
	delete(w.runs, r.name)
	w.unlist(r)
	if len(w.runs) == 0 { // whatever took the room that a refusal has shown to be missing is gone
		w.withheld = w.withheld[:0]
	}
	s.capacityFreed(w)
	if r.step == nil || r.foreign {
		return
	}
	t := &r.step.tasks[r.name.Task.Index]
	if at := slices.Index(t.runs, r); at >= 0 {
		t.runs = slices.Delete(t.runs, at, at+1)
	}
	if r.step.runsPerWorker != nil {
		if r.step.runsPerWorker[w]--; r.step.runsPerWorker[w] <= 0 {
			delete(r.step.runsPerWorker, w)
		}
	}
}

func (r *run) task() *task {
	if r.step == nil || r.foreign {
		return nil
	}
	return &r.step.tasks[r.name.Task.Index]
}
