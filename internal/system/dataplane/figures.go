package dataplane

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"gaugeslip/internal/system/figures"
)

// countedStatuses lists the statuses that are sent to clients, in the order in which the metrics show them.
var countedStatuses = [...]int{
	http.StatusOK, http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusRequestTimeout,
	http.StatusGone, http.StatusRequestEntityTooLarge, http.StatusTooManyRequests, http.StatusServiceUnavailable,
	http.StatusGatewayTimeout,
}

// otherStatus is the label for all other statuses.
const otherStatus = "other"

// statusCounts counts responses by status. It is safe for concurrent use.
type statusCounts [len(countedStatuses) + 1]atomic.Uint64

func (c *statusCounts) count(status int) {
	for index, counted := range countedStatuses {
		if counted == status {
			c[index].Add(1)
			return
		}
	}
	c[len(countedStatuses)].Add(1)
}

// labelled returns all counts with their labels.
func (c *statusCounts) labelled() []figures.Labelled {
	counts := make([]figures.Labelled, 0, len(c))
	for index := range c {
		name := otherStatus
		if index < len(countedStatuses) {
			name = strconv.Itoa(countedStatuses[index])
		}
		counts = append(counts, figures.Labelled{Label: name, Value: float64(c[index].Load())})
	}
	return counts
}

// metricsPath is the path of the metrics at the readiness address. All other paths report readiness.
const metricsPath = "/metrics"

// serveReadiness serves metrics and readiness.
func (p *Process) serveReadiness(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == metricsPath {
		figures.Serve(w, p.writeMetrics)
		return
	}
	p.readiness.ServeHTTP(w, request)
}

func (p *Process) writeMetrics(w *figures.Writer) {
	directory := p.directory
	w.Flag("ready", "Whether the platform is answered that this dispatcher wants connections.", p.readiness.Ready())
	w.Flag("draining", "Whether this dispatcher is about to end.", p.readiness.draining.Load())
	w.Gauge("config_version", "Version of the configuration in force; 0: none yet.", float64(directory.ConfigVersion()))
	w.Gauge("view_epoch", "Epoch of the newest view known here.", float64(directory.View().Epoch))
	w.Gauge("core_contact_age_seconds", "Time since a serving replica was heard of; -1: never.",
		ageSeconds(directory.contactAt.Load(), directory))
	w.Gauge("head_contact_age_seconds", "Time since the head answered, or was learnt; -1: never.",
		ageSeconds(directory.headContactAt.Load(), directory))
	w.Gauge("uptime_seconds", "Time since the start of the process.", time.Since(directory.started).Seconds())
	w.Counters("answers_total", "Answers to clients since the start, by status.", "status", p.dispatcher.responseCounts.labelled())
	p.dispatcher.failures.write(w)
	w.Gauge("body_bytes", "Memory that the bodies of requests take.", float64(p.dispatcher.bodyBudget.Held()))
	p.options.Invariants.Write(w)
}

// ageSeconds returns the age of a directory timestamp, or -1 if it was never set.
func ageSeconds(timestamp int64, directory *Directory) float64 {
	if timestamp == 0 {
		return -1
	}
	return directory.since(timestamp).Seconds()
}
