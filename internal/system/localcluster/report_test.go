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

func TestLedgerCountsWhatBecameOfJobs(t *testing.T) {
	ledger := newLedger()
	for _, id := range []string{"open", "kept", "refused", "done", "failed", "gone"} {
		ledger.open(id, kindQuick)
		ledger.tried(id)
	}
	ledger.open("resident", kindResident)
	for _, id := range []string{"kept", "done", "failed", "gone", "resident"} {
		ledger.settle(id, verdictAccepted)
	}
	ledger.settle("refused", verdictRefused)
	ledger.settle("done", verdictDone)
	ledger.settle("done", verdictGone) // it was told once that it is done
	ledger.settle("failed", verdictFailed)
	ledger.settle("gone", verdictGone)
	ledger.started("done")
	ledger.started("done")
	ledger.started("unknown")
	require.Equal(t, Jobs{Sent: 7, Accepted: 5, Refused: 1, Open: 1, Done: 1, Failed: 1, Lost: 1, Tries: 6, Starts: 3}, ledger.count(false))
	require.Equal(t, 2, ledger.count(true).Lost, "the one that was kept and isn't done; nobody waits for the resident")
	require.Equal(t, 1, ledger.waiting())
}

// A job may be unknown somewhere for a while after its acknowledgement, and no longer.
func TestLedgerTellsUnseenJobsFromLostOnes(t *testing.T) {
	ledger := newLedger()
	ledger.open("young", kindQuick)
	ledger.settle("young", verdictAccepted)
	require.False(t, ledger.gone("young"))
	ledger.entries["old"] = &entry{verdict: verdictAccepted, accepted: ledger.now() - visibleSpan - time.Second}
	require.True(t, ledger.gone("old"))
	jobs := ledger.count(false)
	require.Equal(t, 1, jobs.Unseen)
	require.Equal(t, 1, jobs.Lost)
}

// Whatever clients are told, in any order, each job counts once.
func TestLedgerCountsEachJobOnce(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		ledger := newLedger()
		ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
		for _, id := range ids {
			ledger.open(id, jobKind(random.IntN(int(kindResident)+1)))
		}
		for range 40 {
			ledger.settle(ids[random.IntN(len(ids))], verdict(1+random.IntN(int(verdictGone))))
			jobs := ledger.count(false)
			require.Equal(t, jobs.Sent, jobs.Accepted+jobs.Refused+jobs.Open, "seed %d", seed)
			require.LessOrEqual(t, jobs.Done+jobs.Failed+jobs.Lost, jobs.Accepted, "seed %d", seed)
		}
		final := ledger.count(true)
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
	require.Equal(t, Latency{Count: 100, P50: 51, P90: 91, P99: 100, Most: 100}, latency)
}

func TestLatenciesLeaveOutWhatIsNotMeasured(t *testing.T) {
	ledger := newLedger()
	ledger.entries["early"] = &entry{sent: time.Second, accepted: 2 * time.Second}
	ledger.entries["resident"] = &entry{kind: kindResident, sent: 5 * time.Second, accepted: 6 * time.Second}
	ledger.entries["late"] = &entry{sent: 4 * time.Second, accepted: 5 * time.Second, started: 6 * time.Second, over: 9 * time.Second,
		verdict: verdictDone}
	latencies := ledger.latencies(3 * time.Second)
	require.Equal(t, 1, latencies.Accepted.Count)
	require.InDelta(t, 2000, latencies.Started.P50, 0)
	require.InDelta(t, 5000, latencies.Over.P99, 0)
}

func TestReportTellsWhatIsUnsound(t *testing.T) {
	report := &Report{Seed: 7, Orders: Orders{Ends: map[string]int{"done": 2}, Refused: map[string]int{"late": 1}}}
	report.noteRules(nil)
	require.True(t, report.Passed())
	report.noteRules([]hollow.Violation{{Rule: hollow.RuleTwice, Task: "x"}, {Rule: hollow.RuleTwice}, {Rule: hollow.RuleRoute}})
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

func TestOrdersAreASecond(t *testing.T) {
	early := orderLook{at: time.Second, stats: hollow.Stats{Starts: 10, Holds: 5}, traffic: TrafficCount{Received: kilobyte}}
	late := orderLook{at: 3 * time.Second, stats: hollow.Stats{Starts: 30, Holds: 6, ListRejected: 2, Ends: [len(endWords)]int{9, 0, 0, 3}, StartsRoom: 4},
		traffic: TrafficCount{Received: 5 * kilobyte, Connections: 4}, listing: TrafficCount{Calls: 3}}
	orders := early.until(late)
	require.InDelta(t, 10, orders.StartsPerS, 0)
	require.InDelta(t, 0.5, orders.HoldsPerS, 0)
	require.InDelta(t, 1.5, orders.ListsPerS, 0)
	require.InDelta(t, 2, orders.ToWorkersKBs, 0)
	require.Equal(t, 2, orders.ListsRefused)
	require.EqualValues(t, 4, orders.Connections)
	require.Equal(t, map[string]int{"done": 9, "lapsed": 3}, orders.Ends)
	require.Equal(t, map[string]int{"room": 4}, orders.Refused)
}

func TestSizesArePrintedOneALine(t *testing.T) {
	var text bytes.Buffer
	sizes := []*SizeReport{{Report: Report{Workers: 30, Roles: []RoleCost{{Role: roleHead}}}}, {Report: Report{Workers: 2300}}}
	require.NoError(t, PrintSizes(&text, sizes))
	require.Contains(t, text.String(), roleHead)
	require.Contains(t, text.String(), "2300")
}
