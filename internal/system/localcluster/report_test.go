package localcluster

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/hollow"
)

func TestJobTrackerCountsOutcomes(t *testing.T) {
	tracker := newJobTracker()
	for _, id := range []string{"open", "kept", "refused", "done", "failed", "gone"} {
		tracker.add(id, kindQuick)
		tracker.countTry(id)
	}
	tracker.add("resident", kindResident)
	for _, id := range []string{"kept", "done", "failed", "gone", "resident"} {
		tracker.setOutcome(id, outcomeAccepted)
	}
	tracker.setOutcome("refused", outcomeRefused)
	tracker.setOutcome("done", outcomeDone)
	tracker.setOutcome("done", outcomeLost) // the job was already reported as done
	tracker.setOutcome("failed", outcomeFailed)
	tracker.setOutcome("gone", outcomeLost)
	tracker.markStarted("done")
	tracker.markStarted("done")
	tracker.markStarted("unknown")
	require.Equal(t, Jobs{Sent: 7, Accepted: 5, Refused: 1, InDoubt: 1, Done: 1, Failed: 1, Lost: 1, Tries: 6, Starts: 3}, tracker.count(false))
	require.Equal(t, 2, tracker.count(true).Lost, "one lost and one accepted but unfinished; the resident job is not awaited")
	require.Equal(t, 1, tracker.unfinished())
}

// A job may be unknown to some dispatchers shortly after its acknowledgement, but not later.
func TestJobTrackerDistinguishesNotVisibleFromLost(t *testing.T) {
	tracker := newJobTracker()
	tracker.add("young", kindQuick)
	tracker.setOutcome("young", outcomeAccepted)
	require.False(t, tracker.markUnknown("young"))
	tracker.records["old"] = &jobRecord{outcome: outcomeAccepted, accepted: tracker.now() - visibilityDelay - time.Second}
	require.True(t, tracker.markUnknown("old"))
	jobs := tracker.count(false)
	require.Equal(t, 1, jobs.NotVisibleYet)
	require.Equal(t, 1, jobs.Lost)
}

// Each job counts once, whatever clients are told and in whatever order.
func TestJobTrackerCountsEachJobOnce(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		tracker := newJobTracker()
		ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
		for _, id := range ids {
			tracker.add(id, jobKind(random.IntN(int(kindResident)+1)))
		}
		for range 40 {
			tracker.setOutcome(ids[random.IntN(len(ids))], outcome(1+random.IntN(int(outcomeLost))))
			jobs := tracker.count(false)
			require.Equal(t, jobs.Sent, jobs.Accepted+jobs.Refused+jobs.InDoubt, "seed %d", seed)
			require.LessOrEqual(t, jobs.Done+jobs.Failed+jobs.Lost, jobs.Accepted, "seed %d", seed)
		}
		final := tracker.count(true)
		require.LessOrEqual(t, final.Done+final.Failed+final.Lost, final.Accepted, "seed %d", seed)
	}
}

func TestLatencyQuantiles(t *testing.T) {
	require.Zero(t, newLatency(nil))
	var spans []time.Duration
	for i := 100; i > 0; i-- {
		spans = append(spans, time.Duration(i)*time.Millisecond)
	}
	latency := newLatency(spans)
	require.Equal(t, Latency{Count: 100, P50: 51, P90: 91, P99: 100, Max: 100}, latency)
}

func TestLatenciesExcludeUnmeasuredJobs(t *testing.T) {
	tracker := newJobTracker()
	tracker.records["early"] = &jobRecord{sent: time.Second, accepted: 2 * time.Second}
	tracker.records["resident"] = &jobRecord{kind: kindResident, sent: 5 * time.Second, accepted: 6 * time.Second}
	tracker.records["late"] = &jobRecord{sent: 4 * time.Second, accepted: 5 * time.Second, started: 6 * time.Second, finished: 9 * time.Second,
		outcome: outcomeDone}
	latencies := tracker.latencies(3 * time.Second)
	require.Equal(t, 1, latencies.Accepted.Count)
	require.InDelta(t, 2000, latencies.Started.P50, 0)
	require.InDelta(t, 5000, latencies.Done.P99, 0)
}

func TestReportFailsOnViolationsLossesAndCrashes(t *testing.T) {
	report := &Report{Seed: 7, Orders: Orders{Ends: map[string]int{"done": 2}, Refused: map[string]int{"late": 1}}}
	report.addViolations(nil)
	require.True(t, report.Passed())
	report.addViolations([]hollow.Violation{{Rule: hollow.RuleTwice, Task: "x"}, {Rule: hollow.RuleTwice}, {Rule: hollow.RuleRoute}})
	require.False(t, report.Passed())
	require.False(t, (&Report{Jobs: Jobs{Lost: 1}}).Passed())
	require.False(t, (&Report{Crashes: 1}).Passed())

	var text bytes.Buffer
	require.NoError(t, report.Print(&text))
	require.Contains(t, text.String(), "seed 7")
	require.Contains(t, text.String(), "lost 0, twice 2")
	require.Contains(t, text.String(), "ROUTE:1")

	var object bytes.Buffer
	require.NoError(t, report.WriteJSON(&object))
	var read Report
	require.NoError(t, json.Unmarshal(object.Bytes(), &read))
	require.Equal(t, *report, read)
}

func TestOrdersAreRatesPerSecond(t *testing.T) {
	earlier := orderSample{at: time.Second, stats: hollow.Stats{Starts: 10, Holds: 5}, traffic: TrafficCount{Received: kilobyte}}
	later := orderSample{at: 3 * time.Second, stats: hollow.Stats{Starts: 30, Holds: 6, ListRejected: 2, Ends: [len(endWords)]int{9, 0, 0, 3}, StartsRoom: 4},
		traffic: TrafficCount{Received: 5 * kilobyte, Connections: 4}, listing: TrafficCount{Calls: 3}}
	orders := earlier.until(later)
	require.InDelta(t, 10, orders.StartsPerS, 0)
	require.InDelta(t, 0.5, orders.HoldsPerS, 0)
	require.InDelta(t, 1.5, orders.ListsPerS, 0)
	require.InDelta(t, 2, orders.ToWorkersKBs, 0)
	require.Equal(t, 2, orders.ListsRefused)
	require.EqualValues(t, 4, orders.Connections)
	require.Equal(t, map[string]int{"done": 9, "lapsed": 3}, orders.Ends)
	require.Equal(t, map[string]int{"room": 4}, orders.Refused)
}

func TestPrintSizesWritesOneLinePerSize(t *testing.T) {
	var text bytes.Buffer
	sizes := []*SizeReport{{Report: Report{Workers: 30, Roles: []RoleCost{{Role: roleHead}}}}, {Report: Report{Workers: 2300}}}
	require.NoError(t, PrintSizes(&text, sizes))
	require.Contains(t, text.String(), roleHead)
	require.Contains(t, text.String(), "2300")
}
