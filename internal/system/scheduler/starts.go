package scheduler

import (
	"slices"
	"time"

	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

// startWindow is how long a worker may carry out a start, on its clock.
const startWindow = 300 * time.Millisecond

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

// takesRoom tells whether a run in this phase uses its worker's room, or may come to.
func (p runPhase) takesRoom() bool { return p < runEnded }

// mayRun tells whether a run in this phase may exist on its worker.
func (p runPhase) mayRun() bool { return p >= runOrdered && p < runEnded }

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

	orderedAt  time.Duration
	presentAt  time.Duration
	percent    int
	percentAt  time.Duration // when it changed last
	firstAt    time.Duration // the first progress that was seen, and when
	firstShown int

	startsOut    int  // sendings of its start without an answer so far
	startInDoubt bool // one of them surely got none

	stopWanted    bool
	stopOut       bool
	stopSent      bool          // its stop may have been carried out
	absentAt      time.Duration // when a list that lacks it was first seen; 0: it was listed since
	stopFailures  int
	stopAnswered  bool
	stopAnswerAt  time.Duration
	moved         bool // its stop was ordered to start it elsewhere
	slowNoted     bool // it was counted as slow
	stopScheduled bool
}

// setPhase is the only way in which a run's phase changes; it keeps the worker's sum of what is used.
func (r *run) setPhase(phase runPhase) {
	if r.phase.takesRoom() && !phase.takesRoom() {
		r.worker.used = r.worker.used.minus(r.need)
	}
	r.phase = phase
}

// add makes a run's record on its worker, where it takes room from now on.
func (s *Scheduler) add(r *run) {
	w := r.worker
	w.runs[r.name] = r
	r.slot = len(w.list)
	w.list = append(w.list, r)
	w.used = w.used.plus(r.need)
	if r.step == nil || r.foreign {
		return
	}
	t := &r.step.tasks[r.name.Task.Index]
	t.runs = append(t.runs, r)
	t.state = taskActive
	if r.step.onWorker != nil {
		r.step.onWorker[w]++
	}
}

// unlist takes a run out of the list of a worker's runs; the last one takes its place.
func (w *worker) unlist(r *run) {
	last := len(w.list) - 1
	w.list[r.slot] = w.list[last]
	w.list[r.slot].slot = r.slot
	w.list[last] = nil
	w.list = w.list[:last]
}

// drop ends a run's record, whatever was still proposed of it.
func (s *Scheduler) drop(r *run) {
	w := r.worker
	if w.runs[r.name] != r {
		return
	}
	delete(s.voiding, r.name)
	if r.phase.takesRoom() {
		w.used = w.used.minus(r.need)
		r.phase = runEnded
	}
	delete(w.runs, r.name)
	w.unlist(r)
	if len(w.runs) == 0 { // whatever took the room that a refusal has shown to be missing is gone
		w.withheld = w.withheld[:0]
	}
	s.roomFreed(w)
	if r.step == nil || r.foreign {
		return
	}
	t := &r.step.tasks[r.name.Task.Index]
	if at := slices.Index(t.runs, r); at >= 0 {
		t.runs = slices.Delete(t.runs, at, at+1)
	}
	if r.step.onWorker != nil {
		if r.step.onWorker[w]--; r.step.onWorker[w] <= 0 {
			delete(r.step.onWorker, w)
		}
	}
}

// proposeStart sets room aside for the next run of a task and proposes its intent.
func (s *Scheduler) proposeStart(st *step, index uint32, w *worker) {
	attempt, checkpoint := uint32(1), ""
	if record := st.record(index); record != nil {
		attempt, checkpoint = record.Attempt+1, record.Checkpoint
	}
	s.proposeRun(st, index, w, attempt, st.tasks[index].checkpoint.newest(attempt-1, checkpoint))
}

// newest is the checkpoint to start from: the one that was seen last, unless the replicated one is of a later attempt.
func (c checkpoint) newest(attempt uint32, replicated string) string {
	if c.text != "" && c.attempt >= attempt {
		return c.text
	}
	return replicated
}

func (s *Scheduler) proposeRun(st *step, index uint32, w *worker, attempt uint32, checkpoint string) {
	name := state.Run{Task: st.name(index), Attempt: attempt}
	s.add(&run{name: name, worker: w, step: st, need: st.need, checkpoint: checkpoint, resumed: checkpoint != ""})
	s.shares.propose(name, st)
	s.starts = append(s.starts, state.Start{Run: name, Worker: w.life.Instance, Checkpoint: checkpoint})
}

// mostStarts is how many intents one command holds, but for those of one step, which stay together.
const mostStarts = 1000

// proposeStarts puts the intents of this round into few commands.
func (s *Scheduler) proposeStarts() {
	for len(s.starts) > 0 {
		end := min(mostStarts, len(s.starts))
		for end < len(s.starts) && sameStep(&s.starts[end-1], &s.starts[end]) {
			end++
		}
		s.propose(state.Command{Kind: state.KindTasksStarting, TasksStarting: s.starts[:end:end]})
		s.starts = s.starts[end:]
	}
	s.starts = nil
}

func sameStep(a, b *state.Start) bool {
	return a.Task.Job == b.Task.Job && a.Task.Time == b.Task.Time && a.Task.Step == b.Task.Step
}

// startsCommitted takes in which intents hold: those are ordered, the others never happen.
func (s *Scheduler) startsCommitted(all, held []state.Start) {
	for i := range all {
		holds := len(held) > 0 && held[0].Run == all[i].Run
		if holds {
			held = held[1:]
		}
		s.startCommitted(&all[i], holds)
	}
}

func (s *Scheduler) startCommitted(start *state.Start, holds bool) {
	s.shares.settle(start.Run, holds)
	w := s.openWorker(start.Worker)
	r := w.runs[start.Run]
	switch {
	case r == nil || r.phase != runProposed:
		if holds && r == nil {
			s.adopt(w, start.Run)
		}
	case holds:
		r.setPhase(runCommitted)
		s.ordered = append(s.ordered, r)
	default:
		s.drop(r)
		s.settleName(start.Task)
	}
}

// adopt takes over a run that a predecessor may have started.
func (s *Scheduler) adopt(w *worker, name state.Run) {
	r := &run{name: name, worker: w, phase: runInherited, resumed: true}
	if stage := s.stageOf(name.Task); stage != nil {
		r.need = stageNeed(stage)
	}
	j := s.jobs[name.Task.Job]
	if j != nil {
		r.step = s.ensureStep(j, s.ensureTime(j, name.Task.Time), name.Task.Step)
	}
	if r.step != nil {
		s.unwait(r.step, name.Task.Index)
	}
	s.add(r)
	if t := r.task(); t != nil {
		s.waits(t)
	}
	if j == nil {
		s.wantStop(r)
	}
}

// orderStarts sends the starts whose intents were committed, but for those that are unwanted by now.
func (s *Scheduler) orderStarts() {
	for _, r := range s.ordered {
		if r.phase == runCommitted && !s.orderable(r) {
			s.spoilGang(r)
		}
	}
	for _, r := range s.ordered {
		if r.phase != runCommitted {
			continue
		}
		if !s.orderable(r) {
			s.void(r)
			continue
		}
		s.orderStart(r)
	}
	clear(s.ordered)
	s.ordered = s.ordered[:0]
}

func (s *Scheduler) orderable(r *run) bool {
	return !r.stopWanted && r.worker.open() && r.step != nil && r.worker.runs[r.name] == r
}

func (s *Scheduler) orderStart(r *run) {
	w := r.worker
	r.setPhase(runOrdered)
	r.orderedAt = s.now
	r.dueAtMs = w.clock.lower(s.now) + startWindow.Milliseconds()
	w.highestDue = max(w.highestDue, r.dueAtMs)
	s.sendStart(r)
	s.at(s.now+s.answers.hedge(), func() {
		if r.phase == runOrdered && w.runs[r.name] == r {
			s.sendStart(r)
		}
	})
	s.holdAt(w, s.now)
}

// sendStart sends the start of a run. It may be sent twice: a worker takes the same run's start for the same order.
func (s *Scheduler) sendStart(r *run) {
	w := r.worker
	order := workerapi.StartOrder{
		Task:       r.name.Task.String(),
		Attempt:    int(r.name.Attempt),
		Spec:       r.step.job.record.Spec.Text,
		DueAtMs:    r.dueAtMs,
		FenceToken: s.token,
		Checkpoint: r.checkpoint,
	}
	r.startsOut++
	s.send(Call{Kind: CallStart, Start: order, Timeout: s.answers.timeout()}, w, r)
}

// startEnded takes in the answer to a start. What the worker has listed since goes before it.
func (s *Scheduler) startEnded(ended *call, reply *workerapi.HoldReply) {
	r, w := ended.run, ended.worker
	r.startsOut--
	w.clock.read(reply.ClockMs, s.now)
	if reply.Outcome == workerapi.OtherLife {
		s.lifeOver(w)
		return
	}
	r.startInDoubt = r.startInDoubt || reply.Outcome == workerapi.Unknown
	if r.phase != runOrdered || w.runs[r.name] != r {
		return
	}
	switch reply.Outcome {
	case workerapi.Done:
		s.present(r)
	case workerapi.Unknown:
		s.doubt(r)
	case workerapi.RefusedFence:
	case workerapi.RefusedRoom:
		s.full(w, r.need)
		s.startRefused(r, reply.Outcome)
	case workerapi.Busy:
		s.busy(w)
		s.startRefused(r, reply.Outcome)
	default:
		s.startRefused(r, reply.Outcome)
	}
}

// startRefused takes note that one sending of a start was surely not carried out; another may have been.
func (s *Scheduler) startRefused(r *run, outcome workerapi.Outcome) {
	if r.startsOut > 0 || r.startInDoubt {
		s.doubt(r)
		return
	}
	s.refused(r, outcome)
}

// doubt takes note that a start has no clear answer, unless another sending of it still may have one.
func (s *Scheduler) doubt(r *run) {
	if r.startsOut > 0 {
		return
	}
	r.setPhase(runDoubtful)
	if r.worker.answeredAt < r.orderedAt {
		s.silence(r.worker)
	}
	s.spoilGang(r)
	s.at(r.worker.clock.surelyPast(r.dueAtMs), func() { s.probeFor(r) })
}

// probeFor looks for a run that is still in doubt.
func (s *Scheduler) probeFor(r *run) {
	if r.phase == runDoubtful && r.worker.runs[r.name] == r {
		s.probe(r.worker)
	}
}

// refused gives up a run that the worker surely hasn't started and won't.
func (s *Scheduler) refused(r *run, outcome workerapi.Outcome) {
	if t := r.task(); t != nil {
		t.refusals++
		t.refusal = outcome
		t.avoid = r.worker
	}
	s.spoilGang(r)
	s.void(r)
}

func (r *run) task() *task {
	if r.step == nil || r.foreign {
		return nil
	}
	return &r.step.tasks[r.name.Task.Index]
}

// void proposes that a run doesn't exist and never will.
func (s *Scheduler) void(r *run) {
	r.setPhase(runVoided)
	s.roomFreed(r.worker)
	if r.foreign {
		s.drop(r)
		return
	}
	s.voiding[r.name] = r
	s.voids = append(s.voids, r.name)
}

func (s *Scheduler) proposeVoids() {
	if len(s.voids) == 0 {
		return
	}
	s.propose(state.Command{Kind: state.KindStartsVoided, StartsVoided: s.voids})
	s.voids = nil
}

// voidsCommitted takes in the commit of runs that don't exist.
func (s *Scheduler) voidsCommitted(names []state.Run) {
	for _, name := range names {
		if r := s.voiding[name]; r != nil {
			s.drop(r)
		}
		s.settleName(name.Task)
	}
}
