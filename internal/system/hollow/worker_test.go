package hollow

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTaskRunsAndIsListedUntilSeen(t *testing.T) {
	world := newTestWorld(t)
	worker := world.worker()
	world.job(oneTask(2 * time.Second))

	answer := start(t, worker, 0, 0, 1)
	require.Equal(t, http.StatusOK, answer.status)
	require.EqualValues(t, 10_000, answer.ClockMs)

	world.clock.Advance(time.Second)
	answer = hold(t, worker, 0)
	require.Equal(t, [][]any{{TaskName(testJob, 0, 0, 0), 1.0, "", 50.0}}, answer.Running)
	require.Empty(t, answer.Finished)

	world.clock.Advance(time.Second)
	for range 2 {
		answer = hold(t, worker, 0)
		require.Empty(t, answer.Running)
		require.Equal(t, [][]any{{1.0, TaskName(testJob, 0, 0, 0), 1.0, "done", ""}}, answer.Finished)
	}
	require.Empty(t, hold(t, worker, 1).Finished)
	require.True(t, world.JobDone(testJob))
	world.requireRules()
}

func TestStartIsRefused(t *testing.T) {
	order := startOrder{Task: TaskName(testJob, 0, 0, 0), Attempt: 2, Spec: testSpec, DueAtMs: farDue, FenceToken: 5}
	cases := []struct {
		name   string
		before func(worker *Worker, order *startOrder)
		status int
		reason string
	}{
		{"lower token", func(worker *Worker, order *startOrder) { order.FenceToken = 4 }, 409, "fence"},
		{"due time over", func(worker *Worker, order *startOrder) { order.DueAtMs = 10_000 }, 409, "late"},
		{"no due time", func(worker *Worker, order *startOrder) { order.DueAtMs = 0 }, 409, "late"},
		{"stopped before it came", func(worker *Worker, order *startOrder) {
			call(t, worker, "/run-stop", stopOrder{Task: order.Task, Attempt: 2, FenceToken: 5})
		}, 409, "old"},
		{"no room", func(worker *Worker, order *startOrder) { order.Task = TaskName(testJob, 0, 1, 0) }, 409, "room"},
		{"unhealthy", func(worker *Worker, order *startOrder) { worker.SetFaults(Faults{Busy: true}) }, 503, ""},
		{"unknown task", func(worker *Worker, order *startOrder) { order.Task = "x.0.0.0" }, 400, ""},
		{"good", func(worker *Worker, order *startOrder) {}, 200, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			world := newTestWorld(t)
			worker := world.worker()
			world.job(oneTask(time.Second), Stage{Count: 1, Need: Resources{CPU: 4001}})
			call(t, worker, "/hold", holdOrder{FenceToken: 5})
			changed := order
			test.before(worker, &changed)
			answer := call(t, worker, "/run-start", changed)
			require.Equal(t, test.status, answer.status)
			require.Equal(t, test.reason, answer.Reason)
		})
	}
}

func TestRepeatedStartIsTheSameRun(t *testing.T) {
	world := newTestWorld(t)
	worker := world.worker()
	world.job(oneTask(time.Second))
	require.Equal(t, http.StatusOK, start(t, worker, 0, 0, 1).status)
	require.Equal(t, http.StatusOK, start(t, worker, 0, 0, 1).status)
	require.Equal(t, 1, world.Stats().Starts)
	world.clock.Advance(time.Second)
	require.Equal(t, "old", start(t, worker, 0, 0, 1).Reason)
	world.requireRules()
}

func TestHoldLapses(t *testing.T) {
	world := newTestWorld(t)
	worker := world.worker(func(settings *WorkerSettings) { settings.ClockRate = 0.98 })
	world.job(oneTask(time.Minute))
	start(t, worker, 0, 0, 1)

	world.clock.Advance(6 * time.Second)
	require.Len(t, hold(t, worker, 0).Running, 1, "its clock is slow, so the hold has not lapsed")
	world.clock.Advance(6122 * time.Millisecond)
	require.Len(t, call(t, worker, "/hold", holdOrder{FenceToken: 1}).Running, 1)
	world.clock.Advance(2 * time.Millisecond)
	require.Equal(t, []string{"lapsed"}, hold(t, worker, 0).endReasons())
}

func TestDueTimeIsNeverShortened(t *testing.T) {
	world := newTestWorld(t)
	worker := world.worker()
	world.job(oneTask(5 * time.Second))
	start(t, worker, 0, 0, 1)
	call(t, worker, "/hold", holdOrder{DueAtMs: 10_500, FenceToken: 1})
	world.clock.Advance(5 * time.Second)
	require.Equal(t, []string{"done"}, hold(t, worker, 0).endReasons())
}

func TestRefusedStartRenewsTheHold(t *testing.T) {
	world := newTestWorld(t)
	worker := world.worker()
	world.job(oneTask(8*time.Second), Stage{Count: 1, Need: Resources{CPU: 4001}})
	start(t, worker, 0, 0, 1)
	world.clock.Advance(4 * time.Second)
	require.Equal(t, "room", start(t, worker, 1, 0, 1).Reason)
	world.clock.Advance(4 * time.Second)
	require.Equal(t, []string{"done"}, hold(t, worker, 0).endReasons())
}

func TestStoppingRunKeepsItsCapacity(t *testing.T) {
	world := newTestWorld(t)
	worker := world.worker()
	world.job(Stage{Count: 2, Need: Resources{CPU: 3000}, Work: time.Minute, Checkpoints: true})
	start(t, worker, 0, 0, 1)
	world.clock.Advance(1500 * time.Millisecond)
	require.Equal(t, http.StatusOK, stop(t, worker, 0, 1).status)
	require.Equal(t, "room", start(t, worker, 0, 1, 1).Reason)

	world.clock.Advance(400 * time.Millisecond)
	answer := hold(t, worker, 0)
	require.Equal(t, []string{"stopped"}, answer.endReasons())
	checkpoint := answer.Finished[0][4].(string)
	require.Equal(t, "000005dc", checkpoint[:8], "the checkpoint holds 1.5 s of work")
	require.Zero(t, world.Stats().WastedCPU)
	require.Equal(t, http.StatusOK, start(t, worker, 0, 1, 1).status)
	world.requireRules()
}

func TestCheckpointResumes(t *testing.T) {
	world := newTestWorld(t)
	first, second := world.worker(), world.worker()
	world.job(Stage{Count: 1, Need: Resources{CPU: 1000}, Work: 4 * time.Second, Checkpoints: true})
	start(t, first, 0, 0, 1)
	world.clock.Advance(3500 * time.Millisecond)
	checkpoint := hold(t, first, 0).Running[0][2].(string)
	require.Equal(t, "00000bb8", checkpoint[:8])
	first.Crash(time.Second)
	require.Equal(t, 500*time.Millisecond, world.Stats().WastedCPU)

	require.Equal(t, http.StatusOK, startWith(t, second, 0, 0, 2, checkpoint).status)
	world.clock.Advance(1599 * time.Millisecond)
	require.Empty(t, hold(t, second, 0).Finished)
	world.clock.Advance(time.Millisecond)
	require.Equal(t, []string{"done"}, hold(t, second, 0).endReasons())
	world.requireRules()
}

func TestRestartAfterCrashIsANewInstance(t *testing.T) {
	world := newTestWorld(t)
	worker := world.worker()
	world.job(oneTask(time.Minute))
	start(t, worker, 0, 0, 1)
	before := worker.Instance()
	worker.Crash(time.Second)
	require.Panics(t, func() { hold(t, worker, 0) }, "no answer while it is down")
	world.clock.Advance(time.Second)
	require.NotEqual(t, before, worker.Instance())
	answer := call(t, worker, "/hold", holdOrder{})
	require.Equal(t, http.StatusOK, answer.status, "the new instance has seen no token")
	require.Empty(t, answer.Running)
	require.Empty(t, answer.Finished)
}

func TestFinishedListIsBounded(t *testing.T) {
	world := newTestWorld(t)
	worker := world.worker()
	world.job(Stage{Count: 600, Work: time.Second})
	for index := range 600 {
		require.Equal(t, http.StatusOK, start(t, worker, 0, index, 1).status)
	}
	world.clock.Advance(time.Second)
	require.Len(t, hold(t, worker, 0).Finished, 500)
	require.Len(t, hold(t, worker, 500).Finished, 100)
	require.Empty(t, hold(t, worker, 600).Finished)
}

func TestHoldWaitsForAnEnd(t *testing.T) {
	world := newTestWorld(t)
	worker := world.worker()
	world.job(oneTask(time.Second))
	start(t, worker, 0, 0, 1)
	answers := make(chan wireAnswer)
	wait := func(lastSeen uint64) {
		answers <- call(t, worker, "/hold", holdOrder{FenceToken: 1, LastSeen: lastSeen, WaitMs: 1500})
	}

	go wait(0)
	world.AwaitWaiting(1)
	world.clock.Advance(time.Second)
	answer := <-answers
	require.Equal(t, []string{"done"}, answer.endReasons())
	require.EqualValues(t, 11_000, answer.ClockMs)

	go wait(1)
	world.AwaitWaiting(1)
	world.clock.Advance(1500 * time.Millisecond)
	answer = <-answers
	require.Empty(t, answer.Finished)
	require.EqualValues(t, 12_500, answer.ClockMs)
}

func TestFaultsOfWork(t *testing.T) {
	cases := []struct {
		name   string
		faults Faults
		ends   []string
	}{
		{"sound", Faults{}, []string{"done"}},
		{"slow", Faults{Slow: 2}, nil},
		{"hang", Faults{Hang: true}, nil},
		{"failing", Faults{FailShare: 1}, []string{"failed"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			world := newTestWorld(t)
			worker := world.worker()
			world.job(oneTask(2 * time.Second))
			worker.SetFaults(test.faults)
			start(t, worker, 0, 0, 1)
			world.clock.Advance(2 * time.Second)
			require.Equal(t, test.ends, hold(t, worker, 0).endReasons())
			worker.SetFaults(Faults{})
			world.clock.Advance(2 * time.Second)
			require.NotEmpty(t, hold(t, worker, 0).endReasons(), "a worker without faults continues")
		})
	}
}

func TestOwnFailuresAreLimited(t *testing.T) {
	world := newTestWorld(t)
	worker := world.worker()
	stage := oneTask(2 * time.Second)
	stage.OwnFailures = 1
	world.job(stage)
	start(t, worker, 0, 0, 1)
	world.advanceHolding(2*time.Second, worker)
	start(t, worker, 0, 0, 2)
	world.advanceHolding(2*time.Second, worker)
	require.Equal(t, []string{"failed", "done"}, hold(t, worker, 0).endReasons())
	world.requireRules()
}

func TestFarFromItsDataTakesLonger(t *testing.T) {
	world := newTestWorld(t)
	near := world.worker()
	far := world.worker(func(settings *WorkerSettings) { settings.Rack = "r2" })
	world.job(Stage{Count: 2, Need: Resources{CPU: 1000}, Work: time.Second, Colocation: "r1"})
	start(t, near, 0, 0, 1)
	start(t, far, 0, 1, 1)
	world.clock.Advance(time.Second)
	require.Equal(t, []string{"done"}, hold(t, near, 0).endReasons())
	require.Empty(t, hold(t, far, 0).endReasons())
	world.clock.Advance(2 * time.Second)
	require.Equal(t, []string{"done"}, hold(t, far, 0).endReasons())
}

func TestLongRunningTaskRunsUntilStopped(t *testing.T) {
	world := newTestWorld(t)
	worker := world.worker()
	world.job(Stage{Count: 1, Need: Resources{CPU: 1000}, LongRunning: true})
	start(t, worker, 0, 0, 1)
	world.advanceHolding(time.Minute, worker)
	require.Len(t, hold(t, worker, 0).Running, 1)
	stop(t, worker, 0, 1)
	world.advanceHolding(time.Second, worker)
	require.Equal(t, []string{"stopped"}, hold(t, worker, 0).endReasons())
}
