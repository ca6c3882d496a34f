package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// answeringWorkers counts the workers that have answered the current head, and those of them with runs.
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

// A head that can process 2,500 holds per second takes over 3,000 workers.
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
	_, answeringBusy := r.answeringWorkers()
	require.Equal(t, busy, answeringBusy, "workers with runs are contacted first")
	r.run(r.now + 6*time.Second)
	answering, _ := r.answeringWorkers()
	require.Equal(t, workers, answering)
	require.Zero(t, r.sched.firstHolds.inFlight)
}

func TestSecondHoldsLeaveCallsForStartsAndStops(t *testing.T) {
	h := newHarness(t)
	h.list(listEntry("w1", 16000))
	h.submit(stage(1, 1000, time.Second))
	h.commit()
	started := h.acceptStart("w1")
	h.sched.latency.lossyUntil = h.now + time.Hour
	h.sched.maxCalls = reservedCalls
	h.advance(earlyAnswer)
	h.answerHold("w1", running(started, 1), nil)
	require.Equal(t, 1, h.countCalls(CallHold), "no second hold while calls are scarce")
	h.sched.maxCalls = 0
	h.advance(earlyAnswer)
	h.answerHold("w1", running(started, 2), nil)
	require.Equal(t, 2, h.countCalls(CallHold))
}

// Some hundred workers are contacted all at once, thousands in turn.
func TestSmallFleetIsContactedAtOnce(t *testing.T) {
	for _, workers := range []int{smallFleet, smallFleet + 1} {
		r := newLoadCluster(workers, 1, time.Second)
		r.run(r.now + time.Second)
		r.holdCost = time.Hour // no hold is answered
		r.replaceScheduler()
		want := workers
		if workers > smallFleet {
			want = maxFirstHolds
		}
		require.Equal(t, want, r.sched.firstHolds.inFlight)
	}
}
