package dataplane

import (
	"net/http"
	"sync"
	"time"

	"gaugeslip/internal/system/figures"
	"gaugeslip/internal/system/internalapi"
)

// failureReason tells why a request wasn't served, in a word for logs and figures.
type failureReason string

// The reasons for which a request isn't served.
const (
	// reasonNoConfiguration: this dispatcher has never had a configuration.
	reasonNoConfiguration failureReason = "no-configuration"
	// reasonRouteUnknown: no route takes the request, and there may be a newer configuration that this dispatcher has missed.
	reasonRouteUnknown failureReason = "route-unknown"
	// reasonNoCore: no replica that serves was heard of for CoreContactTimeout.
	reasonNoCore failureReason = "no-core"
	// reasonTimeUp: the part of the client's time for which tries are made is over.
	reasonTimeUp failureReason = "time-up"
	// reasonOverloaded: the head has refused the job.
	reasonOverloaded failureReason = "overloaded"
	// reasonBodiesFull: the bodies of other requests take the memory for all.
	reasonBodiesFull failureReason = "bodies-full"
	// reasonCountOld: the last known count of a queue is too old to be told.
	reasonCountOld failureReason = "count-old"
)

// failureReasons are all reasons in the order in which figures show them.
var failureReasons = [...]failureReason{reasonNoConfiguration, reasonRouteUnknown, reasonNoCore, reasonTimeUp, reasonOverloaded, reasonBodiesFull,
	reasonCountOld}

// callSummary is how an errand went: what an answer without success is explained with.
type callSummary struct {
	reason      failureReason
	attempts    int
	address     string // of the last try, empty where nobody was known
	lastOutcome string // how it ended
}

// failure is a request that wasn't served.
type failure struct {
	method, path string
	status       int
	took         time.Duration
	summary      callSummary
}

// failureLog counts failures by reason and tells a logger of the first few in each second. It is safe for concurrent use.
type failureLog struct {
	logger    Logger // nil: nothing is told
	directory *Directory

	mutex       sync.Mutex
	counts      [len(failureReasons)]uint64
	windowStart time.Time // in which told were told
	logged      int
	suppressed  int // since the last that was told
	latency     figures.Histogram
}

// maxLoggedPerSecond is how many failures are told in a second: enough to explain an outage, and little work during one.
const maxLoggedPerSecond = 4

// record takes a failure in.
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

// observeLatency takes in how long an answer took.
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

// notServed tells whether a status says that a sound request wasn't served.
func notServed(status int) bool {
	return status == http.StatusTooManyRequests || status >= http.StatusInternalServerError
}

var verdictNames = map[internalapi.Verdict]string{
	internalapi.Done: "done", internalapi.NotHead: "not-head", internalapi.NotKnown: "not-known", internalapi.NoRoute: "no-route",
	internalapi.Invalid: "invalid", internalapi.Overloaded: "overloaded", internalapi.InDoubt: "in-doubt",
}

// outcomeText says how a try ended.
func outcomeText(reply *internalapi.JobReply, err error) string {
	if err != nil {
		return err.Error()
	}
	return verdictNames[reply.Verdict]
}
