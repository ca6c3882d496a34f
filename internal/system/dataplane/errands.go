package dataplane

import (
	"net/http"
	"time"

	"gaugeslip/coord/view"
	"gaugeslip/internal/system/clusterconfig"
	"gaugeslip/internal/system/findings"
	"gaugeslip/internal/system/internalapi"
	"gaugeslip/internal/system/jobspec"
)

// submit submits a job to the head.
func (d *Dispatcher) submit(id jobspec.ID, route *clusterconfig.Route, body []byte, limits deadlines) response {
	result := d.callSubmit(id, route, body, limits)
	reply := submitResponse(&result)
	d.checkSubmitted(id, &reply, &result)
	return reply
}

func (d *Dispatcher) callSubmit(id jobspec.ID, route *clusterconfig.Route, body []byte, limits deadlines) coreResult {
	return d.execute(&coreRequest{
		method:     internalapi.MethodSubmit,
		args:       &internalapi.SubmitArgs{ID: uint64(id), Route: route.Name, Body: body},
		writes:     true,
		target:     targetHead,
		stillValid: isHead,
		deadlines:  limits,
	})
}

// submitResponse returns the response to a job submission.
func submitResponse(result *coreResult) response {
	if result.reply == nil {
		return noReplyResponse(result)
	}
	switch result.reply.Verdict {
	case internalapi.Done:
		return accepted
	case internalapi.NoRoute:
		return notFound
	case internalapi.Invalid:
		return invalidResponse(findings.Findings{{Text: result.reply.Text}})
	}
	return overloaded.withReason(reasonOverloaded, result.summary)
}

// cancel cancels a job at the head.
func (d *Dispatcher) cancel(id jobspec.ID, limits deadlines) response {
	result := d.execute(&coreRequest{
		method:          internalapi.MethodCancel,
		args:            &internalapi.CancelArgs{ID: uint64(id)},
		writes:          true,
		target:          targetHead,
		stillValid:      isHead,
		notKnownIsFinal: true,
		deadlines:       limits,
	})
	if result.reply == nil {
		return noReplyResponse(&result)
	}
	switch result.reply.Verdict {
	case internalapi.Done:
		return cancelled
	case internalapi.NotKnown, internalapi.NoRoute:
		return gone
	}
	return overloaded.withReason(reasonOverloaded, result.summary)
}

// status reads a job's state at the tail.
func (d *Dispatcher) status(id jobspec.ID, limits deadlines) response {
	result := d.execute(&coreRequest{
		method:          internalapi.MethodStatus,
		args:            &internalapi.StatusArgs{ID: uint64(id)},
		target:          targetTailFirst,
		stillValid:      inChain,
		notKnownIsFinal: true,
		deadlines:       limits,
	})
	if result.reply == nil {
		return unavailable.withSummary(result.summary)
	}
	switch result.reply.Verdict {
	case internalapi.Done:
		if known, ok := stateResponses[result.reply.State]; ok {
			return known
		}
		return stateResponse(result.reply.State)
	case internalapi.NotKnown:
		return gone
	}
	return unavailable.withReason(reasonOverloaded, result.summary)
}

// count asks the head how many jobs of a queue are pending. If the head doesn't reply, it uses the last known count while that is
// recent enough.
func (d *Dispatcher) count(route *clusterconfig.Route, limits deadlines) response {
	result := d.execute(&coreRequest{
		method:     internalapi.MethodCount,
		args:       &internalapi.CountArgs{Route: route.Name},
		target:     targetHead,
		stillValid: isHead,
		deadlines:  limits,
	})
	queue := queueKeyOf(route)
	if result.reply != nil && result.reply.Verdict == internalapi.Done {
		d.lastCounts.Store(queue, cachedCount{pending: result.reply.Pending, at: time.Now()})
		return countResponse(result.reply.Pending)
	}
	if result.reply != nil && result.reply.Verdict == internalapi.NoRoute {
		return notFound
	}
	if known, ok := d.lastCounts.Load(queue); ok && time.Since(known.at) < countMaxAge {
		return countResponse(known.pending)
	}
	return unavailable.withReason(reasonCountOld, result.summary)
}

// cachedCount is a count reported by the head.
type cachedCount struct {
	pending int
	at      time.Time // time of receipt
}

// countMaxAge bounds the age of a cached count. A count may be 2 s old when it reaches the client, and part of that time has
// passed before it is received here.
const countMaxAge = 1800 * time.Millisecond

func noReplyResponse(result *coreResult) response {
	if result.inDoubt {
		return timedOut.withSummary(result.summary)
	}
	return unavailable.withSummary(result.summary)
}

// queueKey identifies a route by its host and path prefix, because its name may be empty.
type queueKey struct{ host, pathPrefix string }

func queueKeyOf(route *clusterconfig.Route) queueKey {
	return queueKey{host: route.Host, pathPrefix: route.PathPrefix}
}

func targetHead(current *view.View, _ int) string { return current.Head().Address }

func isHead(current *view.View, address string) bool { return current.Head().Address == address }

// targetTailFirst selects the tail, then the head, then the other replicas from the tail's predecessor towards the head.
func targetTailFirst(current *view.View, attempt int) string {
	length := len(current.Chain)
	if length == 0 {
		return ""
	}
	switch attempt %= length; attempt {
	case 0:
		return current.Tail().Address
	case 1:
		return current.Head().Address
	}
	return current.Chain[length-attempt].Address
}

func inChain(current *view.View, address string) bool {
	for index := range current.Chain {
		if current.Chain[index].Address == address {
			return true
		}
	}
	return false
}

// waitTime returns how long a client waits for its response: the time in its header, else its route's timeout if that isn't 0,
// else the default.
func (d *Dispatcher) waitTime(request *http.Request, timeout time.Duration, now time.Time) time.Duration {
	if wait, ok := clientWait(request.Header.Get(deadlineHeader), now); ok {
		return wait
	}
	if timeout > 0 {
		return timeout
	}
	return d.options.DefaultWaitTime
}
