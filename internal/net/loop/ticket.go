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
	Refused    bool          // not Served: a repeat is harmless
	Body       []byte        // of Served
	RetryAfter time.Duration // of Refused; 0: no advice
	Accepted   bool          // no answer to the job but the promise that it lives on without its connection
	Status     int           // of a local reply, where it has one of its own; else 0
	Why        string        // in words, with Status
}

// Ticket is one downstream request on its way through the dispatcher.
type Ticket struct {
	Job     dispatch.JobArrived // Job, Name, Bytes and At are filled in by Submit
	Forward upstream.Request    // Addr is filled in for each upstream request
	Arrived time.Time

	done   atomic.Bool
	answer chan Answer
}

// Answer gives the one final answer, which comes exactly once.
func (t *Ticket) Answer() <-chan Answer { return t.answer }

// deliver passes on the first final answer; false: there was one already.
func (t *Ticket) deliver(a Answer) bool {
	if !t.done.CompareAndSwap(false, true) {
		return false
	}
	t.answer <- a // its buffer holds one
	return true
}
