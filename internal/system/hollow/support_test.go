package hollow

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	testBackend = "farm"
	testSpec    = "(text)"
	testJob     = "5c0e7a21d94b36f8"
	farDue      = 1_000_000 // later than any hold; workers reduce it to their longest
)

// testWorld is a world with a manual clock and workers that are called without sockets.
type testWorld struct {
	*World
	t     *testing.T
	clock *ManualClock
}

func newTestWorld(t *testing.T) *testWorld {
	clock := NewManualClock(time.Second)
	world := &testWorld{World: NewWorld(DefaultSettings(), clock), t: t, clock: clock}
	t.Cleanup(world.Close)
	return world
}

func (world *testWorld) worker(change ...func(*WorkerSettings)) *Worker {
	settings := WorkerSettings{
		Backend:     testBackend,
		Allocatable: Resources{CPU: 4000, MemoryMB: 4096, GPUs: 1},
		Guarded:     true,
		Kind:        "a",
		Rack:        "r1",
		ClockZero:   10 * time.Second,
	}
	for _, apply := range change {
		apply(&settings)
	}
	return world.NewWorker(settings)
}

// job adds the test's job with the given stages.
func (world *testWorld) job(stages ...Stage) {
	world.AddJob(Job{ID: testJob, Spec: testSpec, Backends: []string{testBackend}, MaxRetries: 2, Stages: stages})
}

func oneTask(work time.Duration) Stage {
	return Stage{Count: 1, Need: Resources{CPU: 1000}, Work: work}
}

// wireAnswer is a decoded answer of a worker.
type wireAnswer struct {
	status   int
	ClockMs  int64   `json:"clockMs"`
	Reason   string  `json:"reason"`
	Running  [][]any `json:"running"`
	Finished [][]any `json:"finished"`
}

// endReasons returns the reasons of the listed ends.
func (answer wireAnswer) endReasons() []string {
	var reasons []string
	for _, row := range answer.Finished {
		reasons = append(reasons, row[3].(string))
	}
	return reasons
}

func call(t *testing.T, worker *Worker, path string, order any) wireAnswer {
	t.Helper()
	body, err := json.Marshal(order)
	require.NoError(t, err)
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(string(body)))
	recorder := httptest.NewRecorder()
	worker.ServeHTTP(recorder, request)
	answer := wireAnswer{status: recorder.Code}
	if recorder.Body.Len() > 0 {
		require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &answer))
	}
	return answer
}

func start(t *testing.T, worker *Worker, stage, index, attempt int) wireAnswer {
	t.Helper()
	return startWith(t, worker, stage, index, attempt, "")
}

func startWith(t *testing.T, worker *Worker, stage, index, attempt int, checkpoint string) wireAnswer {
	t.Helper()
	return call(t, worker, "/run-start", startOrder{
		Task:       TaskName(testJob, 0, stage, index),
		Attempt:    attempt,
		Spec:       testSpec,
		DueAtMs:    farDue,
		FenceToken: 1,
		Checkpoint: checkpoint,
	})
}

func stop(t *testing.T, worker *Worker, index, attempt int) wireAnswer {
	t.Helper()
	return call(t, worker, "/run-stop", stopOrder{Task: TaskName(testJob, 0, 0, index), Attempt: attempt, FenceToken: 1})
}

// hold renews the hold and returns the listed runs and ends.
func hold(t *testing.T, worker *Worker, lastSeen uint64) wireAnswer {
	t.Helper()
	return call(t, worker, "/hold", holdOrder{DueAtMs: farDue, FenceToken: 1, LastSeen: lastSeen})
}

// advanceHolding advances the clock in steps of one second and renews the hold of the workers after each.
func (world *testWorld) advanceHolding(span time.Duration, workers ...*Worker) {
	world.t.Helper()
	const step = time.Second
	for ; span > 0; span -= step {
		world.clock.Advance(min(step, span))
		for _, worker := range workers {
			hold(world.t, worker, 0)
		}
	}
}

// requireRules checks which rules were violated, in the order of their time.
func (world *testWorld) requireRules(expected ...Rule) {
	world.t.Helper()
	var found []Rule
	for _, violation := range world.Violations() {
		found = append(found, violation.Rule)
	}
	require.Equal(world.t, expected, found, "%v", world.Violations())
}
