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

// Day is what happens whatever is decided: the jobs, with what is true of them and what their clients say, the workers and the troubles.
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
	Spec  *jobspec.Spec // what its client says
	Worth float64
	// Objective is how long it may take: its target and its longest chain of steps, as long as that truly takes.
	Objective time.Duration
}

// Step is what is true of one step of a job.
type Step struct {
	Tasks     []time.Duration // how long each takes on a worker of speed 1 near its data
	DependsOn []int
	Need      Need
	Rack      string
	Label     string
	// Fails tells how many runs of each task fail before one doesn't.
	Fails []int
}

// Need is the room that a task takes.
type Need struct {
	CPU      int64 // thousandths of a core
	MemoryMb int64
}

// WorkerSpec is one worker as it is at the begin of a day.
type WorkerSpec struct {
	Room   Need
	Rack   string
	Labels []string
	Speed  float64
}

// DrawnTrouble is a trouble with the workers that it hits.
type DrawnTrouble struct {
	Kind     TroubleKind
	From, To time.Duration
	Workers  []int
	Factor   float64
}

// Draw makes the day of a seed.
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

// cores is how many cores all workers have, by their speed.
func (day *Day) cores() float64 {
	all := 0.0
	for _, w := range day.Workers {
		all += float64(w.Room.CPU) / 1000 * w.Speed
	}
	return all
}

// drawJobs draws jobs until their work is the load that is wanted; they are spread evenly over the day then.
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
	day.weigh()
}

// weigh tells what each job is worth: more the more work it is, within its class.
func (day *Day) weigh() {
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

// around draws a factor with that standard deviation of its logarithm, and a mean of 1.
func around(random *rand.Rand, spread float64) float64 {
	return math.Exp(spread*random.NormFloat64() - spread*spread/2)
}

// countAround draws a count of 1 at least with that mean.
func countAround(random *rand.Rand, mean, spread float64) int {
	return max(1, int(math.Round(mean*around(random, spread))))
}

const (
	stepsSpread = 0.4
	widthSpread = 0.7
	needSpread  = 0.4
	// leastTask is the shortest task.
	leastTask = 20 * time.Millisecond
)

func (day *Day) drawJob(random *rand.Rand) *Job {
	class := day.drawClass(random)
	job := &Job{Class: class, Spec: &jobspec.Spec{Text: class.Name}}
	for number := range countAround(random, max(class.Steps, 1), stepsSpread) {
		step, stage := day.drawStep(random, class, number)
		job.Steps = append(job.Steps, step)
		job.Spec.Stages = append(job.Spec.Stages, stage)
	}
	extension := max(class.Extension, 1)
	job.Objective = milliseconds(class.TargetMs) + time.Duration(extension*float64(job.chain()))
	return job
}

func (day *Day) drawStep(random *rand.Rand, class *JobClass, number int) (Step, jobspec.Stage) {
	need := Need{CPU: max(100, int64(1000*class.Cores*around(random, needSpread))),
		MemoryMb: max(64, int64(1024*class.MemoryGB*around(random, needSpread)))}
	need = day.atMost(need)
	size := class.Seconds * around(random, class.Spread)
	step := Step{Need: need}
	for range countAround(random, max(class.Width, 1), widthSpread) {
		step.Tasks = append(step.Tasks, max(leastTask, seconds(size*around(random, class.Uneven))))
		fails := 0
		for random.Float64() < class.Fails {
			fails++
		}
		step.Fails = append(step.Fails, fails)
	}
	stage := jobspec.Stage{Count: len(step.Tasks), CPU: need.CPU, MemoryMb: need.MemoryMb,
		Estimated: max(time.Millisecond, seconds(size*around(random, class.HintError)).Truncate(time.Millisecond))}
	if number > 0 {
		step.DependsOn = []int{number - 1}
		stage.DependsOn = step.DependsOn
	}
	day.drawPlace(random, class, &step, &stage)
	stage.Speculative = random.Float64() < class.Copies
	return step, stage
}

// drawPlace draws where a step's tasks may or should run.
func (day *Day) drawPlace(random *rand.Rand, class *JobClass, step *Step, stage *jobspec.Stage) {
	like := &day.Workers[random.IntN(len(day.Workers))]
	if random.Float64() < class.Near && like.Rack != "" {
		step.Rack, stage.Colocation = like.Rack, like.Rack
	}
	if random.Float64() < class.Labelled && len(like.Labels) > 1 && step.Need.fits(like.Room) {
		step.Label = like.Labels[len(like.Labels)-1]
		stage.Requirements = []string{step.Label}
	}
}

// atMost is a need that fits the largest worker.
func (day *Day) atMost(need Need) Need {
	largest := Need{}
	for _, w := range day.Workers {
		largest.CPU, largest.MemoryMb = max(largest.CPU, w.Room.CPU), max(largest.MemoryMb, w.Room.MemoryMb)
	}
	return Need{CPU: min(need.CPU, largest.CPU), MemoryMb: min(need.MemoryMb, largest.MemoryMb)}
}

func (n Need) fits(room Need) bool { return n.CPU <= room.CPU && n.MemoryMb <= room.MemoryMb }

func (n Need) plus(other Need) Need {
	return Need{CPU: n.CPU + other.CPU, MemoryMb: n.MemoryMb + other.MemoryMb}
}

func (n Need) minus(other Need) Need {
	return Need{CPU: n.CPU - other.CPU, MemoryMb: n.MemoryMb - other.MemoryMb}
}

// work is a job's core-seconds.
func (j *Job) work() float64 {
	work := 0.0
	for i := range j.Steps {
		for _, task := range j.Steps[i].Tasks {
			work += task.Seconds() * float64(j.Steps[i].Need.CPU) / 1000
		}
	}
	return work
}

// chain is how long the job takes at least, with all workers that it could want.
func (j *Job) chain() time.Duration {
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

// earns is what a job earns that has taken so long.
func (j *Job) earns(took time.Duration) float64 {
	switch {
	case took <= j.Objective:
		return j.Worth
	case took <= lateObjectives*j.Objective:
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
