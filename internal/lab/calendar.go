package lab

import (
	"time"

	"gaugeslip/internal/dispatch"
)

// eventKind says what an event does.
type eventKind uint8

const (
	clientArrival   eventKind = iota // a client of room a has something to do
	tryArrival                       // try t reaches a dispatcher
	sendArrival                      // send s reaches its host
	hostEvent                        // host a has something to tell
	messageArrival                   // msg reaches dispatcher a, of its life b
	sendOutcome                      // the outcome a of send s
	sendTimeout                      // send s has taken too long
	dispatcherWake                   // dispatcher a wants a Step
	probeArrival                     // dispatcher a's probe reaches host b
	troubleBegin                     // trouble a
	troubleEnd                       // trouble a
	listUpdate                       // what changed on host a is in the list now
	dispatcherStop                   // dispatcher a gets SIGTERM
	dispatcherKill                   // dispatcher a is killed
	dispatcherStart                  // dispatcher a starts anew
	dispatcherReady                  // dispatcher a is dealt out by the front again
)

// event is one thing that happens. Ties in time go by the order in which events were made.
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
