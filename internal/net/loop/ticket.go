package loop

import (
	"sync/atomic"
	"time"

	"gaugeslip/internal/dispatch"
	"gaugeslip/internal/net/upstream"
)

// Answer is the final answer to one downstream request.
type Answer struct {
	Served     bool
	Refused    bool          // not run: a retry is harmless
	Body       []byte        // if Served
	RetryAfter time.Duration // if Refused; 0: none
	Accepted   bool          // the job was accepted and continues without its connection
	Status     int           // status of a local reply if it is not the default; else 0
	Text       string        // the text that goes with Status
}

// Ticket is one downstream request on its way through the dispatcher.
type Ticket struct {
	Job     dispatch.JobArrived // Job, Name, Bytes and At are filled in by Submit
	Forward upstream.Request    // Addr is filled in for each upstream request
	Arrived time.Time

	done   atomic.Bool
	answer chan Answer
}

// Answer returns the channel of the final answer, which arrives exactly once.
func (t *Ticket) Answer() <-chan Answer { return t.answer }

// deliver delivers the first final answer; it returns false if there already was one.
func (t *Ticket) deliver(a Answer) bool {
	if !t.done.CompareAndSwap(false, true) {
		return false
	}
	t.answer <- a // buffered: does not block
	return true
}
