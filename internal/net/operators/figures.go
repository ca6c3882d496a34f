// Package operators is the operators' door of a dispatcher: a small HTTP/1.1 server of its own beside the clients' one,
// which tells whether the process can serve, shows its figures in the Prometheus text format, and takes game workers
// out by hand and puts them back. It also keeps what was done by hand in a file, so that a successor of the process
// holds to it. What any of it means for the choice of hosts is the module's: see dispatch.SetCordon.
package operators

import (
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Gauges are the figures that are read, not counted, each time they are shown.
type Gauges struct {
	InFlight func() float64                   // jobs taken and not yet answered
	Workers  func() (known, excluded float64) // game workers listed; of them, those kept away from
}

// Metrics counts what a dispatcher does where it happens. Its methods are safe for concurrent use and never wait
// for the core.
type Metrics struct {
	registry                 *prometheus.Registry
	served, refused, failed  []prometheus.Counter // by class
	servedV, refusedV, failV *prometheus.CounterVec
	attempts                 prometheus.Counter
}

// NewMetrics makes the figures of a dispatcher with these classes, by their numbers in the settings.
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
	for _, c := range classes { // every class shows, from 0 on
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

// Gauge adds a figure that is read each time the figures are shown, from any goroutine. A name is added once.
func (f *Metrics) Gauge(name, help string, read func() float64) {
	f.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: "edge_node", Name: name, Help: help}, read))
}

// LabelledFunc adds a figure as Gauge does, one of several of a name, each with its own value of a label. A name that ends in _total
// is a counter's.
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

// Answered counts the final answer to a job of a class, by its status as the client sees it: 200 is served, 429 and
// 503 are refused, any other has failed. A class that the settings do not have is not counted.
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

// Gatherer is what /stats shows.
func (f *Metrics) Gatherer() prometheus.Gatherer { return f.registry }
