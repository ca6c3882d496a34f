package scheduler

import "gaugeslip/internal/system/state"

// pendingJobs holds, per queue, the jobs of which no task is known to have begun. A start that was sent but not answered may not have begun
// anything, so its job counts until the worker reports the run or lists its end.
type pendingJobs map[string]map[state.JobID]struct{}

// add adds an unfinished job, unless it has begun.
func (p pendingJobs) add(j *job) {
	if j.begun = hasBegun(j.record); j.begun {
		return
	}
	queue := p[j.record.Route]
	if queue == nil {
		queue = make(map[state.JobID]struct{})
		p[j.record.Route] = queue
	}
	queue[j.record.ID] = struct{}{}
}

// markBegun records that a task of a job has begun.
func (p pendingJobs) markBegun(j *job) {
	if j.begun {
		return
	}
	j.begun = true
	queue := p[j.record.Route]
	delete(queue, j.record.ID)
	if len(queue) == 0 {
		delete(p, j.record.Route)
	}
}

// remove removes a job that is over. A run of it that is reported later changes nothing.
func (p pendingJobs) remove(j *job) { p.markBegun(j) }

// contains reports whether a job counts as pending.
func (p pendingJobs) contains(j *job) bool {
	_, counts := p[j.record.Route][j.record.ID]
	return counts
}

// hasBegun reports whether the replicated state shows that a task of the job has begun, which is the case if an end or a checkpoint of it
// was committed.
func hasBegun(record *state.Job) bool {
	for _, time := range record.Times {
		for i := range time.Steps {
			if time.Steps[i].GangFailures > 0 {
				return true
			}
			for k := range time.Steps[i].Tasks {
				if task := &time.Steps[i].Tasks[k]; task.Done || task.Failures > 0 || task.Checkpoint != "" {
					return true
				}
			}
		}
	}
	return false
}

// PendingJobs returns how many jobs of a queue have not begun, as far as this scheduler knows.
func (s *Scheduler) PendingJobs(route string) int { return len(s.pending[route]) }
