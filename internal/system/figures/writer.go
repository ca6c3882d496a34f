// Package figures collects metrics for operators and writes them in the Prometheus text format. Observing a value costs a few comparisons and additions;
// everything else is computed when the metrics are read.
package figures

import (
	"net/http"
	"strconv"
	"time"
)

// ContentType is the Prometheus text format, version 0.0.4.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// Prefix is the prefix of every metric name.
const Prefix = "gaugeslip_"

// Writer collects metrics as text. The zero value is ready for use. It is not safe for concurrent use.
type Writer struct{ text []byte }

// Bytes returns the text written so far.
func (w *Writer) Bytes() []byte { return w.text }

// Gauge writes a gauge.
func (w *Writer) Gauge(name, help string, value float64) {
	w.writeHeader(name, help, "gauge")
	w.writeSample(name, "", "", value)
}

// Counter writes a counter, which only grows while the process runs.
func (w *Writer) Counter(name, help string, value float64) {
	w.writeHeader(name, help, "counter")
	w.writeSample(name, "", "", value)
}

// Flag writes a gauge of 1 for true and 0 for false.
func (w *Writer) Flag(name, help string, value bool) {
	figure := 0.0
	if value {
		figure = 1
	}
	w.Gauge(name, help, figure)
}

// Labelled is the value of a metric for one label value.
type Labelled struct {
	Label string
	Value float64
}

// Gauges writes a gauge with one sample for each value of a label.
func (w *Writer) Gauges(name, help, label string, values []Labelled) {
	w.writeHeader(name, help, "gauge")
	w.writeSamples(name, label, values)
}

// Counters writes a counter with one sample for each value of a label.
func (w *Writer) Counters(name, help, label string, values []Labelled) {
	w.writeHeader(name, help, "counter")
	w.writeSamples(name, label, values)
}

func (w *Writer) writeSamples(name, label string, values []Labelled) {
	for _, value := range values {
		w.writeSample(name, label, value.Label, value.Value)
	}
}

func (w *Writer) writeHeader(name, help, kind string) {
	w.text = append(w.text, "# HELP "+Prefix+name+" "+help+"\n# TYPE "+Prefix+name+" "+kind+"\n"...)
}

func (w *Writer) writeSample(name, label, labelValue string, value float64) {
	w.text = append(w.text, Prefix...)
	w.text = append(w.text, name...)
	if label != "" {
		w.text = append(w.text, '{')
		w.text = append(w.text, label...)
		w.text = append(w.text, '=')
		w.text = strconv.AppendQuote(w.text, labelValue)
		w.text = append(w.text, '}')
	}
	w.text = append(w.text, ' ')
	w.text = strconv.AppendFloat(w.text, value, 'g', -1, 64)
	w.text = append(w.text, '\n')
}

// Histogram writes a histogram of durations, in seconds.
func (w *Writer) Histogram(name, help string, histogram *Histogram) {
	w.writeHeader(name, help, "histogram")
	total := uint64(0)
	for i, bound := range bucketBounds {
		total += histogram.counts[i]
		w.writeSample(name+"_bucket", "le", strconv.FormatFloat(bound.Seconds(), 'g', -1, 64), float64(total))
	}
	total += histogram.counts[len(bucketBounds)]
	w.writeSample(name+"_bucket", "le", "+Inf", float64(total))
	w.writeSample(name+"_sum", "", "", histogram.sum.Seconds())
	w.writeSample(name+"_count", "", "", float64(total))
}

// Seconds converts a duration to the unit of metrics.
func Seconds(duration time.Duration) float64 { return duration.Seconds() }

// Serve answers a request for metrics with the output of collect.
func Serve(w http.ResponseWriter, collect func(*Writer)) {
	var writer Writer
	collect(&writer)
	w.Header().Set("Content-Type", ContentType)
	_, _ = w.Write(writer.Bytes()) // the client may have closed the connection
}
