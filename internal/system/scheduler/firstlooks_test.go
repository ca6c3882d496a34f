package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// answeringWorkers counts the workers that have answered the present head.
func (r *loadCluster) answeringWorkers() (all, withRuns int) {
	for _, w := range r.sched.workers {
		if w.reach != reachAnswering {
			continue
		}
		all++
		if len(w.runs) > 0 {
			withRuns++
		}
	}
	return all, withRuns
}

func (r *loadCluster) workersWithRuns() int {
	count := 0
	for _, w := range r.sched.workers {
		if len(w.runs) > 0 {
			count++
		}
	}
	return count
}

// A head that deals with 2,500 holds a second takes over 3,000 workers.
func TestNewHeadContactsThousandsOfWorkersInTurn(t *testing.T) {
	const workers = 3000
	r := newLoadCluster(workers, 40, 4*time.Second)
	r.run(r.now + time.Second)
	for range 20 {
		r.submit()
	}
	r.run(r.now + time.Second)
	r.holdCost = 400 * time.Microsecond
	r.replaceScheduler()
	busy := r.workersWithRuns()
	require.Greater(t, busy, 20)

	r.run(r.now + 500*time.Millisecond)
	_, heard := r.answeringWorkers()
	require.Equal(t, busy, heard, "where something runs is asked first")
	r.run(r.now + 6*time.Second)
	heard, _ = r.answeringWorkers()
	require.Equal(t, workers, heard)
	require.Zero(t, r.sched.firstHolds.inFlight)
}

func TestSecondHoldsLeaveCallsForStartsAndStops(t *testing.T) {
	d := newHarness(t)
	d.list(listEntry("w1", 16000))
	d.submit(stage(1, 1000, time.Second))
	d.commit()
	started := d.acceptStart("w1")
	d.sched.latency.lossyUntil = d.now + time.Hour
	d.sched.maxCalls = reservedCalls
	d.advance(earlyAnswer)
	d.answerHold("w1", running(started, 1), nil)
	require.Equal(t, 1, d.countCalls(CallHold), "no second look where calls are short")
	d.sched.maxCalls = 0
	d.advance(earlyAnswer)
	d.answerHold("w1", running(started, 2), nil)
	require.Equal(t, 2, d.countCalls(CallHold))
}

// Some hundred workers are asked all at once, thousands in turn.
func TestSmallFleetIsContactedAtOnce(t *testing.T) {
	for _, workers := range []int{smallFleet, smallFleet + 1} {
		r := newLoadCluster(workers, 1, time.Second)
		r.run(r.now + time.Second)
		r.holdCost = time.Hour // nobody answers
		r.replaceScheduler()
		want := workers
		if workers > smallFleet {
			want = maxFirstHolds
		}
		require.Equal(t, want, r.sched.firstHolds.inFlight)
	}
}
