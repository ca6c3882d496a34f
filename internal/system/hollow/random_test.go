package hollow

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// requireConsistent checks the invariants of a worker.
func requireConsistent(t *rapid.T, worker *Worker) {
	var used Resources
	for key, run := range worker.runs {
		require.False(t, run.ended)
		require.Equal(t, runKey{run.task.name, run.attempt}, key)
		require.Contains(t, run.execution.members, run)
		require.NotEqual(t, run.attempt, worker.endedAttempts[run.task.name], "a run that ended here is still present")
		used = used.plus(run.task.stage.Need)
	}
	require.Equal(t, used, worker.used)
	if worker.settings.Guarded {
		require.True(t, worker.used.fitsInto(worker.settings.Allocatable))
	}
	for i, end := range worker.finished {
		require.Equal(t, worker.finished[0].number+uint64(i), end.number)
	}
	if len(worker.runs) > 0 {
		require.Less(t, worker.clockMs(), worker.heldUntil, "a run is present without a hold")
	}
}

func requireWorldConsistent(t *rapid.T, world *World) {
	world.lock()
	defer world.unlock()
	for _, worker := range world.workers {
		requireConsistent(t, worker)
	}
	requireTasksConsistent(t, world)
}

// requireTasksConsistent checks that each task's count of runs equals the runs present on the workers.
func requireTasksConsistent(t *rapid.T, world *World) {
	running := make(map[string]int)
	for _, worker := range world.workers {
		for _, run := range worker.runs {
			running[run.task.name]++
		}
	}
	for _, job := range world.jobs {
		for _, task := range job.tasks {
			require.Equal(t, running[task.name], task.running, task.name)
		}
	}
	for key, gang := range world.gangs {
		require.NotEmpty(t, gang.members, key)
	}
}

func drawStage(t *rapid.T) Stage {
	return Stage{
		Count:       rapid.IntRange(1, 3).Draw(t, "count"),
		Need:        Resources{CPU: rapid.IntRange(1, 3000).Draw(t, "cpu")},
		Work:        time.Duration(rapid.IntRange(0, 5000).Draw(t, "work")) * time.Millisecond,
		Checkpoints: rapid.Bool().Draw(t, "checkpoints"),
		Gang:        rapid.Bool().Draw(t, "gang"),
		SameRack:    rapid.Bool().Draw(t, "same rack"),
		LongRunning: rapid.IntRange(0, 4).Draw(t, "long running") == 0,
		OwnFailures: rapid.IntRange(0, 1).Draw(t, "own failures"),
	}
}

func TestAnyOrdersKeepTheWorldConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := NewManualClock(0)
		world := NewWorld(DefaultSettings(), clock)
		defer world.Close()
		stages := rapid.SliceOfN(rapid.Custom(drawStage), 1, 3).Draw(t, "stages")
		world.AddJob(Job{ID: "j", Backends: []string{testBackend}, Stages: stages})
		for i := range 3 {
			world.NewWorker(WorkerSettings{
				Backend:     testBackend,
				Allocatable: Resources{CPU: 4000},
				Guarded:     i != 0,
				Rack:        fmt.Sprintf("r%d", i%2),
				ClockRate:   1 - float64(i)/100,
			})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			randomStep(t, world, clock, stages)
			requireWorldConsistent(t, world)
		}
	})
}

func randomStep(t *rapid.T, world *World, clock *ManualClock, stages []Stage) {
	worker := rapid.SampledFrom(world.workers).Draw(t, "worker")
	stage := rapid.IntRange(0, len(stages)-1).Draw(t, "stage")
	index := rapid.IntRange(0, stages[stage].Count-1).Draw(t, "index")
	name := TaskName("j", 0, stage, index)
	attempt := rapid.IntRange(1, 4).Draw(t, "attempt")
	step := rapid.IntRange(0, 12).Draw(t, "step")
	switch step {
	case 0:
		worker.Crash(time.Duration(rapid.IntRange(0, 1000).Draw(t, "down")) * time.Millisecond)
		return
	case 1:
		worker.SetFaults(Faults{
			Hang:      rapid.Bool().Draw(t, "hang"),
			Slow:      rapid.Float64Range(1, 4).Draw(t, "slow"),
			FailShare: rapid.Float64Range(0, 1).Draw(t, "fail share"),
		})
		return
	}
	if step < 5 {
		clock.Advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "span")) * time.Millisecond)
		return
	}
	world.lock()
	defer world.unlock()
	if !worker.alive() {
		return
	}
	due := worker.clockMs() + int64(rapid.IntRange(0, 7000).Draw(t, "due"))
	switch {
	case step < 9:
		worker.start(&startOrder{Task: name, Attempt: attempt, DueAtMs: due})
	case step < 10:
		worker.stop(&stopOrder{Task: name, Attempt: attempt})
	default:
		lastSeen := worker.lastNumber - min(worker.lastNumber, uint64(rapid.IntRange(0, 2).Draw(t, "unseen")))
		worker.hold(&holdOrder{DueAtMs: due, LastSeen: lastSeen})
		worker.listRuns()
	}
}
