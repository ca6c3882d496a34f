package hollow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func gangOf(count int, work time.Duration) Stage {
	return Stage{Count: count, Need: Resources{CPU: 1000}, Work: work, Gang: true}
}

func TestGangBeginsOnceAllArePresent(t *testing.T) {
	world := newTestWorld(t)
	first, second := world.worker(), world.worker()
	world.job(gangOf(2, 2*time.Second))
	start(t, first, 0, 0, 1)
	world.clock.Advance(time.Second)
	require.Equal(t, 0.0, hold(t, first, 0).Running[0][3])
	start(t, second, 0, 1, 1)
	world.clock.Advance(2 * time.Second)
	require.Equal(t, []string{"done"}, hold(t, first, 0).endReasons())
	require.Equal(t, []string{"done"}, hold(t, second, 0).endReasons())
	require.Equal(t, time.Second, world.Stats().GangWaitCPU)
	world.requireRules()
}

func TestIncompleteGangTimesOut(t *testing.T) {
	world := newTestWorld(t)
	worker := world.worker()
	world.job(gangOf(2, time.Second))
	start(t, worker, 0, 0, 1)
	world.clock.Advance(3 * time.Second)
	require.Equal(t, []string{"alone"}, hold(t, worker, 0).endReasons())
	world.requireRules(RuleAlone)
	start(t, worker, 0, 1, 1)
	world.clock.Advance(time.Second)
	require.Len(t, hold(t, worker, 0).Running, 1, "the member that timed out does not count any more")
}

func TestGangMembersEndTogether(t *testing.T) {
	breaks := map[string]func(t *testing.T, world *testWorld, worker *Worker){
		"crash": func(t *testing.T, world *testWorld, worker *Worker) { worker.Crash(time.Second) },
		"stop": func(t *testing.T, world *testWorld, worker *Worker) {
			stop(t, worker, 0, 1)
			world.clock.Advance(400 * time.Millisecond)
		},
	}
	for name, cut := range breaks {
		t.Run(name, func(t *testing.T) {
			world := newTestWorld(t)
			first, second := world.worker(), world.worker()
			world.job(gangOf(2, 4*time.Second))
			start(t, first, 0, 0, 1)
			start(t, second, 0, 1, 1)
			world.clock.Advance(time.Second)
			cut(t, world, first)
			require.Equal(t, []string{"broken"}, hold(t, second, 0).endReasons())
			require.Equal(t, 2*time.Second, world.Stats().WastedCPU)
			require.Empty(t, world.gangs)
		})
	}
}

func TestGangOverRacksIsSlow(t *testing.T) {
	world := newTestWorld(t)
	first := world.worker()
	second := world.worker(func(settings *WorkerSettings) { settings.Rack = "r2" })
	stage := gangOf(2, time.Second)
	stage.SameRack = true
	world.job(stage)
	start(t, first, 0, 0, 1)
	start(t, second, 0, 1, 1)
	world.clock.Advance(2 * time.Second)
	require.Len(t, hold(t, first, 0).Running, 1)
	world.clock.Advance(time.Second)
	require.Equal(t, []string{"done"}, hold(t, first, 0).endReasons())
}

func TestGangResumesFromAnyMembersCheckpoint(t *testing.T) {
	world := newTestWorld(t)
	first, second := world.worker(), world.worker()
	stage := gangOf(2, 3*time.Second)
	stage.Checkpoints = true
	world.job(stage)
	start(t, first, 0, 0, 1)
	start(t, second, 0, 1, 1)
	world.clock.Advance(2 * time.Second)
	first.Crash(time.Minute)
	checkpoint := hold(t, second, 0).Finished[0][4].(string)

	third := world.worker()
	startWith(t, third, 0, 0, 2, checkpoint)
	startWith(t, second, 0, 1, 2, checkpoint)
	world.clock.Advance(1600 * time.Millisecond)
	require.Equal(t, []string{"done"}, hold(t, third, 0).endReasons())
	world.requireRules()
}
