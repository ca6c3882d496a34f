package scheduler

import "gaugeslip/internal/system/state"

// pendingJobs holds the jobs of each queue of which no task is known to have begun. A start that was sent and not answered may have begun
// nothing, so its job counts until the worker says that the run is there, or lists its end.
type pendingJobs map[string]map[state.JobID]struct{}

// add takes a job in that isn't over.
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

// markBegun takes note that a task of a job has begun.
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

// remove takes a job out for good; a run of it that is seen later changes nothing any more.
func (p pendingJobs) remove(j *job) { p.markBegun(j) }

// contains tells whether a job counts.
func (p pendingJobs) contains(j *job) bool {
	_, counts := p[j.record.Route][j.record.ID]
	return counts
}

// hasBegun tells whether the replicated state shows that a task of the job has begun: an end of it was taken note of.
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

// Pending is how many jobs of a queue have begun nothing, as far as is known here.
func (s *Scheduler) Pending(route string) int { return len(s.pending[route]) }
