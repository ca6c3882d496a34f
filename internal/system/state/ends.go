package state

func (m *Machine) recordEnds(ended *TasksEnded, result *Result) {
	worker := m.ensureWorker(ended.Worker)
	for i := range ended.Ends {
		end := &ended.Ends[i]
		if end.Number <= worker.LastSeen {
			continue
		}
		worker.LastSeen = end.Number
		if job := m.jobs[end.Task.Job]; job != nil {
			m.recordEnd(job, end, result)
			result.addJob(job)
		}
	}
}

// recordEnd records the end of one run.
func (m *Machine) recordEnd(job *Job, end *End, result *Result) {
	task := job.Task(end.Task)
	if task == nil || end.Attempt > task.Attempt {
		return
	}
	if end.Checkpoint != "" && !job.State.Finished() {
		task.Checkpoint = end.Checkpoint
	}
	if !job.State.Finished() {
		m.applyEnd(job, task, end, result)
	}
	m.removePlacement(job, end.Run)
}

// applyEnd updates the task and the job for the end of a run. The job must not be finished.
func (m *Machine) applyEnd(job *Job, task *Task, end *End, result *Result) {
	stage := &job.Spec.Stages[end.Task.Step]
	if stage.LongRunning {
		return
	}
	switch end.How {
	case Done:
		m.completeTask(job, end, stage.Gang, result)
	case Failed:
		if task.Done {
			return
		}
		if failures := countFailure(job, task, end, stage.Gang); failures >= uint32(max(job.MaxRetries, 1)) {
			m.finishJob(job, JobFailed, job.AcceptedMs, result)
		}
	}
}

// countFailure counts a failed run, once for all members of a gang's attempt, and returns the number of failures.
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

func (m *Machine) completeTask(job *Job, end *End, gang bool, result *Result) {
	occurrence := job.Times[end.Task.Time]
	step := &occurrence.Steps[end.Task.Step]
	if gang {
		for i := range step.Tasks {
			step.markDone(i)
		}
	} else {
		step.markDone(int(end.Task.Index))
	}
	m.completeIfDone(job, result)
}

func (s *Step) markDone(index int) {
	if s.Tasks[index].Done {
		return
	}
	s.Tasks[index].Done = true
	s.Open--
}

// completeIfDone completes a job if all its tasks are done.
func (m *Machine) completeIfDone(job *Job, result *Result) {
	if uint32(len(job.Times)) < job.OccurrenceCount() {
		return
	}
	for _, occurrence := range job.Times {
		for i := range occurrence.Steps {
			if occurrence.Steps[i].Open > 0 {
				return
			}
		}
	}
	m.finishJob(job, Completed, job.AcceptedMs, result)
}
