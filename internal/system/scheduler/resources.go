package scheduler

import (
	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/workerapi"
)

// Resources is an amount of CPU in thousandths of a core, memory in megabytes and whole GPUs.
type Resources struct {
	CPU, MemoryMb, GPUs int64
}

func stageNeed(stage *jobspec.Stage) Resources {
	return Resources{CPU: stage.CPU, MemoryMb: stage.MemoryMb, GPUs: stage.GPUs}
}

func allocatable(stated workerapi.Allocatable) Resources {
	return Resources{CPU: int64(stated.CPU), MemoryMb: int64(stated.MemoryMB), GPUs: int64(stated.GPUs)}
}

func (r Resources) plus(other Resources) Resources {
	return Resources{r.CPU + other.CPU, r.MemoryMb + other.MemoryMb, r.GPUs + other.GPUs}
}

func (r Resources) minus(other Resources) Resources {
	return Resources{r.CPU - other.CPU, r.MemoryMb - other.MemoryMb, r.GPUs - other.GPUs}
}

func (r Resources) fitsInto(capacity Resources) bool {
	return r.CPU <= capacity.CPU && r.MemoryMb <= capacity.MemoryMb && r.GPUs <= capacity.GPUs
}

// fitCount returns how many times the need fits into the given capacity, at most maxLanes.
func (r Resources) fitCount(capacity Resources) int {
	most := int64(maxLanes)
	most = fitCountOf(r.CPU, capacity.CPU, most)
	most = fitCountOf(r.MemoryMb, capacity.MemoryMb, most)
	return int(fitCountOf(r.GPUs, capacity.GPUs, most))
}

func fitCountOf(need, capacity, most int64) int64 {
	if need <= 0 {
		return most
	}
	return max(0, min(most, capacity/need))
}

// lanesOf returns how many lanes of the given need r takes, at most maxLanes.
func (r Resources) lanesOf(need Resources) int {
	width := max(lanesFor(r.CPU, need.CPU), lanesFor(r.MemoryMb, need.MemoryMb), lanesFor(r.GPUs, need.GPUs), 1)
	return int(min(width, maxLanes))
}

func lanesFor(taken, need int64) int64 {
	if need <= 0 {
		return 0
	}
	return (taken + need - 1) / need
}

// dominantShare returns the largest fraction that r takes of any dimension of the capacity.
func (r Resources) dominantShare(capacity Resources) float64 {
	return max(fraction(r.CPU, capacity.CPU), fraction(r.MemoryMb, capacity.MemoryMb), fraction(r.GPUs, capacity.GPUs))
}

func fraction(taken, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(taken) / float64(capacity)
}
