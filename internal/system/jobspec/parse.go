package jobspec

import (
	"slices"
	"time"

	"gaugeslip/internal/system/findings"
	"gaugeslip/internal/system/findings/jsonread"
	"gaugeslip/internal/system/findings/quantity"
)

// mostTime is the latest time since 1970 that a time of a job may fall due at.
const mostTime = 250 * 365 * 24 * time.Hour

// Parse reads and checks a job. The error holds findings.Findings, all of them. Members that it doesn't know are skipped.
func Parse(body []byte) (*Spec, error) {
	var wire wireSpec
	if found := jsonread.Object(body, &wire); len(found) > 0 {
		return nil, found
	}
	reader := reader{}
	spec := reader.spec(&wire)
	if err := reader.found.Err(); err != nil {
		return nil, err
	}
	return spec, nil
}

// reader turns what the client wrote into the types that the programs use, and takes note of all that can't be.
type reader struct {
	found findings.Findings
}

func (r *reader) spec(wire *wireSpec) *Spec {
	if len(wire.Spec) > MaxSpecBytes {
		r.found.Add("spec", "has %d bytes, more than %d", len(wire.Spec), MaxSpecBytes)
	}
	spec := &Spec{Text: wire.Spec}
	r.times(spec, wire)
	r.stages(spec, wire)
	return spec
}

func (r *reader) times(spec *Spec, wire *wireSpec) {
	spec.Repetitions = r.whole(job, "repetitions", wire.Repetitions, MaxRepetitions)
	spec.FirstRun = r.milliseconds(job, "firstRunMs", wire.FirstRunMs)
	spec.Interval = r.milliseconds(job, "intervalMs", wire.IntervalMs)
	last := spec.FirstRun.Seconds() + float64(spec.OccurrenceCount()-1)*spec.Interval.Seconds()
	if last > mostTime.Seconds() {
		r.found.Add("firstRunMs", "the last time falls due too late")
	}
}

func (r *reader) stages(spec *Spec, wire *wireSpec) {
	if len(wire.Stages) > MaxStages {
		r.found.Add("stages", "are %d, more than %d", len(wire.Stages), MaxStages)
		return
	}
	spec.Stages = make([]Stage, len(wire.Stages))
	for index := range wire.Stages {
		stage := &spec.Stages[index]
		r.stage(index, stage, &wire.Stages[index])
		stage.LongRunning = stage.LongRunning || wire.LongRunning
	}
	if tasks := spec.Tasks(); tasks > MaxTotalTasks {
		r.found.Add("stages", "have %d tasks, more than %d", tasks, MaxTotalTasks)
	}
}

func (r *reader) stage(index int, stage *Stage, wire *wireStage) {
	stage.Count = r.whole(index, "count", wire.Count, MaxTasks)
	stage.CPU = r.amount(index, "cpu", wire.CPU)
	stage.MemoryMb = r.amount(index, "memMb", wire.MemoryMb)
	stage.GPUs = r.amount(index, "gpus", wire.GPUs)
	stage.Estimated = min(MaxEstimate, r.milliseconds(index, "estimatedMs", wire.EstimatedMs))
	stage.DependsOn = r.dependsOn(index, wire.DependsOn)
	stage.Requirements = wire.Requirements
	stage.Colocation = wire.Colocation
	stage.AntiAffinity = int(r.amount(index, "antiAffinity", wire.AntiAffinity))
	stage.Checkpoints = wire.Checkpoints
	stage.Gang = wire.Gang
	stage.SameRack = wire.SameRack
	stage.Speculative = wire.Speculative
	stage.LongRunning = wire.LongRunning
}

func (r *reader) dependsOn(index int, written []float64) []int {
	if len(written) == 0 {
		return nil
	}
	steps := make([]int, 0, len(written))
	for _, figure := range written {
		step, ok := quantity.Integer(figure)
		if !ok || step < 0 || step >= int64(index) {
			r.found.Add(place(index, "dependsOn"), "%v is not the number of an earlier step", figure)
			continue
		}
		steps = append(steps, int(step))
	}
	slices.Sort(steps)
	return slices.Compact(steps)
}

// whole reads a whole number of at most so much.
func (r *reader) whole(index int, field string, figure float64, most int) int {
	if figure < 0 {
		r.found.Add(place(index, field), "%v is negative", figure)
		return 0
	}
	if figure > float64(most) {
		r.found.Add(place(index, field), "%.12g is more than %d", figure, most)
		return 0
	}
	whole, ok := quantity.Integer(figure)
	if !ok {
		r.found.Add(place(index, field), "%v is not a whole number", figure)
	}
	return int(whole)
}

// amount reads a demand; a fraction counts as the next whole number, so that what is set aside always suffices.
func (r *reader) amount(index int, field string, figure float64) int64 {
	return quantity.CeilClamped(r.figure(index, field, figure), MaxAmount)
}

func (r *reader) milliseconds(index int, field string, figure float64) time.Duration {
	return quantity.Milliseconds(r.figure(index, field, figure))
}

func (r *reader) figure(index int, field string, figure float64) float64 {
	if figure < 0 {
		r.found.Add(place(index, field), "%v is negative", figure)
		return 0
	}
	return figure
}

// job stands for the job itself where a step's number is asked for.
const job = -1

func place(index int, field string) string {
	if index == job {
		return field
	}
	return findings.Item("stages", index, field)
}
