package jobspec

import (
	"slices"
	"time"

	"gaugeslip/internal/system/findings"
	"gaugeslip/internal/system/findings/jsonread"
	"gaugeslip/internal/system/findings/quantity"
)

// maxDueTime is the latest due time of a job's last occurrence, as the time since 1970.
const maxDueTime = 250 * 365 * 24 * time.Hour

// Parse decodes and checks a job. Unknown members are skipped. The error holds all findings as findings.Findings.
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

// reader converts the decoded JSON values to Go types and collects the findings.
type reader struct {
	found findings.Findings
}

func (r *reader) spec(wire *wireSpec) *Spec {
	if len(wire.Spec) > MaxSpecBytes {
		r.found.Add("spec", "has %d bytes, more than %d", len(wire.Spec), MaxSpecBytes)
	}
	spec := &Spec{Text: wire.Spec}
	r.schedule(spec, wire)
	r.stages(spec, wire)
	return spec
}

func (r *reader) schedule(spec *Spec, wire *wireSpec) {
	spec.Repetitions = r.wholeNumber(noStage, "repetitions", wire.Repetitions, MaxRepetitions)
	spec.FirstRun = r.milliseconds(noStage, "firstRunMs", wire.FirstRunMs)
	spec.Interval = r.milliseconds(noStage, "intervalMs", wire.IntervalMs)
	last := spec.FirstRun.Seconds() + float64(spec.OccurrenceCount()-1)*spec.Interval.Seconds()
	if last > maxDueTime.Seconds() {
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
	stage.Count = r.wholeNumber(index, "count", wire.Count, MaxTasks)
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

func (r *reader) dependsOn(index int, raw []float64) []int {
	if len(raw) == 0 {
		return nil
	}
	steps := make([]int, 0, len(raw))
	for _, value := range raw {
		step, ok := quantity.Integer(value)
		if !ok || step < 0 || step >= int64(index) {
			r.found.Add(place(index, "dependsOn"), "%v is not the number of an earlier step", value)
			continue
		}
		steps = append(steps, int(step))
	}
	slices.Sort(steps)
	return slices.Compact(steps)
}

// wholeNumber converts a non-negative integer that must not exceed limit.
func (r *reader) wholeNumber(index int, field string, value float64, limit int) int {
	if value < 0 {
		r.found.Add(place(index, field), "%v is negative", value)
		return 0
	}
	if value > float64(limit) {
		r.found.Add(place(index, field), "%.12g is more than %d", value, limit)
		return 0
	}
	whole, ok := quantity.Integer(value)
	if !ok {
		r.found.Add(place(index, field), "%v is not a whole number", value)
	}
	return int(whole)
}

// amount converts a resource demand. It rounds up to an integer, so that the reserved amount always suffices.
func (r *reader) amount(index int, field string, value float64) int64 {
	return quantity.CeilClamped(r.nonNegative(index, field, value), MaxAmount)
}

func (r *reader) milliseconds(index int, field string, value float64) time.Duration {
	return quantity.Milliseconds(r.nonNegative(index, field, value))
}

func (r *reader) nonNegative(index int, field string, value float64) float64 {
	if value < 0 {
		r.found.Add(place(index, field), "%v is negative", value)
		return 0
	}
	return value
}

// noStage is passed as the stage index for the members of the job itself.
const noStage = -1

func place(index int, field string) string {
	if index == noStage {
		return field
	}
	return findings.Item("stages", index, field)
}
