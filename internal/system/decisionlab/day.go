package decisionlab

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/state"
)

// Day is everything that does not depend on decisions: the jobs with their real behaviour and their clients' estimates, the workers and the
// faults.
type Day struct {
	Deployment *Deployment
	Seed       uint64
	Jobs       []*Job
	Workers    []WorkerSpec
	Troubles   []DrawnTrouble
}

// Job is one job of a day.
type Job struct {
	ID    state.JobID
	Class *JobClass
	At    time.Duration
	Steps []Step
	Spec  *jobspec.Spec // as submitted by the client
	Worth float64
	// Objective is how long the job may take: its target plus the extension times its critical path with real task times.
	Objective time.Duration
}

// Step describes the real behaviour of one step of a job.
type Step struct {
	Tasks     []time.Duration // run time of each task on a worker of speed 1 near its data
	DependsOn []int
	Need      Need
	Rack      string
	Label     string
	// Fails holds how many runs of each task fail before one succeeds.
	Fails []int
}

// Need is the capacity that a task requires.
type Need struct {
	CPU      int64 // thousandths of a core
	MemoryMb int64
}

// WorkerSpec describes one worker at the start of a day.
type WorkerSpec struct {
	Room   Need
	Rack   string
	Labels []string
	Speed  float64
}

// DrawnTrouble is a fault with the workers that it affects.
type DrawnTrouble struct {
	Kind     TroubleKind
	From, To time.Duration
	Workers  []int
	Factor   float64
}

// Draw generates the day of a seed.
func (d *Deployment) Draw(seed uint64) *Day {
	random := rand.New(rand.NewPCG(seed, 0x64617973))
	day := &Day{Deployment: d, Seed: seed}
	for i := range d.Workers {
		day.addWorkers(&d.Workers[i])
	}
	day.drawJobs(random)
	for i := range d.Troubles {
		day.drawTrouble(random, &d.Troubles[i])
	}
	return day
}

func (day *Day) addWorkers(class *WorkerClass) {
	speed := class.Speed
	if speed == 0 {
		speed = 1
	}
	for i := range class.Count {
		spec := WorkerSpec{Room: Need{CPU: int64(class.Cores * 1000), MemoryMb: int64(class.MemoryGB * 1024)}, Speed: speed}
		if class.Racks > 0 {
			spec.Rack = fmt.Sprint("rack-", i%class.Racks)
			spec.Labels = append(spec.Labels, spec.Rack)
		}
		if class.Label != "" {
			spec.Labels = append(spec.Labels, class.Label)
		}
		day.Workers = append(day.Workers, spec)
	}
}

// cores returns the number of cores of all workers, weighted by their speed.
func (day *Day) cores() float64 {
	all := 0.0
	for _, w := range day.Workers {
		all += float64(w.Room.CPU) / 1000 * w.Speed
	}
	return all
}

// drawJobs draws jobs until their work reaches the load, and spreads their arrivals evenly over the day.
func (day *Day) drawJobs(random *rand.Rand) {
	wanted := day.Deployment.Load * day.cores() * day.Deployment.Seconds
	for work := 0.0; work < wanted; {
		job := day.drawJob(random)
		work += job.work()
		day.Jobs = append(day.Jobs, job)
	}
	for _, job := range day.Jobs {
		job.At = time.Duration(random.Float64() * day.Deployment.Seconds * float64(time.Second))
	}
	slices.SortStableFunc(day.Jobs, func(a, b *Job) int { return cmp.Compare(a.At, b.At) })
	for i, job := range day.Jobs {
		job.ID = state.JobID(i + 1)
	}
	day.assignWorths()
}

// assignWorths sets the worth of each job. Within a class it grows with the job's work.
func (day *Day) assignWorths() {
	sum, count := map[*JobClass]float64{}, map[*JobClass]float64{}
	for _, job := range day.Jobs {
		sum[job.Class] += job.work()
		count[job.Class]++
	}
	const fixed, byWork, most = 0.3, 0.7, 4
	for _, job := range day.Jobs {
		part := fixed + byWork*job.work()/(sum[job.Class]/count[job.Class])
		job.Worth = job.Class.Worth * min(part, most)
	}
}

func (day *Day) drawClass(random *rand.Rand) *JobClass {
	classes := day.Deployment.Jobs
	all := 0.0
	for i := range classes {
		all += classes[i].Share
	}
	left := random.Float64() * all
	for i := range classes {
		if left -= classes[i].Share; left < 0 {
			return &classes[i]
		}
	}
	return &classes[len(classes)-1]
}

// logNormalFactor draws a factor with the given standard deviation of its logarithm and a mean of 1.
func logNormalFactor(random *rand.Rand, spread float64) float64 {
	return math.Exp(spread*random.NormFloat64() - spread*spread/2)
}

// drawCount draws a count of at least 1 with the given mean.
func drawCount(random *rand.Rand, mean, spread float64) int {
	return max(1, int(math.Round(mean*logNormalFactor(random, spread))))
}

const (
	stepsSpread = 0.4
	widthSpread = 0.7
	needSpread  = 0.4
	// minTaskTime is the run time of the shortest tasks.
	minTaskTime = 20 * time.Millisecond
)

func (day *Day) drawJob(random *rand.Rand) *Job {
	class := day.drawClass(random)
	job := &Job{Class: class, Spec: &jobspec.Spec{Text: class.Name}}
	for number := range drawCount(random, max(class.Steps, 1), stepsSpread) {
		step, stage := day.drawStep(random, class, number)
		job.Steps = append(job.Steps, step)
		job.Spec.Stages = append(job.Spec.Stages, stage)
	}
	extension := max(class.Extension, 1)
	job.Objective = milliseconds(class.TargetMs) + time.Duration(extension*float64(job.criticalPath()))
	return job
}

func (day *Day) drawStep(random *rand.Rand, class *JobClass, number int) (Step, jobspec.Stage) {
	need := Need{CPU: max(100, int64(1000*class.Cores*logNormalFactor(random, needSpread))),
		MemoryMb: max(64, int64(1024*class.MemoryGB*logNormalFactor(random, needSpread)))}
	need = day.limitNeed(need)
	size := class.Seconds * logNormalFactor(random, class.Spread)
	step := Step{Need: need}
	for range drawCount(random, max(class.Width, 1), widthSpread) {
		step.Tasks = append(step.Tasks, max(minTaskTime, seconds(size*logNormalFactor(random, class.Uneven))))
		fails := 0
		for random.Float64() < class.Fails {
			fails++
		}
		step.Fails = append(step.Fails, fails)
	}
	stage := jobspec.Stage{Count: len(step.Tasks), CPU: need.CPU, MemoryMb: need.MemoryMb,
		Estimated: max(time.Millisecond, seconds(size*logNormalFactor(random, class.HintError)).Truncate(time.Millisecond))}
	if number > 0 {
		step.DependsOn = []int{number - 1}
		stage.DependsOn = step.DependsOn
	}
	day.drawPlace(random, class, &step, &stage)
	stage.Speculative = random.Float64() < class.Copies
	return step, stage
}

// drawPlace draws a step's preferred rack and required label.
func (day *Day) drawPlace(random *rand.Rand, class *JobClass, step *Step, stage *jobspec.Stage) {
	similar := &day.Workers[random.IntN(len(day.Workers))]
	if random.Float64() < class.Near && similar.Rack != "" {
		step.Rack, stage.Colocation = similar.Rack, similar.Rack
	}
	if random.Float64() < class.Labelled && len(similar.Labels) > 1 && step.Need.fitsIn(similar.Room) {
		step.Label = similar.Labels[len(similar.Labels)-1]
		stage.Requirements = []string{step.Label}
	}
}

// limitNeed reduces a need so that it fits the largest worker.
func (day *Day) limitNeed(need Need) Need {
	largest := Need{}
	for _, w := range day.Workers {
		largest.CPU, largest.MemoryMb = max(largest.CPU, w.Room.CPU), max(largest.MemoryMb, w.Room.MemoryMb)
	}
	return Need{CPU: min(need.CPU, largest.CPU), MemoryMb: min(need.MemoryMb, largest.MemoryMb)}
}

func (n Need) fitsIn(capacity Need) bool {
	return n.CPU <= capacity.CPU && n.MemoryMb <= capacity.MemoryMb
}

func (n Need) plus(other Need) Need {
	return Need{CPU: n.CPU + other.CPU, MemoryMb: n.MemoryMb + other.MemoryMb}
}

func (n Need) minus(other Need) Need {
	return Need{CPU: n.CPU - other.CPU, MemoryMb: n.MemoryMb - other.MemoryMb}
}

// work returns a job's core-seconds.
func (j *Job) work() float64 {
	work := 0.0
	for i := range j.Steps {
		for _, task := range j.Steps[i].Tasks {
			work += task.Seconds() * float64(j.Steps[i].Need.CPU) / 1000
		}
	}
	return work
}

// criticalPath returns the shortest time in which the job can complete, with unlimited workers.
func (j *Job) criticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i := range j.Steps {
		begin := time.Duration(0)
		for _, earlier := range j.Steps[i].DependsOn {
			begin = max(begin, ends[earlier])
		}
		ends[i] = begin + slices.Max(j.Steps[i].Tasks)
		longest = max(longest, ends[i])
	}
	return longest
}

// earned returns what the job earns if it takes the given time.
func (j *Job) earned(took time.Duration) float64 {
	switch {
	case took <= j.Objective:
		return j.Worth
	case took <= maxLateObjectives*j.Objective:
		return j.Worth * j.Class.LateWorth
	}
	return 0
}

func (day *Day) drawTrouble(random *rand.Rand, trouble *Trouble) {
	drawn := DrawnTrouble{Kind: trouble.Kind, From: seconds(trouble.At), To: seconds(trouble.At + trouble.Seconds), Factor: trouble.Factor}
	count := int(math.Round(trouble.Share * float64(len(day.Workers))))
	drawn.Workers = random.Perm(len(day.Workers))[:min(count, len(day.Workers))]
	slices.Sort(drawn.Workers)
	day.Troubles = append(day.Troubles, drawn)
}
