package scheduler

import (
	"time"

	"gaugeslip/internal/system/workerapi"
)

// CallKind tells what a call orders.
type CallKind uint8

// The kinds of call.
const (
	CallStart CallKind = iota
	CallStop
	CallHold
)

// Call is one call to a worker; exactly the order that Kind names is set.
type Call struct {
	// ID comes back in the call's CallResult.
	ID      uint64
	Kind    CallKind
	Worker  workerapi.Worker
	Start   workerapi.StartOrder
	Stop    workerapi.StopOrder
	Hold    workerapi.HoldOrder
	Timeout time.Duration
}

// CallResult is the answer to a call or its failure. For starts and stops only the reply's Outcome and ClockMs count.
type CallResult struct {
	ID    uint64
	Reply workerapi.HoldReply
}

// Timeouts of calls. A hold has its wait besides.
const (
	startTimeout = time.Second
	stopTimeout  = time.Second
	holdTimeout  = 700 * time.Millisecond
)

// call is a call that is out.
type call struct {
	kind   CallKind
	worker *worker
	run    *run // of a start or a stop
	sentAt time.Duration
}

// send puts a call out.
func (s *Scheduler) send(made Call, w *worker, r *run) uint64 {
	s.lastCall++
	made.ID = s.lastCall
	made.Worker = w.life
	s.calls[made.ID] = &call{kind: made.Kind, worker: w, run: r, sentAt: s.now}
	s.out = append(s.out, made)
	return made.ID
}
