package hollow

import (
	"strconv"
	"strings"
	"time"
)

// Resources are thousandths of a core, megabytes, and whole GPUs.
type Resources struct {
	CPU      int
	MemoryMB int
	GPUs     int
}

func (resources Resources) plus(other Resources) Resources {
	return Resources{resources.CPU + other.CPU, resources.MemoryMB + other.MemoryMB, resources.GPUs + other.GPUs}
}

func (resources Resources) minus(other Resources) Resources {
	return Resources{resources.CPU - other.CPU, resources.MemoryMB - other.MemoryMB, resources.GPUs - other.GPUs}
}

func (resources Resources) fitsInto(capacity Resources) bool {
	return resources.CPU <= capacity.CPU && resources.MemoryMB <= capacity.MemoryMB && resources.GPUs <= capacity.GPUs
}

// Job is what the world knows of one job: what a client handed in, and what its work is in truth.
type Job struct {
	ID         string
	Spec       string
	Backends   []string // services that the queue is sent to
	MaxRetries int      // 0: no limit
	Stages     []Stage

	Repetitions int           // above 0: the stages are run that many times
	FirstDue    time.Duration // on the world's clock
	Interval    time.Duration
}

// Stage is one step of a job.
type Stage struct {
	Count        int
	Need         Resources
	Work         time.Duration // on a sound worker near its data
	DependsOn    []int
	Checkpoints  bool
	Gang         bool
	SameRack     bool
	Speculative  bool
	LongRunning  bool
	Requirement  string
	Colocation   string
	AntiAffinity int

	OwnFailures int           // so many runs of each task fail by its own fault, half way
	FailAfter   time.Duration // above 0: each run fails after that much work
}

// TaskName returns the name of a task on the wire.
func TaskName(job string, repetition, stage, index int) string {
	return job + "." + strconv.Itoa(repetition) + "." + strconv.Itoa(stage) + "." + strconv.Itoa(index)
}

// taskKey is a task's name in parts.
type taskKey struct {
	job        string
	repetition int
	stage      int
	index      int
}

func parseTaskKey(name string) (taskKey, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return taskKey{}, false
	}
	var numbers [3]int
	for i := range numbers {
		number, err := strconv.Atoi(parts[i+1])
		if err != nil || number < 0 {
			return taskKey{}, false
		}
		numbers[i] = number
	}
	return taskKey{parts[0], numbers[0], numbers[1], numbers[2]}, true
}

// job is a job with what has become of it.
type job struct {
	Job
	tasks       map[taskKey]*task
	added       time.Duration
	lastDone    time.Duration // when a task of it last ended done
	cancelled   bool
	cancelledAt time.Duration
	refused     bool // nobody has it in custody
	// gangFailures are the attempts of each gang, by the key of its first task, in which a member has failed.
	gangFailures map[taskKey]map[int]bool
}

// repetitions returns how often the stages run.
func (job *job) repetitions() int {
	return max(job.Repetitions, 1)
}

// task returns the task at the key, or nil if the job has none there.
func (job *job) task(key taskKey) *task {
	if key.job != job.ID {
		return nil
	}
	if known := job.tasks[key]; known != nil {
		return known
	}
	if key.repetition >= job.repetitions() || key.stage >= len(job.Stages) {
		return nil
	}
	stage := &job.Stages[key.stage]
	if key.index >= stage.Count {
		return nil
	}
	name := TaskName(job.ID, key.repetition, key.stage, key.index)
	added := &task{job: job, stage: stage, key: key, name: name}
	job.tasks[key] = added
	return added
}

// eachTaskKey visits the key of every task.
func (job *job) eachTaskKey(visit func(key taskKey)) {
	for repetition := range job.repetitions() {
		for stage := range job.Stages {
			for index := range job.Stages[stage].Count {
				visit(taskKey{job.ID, repetition, stage, index})
			}
		}
	}
}

// retriesExhausted tells whether a task, or a gang, has failed as often as the queue allows.
func (job *job) retriesExhausted() bool {
	for _, attempts := range job.gangFailures {
		if job.MaxRetries > 0 && len(attempts) >= job.MaxRetries {
			return true
		}
	}
	for _, task := range job.tasks {
		if task.retriesExhausted() {
			return true
		}
	}
	return false
}

// stageDone tells whether every task of the stage has ended done.
func (job *job) stageDone(repetition, stage int) bool {
	for index := range job.Stages[stage].Count {
		key := taskKey{job.ID, repetition, stage, index}
		task := job.tasks[key]
		if task == nil || !task.done {
			return false
		}
	}
	return true
}

// due returns when the repetition falls due; 0 for a job without times.
func (job *job) due(repetition int) time.Duration {
	if job.Repetitions == 0 {
		return 0
	}
	return job.FirstDue + time.Duration(repetition)*job.Interval
}

// ready tells whether the stage's turn has come at now.
func (job *job) ready(repetition, stage int, now time.Duration) bool {
	if now < job.due(repetition) {
		return false
	}
	for _, earlier := range job.Stages[stage].DependsOn {
		if !job.stageDone(repetition, earlier) {
			return false
		}
	}
	return true
}
