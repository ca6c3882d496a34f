package localcluster

import (
	"fmt"
	"time"

	"gaugeslip/internal/system/clusterconfig"
	"gaugeslip/internal/system/hollow"
	"gaugeslip/internal/system/jobspec"
)

// soakShape is a special property of a soak run's job.
type soakShape uint8

const (
	shapePlain        soakShape = iota
	shapeLongRunning            // runs until it is cancelled, with occasional failures
	shapeRepeated               // runs several times at intervals
	shapeFailsOnce              // each task fails once by its own fault
	shapeFailsForGood           // its tasks fail more often than the route allows
	shapeSpeculative            // allows speculative copies of its tasks
	shapeConstrained            // requires a label, and at most one task per worker
	shapeOdd                    // whatever else the protocol allows
	shapeCount
)

const (
	permanentFailures = 9
	maxLeadMs         = 2000 // until the first run
	soakWorkerKind    = "a"
)

// generateSoak creates a job of a soak run. now is the wall clock time, and worldNow the time of the workers' checker at the same
// moment.
func (d *jobGenerator) generateSoak(kind jobKind, route *clusterconfig.Route, now time.Time, worldNow time.Duration) (*jobDraft, soakShape, error) {
	draft := &jobDraft{id: fmt.Sprintf("%016x", d.random.Uint64()), route: route}
	stages, works := d.stages(kind)
	spec := jobspec.Spec{Text: "job " + draft.id, Stages: stages}
	draft.job = hollow.Job{ID: draft.id, Spec: spec.Text, Backends: []string{route.Backend}, MaxRetries: route.MaxRetries}
	shape := soakShape(d.random.IntN(int(shapeCount)))
	switch shape {
	case shapeLongRunning:
		spec.Stages, works = d.singleStage(1+d.random.IntN(3), smallCPU, residentWork)
		spec.Stages[0].LongRunning = true
	case shapeRepeated:
		times, lead, interval := 2+d.random.IntN(3), d.randomDuration(0, maxLeadMs), d.randomDuration(600, 1500)
		d.repeat(&spec, &draft.job, times, lead, interval, now, worldNow)
	case shapeSpeculative:
		spec.Stages, works = d.singleStage(1+d.random.IntN(4), smallCPU, d.randomDuration(400, 1500))
		spec.Stages[0].Speculative = true
	case shapeOdd:
		spec.Stages, works = d.oddStages()
		d.oddSchedule(&spec, &draft.job, now, worldNow)
	case shapeConstrained:
		spec.Stages, works = d.singleStage(1+d.random.IntN(3), smallCPU, d.randomDuration(300, 900))
		spec.Stages[0].Requirements, spec.Stages[0].AntiAffinity = []string{soakWorkerKind}, 1
	}
	draft.job.Stages = hollowStages(spec.Stages, works)
	for i := range draft.job.Stages {
		d.addFaults(&draft.job.Stages[i], &spec.Stages[i], shape)
	}
	draft.work = criticalPath(spec.Stages, works)
	var err error
	draft.body, err = spec.Encode()
	return draft, shape, err
}

// addFaults copies the properties of a submitted stage to the stage that the workers' checker uses, and adds the faults of the shape.
func (d *jobGenerator) addFaults(checked *hollow.Stage, submitted *jobspec.Stage, shape soakShape) {
	checked.LongRunning, checked.Speculative, checked.AntiAffinity = submitted.LongRunning, submitted.Speculative, submitted.AntiAffinity
	checked.SameRack, checked.Colocation = submitted.SameRack, submitted.Colocation
	if len(submitted.Requirements) > 0 {
		checked.Requirement = submitted.Requirements[0]
	}
	switch shape {
	case shapeLongRunning:
		checked.FailAfter = d.randomDuration(1000, 4000)
	case shapeFailsOnce:
		checked.OwnFailures = 1
	case shapeFailsForGood:
		checked.OwnFailures = permanentFailures
	}
}
