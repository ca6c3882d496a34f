// Package jobspec reads and checks a job as clients hand it in, and names jobs and their tasks.
package jobspec

import "time"

// What a job may be at the most.
const (
	MaxSpecBytes   = 4000
	MaxStages      = 1000
	MaxTasks       = 100_000 // of one step
	MaxTotalTasks  = 200_000 // of all steps, at one time
	MaxRepetitions = 1_000_000
)

// MaxAmount is what a larger demand for processor, memory or GPUs is cut to; no worker has as much.
const MaxAmount = 1 << 40

// MaxEstimate is what a longer guess of a task's time is cut to.
const MaxEstimate = 1_000_000 * time.Second

// GPUCores is how many cores a GPU counts for.
const GPUCores = 8

// Spec is one checked job. It is never changed after Parse has returned it.
type Spec struct {
	// Text is what each start carries; it means nothing to the scheduler.
	Text string
	// Stages are the steps, in the order in which dependsOn counts them. A job without steps has nothing to do.
	Stages []Stage
	// Repetitions is how often the steps are run at times of their own; 0 means once, at once.
	Repetitions int
	// FirstRun is the time since 1970 at which time 0 falls due; Interval lies between one time and the next.
	FirstRun, Interval time.Duration
}

// Stage is one step of a job: tasks that are alike.
type Stage struct {
	// Count is the number of its tasks; it may be 0.
	Count int
	// CPU is what each task takes, in thousandths of a core.
	CPU int64
	// MemoryMb is in megabytes.
	MemoryMb int64
	GPUs     int64
	// Estimated is a rough guess of a task's time.
	Estimated time.Duration
	// DependsOn are the earlier steps all of whose tasks have to be done first, rising, each once.
	DependsOn []int
	// Requirements are labels that the worker must have, all of them.
	Requirements []string
	// Colocation names the rack that holds the data; empty when it lies nowhere.
	Colocation string
	// AntiAffinity is how many of its tasks (of one time) one worker may hold; 0 means any number.
	AntiAffinity int
	// Checkpoints says that tasks keep the progress that they have made.
	Checkpoints bool
	// Gang says that the tasks work only together.
	Gang bool
	// SameRack says that the tasks take longer when they are spread over racks.
	SameRack bool
	// Speculative says that copies of a task may run at the same time.
	Speculative bool
	// LongRunning says that the tasks run until the job is cancelled.
	LongRunning bool
}

// OccurrenceCount is how often the steps are run: at least once.
func (s *Spec) OccurrenceCount() int { return max(1, s.Repetitions) }

// HasSchedule says that the job runs at times of its own.
func (s *Spec) HasSchedule() bool { return s.Repetitions > 0 }

// DueAt is the time since 1970 at which that time of a timed job falls due.
func (s *Spec) DueAt(number uint32) time.Duration {
	return s.FirstRun + time.Duration(number)*s.Interval
}

// Tasks is the number of tasks of all steps, at one time.
func (s *Spec) Tasks() int {
	tasks := 0
	for index := range s.Stages {
		tasks += s.Stages[index].Count
	}
	return tasks
}

// LongRunning says that some step runs until the job is cancelled.
func (s *Spec) LongRunning() bool {
	for index := range s.Stages {
		if s.Stages[index].LongRunning {
			return true
		}
	}
	return false
}
