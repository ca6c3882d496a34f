package hollow

import (
	"slices"
	"strings"
	"time"
)

// checkCancelled reports the tasks of a cancelled job that are still running.
func (world *World) checkCancelled(job *job) {
	for _, task := range job.tasks {
		if task.running > 0 {
			world.checker.report(world, RuleUnasked, task.name, "", "still running after the cancellation")
		}
	}
}

// Violations returns all violations so far, in the order of their time.
func (world *World) Violations() []Violation {
	world.lock()
	defer world.unlock()
	return slices.Clone(world.checker.violations)
}

// JobDone reports whether every task of the job has ended done.
func (world *World) JobDone(id string) bool {
	world.lock()
	defer world.unlock()
	job := world.jobs[id]
	if job == nil {
		return false
	}
	done := true
	job.eachTaskKey(func(key taskKey) { done = done && job.task(key).done })
	return done
}

// JobRetriesExhausted reports whether a task of the job has failed as often as its queue allows, so that the job may be shown as failed.
func (world *World) JobRetriesExhausted(id string) bool {
	world.lock()
	defer world.unlock()
	job := world.jobs[id]
	return job != nil && job.retriesExhausted()
}

// Unfinished returns the names of all tasks that are not done and could be. It omits long-running tasks and jobs that are cancelled,
// refused or out of retries.
func (world *World) Unfinished() []string {
	world.lock()
	defer world.unlock()
	var names []string
	world.eachOpenTask(func(open *task) {
		if !open.stage.LongRunning {
			names = append(names, open.name)
		}
	})
	slices.SortFunc(names, strings.Compare)
	return names
}

// Lost returns a violation for each job with a task that is ready and has not run for longer than span, while no other task of the job
// runs.
func (world *World) Lost(span time.Duration) []Violation {
	world.lock()
	defer world.unlock()
	idle := make(map[*job]*task)
	busy := make(map[*job]bool)
	world.eachOpenTask(func(open *task) {
		if open.running > 0 {
			busy[open.job] = true
			return
		}
		if open.job.ready(open.key.repetition, open.key.stage, world.now) && world.now-open.idleSince() > span {
			idle[open.job] = open
		}
	})
	var lost []Violation
	for job, task := range idle {
		if !busy[job] {
			lost = append(lost, Violation{world.now, RuleLost, task.name, "", "no task of the job is running"})
		}
	}
	slices.SortFunc(lost, func(a, b Violation) int { return strings.Compare(a.Task, b.Task) })
	return lost
}

// eachOpenTask visits each task that is still to be done.
func (world *World) eachOpenTask(visit func(open *task)) {
	for _, job := range world.jobs {
		if job.cancelled || job.refused || job.retriesExhausted() {
			continue
		}
		job.eachTaskKey(func(key taskKey) {
			if open := job.task(key); !open.done {
				visit(open)
			}
		})
	}
}
