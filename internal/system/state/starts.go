package state

// MayStart tells whether the intent to start a run holds in the present state, but for its tenant's share.
func (m *Machine) MayStart(start *Start) bool {
	job := m.jobs[start.Task.Job]
	if job == nil || job.State.Finished() || int(start.Task.Step) >= len(job.Spec.Stages) {
		return false
	}
	stage := &job.Spec.Stages[start.Task.Step]
	if int(start.Task.Index) >= stage.Count || start.Task.Time >= job.OccurrenceCount() || !job.StepReady(start.Task.Time, start.Task.Step) {
		return false
	}
	task := job.Task(start.Task)
	if task == nil {
		return true
	}
	return !task.Done && start.Attempt > task.Attempt && (len(task.Placements) == 0 || stage.Speculative)
}

func (m *Machine) start(starts []Start, result *Result) {
	for len(starts) > 0 {
		group := starts[:m.together(starts)]
		if m.withinShare(group) {
			m.startGroup(group, result)
		}
		starts = starts[len(group):]
	}
}

func (m *Machine) startGroup(starts []Start, result *Result) {
	for i := range starts {
		if start := &starts[i]; m.MayStart(start) {
			m.place(start, result)
		}
	}
}

// place takes note of a run that may exist from now on.
func (m *Machine) place(start *Start, result *Result) {
	job := m.jobs[start.Task.Job]
	job.openTime(start.Task.Time)
	task := job.Task(start.Task)
	task.Attempt = start.Attempt
	task.Checkpoint = start.Checkpoint
	task.Placements = append(task.Placements, Placement{Attempt: start.Attempt, Worker: start.Worker})
	job.Runs++
	if job.State == Pending {
		job.State = Running
	}
	m.openWorker(start.Worker).Runs[start.Run] = struct{}{}
	m.quotas.Charge(job.Tenant, job.accelerators(start.Task.Step))
	result.Started = append(result.Started, *start)
	result.touch(job)
}

func (m *Machine) void(runs []Run, result *Result) {
	for _, run := range runs {
		if job := m.jobs[run.Task.Job]; job != nil {
			m.removePlacement(job, run)
			result.touch(job)
		}
	}
}

// removePlacement takes away a run that doesn't exist (any more).
func (m *Machine) removePlacement(job *Job, run Run) {
	task := job.Task(run.Task)
	if task == nil {
		return
	}
	for i, placement := range task.Placements {
		if placement.Attempt != run.Attempt {
			continue
		}
		task.Placements = append(task.Placements[:i], task.Placements[i+1:]...)
		job.Runs--
		m.quotas.Release(job.Tenant, job.accelerators(run.Task.Step))
		if worker := m.workers[placement.Worker]; worker != nil {
			delete(worker.Runs, run)
		}
		job.release()
		return
	}
}
