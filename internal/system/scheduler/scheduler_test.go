package scheduler

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/state"
)

// checkNoIdleCapacity looks for queued tasks that could start on a worker.
func (s *Scheduler) checkNoIdleCapacity(w *simCluster) {
	for _, svc := range s.services {
		for _, st := range svc.queue.All() {
			if st.stage.Gang || st.stage.Colocation != "" || !s.shares.fit(st) {
				continue
			}
			for _, index := range st.waiting {
				if st.tasks[index].failures > 0 {
					continue // it may wait for a proven worker
				}
				if found := s.bestWorker(svc.workers, st, &st.tasks[index]); found != nil {
					w.violated("IDLE", "%v waits although %s has free capacity: %+v", st.name(index), found.identity.Instance, found.view())
				}
			}
		}
	}
}

// emptyStepShare is the share of random steps that have no tasks.
const emptyStepShare = 0.15

// randomSpec returns a random job specification of any kind.
func (w *simCluster) randomSpec() *jobspec.Spec {
	spec := &jobspec.Spec{Text: fmt.Sprintf("spec %d", w.random.Uint64())}
	for i := range 1 + w.random.IntN(3) {
		stage := jobspec.Stage{
			Count:     1 + w.random.IntN(5),
			CPU:       int64(500 + 500*w.random.IntN(8)),
			MemoryMb:  int64(100 * (1 + w.random.IntN(20))),
			Estimated: w.between(100*time.Millisecond, 3*time.Second).Truncate(time.Millisecond),
		}
		if i > 0 && w.chance(0.7) {
			stage.DependsOn = []int{w.random.IntN(i)}
		}
		stage.Checkpoints = w.chance(0.4)
		stage.Gang = w.chance(0.2)
		stage.SameRack = stage.Gang && w.chance(0.5)
		stage.Speculative = !stage.Gang && w.chance(0.2)
		if w.chance(0.2) {
			stage.Requirements = []string{"a"}
		}
		if w.chance(0.2) {
			stage.Colocation = fmt.Sprintf("rack-%d", w.random.IntN(3))
		}
		if stage.Gang {
			stage.CPU = min(stage.CPU, 1500)
		} else if w.chance(0.2) {
			stage.AntiAffinity = 1 + w.random.IntN(2)
		}
		if w.chance(emptyStepShare) {
			stage.Count = 0
		}
		spec.Stages = append(spec.Stages, stage)
	}
	if w.chance(0.15) {
		spec.Repetitions = 1 + w.random.IntN(4)
		spec.FirstRun = time.Duration(w.unixMs()+int64(w.random.IntN(3000))) * time.Millisecond
		spec.Interval = w.between(200*time.Millisecond, 2*time.Second).Truncate(time.Millisecond)
	}
	return spec
}

func (w *simCluster) addFleet(workers int) {
	for i := range workers {
		room := Resources{CPU: int64(4000 * (1 + w.random.IntN(3))), MemoryMb: 16000}
		kind := "a"
		if i%3 == 2 {
			kind = "b"
		}
		w.addWorker("farm", room, w.chance(0.5), kind, fmt.Sprintf("rack-%d", i%3))
	}
}

// submitJobs submits jobs at random times within a span.
func (w *simCluster) submitJobs(jobs int, span time.Duration) {
	for range jobs {
		w.schedule(w.between(0, span), func() {
			own := 0
			if w.chance(0.15) {
				own = 1 + w.random.IntN(3)
			}
			j := w.submit("farm", 2+w.random.IntN(2), w.randomSpec(), own)
			if w.chance(0.1) {
				w.schedule(w.between(0, 4*time.Second), func() { w.cancel(j) })
			}
		})
	}
}

// runUntilAllOver runs the simulation until all jobs are over. It returns the first violation, or an error for a job that is not over.
func (w *simCluster) runUntilAllOver(until time.Duration) error {
	for w.violation == nil && w.now < until {
		w.run(w.now + time.Second)
		if w.unfinishedJobs() == 0 {
			return w.violation
		}
		if len(w.events) == 0 {
			break
		}
		w.now = max(w.now, min(w.now+time.Second, until))
	}
	if w.violation != nil {
		return w.violation
	}
	for id, j := range w.jobs {
		if !j.state.Finished() {
			return fmt.Errorf("seed %d: LOST: job %v is not over at %v: %+v", w.seed, id, w.now, w.sched.ExplainJob(id))
		}
	}
	return nil
}

func (w *simCluster) unfinishedJobs() int {
	open := 0
	for _, j := range w.jobs {
		if !j.state.Finished() {
			open++
		}
	}
	return open
}

func TestSimulationWithoutFaultsCompletesAllJobs(t *testing.T) {
	for seed := range uint64(60) {
		w := newSimCluster(seed)
		w.faultFree = true
		w.addFleet(6)
		w.elect()
		w.submitJobs(20, 10*time.Second)
		w.run(12 * time.Second)
		require.NoError(t, w.violation)
		require.NoError(t, w.runUntilAllOver(200*time.Second))
		for _, j := range w.jobs {
			if j.state == state.JobFailed {
				require.True(t, j.mustFail, "seed %d", seed)
			}
		}
	}
}

func TestSimulationIsDeterministic(t *testing.T) {
	first := newSimCluster(4)
	second := newSimCluster(4)
	for _, w := range []*simCluster{first, second} {
		_ = w.runWithFaults()
	}
	require.Equal(t, first.stats, second.stats)
	require.Equal(t, first.machine.Snapshot(), second.machine.Snapshot())
}

// injectFaults injects random faults until a time.
func (w *simCluster) injectFaults(until time.Duration) {
	if w.now >= until {
		return
	}
	worker := w.workers[w.random.IntN(len(w.workers))]
	span := w.between(500*time.Millisecond, 10*time.Second)
	switch w.random.IntN(12) {
	case 0:
		worker.crash(w.between(0, 4*time.Second), false)
	case 1:
		worker.partitioned = true
		w.schedule(span, func() { worker.partitioned = false })
	case 2:
		worker.delayed = true
		w.schedule(span, func() { worker.delayed = false })
	case 3:
		worker.busy = true
		w.schedule(span, func() { worker.busy = false })
	case 4:
		w.changePace(worker, func() { worker.stalled = true })
		w.schedule(span, func() { w.changePace(worker, func() { worker.stalled = false }) })
	case 5:
		w.changePace(worker, func() { worker.slow = 4 })
		w.schedule(span, func() { w.changePace(worker, func() { worker.slow = 1 }) })
	case 6:
		worker.failing = true
		w.schedule(span, func() { worker.failing = false })
	case 7:
		if w.random.IntN(3) == 0 {
			w.replace(worker)
		}
	case 8:
		w.faults.lostAnswers = 0.1
		w.schedule(span, func() { w.faults.lostAnswers = 0 })
	case 9:
		w.faults.lateOrders = 0.2
		w.schedule(span, func() { w.faults.lateOrders = 0 })
	case 10:
		w.faults.slowCommits = 0.1
		w.schedule(span, func() { w.faults.slowCommits = 0 })
	case 11:
		w.depose()
		w.schedule(w.between(0, 3*time.Second), w.elect)
	}
	w.schedule(w.between(100*time.Millisecond, 3*time.Second), func() { w.injectFaults(until) })
}

// changePace changes the pace of a worker.
func (w *simCluster) changePace(worker *simWorker, change func()) {
	for _, r := range worker.sorted() {
		r.gang.settle()
	}
	change()
	for _, r := range worker.sorted() {
		if r.gang.begun {
			r.gang.schedule()
		}
	}
}

// replace drains a worker and adds another like it.
func (w *simCluster) replace(worker *simWorker) {
	if !worker.up() || worker.drainSince > 0 {
		return
	}
	worker.drain(w.between(w.bounds.DrainTimeout(), 3*w.bounds.DrainTimeout()))
	w.schedule(time.Second, func() { w.addWorker(worker.backend, worker.capacity, worker.guarded, worker.labels...) })
}

func TestSimulationWithFaultsKeepsInvariantsAndLosesNoJob(t *testing.T) {
	for part := range uint64(seedParts) {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < *faultSeeds; seed += seedParts {
				require.NoError(t, runWithFaultsFromSeed(seed))
			}
		})
	}
}

func runWithFaultsFromSeed(seed uint64) error { return newSimCluster(seed).runWithFaults() }

// runWithFaults runs a simulation with faults to its end.
func (w *simCluster) runWithFaults() error {
	w.addFleet(6)
	w.elect()
	w.submitJobs(25, 15*time.Second)
	w.schedule(time.Second, func() { w.injectFaults(20 * time.Second) })
	w.run(35 * time.Second)
	if w.violation != nil {
		return w.violation
	}
	if w.sched == nil {
		w.elect()
	}
	return w.runUntilAllOver(300 * time.Second)
}

// faultSeeds is the number of simulations with faults.
var faultSeeds = flag.Uint64("seeds", 120, "number of simulations with faults")

const seedParts = 8
