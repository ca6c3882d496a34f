package control

import (
	"net/http"
	"sync/atomic"
	"time"

	"gaugeslip/internal/system/figures"
	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/scheduler"
	"gaugeslip/internal/system/state"
)

// counts are the counters of a replica. Except for refused, which is atomic, they belong to the loop.
type counts struct {
	commits     uint64
	latency     figures.Histogram
	starts      uint64
	ends        [state.GangIncomplete + 1]uint64
	workersLost uint64
	views       uint64
	lateJobs    lateCounts
	refused     [internalapi.InDoubt + 1]atomic.Uint64 // by verdict
}

// countCommand counts a committed command.
func (c *counts) countCommand(result *state.Result) {
	c.commits++
	c.starts += uint64(len(result.Started))
	switch result.Command.Kind {
	case state.KindTasksEnded:
		for i := range result.Command.TasksEnded.Ends {
			if how := result.Command.TasksEnded.Ends[i].How; int(how) < len(c.ends) {
				c.ends[how]++
			}
		}
	case state.KindWorkerLost:
		c.workersLost++
	}
}

// countSubmitVerdict counts the verdict on a submitted job, unless it was accepted.
func (c *counts) countSubmitVerdict(verdict internalapi.Verdict) {
	if verdict != internalapi.Done && int(verdict) < len(c.refused) {
		c.refused[verdict].Add(1)
	}
}

var verdictNames = map[internalapi.Verdict]string{
	internalapi.NotHead: "not-head", internalapi.NoRoute: "no-route", internalapi.Invalid: "invalid",
	internalapi.Overloaded: "overloaded", internalapi.InDoubt: "in-doubt",
}

// reportedVerdicts are the verdicts that a submitted job may get, in the order in which they are written.
var reportedVerdicts = []internalapi.Verdict{internalapi.NotHead, internalapi.NoRoute, internalapi.Invalid, internalapi.Overloaded,
	internalapi.InDoubt}

// serveMetrics answers GET /metrics. Metrics are computed for each request only.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	text, err := queryOnLoop(n, func() *figures.Writer {
		var writer figures.Writer
		n.writeMetrics(&writer)
		return &writer
	})
	if err != nil {
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", figures.ContentType)
	_, _ = w.Write(text.Bytes()) // the client may have disconnected
}

func (n *Node) writeMetrics(w *figures.Writer) {
	overview := n.overview()
	writeChain(w, &overview)
	n.counts.write(w)
	n.counts.lateJobs.write(w)
	n.invariants.Write(w)
	jobs := make([]figures.Labelled, 0, len(overview.Jobs))
	for number := state.Pending; number <= state.CancelledUnseen; number++ {
		jobs = append(jobs, figures.Labelled{Label: number.String(), Value: float64(overview.Jobs[number.String()])})
	}
	w.Gauges("jobs", "Jobs that are kept, by state.", "state", jobs)
	w.Gauge("runs", "Runs of tasks that may exist on workers.", float64(overview.Runs))
	writeTenants(w, n.engine.machine.Quotas())
	if n.acting() && n.scheduler != nil {
		writeScheduler(w, n.scheduler.Snapshot())
	}
}

func writeChain(w *figures.Writer, overview *internalapi.OverviewReply) {
	w.Gauge("view_epoch", "Epoch of the newest view known here.", float64(overview.View.Epoch))
	w.Gauge("chain_length", "Members of the chain.", float64(len(overview.View.Chain)))
	w.Gauge("voters", "Voters of the view.", float64(len(overview.View.Voters)))
	w.Gauge("learners", "Replicas that catch up, as the head knows them; 0 elsewhere.", float64(len(overview.Learners)))
	w.Flag("is_head", "Whether this replica is the head and holds the lease.", overview.Role == internalapi.RoleHead)
	w.Flag("is_stopped", "Whether this replica is out because its disk refused.", overview.Role == internalapi.RoleStopped)
	w.Gauge("lease_seconds", "What is left of the head's lease; 0 elsewhere.", secondsFromMs(overview.LeaseMs))
	w.Gauge("committed_index", "Last index of the chain known to be committed.", float64(overview.Committed))
	w.Gauge("applied_index", "Last index of the chain applied here.", float64(overview.Applied))
	w.Gauge("last_index", "Last index of the chain held here.", float64(overview.Last))
	w.Gauge("log_bytes", "Length of the log on disk.", float64(overview.LogBytes))
	w.Gauge("config_version", "Version of the configuration in force; 0: none yet.", float64(overview.ConfigVersion))
	w.Gauge("uptime_seconds", "Time since the start of the process.", secondsFromMs(overview.UptimeMs))
}

func secondsFromMs(ms int64) float64 { return float64(ms) / float64(time.Second/time.Millisecond) }

func (c *counts) write(w *figures.Writer) {
	w.Counter("commits_total", "Commands applied here since the start.", float64(c.commits))
	w.Histogram("commit_seconds", "Time from the append of a command here, at the head, to its commit.", &c.latency)
	w.Counter("views_total", "Views learnt here since the start.", float64(c.views))
	w.Counter("starts_total", "Runs of tasks whose intent was committed.", float64(c.starts))
	ends := make([]figures.Labelled, 0, len(c.ends))
	for how := state.Done; how <= state.GangIncomplete; how++ {
		ends = append(ends, figures.Labelled{Label: how.String(), Value: float64(c.ends[how])})
	}
	w.Counters("ends_total", "Ends of runs that were committed, by how.", "how", ends)
	w.Counter("workers_lost_total", "Lives of workers that were given up.", float64(c.workersLost))
	refused := make([]figures.Labelled, 0, len(reportedVerdicts))
	for _, verdict := range reportedVerdicts {
		refused = append(refused, figures.Labelled{Label: verdictNames[verdict], Value: float64(c.refused[verdict].Load())})
	}
	w.Counters("submits_refused_total", "Jobs handed in here that weren't taken, by verdict.", "verdict", refused)
}

// workerState returns the state of a worker for the label of the workers metric.
func workerState(worker *scheduler.WorkerView) string {
	switch {
	case worker.Draining:
		return "draining"
	case worker.Quarantined:
		return "shut"
	case !worker.Listed:
		return "unlisted"
	}
	return worker.Reach
}

// workerStates are the values of workerState.
var workerStates = []string{"answering", "silent", "unheard", "over", "draining", "shut", "unlisted"}

func writeScheduler(w *figures.Writer, view scheduler.View) {
	states := make(map[string]int, len(workerStates))
	running := 0
	for i := range view.Workers {
		states[workerState(&view.Workers[i])]++
		running += view.Workers[i].Runs
	}
	held := 0
	for _, steps := range view.QueuedSteps {
		held += steps
	}
	workers := make([]figures.Labelled, 0, len(workerStates))
	for _, name := range workerStates {
		workers = append(workers, figures.Labelled{Label: name, Value: float64(states[name])})
	}
	w.Gauges("workers", "Workers by state; at the head alone.", "state", workers)
	w.Gauge("tasks_placed", "Runs proposed, ordered or running; at the head alone.", float64(running))
	w.Gauge("steps_held", "Steps of jobs with tasks that wait for room; at the head alone.", float64(held))
}
