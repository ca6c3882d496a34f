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

// submit hands a job to the head.
func (d *Dispatcher) submit(id jobspec.ID, route *clusterconfig.Route, body []byte, limits patience) answer {
	end := d.handOver(id, route, body, limits)
	reply := submitted(&end)
	d.checkSubmitted(id, &reply, &end)
	return reply
}

func (d *Dispatcher) handOver(id jobspec.ID, route *clusterconfig.Route, body []byte, limits patience) conclusion {
	return d.carryOut(&errand{
		method:   internalapi.MethodSubmit,
		args:     &internalapi.SubmitArgs{ID: uint64(id), Route: route.Name, Body: body},
		writes:   true,
		target:   headOnly,
		stays:    isHead,
		patience: limits,
	})
}

// submitted is the answer to a job that was handed in.
func submitted(end *conclusion) answer {
	if end.reply == nil {
		return givenUp(end)
	}
	switch end.reply.Verdict {
	case internalapi.Done:
		return accepted
	case internalapi.NoRoute:
		return notFound
	case internalapi.Invalid:
		return invalid(findings.Findings{{Text: end.reply.Text}})
	}
	return overloaded.because(reasonOverloaded, end.course)
}

// cancel ends a job at the head.
func (d *Dispatcher) cancel(id jobspec.ID, limits patience) answer {
	end := d.carryOut(&errand{
		method:          internalapi.MethodCancel,
		args:            &internalapi.CancelArgs{ID: uint64(id)},
		writes:          true,
		target:          headOnly,
		stays:           isHead,
		notKnownSettles: true,
		patience:        limits,
	})
	if end.reply == nil {
		return givenUp(&end)
	}
	switch end.reply.Verdict {
	case internalapi.Done:
		return cancelled
	case internalapi.NotKnown, internalapi.NoRoute:
		return gone
	}
	return overloaded.because(reasonOverloaded, end.course)
}

// status reads a job's state at the tail.
func (d *Dispatcher) status(id jobspec.ID, limits patience) answer {
	end := d.carryOut(&errand{
		method:          internalapi.MethodStatus,
		args:            &internalapi.StatusArgs{ID: uint64(id)},
		target:          tailFirst,
		stays:           inChain,
		notKnownSettles: true,
		patience:        limits,
	})
	if end.reply == nil {
		return unavailable.after(end.course)
	}
	switch end.reply.Verdict {
	case internalapi.Done:
		if known, ok := states[end.reply.State]; ok {
			return known
		}
		return stateAnswer(end.reply.State)
	case internalapi.NotKnown:
		return gone
	}
	return unavailable.because(reasonOverloaded, end.course)
}

// count asks the head how many jobs of a queue have begun nothing; failing that, it tells the last known count while that is young enough.
func (d *Dispatcher) count(route *clusterconfig.Route, limits patience) answer {
	end := d.carryOut(&errand{
		method:   internalapi.MethodCount,
		args:     &internalapi.CountArgs{Route: route.Name},
		target:   headOnly,
		stays:    isHead,
		patience: limits,
	})
	queue := queueOf(route)
	if end.reply != nil && end.reply.Verdict == internalapi.Done {
		d.counts.Store(queue, knownCount{pending: end.reply.Pending, at: time.Now()})
		return countAnswer(end.reply.Pending)
	}
	if end.reply != nil && end.reply.Verdict == internalapi.NoRoute {
		return notFound
	}
	if known, ok := d.counts.Load(queue); ok && time.Since(known.at) < countLife {
		return countAnswer(known.pending)
	}
	return unavailable.because(reasonCountOld, end.course)
}

// knownCount is a count that the head has told.
type knownCount struct {
	pending int
	at      time.Time // when it came
}

// countLife is how long a count may be told after it came: it may be 2 s old when it arrives, and was under way before.
const countLife = 1800 * time.Millisecond

func givenUp(end *conclusion) answer {
	if end.inDoubt {
		return timedOut.after(end.course)
	}
	return unavailable.after(end.course)
}

// queue names a route by what it takes; its name may be empty.
type queue struct{ host, prefix string }

func queueOf(route *clusterconfig.Route) queue {
	return queue{host: route.Host, prefix: route.PathPrefix}
}

func headOnly(current *view.View, _ int) string { return current.Head().Address }

func isHead(current *view.View, address string) bool { return current.Head().Address == address }

// tailFirst goes to the tail, then to the head, then up the chain from the tail's predecessor.
func tailFirst(current *view.View, try int) string {
	length := len(current.Chain)
	if length == 0 {
		return ""
	}
	switch try %= length; try {
	case 0:
		return current.Tail().Address
	case 1:
		return current.Head().Address
	}
	return current.Chain[length-try].Address
}

func inChain(current *view.View, address string) bool {
	for index := range current.Chain {
		if current.Chain[index].Address == address {
			return true
		}
	}
	return false
}

// wait is how long a client waits for its answer: what it says, or else its route's timeout; 0 stands for none.
func (d *Dispatcher) wait(request *http.Request, timeout time.Duration, now time.Time) time.Duration {
	if wait, ok := clientWait(request.Header.Get(deadlineHeader), now); ok {
		return wait
	}
	if timeout > 0 {
		return timeout
	}
	return d.options.DefaultWait
}
