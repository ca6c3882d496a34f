package localcluster

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gaugeslip/internal/system/clusterconfig"
	"gaugeslip/internal/system/hollow"
	"gaugeslip/internal/system/jobspec"
)

// draft is a job that is about to be handed in.
type draft struct {
	id    string
	route *clusterconfig.Route
	body  []byte
	job   hollow.Job
	work  time.Duration // its longest chain
}

// jobKind is a kind of job that clients hand in.
type jobKind uint8

const (
	kindQuick    jobKind = iota // one step of a few short tasks
	kindBatch                   // steps that follow each other
	kindGang                    // tasks that work only together
	kindSteady                  // four tasks of a second
	kindResident                // tasks that outlast every run
)

const (
	steadyTasks   = 4
	steadyWork    = time.Second
	residentTasks = 50
	residentWork  = time.Hour
	smallCPU      = 400
	smallMemory   = 256
)

// drafter draws jobs. It isn't safe for concurrent use.
type drafter struct {
	random *rand.Rand
}

// The stream of the random numbers that jobs are drawn from.
const draftStream = 1

func newDrafter(seed uint64) *drafter {
	return &drafter{random: rand.New(rand.NewPCG(seed, draftStream))}
}

// draw makes a job of the kind for the queue.
func (d *drafter) draw(kind jobKind, route *clusterconfig.Route) (*draft, error) {
	stages, works := d.stages(kind)
	drawn := &draft{id: fmt.Sprintf("%016x", d.random.Uint64()), route: route, work: longestChain(stages, works)}
	spec := jobspec.Spec{Text: "job " + drawn.id, Stages: stages}
	body, err := spec.Encode()
	if err != nil {
		return nil, fmt.Errorf("job %s: %w", drawn.id, err)
	}
	drawn.body = body
	drawn.job = hollow.Job{ID: drawn.id, Spec: spec.Text, Backends: []string{route.Backend}, MaxRetries: route.MaxRetries,
		Stages: hollowStages(stages, works)}
	return drawn, nil
}

func (d *drafter) stages(kind jobKind) ([]jobspec.Stage, []time.Duration) {
	switch kind {
	case kindBatch:
		return d.batch()
	case kindGang:
		return d.gang()
	case kindSteady:
		return d.one(steadyTasks, smallCPU, steadyWork)
	case kindResident:
		return d.one(residentTasks, smallCPU, residentWork)
	}
	return d.one(1+d.random.IntN(3), 1000, d.between(200, 800))
}

// between draws a length of time, in milliseconds.
func (d *drafter) between(least, most int) time.Duration {
	return time.Duration(least+d.random.IntN(most-least)) * time.Millisecond
}

func (d *drafter) one(count int, cpu int64, work time.Duration) ([]jobspec.Stage, []time.Duration) {
	stage := jobspec.Stage{Count: count, CPU: cpu, MemoryMb: smallMemory, Estimated: work}
	return []jobspec.Stage{stage}, []time.Duration{work}
}

func (d *drafter) batch() ([]jobspec.Stage, []time.Duration) {
	var stages []jobspec.Stage
	var works []time.Duration
	for step := range 2 + d.random.IntN(3) {
		work := d.between(300, 1500)
		stage := jobspec.Stage{Count: 2 + d.random.IntN(7), CPU: 2000, MemoryMb: 1024, Estimated: work, Checkpoints: true}
		if step > 0 {
			stage.DependsOn = []int{step - 1}
		}
		stages = append(stages, stage)
		works = append(works, work)
	}
	return stages, works
}

func (d *drafter) gang() ([]jobspec.Stage, []time.Duration) {
	work := d.between(1000, 3000)
	stage := jobspec.Stage{Count: 2 + d.random.IntN(7), CPU: 2000, MemoryMb: 2048, GPUs: 1, Estimated: work, Gang: true, Checkpoints: true}
	return []jobspec.Stage{stage}, []time.Duration{work}
}

// longestChain is the work of the longest chain of steps that wait for each other.
func longestChain(stages []jobspec.Stage, works []time.Duration) time.Duration {
	ends := make([]time.Duration, len(stages))
	longest := time.Duration(0)
	for i := range stages {
		for _, earlier := range stages[i].DependsOn {
			ends[i] = max(ends[i], ends[earlier])
		}
		ends[i] += works[i]
		longest = max(longest, ends[i])
	}
	return longest
}

func hollowStages(stages []jobspec.Stage, works []time.Duration) []hollow.Stage {
	converted := make([]hollow.Stage, len(stages))
	for i := range stages {
		stage := &stages[i]
		converted[i] = hollow.Stage{
			Count:       stage.Count,
			Need:        hollow.Resources{CPU: int(stage.CPU), MemoryMB: int(stage.MemoryMb), GPUs: int(stage.GPUs)},
			Work:        works[i],
			DependsOn:   stage.DependsOn,
			Checkpoints: stage.Checkpoints,
			Gang:        stage.Gang,
		}
	}
	return converted
}
