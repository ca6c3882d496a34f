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
	looking
	State string `enum:",pending,running,completed,failed,cancelled" default:"" placeholder:"STATE" help:"Only jobs of this state: pending, running, completed, failed or cancelled. Default: all."`
	Limit int    `default:"50" help:"Most jobs to list, in jobs. Default: 50."`
}

// shownJob is a job with its name as clients use it.
type shownJob struct {
	ID string
	internalapi.JobOverview
}

func shown(job internalapi.JobOverview) shownJob {
	return shownJob{ID: jobspec.ID(job.ID).String(), JobOverview: job}
}

// shownJobs is what `jobs --json` prints.
type shownJobs struct {
	Jobs  []shownJob
	Total int
}

func (c *jobsCommand) Run(printer *console.Printer) error {
	if c.Limit < 1 {
		return fmt.Errorf("--limit %d: at least 1 job", c.Limit)
	}
	var reply internalapi.JobsReply
	verdict := func() (internalapi.Verdict, view.View) { return reply.Verdict, reply.View }
	args := internalapi.JobsArgs{State: c.State, Limit: c.Limit}
	if err := c.askHead(internalapi.MethodJobs, args, &reply, verdict, func() { reply = internalapi.JobsReply{} }); err != nil {
		return err
	}
	list := shownJobs{Jobs: []shownJob{}, Total: reply.Total}
	for _, job := range reply.Jobs {
		list.Jobs = append(list.Jobs, shown(job))
	}
	return c.printer(printer).Print(list, func(t *console.Table) { jobsTable(t, &list) })
}

func jobsTable(t *console.Table, list *shownJobs) {
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

// detail asks for one job by its name.
func (l *looking) detail(name string) (*internalapi.JobDetailReply, error) {
	id, ok := jobspec.ParseID(name)
	if !ok {
		return nil, fmt.Errorf("%q is no job: a job's name is 16 hex digits, as in its path", name)
	}
	var reply internalapi.JobDetailReply
	verdict := func() (internalapi.Verdict, view.View) { return reply.Verdict, reply.View }
	reset := func() { reply = internalapi.JobDetailReply{} }
	args := internalapi.JobDetailArgs{ID: uint64(id)}
	if err := l.askHead(internalapi.MethodJobDetail, args, &reply, verdict, reset); err != nil {
		return nil, err
	}
	if reply.Verdict == internalapi.NotKnown {
		return nil, fmt.Errorf("there is no job %s: it was never accepted, or was over for so long that it is forgotten", id)
	}
	return &reply, nil
}

type jobCommand struct {
	looking
	ID string `arg:"" help:"The job's name: 16 hex digits."`
}

// shownDetail is what `job --json` and `why --json` print.
type shownDetail struct {
	Job          shownJob
	Tasks        []internalapi.TaskOverview
	TasksLeftOut int
}

func (c *jobCommand) Run(printer *console.Printer) error {
	reply, err := c.detail(c.ID)
	if err != nil {
		return err
	}
	detail := shownDetail{Job: shown(reply.Job), Tasks: reply.Tasks, TasksLeftOut: reply.TasksLeftOut}
	return c.printer(printer).Print(detail, func(t *console.Table) {
		jobTable(t, &detail.Job)
		tasksTable(t, &detail)
	})
}

func jobTable(t *console.Table, job *shownJob) {
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

func tasksTable(t *console.Table, detail *shownDetail) {
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

// deadline tells when a task has to end, from now.
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
	looking
	ID string `arg:"" help:"The job's name: 16 hex digits."`
}

func (c *whyCommand) Run(printer *console.Printer) error {
	reply, err := c.detail(c.ID)
	if err != nil {
		return err
	}
	detail := shownDetail{Job: shown(reply.Job), Tasks: waitingTasks(reply.Tasks), TasksLeftOut: reply.TasksLeftOut}
	return c.printer(printer).Print(detail, func(t *console.Table) { whyTable(t, &detail) })
}

// waitingTasks are those that don't run and aren't done.
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

func whyTable(t *console.Table, detail *shownDetail) {
	if len(detail.Tasks) == 0 {
		t.Row(fmt.Sprintf("nothing of job %s waits; it is %s, with %d runs", detail.Job.ID, detail.Job.State, detail.Job.Runs))
		return
	}
	t.Row("TIME", "STEP", "TASKS", "STATE", "WHY")
	for _, group := range groups(detail.Tasks) {
		why := group.first.Why
		if why == "" && group.first.State == "paused" {
			why = "it was refused or ended too often in turn, and is tried again after a pause of a second at most"
		}
		t.Row(group.first.Time, group.first.Step, group.count, group.first.State, console.OrDash(why))
	}
}

// taskGroup is tasks of one step that wait for the same.
type taskGroup struct {
	first *internalapi.TaskOverview
	count int
}

func groups(tasks []internalapi.TaskOverview) []taskGroup {
	var found []taskGroup
	for i := range tasks {
		task := &tasks[i]
		if last := len(found) - 1; last >= 0 && alike(found[last].first, task) {
			found[last].count++
			continue
		}
		found = append(found, taskGroup{first: task, count: 1})
	}
	return found
}

func alike(a, b *internalapi.TaskOverview) bool {
	return a.Time == b.Time && a.Step == b.Step && a.State == b.State && a.Why == b.Why
}
