package dataplane

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"

	"gaugeslip/internal/system/clusterconfig"
	"gaugeslip/internal/system/jobspec"
	"gaugeslip/internal/system/memorybudget"
)

// Dispatcher serves clients' requests. It is an http.Handler and is safe for concurrent use.
type Dispatcher struct {
	caller           Caller
	directory        *Directory
	options          Options
	requestPoll      func()
	lastCounts       *xsync.Map[queueKey, cachedCount]
	draining         atomic.Bool
	responseDeadline atomic.Pointer[time.Time] // nil until a shutdown is due
	bodyBudget       *memorybudget.Budget
	responseCounts   statusCounts
	failures         failureLog
	// calls counts the calls in progress, including those whose results nobody waits for any more.
	calls sync.WaitGroup
}

// NewDispatcher returns a dispatcher. It calls requestPoll, often and from any goroutine, when the core may have a newer view or
// configuration.
func NewDispatcher(caller Caller, directory *Directory, requestPoll func(), options Options) *Dispatcher {
	options = options.withDefaults()
	return &Dispatcher{
		caller:      caller,
		directory:   directory,
		options:     options,
		requestPoll: requestPoll,
		lastCounts:  xsync.NewMap[queueKey, cachedCount](),
		bodyBudget:  memorybudget.NewBudget(options.BodyMemory),
		failures:    failureLog{logger: options.Logger, directory: directory},
	}
}

// Drain makes every response from now on close its connection.
func (d *Dispatcher) Drain() { d.draining.Store(true) }

// SetResponseDeadline limits work on all requests, including those in progress, to the given time, after which the process may no
// longer be able to respond.
func (d *Dispatcher) SetResponseDeadline(end time.Time) { d.responseDeadline.Store(&end) }

// clampToDeadline returns the given time or the response deadline, whichever is earlier.
func (d *Dispatcher) clampToDeadline(moment time.Time) time.Time {
	if end := d.responseDeadline.Load(); end != nil && end.Before(moment) {
		return *end
	}
	return moment
}

// Wait blocks until no call is in progress. No request may arrive after Wait was called.
func (d *Dispatcher) Wait() { d.calls.Wait() }

// ServeHTTP serves one client request. It doesn't stop early if the client seems to have disconnected, because the client may
// have closed only its sending side.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	arrived := time.Now()
	if request.ContentLength != 0 {
		setBodyDeadline(w, arrived)
	}
	lease := d.bodyBudget.NewLease()
	defer lease.Release()
	reply := d.respond(w, request, arrived, lease)
	if d.draining.Load() {
		w.Header()["Connection"] = closeValue
	}
	d.responseCounts.count(reply.status)
	d.recordResponse(request, &reply, time.Since(arrived))
	setResponseDeadline(w)
	reply.write(w)
}

// recordResponse records the latency of a response and, for a request that wasn't served, the reason.
func (d *Dispatcher) recordResponse(request *http.Request, reply *response, took time.Duration) {
	d.failures.observeLatency(took)
	if notServed(reply.status) {
		d.failures.record(&failure{method: request.Method, path: request.URL.Path, status: reply.status, took: took, summary: reply.summary})
	}
}

func (d *Dispatcher) respond(w http.ResponseWriter, request *http.Request, arrived time.Time, lease *memorybudget.Lease) response {
	config := d.awaitConfiguration(request, arrived)
	if config == nil {
		return unavailable.withReason(reasonNoConfiguration, callSummary{})
	}
	route, rest, ok := config.Router.Match(request.Host, request.URL.Path)
	if !ok {
		return d.noRoute()
	}
	wait := d.waitTime(request, route.Timeout, arrived)
	if rest == "" {
		return d.respondForQueue(request.Method, route, arrived, wait)
	}
	id, ok := jobspec.ParseID(rest)
	if !ok {
		return invalidID
	}
	switch request.Method {
	case http.MethodPost:
		body, refusal := readJob(w, request, config.Router.Config().Limits.MaxBodyBytes, lease)
		if body == nil {
			return refusal
		}
		return d.submit(id, route, body, newDeadlines(arrived, wait, certainShareOf(request.Method)))
	case http.MethodGet, http.MethodHead:
		return d.status(id, newDeadlines(arrived, wait, certainShareOf(request.Method)))
	case http.MethodDelete:
		return d.cancel(id, newDeadlines(arrived, wait, certainShareOf(request.Method)))
	}
	return wrongMethod
}

// awaitConfiguration returns the configuration in use. A dispatcher that has just started waits for its first configuration until
// the request's deadline, unless the core is unreachable.
func (d *Dispatcher) awaitConfiguration(request *http.Request, arrived time.Time) *Configuration {
	if config := d.directory.Config(); config != nil || d.coreUnreachable() {
		return config
	}
	limits := newDeadlines(arrived, d.waitTime(request, 0, arrived), certainShareOf(request.Method))
	until := d.clampToDeadline(limits.certain)
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-d.directory.Configured():
	case <-timer.C:
	}
	return d.directory.Config()
}

// noRoute returns the response for a route that the known configuration doesn't contain. A newer configuration that hasn't
// arrived here may contain it.
func (d *Dispatcher) noRoute() response {
	if !d.directory.UpToDate(d.options.MaxConfigAge) {
		return unavailable.withReason(reasonRouteUnknown, callSummary{})
	}
	return notFound
}

// respondForQueue serves a request that names a queue but no job.
func (d *Dispatcher) respondForQueue(method string, route *clusterconfig.Route, arrived time.Time, wait time.Duration) response {
	switch method {
	case http.MethodGet, http.MethodHead:
		wait = min(wait, d.options.CountTimeout)
		return d.count(route, newDeadlines(arrived, wait, inDoubtShare))
	case http.MethodPost, http.MethodDelete:
		return invalidID
	}
	return wrongRouteMethod
}

// readJob reads and validates the body of a POST. If body is nil, refusal is the response to send.
func readJob(w http.ResponseWriter, request *http.Request, maxBytes int64, lease *memorybudget.Lease) (body []byte, refusal response) {
	body, refusal = readBody(w, request, maxBytes, lease)
	if body == nil {
		return nil, refusal
	}
	if _, err := jobspec.Parse(body); err != nil {
		return nil, invalidResponse(err)
	}
	return body, response{}
}
