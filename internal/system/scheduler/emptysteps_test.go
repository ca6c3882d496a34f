package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

// emptyStepWorker is the only worker of these tests.
const emptyStepWorker = "w"

const (
	// lateEndInterval is the time between two ends, so long that every job here misses its objective.
	lateEndInterval = 4 * time.Second
	holdInterval    = 500 * time.Millisecond
	// maxEnds bounds the ends that a test waits for.
	maxEnds = 20
)

// taskPlayer runs the tasks that the scheduler starts on emptyStepWorker and ends them one by one.
type taskPlayer struct {
	*harness
	newestFirst bool // the run that was started last ends first
	calls       []Call
	ends        uint64
}

func (p *taskPlayer) acceptStarts() {
	for {
		call, found := p.takeCall(CallStart, emptyStepWorker)
		if !found {
			return
		}
		p.answerCall(call, workerapi.Done)
		p.answerResends(call, workerapi.Done)
		p.calls = append(p.calls, call)
	}
}

func (p *taskPlayer) running() (listed []workerapi.RunningTask) {
	for _, call := range p.calls {
		listed = append(listed, running(call, 10)...)
	}
	return listed
}

// pass lets time pass while the worker answers its holds.
func (p *taskPlayer) pass(span time.Duration) {
	for end := p.now + span; p.now < end; {
		p.advance(min(holdInterval, end-p.now))
		p.commit()
		p.acceptStarts()
		if call, found := p.takeCall(CallHold, emptyStepWorker); found {
			reply := workerapi.HoldReply{Outcome: workerapi.Done, ClockMs: p.clockMs(), Running: p.running()}
			p.endCall(call, reply)
		}
	}
}

// endOne lists the end of one run.
func (p *taskPlayer) endOne() {
	p.Helper()
	require.NotEmpty(p, p.calls, "nothing runs")
	at := 0
	if p.newestFirst {
		at = len(p.calls) - 1
	}
	ended := p.calls[at]
	p.calls = append(p.calls[:at:at], p.calls[at+1:]...)
	p.ends++
	p.advance(holdInterval)
	p.answerHold(emptyStepWorker, p.running(), finished(p.ends, ended, workerapi.EndDone))
	p.commit()
	p.acceptStarts()
}

// play runs a job to its end.
func (p *taskPlayer) play(id state.JobID) {
	p.Helper()
	p.commit()
	p.acceptStarts()
	for range maxEnds {
		if p.machine.Job(id).State.Finished() {
			break
		}
		p.pass(lateEndInterval)
		p.endOne()
	}
	require.Equal(p, state.Completed, p.machine.Job(id).State)
	require.NoError(p, p.machine.Check())
}

func newTaskPlayer(t *testing.T, newestFirst bool) *taskPlayer {
	p := &taskPlayer{harness: newHarness(t), newestFirst: newestFirst}
	p.list(listEntry(emptyStepWorker, 8000))
	return p
}

func (p *taskPlayer) replaceHead() {
	p.replaceScheduler(p.sched.token + 1)
	p.sched.Listed(p.now, []workerapi.Instance{listEntry(emptyStepWorker, 8000)})
	p.drain()
	p.answerHold(emptyStepWorker, p.running(), nil)
	p.commit()
	p.acceptStarts()
}

func emptyStep(dependsOn ...int) jobspec.Stage { return jobspec.Stage{DependsOn: dependsOn} }

func taskStep(dependsOn ...int) jobspec.Stage {
	working := stage(1, 1000, 100*time.Millisecond)
	working.DependsOn = dependsOn
	return working
}

// emptyStepShapes are jobs that have steps without tasks in every place.
func emptyStepShapes() map[string][]jobspec.Stage {
	gang := stage(2, 1000, 100*time.Millisecond)
	gang.Gang = true
	emptyGang, emptySpread, emptyService := emptyStep(0), emptyStep(0), emptyStep(0)
	emptyGang.Gang, emptyGang.SameRack = true, true
	emptySpread.AntiAffinity, emptySpread.Speculative = 1, true
	emptyService.LongRunning = true
	return map[string][]jobspec.Stage{
		"first":         {emptyStep(), taskStep(), taskStep(0)},
		"middle":        {taskStep(), emptyStep(0), taskStep(1), taskStep(0, 1)},
		"last":          {taskStep(), taskStep(), emptyStep(0)},
		"behind both":   {taskStep(), taskStep(), emptyStep(0, 1)},
		"chain":         {emptyStep(), emptyStep(0), taskStep(1), emptyStep(2), emptyStep(3), taskStep(4)},
		"gang":          {taskStep(), taskStep(), emptyGang},
		"behind a gang": {gang, taskStep(), emptyStep(0)},
		"spread":        {taskStep(), taskStep(), emptySpread},
		"long-running":  {taskStep(), taskStep(), emptyService},
	}
}

// A late job's completion failed on a step without tasks: the head's process panicked (review, case 1).
func TestLateJobWithStepWithoutTasksCompletes(t *testing.T) {
	for shape, stages := range emptyStepShapes() {
		for _, newestFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, newest first %v", shape, newestFirst), func(t *testing.T) {
				p := newTaskPlayer(t, newestFirst)
				p.play(p.submit(stages...))
			})
		}
	}
}

// The same failure in an occurrence of a timed job, which is reported when it ends although the job goes on.
func TestLateOccurrenceWithStepWithoutTasksEnds(t *testing.T) {
	for shape, stages := range emptyStepShapes() {
		for _, newestFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, newest first %v", shape, newestFirst), func(t *testing.T) {
				p := newTaskPlayer(t, newestFirst)
				spec := &jobspec.Spec{Text: "text", Stages: stages, Repetitions: 3,
					FirstRun: time.Duration(p.unixMs()+500) * time.Millisecond, Interval: 6 * time.Second}
				id := p.submitSpec(spec)
				p.pass(time.Second)
				p.play(id)
			})
		}
	}
}

// The same failure under a head that inherits the job, from the log or from a snapshot.
func TestNewHeadCompletesLateJobWithStepWithoutTasks(t *testing.T) {
	for shape, stages := range emptyStepShapes() {
		for _, fromSnapshot := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, from a snapshot %v", shape, fromSnapshot), func(t *testing.T) {
				p := newTaskPlayer(t, true)
				id := p.submit(stages...)
				p.commit()
				p.acceptStarts()
				p.pass(lateEndInterval)
				if fromSnapshot {
					require.NoError(t, p.machine.Restore(p.machine.Snapshot()))
				}
				p.replaceHead()
				p.play(id)
			})
		}
	}
}

// A step without tasks is never opened, so the audit must not report it as overlooked and open it.
func TestAuditFindsNothingAtStepWithoutTasks(t *testing.T) {
	for shape, stages := range emptyStepShapes() {
		t.Run(shape, func(t *testing.T) {
			p := newTaskPlayer(t, false)
			p.submit(stages...)
			p.commit()
			p.acceptStarts()
			p.pass(2 * auditInterval)
			require.Empty(t, p.findings)
		})
	}
}
