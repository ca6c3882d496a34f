// Package jobspec decodes and checks the jobs that clients submit, and defines the names of jobs and tasks.
package jobspec

import "time"

// Limits of a job.
const (
	MaxSpecBytes   = 4000
	MaxStages      = 1000
	MaxTasks       = 100_000 // in one stage
	MaxTotalTasks  = 200_000 // in all stages together, in one occurrence
	MaxRepetitions = 1_000_000
)

// MaxAmount is the value to which larger demands for CPU, memory or GPUs are clamped. No worker has as much.
const MaxAmount = 1 << 40

// MaxEstimate is the value to which longer estimates of a task's duration are clamped.
const MaxEstimate = 1_000_000 * time.Second

// GPUCores is the number of cores that one GPU counts as.
const GPUCores = 8

// Spec is a checked job. It must not be modified after Parse has returned it.
type Spec struct {
	// Text is sent to the worker with each start. The scheduler doesn't interpret it.
	Text string
	// Stages are the steps of the job; DependsOn refers to them by index. A job without stages has nothing to do.
	Stages []Stage
	// Repetitions is how often the stages run, each time at a scheduled due time. 0 means that they run once, immediately.
	Repetitions int
	// FirstRun is the due time of occurrence 0, as the time since 1970. Interval is the time between two consecutive due times.
	FirstRun, Interval time.Duration
}

// Stage is one step of a job: a number of equal tasks.
type Stage struct {
	// Count is the number of tasks; it may be 0.
	Count int
	// CPU is the demand of each task in thousandths of a core.
	CPU int64
	// MemoryMb is the demand of each task in megabytes.
	MemoryMb int64
	GPUs     int64
	// Estimated is a rough estimate of a task's duration.
	Estimated time.Duration
	// DependsOn are the indexes of earlier stages whose tasks must all be done first, in rising order without duplicates.
	DependsOn []int
	// Requirements are labels, all of which the worker must have.
	Requirements []string
	// Colocation is the name of the rack that holds the data; empty if the stage has no preferred rack.
	Colocation string
	// AntiAffinity is the maximum number of tasks of one occurrence on one worker; 0 means no limit.
	AntiAffinity int
	// Checkpoints is true if tasks save their progress.
	Checkpoints bool
	// Gang is true if all tasks must run at the same time.
	Gang bool
	// SameRack is true if the tasks run longer when they are spread over several racks.
	SameRack bool
	// Speculative is true if several copies of a task may run at the same time.
	Speculative bool
	// LongRunning is true if the tasks run until the job is cancelled.
	LongRunning bool
}

// OccurrenceCount returns how often the stages run: at least once.
func (s *Spec) OccurrenceCount() int { return max(1, s.Repetitions) }

// HasSchedule reports whether the job runs at scheduled due times.
func (s *Spec) HasSchedule() bool { return s.Repetitions > 0 }

// DueAt returns the due time of an occurrence of a scheduled job, as the time since 1970.
func (s *Spec) DueAt(number uint32) time.Duration {
	return s.FirstRun + time.Duration(number)*s.Interval
}

// Tasks returns the number of tasks of all stages in one occurrence.
func (s *Spec) Tasks() int {
	tasks := 0
	for index := range s.Stages {
		tasks += s.Stages[index].Count
	}
	return tasks
}

// LongRunning reports whether some stage runs until the job is cancelled.
func (s *Spec) LongRunning() bool {
	for index := range s.Stages {
		if s.Stages[index].LongRunning {
			return true
		}
	}
	return false
}
