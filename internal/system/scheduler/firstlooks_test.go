package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// heard counts the workers that have answered the present head.
func (r *rush) heard() (all, withRuns int) {
	for _, w := range r.sched.workers {
		if w.reach != answering {
			continue
		}
		all++
		if len(w.runs) > 0 {
			withRuns++
		}
	}
	return all, withRuns
}

func (r *rush) workersWithRuns() int {
	count := 0
	for _, w := range r.sched.workers {
		if len(w.runs) > 0 {
			count++
		}
	}
	return count
}

// A head that deals with 2,500 holds a second takes over 3,000 workers.
func TestNewHeadHearsThousandsOfWorkersOneAfterTheOther(t *testing.T) {
	const workers = 3000
	r := newRush(workers, 40, 4*time.Second)
	r.run(r.now + time.Second)
	for range 20 {
		r.submit()
	}
	r.run(r.now + time.Second)
	r.holdCosts = 400 * time.Microsecond
	r.elect()
	busy := r.workersWithRuns()
	require.Greater(t, busy, 20)

	r.run(r.now + 500*time.Millisecond)
	_, heard := r.heard()
	require.Equal(t, busy, heard, "where something runs is asked first")
	r.run(r.now + 6*time.Second)
	heard, _ = r.heard()
	require.Equal(t, workers, heard)
	require.Zero(t, r.sched.looks.out)
}

func TestSecondLooksLeaveCallsForOrders(t *testing.T) {
	d := newDesk(t)
	d.list(entry("w1", 16000))
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	started := d.start("w1")
	d.sched.answers.lossyUntil = d.now + time.Hour
	d.sched.mostCalls = spareCalls
	d.pass(quickAnswer)
	d.hold("w1", running(started, 1), nil)
	require.Equal(t, 1, d.count(CallHold), "no second look where calls are short")
	d.sched.mostCalls = 0
	d.pass(quickAnswer)
	d.hold("w1", running(started, 2), nil)
	require.Equal(t, 2, d.count(CallHold))
}

// Some hundred workers are asked all at once, thousands in turn.
func TestFewWorkersAreAskedAtOnce(t *testing.T) {
	for _, workers := range []int{fewWorkers, fewWorkers + 1} {
		r := newRush(workers, 1, time.Second)
		r.run(r.now + time.Second)
		r.holdCosts = time.Hour // nobody answers
		r.elect()
		want := workers
		if workers > fewWorkers {
			want = mostFirstLooks
		}
		require.Equal(t, want, r.sched.looks.out)
	}
}
