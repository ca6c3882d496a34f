package lab

import (
	"time"

	"gaugeslip/internal/dispatch"
)

// eventKind says what an event does.
type eventKind uint8

const (
	arrives   eventKind = iota // a client of room a has something to do
	tries                      // try t reaches a dispatcher
	reaches                    // send s reaches its host
	hostActs                   // host a has something to tell
	toNode                     // msg reaches dispatcher a, of its life b
	comesBack                  // the outcome a of send s
	givesUp                    // send s has taken too long
	wakes                      // dispatcher a wants a Step
	probes                     // dispatcher a's probe reaches host b
	begins                     // trouble a
	ends                       // trouble a
	lists                      // what changed on host a is in the list now
	stops                      // dispatcher a gets SIGTERM
	dies                       // dispatcher a is killed
	returns                    // dispatcher a starts anew
	readies                    // dispatcher a is dealt out by the front again
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

// calendar is a binary heap of events.
type calendar struct {
	list []event
	seq  uint64
}

func (c *calendar) less(i, j int) bool {
	a, b := &c.list[i], &c.list[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (c *calendar) push(e event) {
	c.seq++
	e.seq = c.seq
	c.list = append(c.list, e)
	i := len(c.list) - 1
	for i > 0 {
		p := (i - 1) / 2
		if !c.less(i, p) {
			break
		}
		c.list[i], c.list[p] = c.list[p], c.list[i]
		i = p
	}
}

func (c *calendar) pop() event {
	first := c.list[0]
	last := len(c.list) - 1
	c.list[0] = c.list[last]
	c.list[last] = event{}
	c.list = c.list[:last]
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
		c.list[i], c.list[k] = c.list[k], c.list[i]
		i = k
	}
	return first
}
