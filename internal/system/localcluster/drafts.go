package localcluster

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gaugeslip/internal/system/clusterconfig"
	"gaugeslip/internal/system/hollow"
	"gaugeslip/internal/system/jobspec"
)

// jobDraft is a generated job, ready for submission.
type jobDraft struct {
	id    string
	route *clusterconfig.Route
	body  []byte
	job   hollow.Job
	work  time.Duration // of its critical path
}

// jobKind is a kind of job that clients submit.
type jobKind uint8

const (
	kindQuick    jobKind = iota // one stage with a few short tasks
	kindBatch                   // consecutive stages
	kindGang                    // tasks that only run together
	kindSteady                  // four tasks of one second
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

// jobGenerator generates random jobs. It is not safe for concurrent use.
type jobGenerator struct {
	random *rand.Rand
}

// generatorStream is the random number stream for the contents of jobs.
const generatorStream = 1

func newJobGenerator(seed uint64) *jobGenerator {
	return &jobGenerator{random: rand.New(rand.NewPCG(seed, generatorStream))}
}

// generate creates a job of a kind for a route.
func (d *jobGenerator) generate(kind jobKind, route *clusterconfig.Route) (*jobDraft, error) {
	stages, works := d.stages(kind)
	draft := &jobDraft{id: fmt.Sprintf("%016x", d.random.Uint64()), route: route, work: criticalPath(stages, works)}
	spec := jobspec.Spec{Text: "job " + draft.id, Stages: stages}
	body, err := spec.Encode()
	if err != nil {
		return nil, fmt.Errorf("job %s: %w", draft.id, err)
	}
	draft.body = body
	draft.job = hollow.Job{ID: draft.id, Spec: spec.Text, Backends: []string{route.Backend}, MaxRetries: route.MaxRetries,
		Stages: hollowStages(stages, works)}
	return draft, nil
}

func (d *jobGenerator) stages(kind jobKind) ([]jobspec.Stage, []time.Duration) {
	switch kind {
	case kindBatch:
		return d.batchStages()
	case kindGang:
		return d.gangStages()
	case kindSteady:
		return d.singleStage(steadyTasks, smallCPU, steadyWork)
	case kindResident:
		return d.singleStage(residentTasks, smallCPU, residentWork)
	}
	return d.singleStage(1+d.random.IntN(3), 1000, d.randomDuration(200, 800))
}

// randomDuration draws a duration. The bounds are in milliseconds.
func (d *jobGenerator) randomDuration(least, most int) time.Duration {
	return time.Duration(least+d.random.IntN(most-least)) * time.Millisecond
}

func (d *jobGenerator) singleStage(count int, cpu int64, work time.Duration) ([]jobspec.Stage, []time.Duration) {
	stage := jobspec.Stage{Count: count, CPU: cpu, MemoryMb: smallMemory, Estimated: work}
	return []jobspec.Stage{stage}, []time.Duration{work}
}

func (d *jobGenerator) batchStages() ([]jobspec.Stage, []time.Duration) {
	var stages []jobspec.Stage
	var works []time.Duration
	for step := range 2 + d.random.IntN(3) {
		work := d.randomDuration(300, 1500)
		stage := jobspec.Stage{Count: 2 + d.random.IntN(7), CPU: 2000, MemoryMb: 1024, Estimated: work, Checkpoints: true}
		if step > 0 {
			stage.DependsOn = []int{step - 1}
		}
		stages = append(stages, stage)
		works = append(works, work)
	}
	return stages, works
}

func (d *jobGenerator) gangStages() ([]jobspec.Stage, []time.Duration) {
	work := d.randomDuration(1000, 3000)
	stage := jobspec.Stage{Count: 2 + d.random.IntN(7), CPU: 2000, MemoryMb: 2048, GPUs: 1, Estimated: work, Gang: true, Checkpoints: true}
	return []jobspec.Stage{stage}, []time.Duration{work}
}

// criticalPath returns the total work along the longest chain of dependent stages.
func criticalPath(stages []jobspec.Stage, works []time.Duration) time.Duration {
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
