package dataplane

import (
	"net/http"
	"sync"
	"time"

	"gaugeslip/internal/system/figures"
	"gaugeslip/internal/system/internalapi"
)

// failureReason names the reason why a request wasn't served, as a label for logs and metrics.
type failureReason string

// Reasons why a request wasn't served.
const (
	// reasonNoConfiguration: this dispatcher has never had a configuration.
	reasonNoConfiguration failureReason = "no-configuration"
	// reasonRouteUnknown: no route matches the request, but there may be a newer configuration that hasn't arrived here.
	reasonRouteUnknown failureReason = "route-unknown"
	// reasonNoCore: no serving replica has replied for CoreContactTimeout.
	reasonNoCore failureReason = "no-core"
	// reasonTimeUp: the share of the client's wait time that is meant for attempts has passed.
	reasonTimeUp failureReason = "time-up"
	// reasonOverloaded: the head refused the job.
	reasonOverloaded failureReason = "overloaded"
	// reasonBodiesFull: the bodies of other requests use all memory reserved for bodies.
	reasonBodiesFull failureReason = "bodies-full"
	// reasonCountOld: the last known count of a queue is too old to be returned.
	reasonCountOld failureReason = "count-old"
)

// failureReasons lists all reasons in the order in which the metrics show them.
var failureReasons = [...]failureReason{reasonNoConfiguration, reasonRouteUnknown, reasonNoCore, reasonTimeUp, reasonOverloaded,
	reasonBodiesFull, reasonCountOld}

// callSummary summarizes the calls made for a request, to explain an unsuccessful response.
type callSummary struct {
	reason      failureReason
	attempts    int
	address     string // of the last attempt, empty if no replica was known
	lastOutcome string // verdict or error of the last attempt
}

// failure describes a request that wasn't served.
type failure struct {
	method, path string
	status       int
	took         time.Duration
	summary      callSummary
}

// failureLog counts failures by reason and logs the first few of each second. It is safe for concurrent use.
type failureLog struct {
	logger    Logger // nil disables logging
	directory *Directory

	mutex       sync.Mutex
	counts      [len(failureReasons)]uint64
	windowStart time.Time // start of the second that logged counts
	logged      int
	suppressed  int // failures not logged since the last logged one
	latency     figures.Histogram
}

// maxLoggedPerSecond bounds the failures logged per second. This is enough to explain an outage and costs little during one.
const maxLoggedPerSecond = 4

// record counts a failure and logs it unless the limit is reached.
func (f *failureLog) record(failed *failure) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for i, reason := range failureReasons {
		if reason == failed.summary.reason {
			f.counts[i]++
		}
	}
	if f.logger != nil && f.allowLog() {
		f.log(failed)
	}
}

func (f *failureLog) allowLog() bool {
	now := time.Now()
	if now.Sub(f.windowStart) >= time.Second {
		f.windowStart, f.logged = now, 0
	}
	if f.logged >= maxLoggedPerSecond {
		f.suppressed++
		return false
	}
	f.logged++
	return true
}

func (f *failureLog) log(failed *failure) {
	line := []any{"method", failed.method, "path", failed.path, "status", failed.status, "reason", string(failed.summary.reason),
		"took", failed.took.Round(time.Millisecond), "tries", failed.summary.attempts}
	if failed.summary.attempts > 0 {
		line = append(line, "address", failed.summary.address, "last", failed.summary.lastOutcome)
	}
	line = append(line, "epoch", f.directory.View().Epoch, "version", f.directory.ConfigVersion())
	if f.suppressed > 0 {
		line = append(line, "untold", f.suppressed)
		f.suppressed = 0
	}
	f.logger.Warn("request not served", line...)
}

// observeLatency records the time that a response took.
func (f *failureLog) observeLatency(took time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.latency.Observe(took)
}

func (f *failureLog) write(w *figures.Writer) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	labelled := make([]figures.Labelled, len(failureReasons))
	for i, reason := range failureReasons {
		labelled[i] = figures.Labelled{Label: string(reason), Value: float64(f.counts[i])}
	}
	w.Counters("requests_failed_total", "Requests that weren't served, by why; 4xx for what clients have sent aren't among them.", "reason", labelled)
	w.Histogram("answer_seconds", "Time from the end of a request's header to its answer.", &f.latency)
}

// notServed reports whether a status means that a valid request wasn't served.
func notServed(status int) bool {
	return status == http.StatusTooManyRequests || status >= http.StatusInternalServerError
}

var verdictNames = map[internalapi.Verdict]string{
	internalapi.Done: "done", internalapi.NotHead: "not-head", internalapi.NotKnown: "not-known", internalapi.NoRoute: "no-route",
	internalapi.Invalid: "invalid", internalapi.Overloaded: "overloaded", internalapi.InDoubt: "in-doubt",
}

// outcomeText returns the verdict or the error with which a call ended.
func outcomeText(reply *internalapi.JobReply, err error) string {
	if err != nil {
		return err.Error()
	}
	return verdictNames[reply.Verdict]
}
