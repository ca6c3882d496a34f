package lab

import (
	"time"

	"gaugeslip/internal/dispatch"
)

// eventKind is the kind of an event. Its number goes into the digest.
type eventKind uint8

const (
	clientArrival   eventKind = iota // a client of room a requests a new job
	tryArrival                       // a try reaches a dispatcher
	sendArrival                      // a send reaches its host
	hostEvent                        // host a has new notes
	messageArrival                   // msg reaches incarnation b of dispatcher a
	sendOutcome                      // outcome a of a send reaches its dispatcher
	sendTimeout                      // the deadline of a send has passed
	dispatcherWake                   // dispatcher a has reached its wake time
	probeArrival                     // dispatcher a's probe reaches host b
	troubleBegin                     // trouble a begins
	troubleEnd                       // trouble a ends
	listUpdate                       // a change of host a appears in the host list
	dispatcherStop                   // dispatcher a receives SIGTERM
	dispatcherKill                   // dispatcher a is killed; b < 0: the front notices that it is down
	dispatcherStart                  // dispatcher a restarts
	dispatcherReady                  // the front sends clients to dispatcher a again
)

// event is one scheduled event. Events at the same time are processed in the order in which they were scheduled.
type event struct {
	at   time.Duration
	seq  uint64
	kind eventKind
	a, b int32
	send *send
	try  *try
	msg  dispatch.Message
}

// eventQueue is a binary heap of events.
type eventQueue struct {
	events []event
	seq    uint64
}

func (c *eventQueue) less(i, j int) bool {
	a, b := &c.events[i], &c.events[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (c *eventQueue) push(e event) {
	c.seq++
	e.seq = c.seq
	c.events = append(c.events, e)
	i := len(c.events) - 1
	for i > 0 {
		p := (i - 1) / 2
		if !c.less(i, p) {
			break
		}
		c.events[i], c.events[p] = c.events[p], c.events[i]
		i = p
	}
}

func (c *eventQueue) pop() event {
	first := c.events[0]
	last := len(c.events) - 1
	c.events[0] = c.events[last]
	c.events[last] = event{}
	c.events = c.events[:last]
	for i := 0; ; {
		k := 2*i + 1
		if k >= last {
			break
		}
		if k+1 < last && c.less(k+1, k) {
			k++
		}
		if !c.less(k, i) {
			break
		}
		c.events[i], c.events[k] = c.events[k], c.events[i]
		i = k
	}
	return first
}
