// Package operators is the operators' HTTP/1.1 server of a dispatcher, separate from the server for clients. It reports
// whether the process can serve, exposes metrics in the Prometheus text format, and lets operators take game workers
// out of use and put them back. It stores which game workers were taken out by hand in a file, so that the next process
// of the same dispatcher keeps them out. See dispatch.SetCordon for the effect on the choice of hosts.
package operators

import (
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Gauges are the functions that are called for the values of gauges each time the metrics are read.
type Gauges struct {
	InFlight func() float64                   // jobs accepted and not answered yet
	Workers  func() (known, excluded float64) // listed game workers, and those of them that are not used
}

// Metrics holds the metrics of a dispatcher. Its methods are safe for concurrent use and never wait for the core.
type Metrics struct {
	registry                 *prometheus.Registry
	served, refused, failed  []prometheus.Counter // by class
	servedV, refusedV, failV *prometheus.CounterVec
	attempts                 prometheus.Counter
}

// NewMetrics creates the metrics of a dispatcher with these classes, in the order of their numbers in the settings.
func NewMetrics(classes []string, g Gauges) *Metrics {
	f := &Metrics{registry: prometheus.NewRegistry()}
	f.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	vec := func(name, help string) *prometheus.CounterVec {
		v := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "edge_node", Name: name, Help: help},
			[]string{"class"})
		f.registry.MustRegister(v)
		return v
	}
	f.servedV = vec("served_total", "Jobs of a class whose client got a game worker's answer, since the start.")
	f.refusedV = vec("refused_total", "Jobs of a class refused with 429 or 503, since the start.")
	f.failV = vec("failed_total", "Jobs of a class that failed with any other answer, since the start.")
	for _, c := range classes { // so that every class is exposed from 0 on
		f.served = append(f.served, f.servedV.WithLabelValues(c))
		f.refused = append(f.refused, f.refusedV.WithLabelValues(c))
		f.failed = append(f.failed, f.failV.WithLabelValues(c))
	}
	f.attempts = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "edge_node", Name: "attempts_total",
		Help: "Upstream requests written in full to game workers, since the start."})
	f.registry.MustRegister(f.attempts)
	if g.InFlight != nil {
		f.Gauge("in_flight", "Jobs taken and not yet answered.", g.InFlight)
	}
	if g.Workers != nil {
		f.Gauge("game_workers_known", "Game workers on discovery's list.",
			func() float64 { k, _ := g.Workers(); return k })
		f.Gauge("game_workers_excluded", "Listed game workers kept away from, by hand or by the dispatcher's judgement.",
			func() float64 { _, e := g.Workers(); return e })
	}
	return f
}

// Gauge adds a gauge whose value is read, from any goroutine, each time the metrics are read. Each name may be added
// once.
func (f *Metrics) Gauge(name, help string, read func() float64) {
	f.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: "edge_node", Name: name, Help: help}, read))
}

// LabelledFunc adds a metric like Gauge, with one label. Several metrics may have the same name if the label's values
// differ. A name that ends in _total makes a counter.
func (f *Metrics) LabelledFunc(name, help, label, value string, read func() float64) {
	l := prometheus.Labels{label: value}
	if strings.HasSuffix(name, "_total") {
		f.registry.MustRegister(prometheus.NewCounterFunc(
			prometheus.CounterOpts{Namespace: "edge_node", Name: name, Help: help, ConstLabels: l}, read))
		return
	}
	f.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: "edge_node", Name: name, Help: help, ConstLabels: l}, read))
}

// Answered counts the final answer to a job by its class and the status that the client sees: 200 counts as served, 429
// and 503 as refused, any other as failed. A class that is not in the settings is not counted.
func (f *Metrics) Answered(class, status int) {
	if f == nil || class < 0 || class >= len(f.served) {
		return
	}
	switch status {
	case http.StatusOK:
		f.served[class].Inc()
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		f.refused[class].Inc()
	default:
		f.failed[class].Inc()
	}
}

// Attempt counts an upstream request whose last byte has been written.
func (f *Metrics) Attempt() {
	if f != nil {
		f.attempts.Inc()
	}
}

// Gatherer returns what GET /stats exposes.
func (f *Metrics) Gatherer() prometheus.Gatherer { return f.registry }
