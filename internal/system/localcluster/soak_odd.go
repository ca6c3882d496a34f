package localcluster

import (
	"time"

	"gaugeslip/internal/system/hollow"
	"gaugeslip/internal/system/jobspec"
)

// Shares of the odd properties of jobs that are valid all the same.
const (
	emptyStageShare   = 0.4 // stages without tasks
	dependencyShare   = 0.4 // pairs of stages of which the later depends on the earlier
	oddPropertyShare  = 0.2
	immediateShare    = 0.3 // repeated jobs whose times all fall due at once
	overdueShare      = 0.4 // repeated jobs whose first time is past
	maxOddStages      = 5
	maxOverdue        = 5000 // milliseconds
	wrongEstimateMost = 20   // an estimate may be wrong by this factor
)

// oddStages returns stages as odd as the protocol allows: without tasks, with estimates that are wrong or missing, gangs of one, more
// dependencies than needed, data in racks that may not exist.
func (d *jobGenerator) oddStages() (stages []jobspec.Stage, works []time.Duration) {
	for number := range d.random.IntN(maxOddStages + 1) {
		work := d.randomDuration(50, 600)
		stage := jobspec.Stage{Count: 1 + d.random.IntN(3), CPU: smallCPU, MemoryMb: smallMemory, Estimated: work}
		for earlier := range number {
			if d.chance(dependencyShare) {
				stage.DependsOn = append(stage.DependsOn, earlier)
			}
		}
		d.addOddProperties(&stage)
		if d.chance(emptyStageShare) {
			stage.Count = 0
		}
		stages, works = append(stages, stage), append(works, work)
	}
	return stages, works
}

func (d *jobGenerator) addOddProperties(stage *jobspec.Stage) {
	stage.Checkpoints = d.chance(oddPropertyShare)
	stage.Gang = d.chance(oddPropertyShare)
	stage.SameRack = d.chance(oddPropertyShare)
	stage.Speculative = !stage.Gang && d.chance(oddPropertyShare)
	if d.chance(oddPropertyShare) {
		stage.CPU, stage.MemoryMb = 0, 0
	}
	if d.chance(oddPropertyShare) {
		stage.Estimated = 0
	}
	if d.chance(oddPropertyShare) {
		stage.Estimated *= wrongEstimateMost
	}
	if d.chance(oddPropertyShare) {
		stage.Colocation = []string{"r0", "no-such-rack"}[d.random.IntN(2)]
	}
	if !stage.Gang && d.chance(oddPropertyShare) {
		stage.AntiAffinity = 1 + d.random.IntN(2)
	}
}

func (d *jobGenerator) chance(share float64) bool { return d.random.Float64() < share }

// oddSchedule lets some jobs run repeatedly, with times that are past or all the same.
func (d *jobGenerator) oddSchedule(spec *jobspec.Spec, checked *hollow.Job, now time.Time, worldNow time.Duration) {
	if !d.chance(oddPropertyShare) {
		return
	}
	lead := d.randomDuration(0, maxLeadMs)
	if d.chance(overdueShare) {
		lead = -d.randomDuration(0, maxOverdue)
	}
	interval := d.randomDuration(200, 1500)
	if d.chance(immediateShare) {
		interval = 0
	}
	d.repeat(spec, checked, 1+d.random.IntN(3), lead, interval, now, worldNow)
}

// repeat makes a job run a number of times, for the first time after lead.
func (d *jobGenerator) repeat(spec *jobspec.Spec, checked *hollow.Job, times int, lead, interval time.Duration, now time.Time, worldNow time.Duration) {
	spec.Repetitions, spec.Interval = times, interval
	spec.FirstRun = time.Duration(now.UnixMilli())*time.Millisecond + lead
	checked.Repetitions, checked.Interval = times, interval
	checked.FirstDue = worldNow + lead
}
