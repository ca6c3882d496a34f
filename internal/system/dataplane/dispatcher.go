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

// Dispatcher answers clients. It is an http.Handler, safe for concurrent use.
type Dispatcher struct {
	caller    Caller
	directory *Directory
	options   Options
	poke      func()
	counts    *xsync.Map[queue, knownCount]
	draining  atomic.Bool
	endBy     atomic.Pointer[time.Time] // nil while no end is near
	bodies    *memorybudget.Budget
	answers   answerCounts
	failures  failureLog
	// calls are the calls under way, those among them that nobody waits for any more.
	calls sync.WaitGroup
}

// NewDispatcher makes a dispatcher. poke is called, often and from any goroutine, when there may be news at the core.
func NewDispatcher(caller Caller, directory *Directory, poke func(), options Options) *Dispatcher {
	options = options.withDefaults()
	return &Dispatcher{
		caller:    caller,
		directory: directory,
		options:   options,
		poke:      poke,
		counts:    xsync.NewMap[queue, knownCount](),
		bodies:    memorybudget.NewBudget(options.BodyMemory),
		failures:  failureLog{logger: options.Logger, directory: directory},
	}
}

// Drain has every answer from now on end its connection.
func (d *Dispatcher) Drain() { d.draining.Store(true) }

// EndBy has everything answered by a moment, also what is under way: after that there may be nobody to answer it.
func (d *Dispatcher) EndBy(end time.Time) { d.endBy.Store(&end) }

// beforeTheEnd is a moment, or the end where that comes first.
func (d *Dispatcher) beforeTheEnd(moment time.Time) time.Time {
	if end := d.endBy.Load(); end != nil && end.Before(moment) {
		return *end
	}
	return moment
}

// Wait returns once no call is under way any more; no request may come after it was called.
func (d *Dispatcher) Wait() { d.calls.Wait() }

// ServeHTTP answers one request of a client. It doesn't end early when the client is gone: it may have closed one way only.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	arrived := time.Now()
	if request.ContentLength != 0 {
		boundBody(w, arrived)
	}
	lease := d.bodies.NewLease()
	defer lease.Release()
	reply := d.answer(w, request, arrived, lease)
	if d.draining.Load() {
		w.Header()["Connection"] = closeValue
	}
	d.answers.count(reply.status)
	d.account(request, &reply, time.Since(arrived))
	boundAnswer(w)
	reply.write(w)
}

// account takes note of an answer, and of why a request wasn't served.
func (d *Dispatcher) account(request *http.Request, reply *answer, took time.Duration) {
	d.failures.answered(took)
	if notServed(reply.status) {
		d.failures.note(&failure{method: request.Method, path: request.URL.Path, status: reply.status, took: took, course: reply.course})
	}
}

func (d *Dispatcher) answer(w http.ResponseWriter, request *http.Request, arrived time.Time, lease *memorybudget.Lease) answer {
	config := d.awaitConfiguration(request, arrived)
	if config == nil {
		return unavailable.because(reasonNoConfiguration, course{})
	}
	route, rest, ok := config.Router.Match(request.Host, request.URL.Path)
	if !ok {
		return d.noRoute()
	}
	wait := d.wait(request, route.Timeout, arrived)
	if rest == "" {
		return d.answerQueue(request.Method, route, arrived, wait)
	}
	id, ok := jobspec.ParseID(rest)
	if !ok {
		return badID
	}
	switch request.Method {
	case http.MethodPost:
		body, refusal := readJob(w, request, config.Router.Config().Limits.MaxBodyBytes, lease)
		if body == nil {
			return refusal
		}
		return d.submit(id, route, body, newPatience(arrived, wait, shareOf(request.Method)))
	case http.MethodGet, http.MethodHead:
		return d.status(id, newPatience(arrived, wait, shareOf(request.Method)))
	case http.MethodDelete:
		return d.cancel(id, newPatience(arrived, wait, shareOf(request.Method)))
	}
	return wrongMethod
}

// awaitConfiguration gives the configuration in force. A dispatcher that has just started waits for its first one, for as long as the
// request may be worked on and there is hope of the core.
func (d *Dispatcher) awaitConfiguration(request *http.Request, arrived time.Time) *Configuration {
	if config := d.directory.Config(); config != nil || d.hopeless() {
		return config
	}
	patience := newPatience(arrived, d.wait(request, 0, arrived), shareOf(request.Method))
	until := d.beforeTheEnd(patience.sure)
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-d.directory.Configured():
	case <-timer.C:
	}
	return d.directory.Config()
}

// noRoute answers for a route that isn't in the configuration; it may be in one that we missed.
func (d *Dispatcher) noRoute() answer {
	if !d.directory.UpToDate(d.options.StaleContact) {
		return unavailable.because(reasonRouteUnknown, course{})
	}
	return notFound
}

// answerQueue answers a request that names a queue and no job.
func (d *Dispatcher) answerQueue(method string, route *clusterconfig.Route, arrived time.Time, wait time.Duration) answer {
	switch method {
	case http.MethodGet, http.MethodHead:
		wait = min(wait, d.options.CountPatience)
		return d.count(route, newPatience(arrived, wait, doubtShare))
	case http.MethodPost, http.MethodDelete:
		return badID
	}
	return wrongRouteMethod
}

// readJob reads and checks the body of a POST. Without a body, refusal is the answer.
func readJob(w http.ResponseWriter, request *http.Request, most int64, lease *memorybudget.Lease) (body []byte, refusal answer) {
	body, refusal = readBody(w, request, most, lease)
	if body == nil {
		return nil, refusal
	}
	if _, err := jobspec.Parse(body); err != nil {
		return nil, invalid(err)
	}
	return body, answer{}
}
