package scheduler

import (
	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/workerapi"
)

// Resources are thousandths of a core, megabytes and whole GPUs.
type Resources struct {
	CPU, MemoryMb, GPUs int64
}

func stageNeed(stage *jobspec.Stage) Resources {
	return Resources{CPU: stage.CPU, MemoryMb: stage.MemoryMb, GPUs: stage.GPUs}
}

func allocatable(room workerapi.Allocatable) Resources {
	return Resources{CPU: int64(room.CPU), MemoryMb: int64(room.MemoryMB), GPUs: int64(room.GPUs)}
}

func (r Resources) plus(other Resources) Resources {
	return Resources{r.CPU + other.CPU, r.MemoryMb + other.MemoryMb, r.GPUs + other.GPUs}
}

func (r Resources) minus(other Resources) Resources {
	return Resources{r.CPU - other.CPU, r.MemoryMb - other.MemoryMb, r.GPUs - other.GPUs}
}

func (r Resources) fitsInto(room Resources) bool {
	return r.CPU <= room.CPU && r.MemoryMb <= room.MemoryMb && r.GPUs <= room.GPUs
}

// fitCount is how often the need fits into the room, maxLanes at most.
func (r Resources) fitCount(room Resources) int {
	most := int64(maxLanes)
	most = fitCountOf(r.CPU, room.CPU, most)
	most = fitCountOf(r.MemoryMb, room.MemoryMb, most)
	return int(fitCountOf(r.GPUs, room.GPUs, most))
}

func fitCountOf(need, room, most int64) int64 {
	if need <= 0 {
		return most
	}
	return max(0, min(most, room/need))
}

// lanesOf is how many lanes of the need this takes, maxLanes at most.
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

// dominantShare is the part of the scarcest dimension of the room that this takes.
func (r Resources) dominantShare(room Resources) float64 {
	return max(fraction(r.CPU, room.CPU), fraction(r.MemoryMb, room.MemoryMb), fraction(r.GPUs, room.GPUs))
}

func fraction(taken, room int64) float64 {
	if room <= 0 {
		return 0
	}
	return float64(taken) / float64(room)
}
