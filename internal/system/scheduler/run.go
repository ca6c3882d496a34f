package scheduler

import (
	"slices"
	"time"

	"gaugeslip/internal/system/state"
)

// runPhase is what is known about the existence of a run.
type runPhase uint8

const (
	runProposed  runPhase = iota // its intent is not committed
	runCommitted                 // its start has not been sent
	runOrdered                   // its start is in flight
	runDoubtful                  // in doubt: its start got no definite answer
	runInherited                 // an earlier head may have started it
	runPresent                   // the worker has reported that it exists
	runEnded                     // the worker has listed its end
	runVoided                    // it does not exist and never will
)

var phaseNames = [...]string{"proposed", "committed", "ordered", "doubtful", "inherited", "present", "ended", "voided"}

// usesCapacity reports whether a run in this phase uses its worker's capacity, or may come to use it.
func (p runPhase) usesCapacity() bool { return p < runEnded }

// mayExist reports whether a run in this phase may exist on its worker.
func (p runPhase) mayExist() bool { return p >= runOrdered && p < runEnded }

// run is one run of a task: proposed, or possibly existing on a worker.
type run struct {
	name     state.Run
	worker   *worker
	step     *step // nil if the job is over and no longer tracked
	need     Resources
	phase    runPhase
	foreign  bool // the replicated state has no such placement
	slot     int  // index in its worker's runList
	listMark uint64
	dueAtMs  int64 // due time of its start, on the worker's clock
	resumed  bool  // started from a checkpoint, or possibly so
	// checkpoint is sent with each sending of the start. It is fixed here because a late end may change the replicated checkpoint.
	checkpoint string

	spentBefore Spent // the task's time by part when the run was proposed

	orderedAt       time.Duration
	presentAt       time.Duration
	percent         int
	percentAt       time.Duration // when percent last changed
	percentClockMs  int64         // the same on the worker's clock; 0 if no progress was listed yet
	firstProgressAt time.Duration // when progress was first listed, and its percentage
	firstPercent    int

	startsInFlight int  // sendings of its start that are not answered yet
	startInDoubt   bool // a sending of its start ended without an answer

	stopWanted     bool
	stopInFlight   bool
	stopSent       bool          // a stop was sent and may have been carried out
	absentAt       time.Duration // when a list first lacked it; 0 if it was listed since
	stopFailures   int
	stopAnswered   bool
	stopAnsweredAt time.Duration
	moved          bool // its stop was ordered so that it starts elsewhere
	countedSlow    bool // it was counted as slow
	stopScheduled  bool
}

// setPhase changes a run's phase and keeps the worker's used capacity up to date. Apart from dropRun, nothing else may change a phase.
func (r *run) setPhase(phase runPhase) {
	if r.phase.usesCapacity() && !phase.usesCapacity() {
		r.worker.used = r.worker.used.minus(r.need)
	}
	r.phase = phase
}

// addRun records a run on its worker, where it uses capacity from now on. It replaces a run of the same name that the worker had listed
// before it was ordered: the answer to the start will show whether it exists.
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
	t.account.enter(s.now, PartStart)
	r.spentBefore = t.account.spent
	if r.step.runsPerWorker != nil {
		r.step.runsPerWorker[w]++
	}
}

// unlist removes a run from the worker's runList; the last run takes its slot.
func (w *worker) unlist(r *run) {
	last := len(w.runList) - 1
	w.runList[r.slot] = w.runList[last]
	w.runList[r.slot].slot = r.slot
	w.runList[last] = nil
	w.runList = w.runList[:last]
}

// dropRun removes a run's record, including a void that is not committed yet.
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
	if len(w.runs) == 0 { // nothing is left that could use the withheld capacity
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
