package state

func (m *Machine) end(ended *TasksEnded, result *Result) {
	worker := m.openWorker(ended.Worker)
	for i := range ended.Ends {
		end := &ended.Ends[i]
		if end.Number <= worker.LastSeen {
			continue
		}
		worker.LastSeen = end.Number
		if job := m.jobs[end.Task.Job]; job != nil {
			m.endRun(job, end, result)
			result.touch(job)
		}
	}
}

// endRun takes note of one end.
func (m *Machine) endRun(job *Job, end *End, result *Result) {
	task := job.Task(end.Task)
	if task == nil || end.Attempt > task.Attempt {
		return
	}
	if end.Checkpoint != "" && !job.State.Finished() {
		task.Checkpoint = end.Checkpoint
	}
	if !job.State.Finished() {
		m.count(job, task, end, result)
	}
	m.removePlacement(job, end.Run)
}

// count takes an end's effect on its task and job, while the job isn't over.
func (m *Machine) count(job *Job, task *Task, end *End, result *Result) {
	stage := &job.Spec.Stages[end.Task.Step]
	if stage.LongRunning {
		return
	}
	switch end.How {
	case Done:
		m.taskDone(job, end, stage.Gang, result)
	case Failed:
		if task.Done {
			return
		}
		if failures := countFailure(job, task, end, stage.Gang); failures >= uint32(max(job.MaxRetries, 1)) {
			m.finish(job, JobFailed, job.AcceptedMs, result)
		}
	}
}

// countFailure counts a failed run, one for a whole gang, and gives how many there are.
func countFailure(job *Job, task *Task, end *End, gang bool) uint32 {
	if !gang {
		task.Failures++
		return task.Failures
	}
	step := &job.Times[end.Task.Time].Steps[end.Task.Step]
	if end.Attempt > step.GangFailed {
		step.GangFailed = end.Attempt
		step.GangFailures++
	}
	return step.GangFailures
}

func (m *Machine) taskDone(job *Job, end *End, gang bool, result *Result) {
	time := job.Times[end.Task.Time]
	step := &time.Steps[end.Task.Step]
	if gang {
		for i := range step.Tasks {
			step.markDone(i)
		}
	} else {
		step.markDone(int(end.Task.Index))
	}
	m.advance(job, result)
}

func (s *Step) markDone(index int) {
	if s.Tasks[index].Done {
		return
	}
	s.Tasks[index].Done = true
	s.Open--
}

// advance completes a job all of whose tasks are done.
func (m *Machine) advance(job *Job, result *Result) {
	if uint32(len(job.Times)) < job.OccurrenceCount() {
		return
	}
	for _, time := range job.Times {
		for i := range time.Steps {
			if time.Steps[i].Open > 0 {
				return
			}
		}
	}
	m.finish(job, Completed, job.AcceptedMs, result)
}
