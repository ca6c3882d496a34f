package hollow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestTwoRunsAtOnce(t *testing.T) {
	world := newTestWorld(t)
	first, second := world.worker(), world.worker()
	world.job(oneTask(time.Second))
	start(t, first, 0, 0, 1)
	start(t, second, 0, 0, 2)
	world.requireRules(RuleTwice)
}

func TestCopiesOfSpeculativeTasks(t *testing.T) {
	world := newTestWorld(t)
	first, second := world.worker(), world.worker()
	stage := oneTask(time.Second)
	stage.Speculative = true
	world.job(stage)
	start(t, first, 0, 0, 1)
	start(t, second, 0, 0, 2)
	world.clock.Advance(time.Second)
	require.Equal(t, []string{"done"}, hold(t, second, 0).endReasons())
	world.requireRules()
}

func TestStartAfterAnAcknowledgedEnd(t *testing.T) {
	world := newTestWorld(t)
	worker := world.worker()
	world.job(oneTask(time.Second))
	start(t, worker, 0, 0, 1)
	world.clock.Advance(time.Second)
	hold(t, worker, 1)
	start(t, worker, 0, 0, 2)
	world.requireRules(RuleTwice)
}

func TestStartBeforeTheEndIsAcknowledged(t *testing.T) {
	world := newTestWorld(t)
	first, second := world.worker(), world.worker()
	world.job(oneTask(time.Second))
	start(t, first, 0, 0, 1)
	world.clock.Advance(time.Second)
	start(t, second, 0, 0, 2)
	world.requireRules()
	hold(t, first, 1)
	world.requireRules(RuleTwice)
}

func TestEndDoesNotCountOnceTheHoldHasLapsed(t *testing.T) {
	world := newTestWorld(t)
	first, second := world.worker(), world.worker()
	world.job(oneTask(time.Second))
	start(t, first, 0, 0, 1)
	world.clock.Advance(7 * time.Second)
	start(t, second, 0, 0, 2)
	hold(t, first, 1)
	world.requireRules()
}

func TestRetriesAreUsedUp(t *testing.T) {
	world := newTestWorld(t)
	first, second := world.worker(), world.worker()
	stage := oneTask(2 * time.Second)
	stage.OwnFailures = 9
	world.job(stage)
	for attempt := 1; attempt <= 2; attempt++ {
		start(t, first, 0, 0, attempt)
		world.advanceHolding(time.Second, first)
	}
	require.Empty(t, world.Unfinished(), "a job without retries left is not unfinished")
	start(t, second, 0, 0, 3)
	world.requireRules()
	hold(t, first, 2)
	world.requireRules(RuleBudget)
}

func TestOrdersAgainstTheJob(t *testing.T) {
	cases := []struct {
		name  string
		order func(world *testWorld)
		rules []Rule
	}{
		{"dependency", func(world *testWorld) { start(world.t, world.worker(), 1, 0, 1) }, []Rule{RuleOrder}},
		{"service", func(world *testWorld) {
			other := world.worker(func(settings *WorkerSettings) { settings.Backend = "rain" })
			start(world.t, other, 0, 0, 1)
		}, []Rule{RuleRoute}},
		{"label", func(world *testWorld) { start(world.t, world.worker(), 2, 0, 1) }, []Rule{RuleRoute}},
		{"spread", func(world *testWorld) {
			worker := world.worker()
			start(world.t, worker, 3, 0, 1)
			start(world.t, worker, 3, 1, 1)
		}, []Rule{RuleRoute}},
		{"room", func(world *testWorld) {
			worker := world.worker(func(settings *WorkerSettings) { settings.Guarded = false })
			start(world.t, worker, 4, 0, 1)
			start(world.t, worker, 4, 1, 1)
		}, []Rule{RuleLimit}},
		{"checkpoint", func(world *testWorld) {
			startWith(world.t, world.worker(), 0, 0, 1, "00000bb87a21d94b")
		}, []Rule{RuleCheckpoint}},
		{"cancelled", func(world *testWorld) {
			world.CancelJob(testJob)
			world.clock.Advance(3*time.Second + time.Millisecond)
			start(world.t, world.worker(), 0, 0, 1)
			world.clock.Advance(time.Second)
		}, []Rule{RuleUnasked, RuleUnasked}},
		{"cancelled in time", func(world *testWorld) {
			world.CancelJob(testJob)
			start(world.t, world.worker(), 0, 0, 1)
			world.clock.Advance(10 * time.Second)
		}, nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			world := newTestWorld(t)
			world.job(
				oneTask(2*time.Second),
				Stage{Count: 1, DependsOn: []int{0}, Work: time.Second},
				Stage{Count: 1, Requirement: "b", Work: time.Second},
				Stage{Count: 2, AntiAffinity: 1, Work: time.Second},
				Stage{Count: 2, Need: Resources{CPU: 3000}, Work: time.Second},
			)
			test.order(world)
			world.requireRules(test.rules...)
		})
	}
}

func TestScheduledJobStartsAheadOfItsDueTime(t *testing.T) {
	world := newTestWorld(t)
	worker := world.worker()
	world.AddJob(Job{
		ID:          testJob,
		Spec:        testSpec,
		Backends:    []string{testBackend},
		Stages:      []Stage{oneTask(time.Second)},
		Repetitions: 2,
		FirstDue:    2 * time.Second,
		Interval:    time.Second,
	})
	world.clock.Advance(750 * time.Millisecond)
	start(t, worker, 0, 0, 1)
	world.requireRules()
	order := startOrder{Task: TaskName(testJob, 1, 0, 0), Attempt: 1, Spec: testSpec, DueAtMs: farDue, FenceToken: 1}
	call(t, worker, "/run-start", order)
	world.requireRules(RuleOrder)
}

func TestLostJobs(t *testing.T) {
	world := newTestWorld(t)
	worker := world.worker()
	world.job(oneTask(time.Second), Stage{Count: 1, DependsOn: []int{0}, Work: time.Second})
	world.clock.Advance(time.Second)
	require.Empty(t, world.Lost(2*time.Second))
	start(t, worker, 0, 0, 1)
	world.clock.Advance(3 * time.Second)
	require.Empty(t, world.Lost(2*time.Second), "the second step has been ready for 2 s")
	require.Equal(t, []string{TaskName(testJob, 0, 1, 0)}, world.Unfinished())
	world.clock.Advance(time.Second)
	lost := world.Lost(2 * time.Second)
	require.Len(t, lost, 1)
	require.Equal(t, TaskName(testJob, 0, 1, 0), lost[0].Task)
}

// A cancelled run may continue for the time set by SetCancelAllowance, and no longer.
func TestCancelAllowanceLetsACancelledRunContinue(t *testing.T) {
	for _, test := range []struct {
		longer time.Duration
		want   int
	}{{0, 1}, {10 * time.Second, 0}} {
		world := newTestWorld(t)
		world.job(oneTask(5 * time.Second))
		world.SetCancelAllowance(test.longer)
		start(t, world.worker(), 0, 0, 1)
		world.CancelJob(testJob)
		world.clock.Advance(20 * time.Second)
		assert.Len(t, world.Violations(), test.want)
	}
}
