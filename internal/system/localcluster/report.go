package localcluster

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"gaugeslip/internal/system/hollow"
)

// Report is what a run came to.
type Report struct {
	Seed        uint64         `json:"seed"`
	Replicas    int            `json:"replicas"`
	Dispatchers int            `json:"dispatchers"` // hollow ones too
	Workers     int            `json:"workers"`
	Seconds     float64        `json:"seconds"` // of load
	Jobs        Jobs           `json:"jobs"`
	Latencies   Latencies      `json:"latencies"`
	Broken      map[string]int `json:"broken_rules"` // by rule, as workers saw it
	Examples    []string       `json:"examples,omitempty"`
	Crashes     int            `json:"crashes"` // ends of processes that nobody asked for
	Epoch       uint64         `json:"epoch"`   // of the last view
	Roles       []RoleCost     `json:"roles"`
	Orders      Orders         `json:"orders"`
	// Disk is that of the first replica that could be read.
	Disk DiskState `json:"disk"`
}

// Orders is what went between the head, the workers and the platform's list, a second.
type Orders struct {
	StartsPerS float64 `json:"starts_s"`
	HoldsPerS  float64 `json:"holds_s"`
	StopsPerS  float64 `json:"stops_s"`
	// Refused are the starts that workers refused in the whole span, by reason.
	Refused map[string]int `json:"refused"`
	// Ends are the ends of runs in the whole span, by the word that workers list them with.
	Ends            map[string]int `json:"ends"`
	ListsPerS       float64        `json:"list_calls_s"`
	ListsRefused    int            `json:"list_calls_refused"`
	Connections     int64          `json:"connections"` // new ones at workers
	ToWorkersKBs    float64        `json:"to_workers_kb_s"`
	FromWorkersKBs  float64        `json:"from_workers_kb_s"`
	FromPlatformKBs float64        `json:"from_platform_kb_s"`
}

// orderLook is a look at the counters that Orders comes from.
type orderLook struct {
	at               time.Duration
	stats            hollow.Stats
	traffic, listing TrafficCount
}

func (c *Cluster) lookAtOrders() orderLook {
	return orderLook{c.ledger.now(), c.fleet.world.Stats(), c.fleet.traffic.count(), c.fleet.listing.count()}
}

func (o orderLook) until(later orderLook) Orders {
	seconds := (later.at - o.at).Seconds()
	traffic, listing := later.traffic.since(o.traffic), later.listing.since(o.listing)
	return Orders{
		StartsPerS:      float64(later.stats.Starts-o.stats.Starts) / seconds,
		HoldsPerS:       float64(later.stats.Holds-o.stats.Holds) / seconds,
		StopsPerS:       float64(later.stats.Stops-o.stats.Stops) / seconds,
		Refused:         refusedBetween(&o.stats, &later.stats),
		Ends:            endsBetween(&o.stats, &later.stats),
		ListsPerS:       float64(listing.Calls) / seconds,
		ListsRefused:    later.stats.ListRejected - o.stats.ListRejected,
		Connections:     traffic.Connections,
		ToWorkersKBs:    float64(traffic.Received) / kilobyte / seconds,
		FromWorkersKBs:  float64(traffic.Sent) / kilobyte / seconds,
		FromPlatformKBs: float64(listing.Sent) / kilobyte / seconds,
	}
}

// endWords are the ways in which runs end, in the order in which hollow.Stats counts them.
var endWords = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "crashed"}

func endsBetween(earlier, later *hollow.Stats) map[string]int {
	ends := make(map[string]int)
	for i, word := range endWords {
		if count := later.Ends[i] - earlier.Ends[i]; count > 0 {
			ends[word] = count
		}
	}
	return ends
}

func refusedBetween(earlier, later *hollow.Stats) map[string]int {
	refused := make(map[string]int)
	for reason, count := range map[string]int{
		"fence": later.StartsFence - earlier.StartsFence,
		"old":   later.StartsOld - earlier.StartsOld,
		"late":  later.StartsLate - earlier.StartsLate,
		"room":  later.StartsRoom - earlier.StartsRoom,
	} {
		if count > 0 {
			refused[reason] = count
		}
	}
	return refused
}

const mostExamples = 10

// noteRules takes in what the workers' checker found.
func (r *Report) noteRules(violations []hollow.Violation) {
	r.Broken = make(map[string]int)
	for _, violation := range violations {
		r.Broken[string(violation.Rule)]++
		if len(r.Examples) < mostExamples {
			r.Examples = append(r.Examples, violation.String())
		}
	}
}

// Passed tells whether nothing was lost, no rule was broken, and no process ended by itself.
func (r *Report) Passed() bool { return r.Jobs.Lost == 0 && len(r.Broken) == 0 && r.Crashes == 0 }

// WriteJSON writes the report as one object.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// Print writes the report for people.
func (r *Report) Print(out io.Writer) error {
	fmt.Fprintf(out, "\nseed %d: %d replicas, %d dispatchers, %d workers, %.0f s of load\n", r.Seed, r.Replicas, r.Dispatchers, r.Workers, r.Seconds)
	fmt.Fprintf(out, "jobs: %d sent, %d accepted, %d refused, %d in doubt; %d done, %d failed, lost %d, twice %d, not visible yet %d\n", r.Jobs.Sent,
		r.Jobs.Accepted, r.Jobs.Refused, r.Jobs.Open, r.Jobs.Done, r.Jobs.Failed, r.Jobs.Lost, r.Broken[string(hollow.RuleTwice)], r.Jobs.Unseen)
	fmt.Fprintf(out, "broken rules: %s; processes that ended by themselves: %d; epoch %d\n", countsText(r.Broken), r.Crashes, r.Epoch)
	for _, example := range r.Examples {
		fmt.Fprintln(out, "  "+example)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "\nfrom submit, ms\tcount\tp50\tp90\tp99\tmax\t")
	r.Latencies.Accepted.row(table, "accepted")
	r.Latencies.Started.row(table, "first start")
	r.Latencies.Over.row(table, "done")
	fmt.Fprintln(table, "\nrole, each\tcount\tcores\twaited\tMB\tpeak MB\tKB/s in\tKB/s out\treads/s\twrites/s\tfiles\t")
	for _, role := range r.Roles {
		role.row(table)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	r.Orders.print(out)
	r.Disk.print(out)
	return nil
}

func countsText(counts map[string]int) string {
	if len(counts) == 0 {
		return "none"
	}
	return fmt.Sprint(counts)
}

func (l *Latency) row(out io.Writer, name string) {
	fmt.Fprintf(out, "%s\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t\n", name, l.Count, l.P50, l.P90, l.P99, l.Most)
}

func (r *RoleCost) row(out io.Writer) {
	fmt.Fprintf(out, "%s\t%d\t%.3f\t%.3f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t\n", r.Role, r.Processes, r.Cores, r.Waited, r.ResidentMb, r.PeakMb,
		r.ReceivedKBs, r.SentKBs, r.ReadsPerS, r.WritesPerS, r.Files)
}

func (o *Orders) print(out io.Writer) {
	fmt.Fprintf(out, "\nworkers, a second: %.1f starts, %.1f holds, %.1f stops, %.0f KB to them, %.0f KB from them; %d new connections\n",
		o.StartsPerS, o.HoldsPerS, o.StopsPerS, o.ToWorkersKBs, o.FromWorkersKBs, o.Connections)
	fmt.Fprintf(out, "ends of runs: %s; refused starts: %s\n", countsText(o.Ends), countsText(o.Refused))
	fmt.Fprintf(out, "platform's list: %.2f calls a second, %d refused, %.1f KB a second\n", o.ListsPerS, o.ListsRefused, o.FromPlatformKBs)
}

func (d *DiskState) print(out io.Writer) {
	fmt.Fprintf(out, "disk of a replica: %d KB of log with %d entries; the state is %d KB: %d jobs, %d workers, %d runs\n", d.LogBytes/kilobyte,
		d.Entries, d.SnapshotBytes/kilobyte, d.Jobs, d.Workers, d.Runs)
}
