package scheduler

import (
	"fmt"
	"slices"
	"time"

	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

// simRun is one run on a simulated worker.
type simRun struct {
	worker   *simWorker
	task     *simTask
	name     state.Run
	stopping bool
	over     bool
	gang     *simGang
}

type gangKey struct {
	job        state.JobID
	time, step uint32
	index      int64 // -1 for gangs
	attempt    uint32
	worker     string
}

// simGang is the work of one run, or of all members of a gang together.
type simGang struct {
	world     *simCluster
	key       gangKey
	stage     *simStage
	members   []*simRun
	begun     bool
	halted    bool
	progress  time.Duration
	saved     time.Duration
	savedText string
	settledAt time.Duration
	epoch     int
	failAt    time.Duration // progress at which it fails; 0: never
}

// begin starts a run and checks that it is allowed.
func (w *simCluster) begin(worker *simWorker, task *simTask, name state.Run, order *workerapi.StartOrder) {
	w.stats.starts++
	r := &simRun{worker: worker, task: task, name: name}
	w.checkStart(r, order)
	worker.runs[name] = r
	w.checkPlace(r)
	task.running = append(task.running, r)
	key := gangKey{job: name.Task.Job, time: name.Task.Time, step: name.Task.Step, index: -1, attempt: name.Attempt}
	if !task.stage.spec.Gang {
		key.index, key.worker = int64(name.Task.Index), worker.instance
	}
	g := w.gangs[key]
	if g == nil {
		g = &simGang{world: w, key: key, stage: task.stage}
		w.gangs[key] = g
	}
	r.gang = g
	g.join(r, order.Checkpoint)
}

func (g *simGang) size() int {
	if g.stage.spec.Gang {
		return g.stage.spec.Count
	}
	return 1
}

func (g *simGang) join(r *simRun, checkpoint string) {
	w := g.world
	if len(g.members) == 0 && checkpoint != "" {
		g.savedText = checkpoint
		g.saved = w.savedProgress(r.task, checkpoint)
		g.progress = g.saved
	}
	if checkpoint != g.savedText && !g.begun {
		w.violated("UNASKED", "%v: members carry %q and %q", r.name, checkpoint, g.savedText)
	}
	g.members = append(g.members, r)
	if len(g.members) < g.size() {
		w.schedule(w.bounds.Gang(), func() {
			if !r.over && !g.begun {
				if w.faultFree {
					w.violated("GANG", "%v waits for its gang alone", r.name)
				}
				w.stats.gangsAlone++
				r.end(workerapi.EndGangIncomplete)
			}
		})
		return
	}
	if !g.halted {
		g.begun = true
		g.settledAt = w.now + g.restore()
		g.drawFailure(r)
		g.schedule()
	}
}

func (g *simGang) restore() time.Duration {
	if g.savedText == "" {
		return 0
	}
	return g.world.bounds.Restore()
}

// drawFailure decides whether and at what progress this run fails.
func (g *simGang) drawFailure(r *simRun) {
	work := g.stage.work
	switch {
	case r.task.step.ownFailures > r.task.step.failed && g.stage.spec.Gang,
		r.task.ownFailures > r.task.failed && !g.stage.spec.Gang,
		g.anyFailing():
		g.failAt = g.progress + max(work-g.progress, 2)/2
	case g.stage.spec.LongRunning:
		g.failAt = g.progress + g.world.between(time.Second, 20*time.Second)
	}
}

func (g *simGang) anyFailing() bool {
	for _, r := range g.members {
		if r.worker.failing {
			return true
		}
	}
	return false
}

// pace returns the time that one unit of work takes; 0 if the work is stalled.
func (g *simGang) pace() float64 {
	pace := 1.0
	for _, r := range g.members {
		if r.worker.stalled {
			return 0
		}
		factor := r.worker.slow
		if rack := g.stage.spec.Colocation; rack != "" && !slices.Contains(r.worker.labels, rack) {
			factor *= g.world.bounds.Far()
		}
		pace = max(pace, factor)
	}
	return pace
}

// settle updates the progress to the current time.
func (g *simGang) settle() {
	w := g.world
	if !g.begun || g.halted || w.now <= g.settledAt {
		return
	}
	if pace := g.pace(); pace > 0 {
		g.progress += time.Duration(float64(w.now-g.settledAt) / pace)
	}
	g.settledAt = w.now
}

func (g *simGang) halt() {
	g.halted = true
	g.epoch++
}

// schedule schedules the next event of the work: its end, its failure, or a save.
func (g *simGang) schedule() {
	pace := g.pace()
	if g.halted || pace == 0 {
		return
	}
	target := g.stage.work
	if g.stage.spec.LongRunning {
		target = time.Hour
	}
	if g.failAt > 0 {
		target = min(target, g.failAt)
	}
	if g.stage.spec.Checkpoints {
		target = min(target, g.saved+g.world.bounds.Save())
	}
	g.epoch++
	epoch := g.epoch
	span := max(g.settledAt-g.world.now, 0) + time.Duration(float64(max(target-g.progress, 0))*pace)
	g.world.schedule(span+time.Microsecond, func() {
		if g.epoch == epoch && !g.halted {
			g.settle()
			g.reachTarget(target)
		}
	})
}

func (g *simGang) reachTarget(target time.Duration) {
	g.progress = max(g.progress, target)
	switch {
	case g.failAt > 0 && g.progress >= g.failAt:
		g.members[0].end(workerapi.EndFailed)
	case !g.stage.spec.LongRunning && g.progress >= g.stage.work:
		g.halt()
		for _, r := range slices.Clone(g.members) {
			r.end(workerapi.EndDone)
		}
	default:
		g.save()
		g.schedule()
	}
}

func (g *simGang) save() {
	if !g.stage.spec.Checkpoints || g.progress <= g.saved {
		return
	}
	g.saved = g.progress
	g.savedText = fmt.Sprintf("%08x-%x", g.saved.Microseconds(), uint64(g.key.job))
	g.world.recordCheckpoint(g)
}

func (g *simGang) percent() int {
	g.settle()
	return int(min(100*g.progress/max(g.stage.work, 1), 100))
}

// removeMember removes a member. If the gang has begun, the other members are broken off too.
func (g *simGang) removeMember(gone *simRun) {
	gone.over = true
	gone.task.running = slices.DeleteFunc(gone.task.running, func(r *simRun) bool { return r == gone })
	g.members = slices.DeleteFunc(g.members, func(r *simRun) bool { return r == gone })
	if !g.begun {
		return
	}
	g.settle()
	g.halt()
	for _, r := range slices.Clone(g.members) {
		r.end(workerapi.EndGangBroken)
	}
}

// end ends a run and lists the end.
func (r *simRun) end(how workerapi.EndReason) {
	if r.over || r.worker.runs[r.name] != r {
		return
	}
	w := r.worker.world
	w.stats.ends++
	r.over = true
	delete(r.worker.runs, r.name)
	r.worker.over[r.name.Task] = max(r.worker.over[r.name.Task], r.name.Attempt)
	r.worker.lastNumber++
	end := &simEnd{
		number: r.worker.lastNumber, run: r.name, how: how, checkpoint: r.gang.savedText, task: r.task, at: w.now,
	}
	r.worker.finished = append(r.worker.finished, end)
	w.recordEnd(end, r)
	if how == workerapi.EndDone {
		r.gang.members = slices.DeleteFunc(r.gang.members, func(m *simRun) bool { return m == r })
		r.task.running = slices.DeleteFunc(r.task.running, func(m *simRun) bool { return m == r })
	} else {
		r.gang.removeMember(r)
	}
	waiting := r.worker.waiting
	r.worker.waiting = nil
	for _, wait := range waiting {
		w.schedule(0, wait.answer)
	}
}
