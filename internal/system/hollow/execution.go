package hollow

import (
	"math"
	"time"
)

// gangKey identifies one attempt of a gang.
type gangKey struct {
	job        string
	repetition int
	stage      int
	attempt    int
}

// executionState is the state of an execution.
type executionState uint8

const (
	gathering executionState = iota // not all members are present
	restoring                       // the checkpoint is being read
	working                         // the work is in progress
	halted                          // a member is being stopped or has ended
)

// execution is the work of one run: of a single task, or of all members of a gang together.
type execution struct {
	world       *World
	key         gangKey // set for a gang only
	group       string  // checkpoint group: the task, or the gang over all attempts
	stage       *Stage
	members     []*run
	memberCount int
	state       executionState

	progress        time.Duration // work done at updatedAt
	updatedAt       time.Duration
	slowdown        float64 // time per unit of work; +Inf if the work stands still
	resumedFrom     time.Duration
	saved           time.Duration
	savedCheckpoint string
	failAt          time.Duration // progress at which it fails; negative if it does not
	failingMember   *run
	next            *event
}

const neverFails = time.Duration(-1)

// executionFor returns the execution for a run of the task: that of its gang if it is still gathering, else a new one.
func (world *World) executionFor(task *task, attempt int) *execution {
	if !task.stage.Gang {
		return world.newExecution(task, gangKey{})
	}
	key := gangKey{task.key.job, task.key.repetition, task.key.stage, attempt}
	if known := world.gangs[key]; known != nil && known.state == gathering {
		return known
	}
	created := world.newExecution(task, key)
	world.gangs[key] = created
	return created
}

func (world *World) newExecution(task *task, key gangKey) *execution {
	created := &execution{
		world:       world,
		key:         key,
		group:       task.checkpointGroup(),
		stage:       task.stage,
		memberCount: 1,
		failAt:      neverFails,
	}
	if task.stage.Gang {
		created.memberCount = task.stage.Count
	}
	return created
}

// join adds a member, and starts the execution once all members are present.
func (execution *execution) join(member *run) {
	execution.members = append(execution.members, member)
	member.execution = execution
	if execution.state == gathering && len(execution.members) == execution.memberCount {
		execution.begin()
		return
	}
	if execution.state == gathering {
		execution.world.after(execution.world.settings.Gang, member.timeOutGathering)
	}
}

// begin ends the gathering and starts the restore or the work.
func (execution *execution) begin() {
	world := execution.world
	for _, member := range execution.members {
		world.stats.GangWaitCPU += coreTime(member.task.stage.Need, world.now-member.startedAt)
	}
	execution.drawFailure()
	if execution.saved == 0 {
		execution.startWork()
		return
	}
	execution.state = restoring
	execution.next = world.after(world.settings.Restore, execution.startWork)
}

// startWork starts the work at the checkpoint.
func (execution *execution) startWork() {
	execution.state = working
	execution.progress = execution.saved
	execution.resumedFrom = execution.saved
	execution.updatedAt = execution.world.now
	execution.slowdown = execution.currentSlowdown()
	execution.schedule()
}

// drawFailure decides whether this execution fails, and at which progress.
func (execution *execution) drawFailure() {
	if execution.stage.FailAfter > 0 {
		execution.failAt = execution.saved + execution.stage.FailAfter
		execution.failingMember = execution.members[0]
	}
	for _, member := range execution.members {
		own := member.task.failures < execution.stage.OwnFailures
		if own || execution.world.random.Float64() < member.worker.faults.FailShare {
			execution.failAt = execution.saved + (execution.stage.Work-execution.saved)/2
			execution.failingMember = member
		}
	}
}

// currentSlowdown returns the slowdown of the slowest member, times that of a gang spread over several racks.
func (execution *execution) currentSlowdown() float64 {
	factor := 1.0
	for _, member := range execution.members {
		factor = max(factor, member.slowdown())
	}
	if execution.stage.SameRack && execution.racks() > 1 {
		factor *= execution.world.settings.Far
	}
	return factor
}

func (execution *execution) racks() int {
	racks := make(map[string]struct{})
	for _, member := range execution.members {
		racks[member.worker.rack] = struct{}{}
	}
	return len(racks)
}

// updateProgress sets the progress as of now.
func (execution *execution) updateProgress() {
	now := execution.world.now
	if execution.state == working {
		execution.progress += time.Duration(float64(now-execution.updatedAt) / execution.slowdown)
	}
	execution.updatedAt = now
}

// updateSpeed applies a change of a member's speed.
func (execution *execution) updateSpeed() {
	if execution.state != working {
		return
	}
	execution.updateProgress()
	execution.slowdown = execution.currentSlowdown()
	execution.schedule()
}

// schedule sets the event for the next progress at which something happens.
func (execution *execution) schedule() {
	execution.next.cancel()
	execution.next = nil
	target, exists := execution.nextPoint()
	if !exists || math.IsInf(execution.slowdown, 1) {
		return
	}
	span := time.Duration(math.Ceil(float64(target-execution.progress) * execution.slowdown))
	execution.next = execution.world.after(max(span, 0), func() { execution.handlePoint(target) })
}

func (execution *execution) nextPoint() (target time.Duration, exists bool) {
	target = math.MaxInt64
	if !execution.stage.LongRunning {
		target = execution.stage.Work
	}
	if execution.failAt >= 0 {
		target = min(target, execution.failAt)
	}
	if execution.stage.Checkpoints {
		target = min(target, execution.saved+execution.world.settings.Save)
	}
	return target, target != math.MaxInt64
}

// handlePoint handles the scheduled progress: a failure, the completion or a checkpoint.
func (execution *execution) handlePoint(target time.Duration) {
	execution.updateProgress()
	execution.progress = target
	switch {
	case execution.failAt >= 0 && target >= execution.failAt:
		execution.failingMember.end(endFailed)
	case !execution.stage.LongRunning && target >= execution.stage.Work:
		execution.complete()
	default:
		execution.save()
		execution.schedule()
	}
}

// complete ends all members as done.
func (execution *execution) complete() {
	execution.halt()
	execution.saved = execution.progress
	for _, member := range execution.takeMembers() {
		member.finish(endDone)
	}
}

// save stores a checkpoint of the present progress.
func (execution *execution) save() {
	if !execution.stage.Checkpoints || execution.progress <= execution.saved {
		return
	}
	execution.saved = execution.progress
	execution.savedCheckpoint = checkpointText(execution.group, execution.progress)
	execution.world.checker.recordCheckpoint(execution.group, execution.progress)
}

// halt stops the work. It is not resumed.
func (execution *execution) halt() {
	execution.updateProgress()
	execution.state = halted
	execution.next.cancel()
	execution.next = nil
}

// memberEnded handles the end of one member. Once the work has started, the end of one member ends all.
func (execution *execution) memberEnded(ended *run) {
	if execution.state == gathering {
		execution.removeMember(ended)
		return
	}
	execution.halt()
	for _, member := range execution.takeMembers() {
		if member != ended {
			member.finish(endGangBroken)
		}
	}
}

func (execution *execution) removeMember(ended *run) {
	for i, member := range execution.members {
		if member == ended {
			execution.members = append(execution.members[:i], execution.members[i+1:]...)
			break
		}
	}
	if len(execution.members) == 0 {
		execution.unregister()
	}
}

// unregister removes the execution from the world's table of gangs.
func (execution *execution) unregister() {
	if execution.world.gangs[execution.key] == execution {
		delete(execution.world.gangs, execution.key)
	}
}

func (execution *execution) takeMembers() []*run {
	members := execution.members
	execution.members = nil
	execution.unregister()
	return members
}

// percent returns the progress as workers list it.
func (execution *execution) percent() int {
	if execution.state == working {
		execution.updateProgress()
	}
	if execution.stage.Work <= 0 {
		return 0
	}
	return int(min(100*execution.progress/execution.stage.Work, 100))
}

// unsaved returns the work that is lost if the execution ends now.
func (execution *execution) unsaved() time.Duration {
	return max(execution.progress-max(execution.saved, execution.resumedFrom), 0)
}

// coreTime returns the core time of a run; one GPU counts as 8 cores.
func coreTime(need Resources, span time.Duration) time.Duration {
	const gpuCores = 8
	return span * time.Duration(need.CPU+gpuCores*1000*need.GPUs) / 1000
}
