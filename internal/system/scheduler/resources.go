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

func statedRoom(room workerapi.Allocatable) Resources {
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

// times is how often the need fits into the room, mostLanes at most.
func (r Resources) times(room Resources) int {
	most := int64(mostLanes)
	most = fitsTimes(r.CPU, room.CPU, most)
	most = fitsTimes(r.MemoryMb, room.MemoryMb, most)
	return int(fitsTimes(r.GPUs, room.GPUs, most))
}

func fitsTimes(need, room, most int64) int64 {
	if need <= 0 {
		return most
	}
	return max(0, min(most, room/need))
}

// width is how many lanes of the need this takes, mostLanes at most.
func (r Resources) width(need Resources) int {
	width := max(lanesOf(r.CPU, need.CPU), lanesOf(r.MemoryMb, need.MemoryMb), lanesOf(r.GPUs, need.GPUs), 1)
	return int(min(width, mostLanes))
}

func lanesOf(taken, need int64) int64 {
	if need <= 0 {
		return 0
	}
	return (taken + need - 1) / need
}

// shareOf is the part of the scarcest dimension of the room that this takes.
func (r Resources) shareOf(room Resources) float64 {
	return max(share(r.CPU, room.CPU), share(r.MemoryMb, room.MemoryMb), share(r.GPUs, room.GPUs))
}

func share(taken, room int64) float64 {
	if room <= 0 {
		return 0
	}
	return float64(taken) / float64(room)
}
