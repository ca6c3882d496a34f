package main

import (
	"fmt"
	"strings"

	"gaugeslip/coord/view"
	"gaugeslip/internal/system/console"
	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/jobspec"
)

type jobsCommand struct {
	replicaFlags
	State string `enum:",pending,running,completed,failed,cancelled" default:"" placeholder:"STATE" help:"Only jobs of this state: pending, running, completed, failed or cancelled. Default: all."`
	Limit int    `default:"50" help:"Maximum number of jobs to list. Default: 50."`
}

// jobOutput is a job with its ID in the form that clients use.
type jobOutput struct {
	ID string
	internalapi.JobOverview
}

func newJobOutput(job internalapi.JobOverview) jobOutput {
	return jobOutput{ID: jobspec.ID(job.ID).String(), JobOverview: job}
}

// jobsOutput is the output of `jobs --json`.
type jobsOutput struct {
	Jobs  []jobOutput
	Total int
}

func (c *jobsCommand) Run(printer *console.Printer) error {
	if c.Limit < 1 {
		return fmt.Errorf("--limit %d: at least 1 job", c.Limit)
	}
	var reply internalapi.JobsReply
	verdict := func() (internalapi.Verdict, view.View) { return reply.Verdict, reply.View }
	args := internalapi.JobsArgs{State: c.State, Limit: c.Limit}
	if err := c.callHead(internalapi.MethodJobs, args, &reply, verdict, func() { reply = internalapi.JobsReply{} }); err != nil {
		return err
	}
	list := jobsOutput{Jobs: []jobOutput{}, Total: reply.Total}
	for _, job := range reply.Jobs {
		list.Jobs = append(list.Jobs, newJobOutput(job))
	}
	return c.printer(printer).Print(list, func(t *console.Table) { jobsTable(t, &list) })
}

func jobsTable(t *console.Table, list *jobsOutput) {
	t.Row("JOB", "QUEUE", "SERVICE", "STATE", "RUNS", "ACCEPTED", "OVER")
	for i := range list.Jobs {
		job := &list.Jobs[i]
		t.Row(job.ID, job.Route, job.Service, job.State, job.Runs, console.FormatTime(job.AcceptedMs), console.FormatTime(job.OverMs))
	}
	if left := list.Total - len(list.Jobs); left > 0 {
		t.BlankLine()
		t.Row(fmt.Sprintf("%d of %d shown; --limit shows more", len(list.Jobs), list.Total))
	}
}

// jobDetail requests one job by its name.
func (l *replicaFlags) jobDetail(name string) (*internalapi.JobDetailReply, error) {
	id, ok := jobspec.ParseID(name)
	if !ok {
		return nil, fmt.Errorf("%q isn't a job's name: that is 16 hex digits, as in the job's path", name)
	}
	var reply internalapi.JobDetailReply
	verdict := func() (internalapi.Verdict, view.View) { return reply.Verdict, reply.View }
	reset := func() { reply = internalapi.JobDetailReply{} }
	args := internalapi.JobDetailArgs{ID: uint64(id)}
	if err := l.callHead(internalapi.MethodJobDetail, args, &reply, verdict, reset); err != nil {
		return nil, err
	}
	if reply.Verdict == internalapi.NotKnown {
		return nil, fmt.Errorf("there is no job %s: it was never accepted, or it ended so long ago that it has been deleted", id)
	}
	return &reply, nil
}

type jobCommand struct {
	replicaFlags
	ID string `arg:"" help:"The job's name: 16 hex digits."`
}

// jobDetailOutput is the output of `job --json` and `why --json`.
type jobDetailOutput struct {
	Job          jobOutput
	Tasks        []internalapi.TaskOverview
	TasksLeftOut int
}

func (c *jobCommand) Run(printer *console.Printer) error {
	reply, err := c.jobDetail(c.ID)
	if err != nil {
		return err
	}
	detail := jobDetailOutput{Job: newJobOutput(reply.Job), Tasks: reply.Tasks, TasksLeftOut: reply.TasksLeftOut}
	return c.printer(printer).Print(detail, func(t *console.Table) {
		jobTable(t, &detail.Job)
		tasksTable(t, &detail)
	})
}

func jobTable(t *console.Table, job *jobOutput) {
	t.Row("job", job.ID)
	t.Row("queue", job.Route)
	t.Row("service", job.Service)
	t.Row("state", job.State)
	t.Row("priority", job.Priority)
	t.Row("attempts a task", job.MaxRetries)
	t.Row("accepted", console.FormatTime(job.AcceptedMs))
	t.Row("over", console.FormatTime(job.OverMs))
	t.Row("runs", job.Runs)
}

func tasksTable(t *console.Table, detail *jobDetailOutput) {
	if len(detail.Tasks) == 0 {
		t.BlankLine()
		t.Row("no tasks to show: the job is over, or its time hasn't come")
		return
	}
	t.BlankLine()
	t.Row("TIME", "STEP", "TASK", "STATE", "ATTEMPT", "FAILURES", "PROGRESS", "DEADLINE", "WORKERS", "SPENT", "WHY")
	for i := range detail.Tasks {
		task := &detail.Tasks[i]
		t.Row(task.Time, task.Step, task.Index, task.State, task.Attempt, task.Failures, progress(task), deadline(task),
			console.OrDash(strings.Join(task.Workers, " ")), console.OrDash(task.Spent), task.Why)
	}
	if detail.TasksLeftOut > 0 {
		t.BlankLine()
		t.Row(fmt.Sprintf("and %d more tasks", detail.TasksLeftOut))
	}
}

func progress(task *internalapi.TaskOverview) string {
	if task.HasCheckpoint {
		return "saved"
	}
	return "-"
}

// deadline formats the time until a task has to end, or since it should have ended.
func deadline(task *internalapi.TaskOverview) string {
	switch {
	case !task.HasDeadline:
		return "-"
	case task.DeadlineMs < 0:
		return console.FormatMilliseconds(-task.DeadlineMs) + " ago"
	}
	return "in " + console.FormatMilliseconds(task.DeadlineMs)
}

type whyCommand struct {
	replicaFlags
	ID string `arg:"" help:"The job's name: 16 hex digits."`
}

func (c *whyCommand) Run(printer *console.Printer) error {
	reply, err := c.jobDetail(c.ID)
	if err != nil {
		return err
	}
	detail := jobDetailOutput{Job: newJobOutput(reply.Job), Tasks: waitingTasks(reply.Tasks), TasksLeftOut: reply.TasksLeftOut}
	return c.printer(printer).Print(detail, func(t *console.Table) { whyTable(t, &detail) })
}

// waitingTasks returns the tasks that don't run and aren't done.
func waitingTasks(tasks []internalapi.TaskOverview) []internalapi.TaskOverview {
	waiting := []internalapi.TaskOverview{}
	for _, task := range tasks {
		switch task.State {
		case "waiting", "paused", "blocked", "idle":
			waiting = append(waiting, task)
		}
	}
	return waiting
}

func whyTable(t *console.Table, detail *jobDetailOutput) {
	if len(detail.Tasks) == 0 {
		t.Row(fmt.Sprintf("no task of job %s waits; the job is %s, with %d runs", detail.Job.ID, detail.Job.State, detail.Job.Runs))
		return
	}
	t.Row("TIME", "STEP", "TASKS", "STATE", "WHY")
	for _, group := range groupByReason(detail.Tasks) {
		why := group.first.Why
		if why == "" && group.first.State == "paused" {
			why = "it was refused or failed several times in a row, and is retried after at most one second"
		}
		t.Row(group.first.Time, group.first.Step, group.count, group.first.State, console.OrDash(why))
	}
}

// taskGroup is a number of consecutive tasks of one step that wait for the same reason.
type taskGroup struct {
	first *internalapi.TaskOverview
	count int
}

func groupByReason(tasks []internalapi.TaskOverview) []taskGroup {
	var result []taskGroup
	for i := range tasks {
		task := &tasks[i]
		if last := len(result) - 1; last >= 0 && sameReason(result[last].first, task) {
			result[last].count++
			continue
		}
		result = append(result, taskGroup{first: task, count: 1})
	}
	return result
}

func sameReason(a, b *internalapi.TaskOverview) bool {
	return a.Time == b.Time && a.Step == b.Step && a.State == b.State && a.Why == b.Why
}
