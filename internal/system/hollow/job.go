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

// Job describes a submitted job: what its client submitted and how its tasks really behave.
type Job struct {
	ID         string
	Spec       string
	Backends   []string // names of the services whose workers may run the job
	MaxRetries int      // 0: no limit
	Stages     []Stage

	Repetitions int           // if above 0, the stages run that many times
	FirstDue    time.Duration // time on the world's clock
	Interval    time.Duration
}

// Stage is one step of a job.
type Stage struct {
	Count        int
	Need         Resources
	Work         time.Duration // run time on a healthy worker near its data
	DependsOn    []int
	Checkpoints  bool
	Gang         bool
	SameRack     bool
	Speculative  bool
	LongRunning  bool
	Requirement  string
	Colocation   string
	AntiAffinity int

	OwnFailures int           // number of runs of each task that fail half way, whatever worker they run on
	FailAfter   time.Duration // if above 0, each run fails after that much work
}

// TaskName returns the name of a task in the worker protocol.
func TaskName(job string, repetition, stage, index int) string {
	return job + "." + strconv.Itoa(repetition) + "." + strconv.Itoa(stage) + "." + strconv.Itoa(index)
}

// taskKey identifies a task: the parts of its name.
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

// job is a job and its state.
type job struct {
	Job
	tasks       map[taskKey]*task
	added       time.Duration
	lastDone    time.Duration // when one of its tasks last ended done
	cancelled   bool
	cancelledAt time.Duration
	refused     bool // every attempt to submit it was refused
	// gangFailures holds the attempts of each gang in which a member failed, by the key of the gang's first task.
	gangFailures map[taskKey]map[int]bool
}

// repetitions returns how many times the stages run.
func (job *job) repetitions() int {
	return max(job.Repetitions, 1)
}

// task returns the task with the key, or nil if the job has no such task. It creates the record on first use.
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

// retriesExhausted reports whether a task or a gang of the job has failed as often as its queue allows.
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

// stageDone reports whether every task of the stage has ended done.
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

// due returns the due time of the repetition, or 0 for a job without a schedule.
func (job *job) due(repetition int) time.Duration {
	if job.Repetitions == 0 {
		return 0
	}
	return job.FirstDue + time.Duration(repetition)*job.Interval
}

// ready reports whether the repetition is due at now and the stage's dependencies are done.
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
