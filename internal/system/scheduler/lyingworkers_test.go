package scheduler

import (
	"fmt"
	"iter"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/state"
	"gaugeslip/internal/system/workerapi"
)

// randomReplies generates worker replies that violate the protocol: runs that were never ordered, of jobs and places that may not exist,
// ends with arbitrary numbers, and clocks that jump.
type randomReplies struct {
	random *rand.Rand
	jobs   uint64
}

func pick[T any](random *rand.Rand, of ...T) T { return of[random.IntN(len(of))] }

func (l *randomReplies) task() string {
	if l.random.IntN(12) == 0 {
		return pick(l.random, "", "x", "....", "1.2.3", "00000000000000ff.-1.0.0", "0000000000000001.0.0.99999999999999999999")
	}
	place := func() int { return pick(l.random, 0, 0, 1, 2, 7, 1<<20, math.MaxInt32) }
	return fmt.Sprintf("%016x.%d.%d.%d", l.random.Uint64N(l.jobs+2), place(), place(), place())
}

func (l *randomReplies) attempt() int {
	return pick(l.random, 0, 1, 1, 2, 3, 9, 1<<30, math.MaxInt32, math.MaxInt64, -1, math.MinInt64)
}

func (l *randomReplies) checkpoint() string { return pick(l.random, "", "00000bb87a21d94b", "any") }

func (l *randomReplies) percent() int { return pick(l.random, 0, 1, 50, 100, 101, -7, math.MaxInt64) }

func (l *randomReplies) clock(now int64) int64 {
	return pick(l.random, now, now, now+l.random.Int64N(10_000)-5000, 0, -now, math.MaxInt64, math.MinInt64)
}

func (l *randomReplies) reply(now int64) workerapi.HoldReply {
	reply := workerapi.HoldReply{
		Outcome: pick(l.random, workerapi.Done, workerapi.Done, workerapi.Done, workerapi.Unknown, workerapi.Busy, workerapi.RefusedFence, workerapi.RefusedStale,
			workerapi.RefusedLate, workerapi.RefusedCapacity, workerapi.BadRequest, workerapi.OtherInstance, workerapi.NotSent),
		ClockMs: l.clock(now), RemainingMs: pick(l.random, int64(0), 0, 1000, -5, math.MaxInt64),
	}
	for range l.random.IntN(4) {
		reply.Running = append(reply.Running, workerapi.RunningTask{Task: l.task(), Attempt: l.attempt(), Checkpoint: l.checkpoint(), Percent: l.percent()})
	}
	for range l.random.IntN(4) {
		reply.Finished = append(reply.Finished, workerapi.FinishedTask{
			N: pick(l.random, 0, 1, 2, l.random.Uint64N(50), math.MaxUint64), Task: l.task(), Attempt: l.attempt(), Checkpoint: l.checkpoint(),
			How: pick(l.random, workerapi.EndDone, workerapi.EndFailed, workerapi.EndStopped, workerapi.EndLapsed, workerapi.EndGangBroken,
				workerapi.EndGangIncomplete),
		})
	}
	return reply
}

// seedsBelow yields the seeds below a number.
func seedsBelow(count uint64) iter.Seq[uint64] {
	return func(yield func(uint64) bool) {
		for seed := range count {
			if !yield(seed) {
				return
			}
		}
	}
}

// Whatever workers reply, the scheduler stays consistent and continues. If a reply could stop a head, its successor would receive the same
// reply.
func TestArbitraryWorkerRepliesKeepTheSchedulerConsistent(t *testing.T) {
	const someSeeds = 150
	for _, seed := range append(slices.Collect(seedsBelow(someSeeds)), 4730) { // 4730: a run is listed before it is ordered
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			l := &randomReplies{random: random}
			h := newHarness(t)
			workers := []workerapi.Instance{listEntry("w-1", 4000), listEntry("w-2", 8000, "rack-1"), listEntry("w-3", 2000)}
			h.sched.Listed(h.now, workers)
			h.drain()
			for range 120 {
				switch random.IntN(8) {
				case 0:
					shape := stage(1+random.IntN(3), int64(500+500*random.IntN(4)), time.Second)
					shape.Gang, shape.Checkpoints, shape.LongRunning = random.IntN(4) == 0, random.IntN(2) == 0, random.IntN(6) == 0
					stages := []jobspec.Stage{shape}
					if random.IntN(2) == 0 {
						next := stage(1, 500, time.Second)
						next.DependsOn = []int{0}
						stages = append(stages, next)
					}
					h.submit(stages...)
					l.jobs = h.jobs
				case 1:
					if h.jobs > 0 && random.IntN(3) == 0 {
						h.cancel(state.JobID(1 + random.Uint64N(h.jobs)))
					}
				case 2:
					h.advance(time.Duration(random.IntN(1500)) * time.Millisecond)
				case 3:
					h.sched.Listed(h.now, workers[:1+random.IntN(len(workers))])
					h.drain()
				default:
					for range min(len(h.calls), 1+random.IntN(6)) {
						at := random.IntN(len(h.calls))
						call := h.calls[at]
						h.calls = append(h.calls[:at:at], h.calls[at+1:]...)
						h.endCall(call, l.reply(h.clockMs()))
					}
				}
				h.commit()
			}
			require.NoError(t, h.sched.Check())
		})
	}
}
