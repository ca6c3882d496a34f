package control

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/scheduler"
	"gaugeslip/internal/system/state"
)

const maxTasksPerReply = 2000

// JobDetail returns one job with its tasks and what they wait for. Only the head can answer.
func (s *Service) JobDetail(args internalapi.JobDetailArgs, reply *internalapi.JobDetailReply) (err error) {
	*reply, err = queryOnLoop(s.node, func() internalapi.JobDetailReply { return s.node.jobDetail(state.JobID(args.ID)) })
	return err
}

func (n *Node) jobDetail(id state.JobID) internalapi.JobDetailReply {
	if !n.acting() || n.scheduler == nil {
		return internalapi.JobDetailReply{Verdict: internalapi.NotHead, View: n.engine.view()}
	}
	job := n.engine.machine.Job(id)
	if job == nil {
		return internalapi.JobDetailReply{Verdict: internalapi.NotKnown}
	}
	detail := jobDetail{job: job, openTasks: map[state.TaskName]scheduler.TaskView{}, nowMs: n.now().Milliseconds()}
	for _, task := range n.scheduler.ExplainJob(id) {
		detail.openTasks[task.Task] = task
	}
	detail.collect()
	detail.reply.Verdict, detail.reply.Job = internalapi.Done, jobOverview(job)
	return detail.reply
}

// jobDetail combines the replicated record of a job with the scheduler's view of its open tasks.
type jobDetail struct {
	job       *state.Job
	openTasks map[state.TaskName]scheduler.TaskView
	nowMs     int64
	reply     internalapi.JobDetailReply
}

func (d *jobDetail) collect() {
	if d.job.Spec == nil {
		return // the job is finished and has no runs: its tasks are no longer kept
	}
	for _, time := range d.occurrences() {
		for step := range d.job.Spec.Stages {
			d.collectStep(time, uint32(step))
		}
	}
}

// occurrences returns the occurrences of the job of which a task was started or is waiting, in order.
func (d *jobDetail) occurrences() []uint32 {
	begun := map[uint32]struct{}{}
	for time := range d.job.Times {
		begun[time] = struct{}{}
	}
	for name := range d.openTasks {
		begun[name.Time] = struct{}{}
	}
	return slices.Sorted(maps.Keys(begun))
}

func (d *jobDetail) collectStep(time, step uint32) {
	blocked := d.blockedReason(time, step)
	for index := range d.job.Spec.Stages[step].Count {
		if len(d.reply.Tasks) >= maxTasksPerReply {
			d.reply.TasksLeftOut++
			continue
		}
		name := state.TaskName{Job: d.job.ID, Time: time, Step: step, Index: uint32(index)}
		d.reply.Tasks = append(d.reply.Tasks, d.task(name, blocked))
	}
}

// blockedReason names the earlier steps that a step waits for. It is empty if the step may run.
func (d *jobDetail) blockedReason(time, step uint32) string {
	var open []string
	for _, earlier := range d.job.Spec.Stages[step].DependsOn {
		if !d.job.StepDone(time, uint32(earlier)) {
			open = append(open, fmt.Sprint(earlier))
		}
	}
	if len(open) == 0 {
		return ""
	}
	return "waits for the end of step " + strings.Join(open, ", ")
}

func (d *jobDetail) task(name state.TaskName, blocked string) internalapi.TaskOverview {
	task := internalapi.TaskOverview{Time: name.Time, Step: name.Step, Index: name.Index, State: "waiting"}
	if blocked != "" {
		task.State, task.Why = "blocked", blocked
	}
	if record := d.job.Task(name); record != nil {
		fillFromRecord(&task, record)
	}
	if d.job.State.Finished() && task.State != "done" {
		task.State, task.Why = d.job.State.String(), ""
		return task
	}
	if shown, open := d.openTasks[name]; open {
		task.State, task.Why, task.Spent = shown.State, shown.Reason, shown.Spent.String()
		task.HasDeadline, task.DeadlineMs = true, shown.Deadline.Milliseconds()-d.nowMs
		if len(shown.Runs) > 0 {
			task.Workers = shown.Runs
		}
	}
	return task
}

func fillFromRecord(task *internalapi.TaskOverview, record *state.Task) {
	task.Attempt, task.Failures, task.HasCheckpoint = record.Attempt, record.Failures, record.Checkpoint != ""
	for _, placement := range record.Placements {
		task.Workers = append(task.Workers, placement.Worker)
	}
	switch {
	case record.Done:
		task.State, task.Why = "done", ""
	case len(record.Placements) > 0:
		task.State, task.Why = "active", ""
	}
}
