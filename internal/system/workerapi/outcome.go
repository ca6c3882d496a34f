package workerapi

import "errors"

// Errors of calls. A call that got an answer which this package understands returns none of them.
var (
	// ErrNotSent means that the call never reached the worker in full: surely nothing was done.
	ErrNotSent = errors.New("not sent")
	// ErrUnanswered means that the call was sent, at least in part, and that no whole answer came.
	ErrUnanswered = errors.New("no answer")
	// ErrUnreadable means that an answer came whose body can't be read.
	ErrUnreadable = errors.New("unreadable answer")
	// ErrUnexpectedStatus means that an answer came with a status that the contract doesn't know.
	ErrUnexpectedStatus = errors.New("unexpected status")
	// ErrTooManyConnections means that calls use as many connections as the client may have open.
	ErrTooManyConnections = errors.New("too many connections")
)

// Outcome tells what is certain about one call. The zero value is Unknown, the careful one.
type Outcome uint8

const (
	// Unknown: the call may have been done, or may still be done seconds later, or never.
	Unknown Outcome = iota
	// Done: the worker answered 200.
	Done
	// RefusedFence: the worker has seen a higher fencing token.
	RefusedFence
	// RefusedStale: the worker has stopped or ended this run or a later one of the task.
	RefusedStale
	// RefusedLate: the order's due time was over on the worker's clock.
	RefusedLate
	// RefusedCapacity: the task doesn't fit into what is free on the worker.
	RefusedCapacity
	// BadRequest: the worker can't read the order or doesn't accept its form.
	BadRequest
	// Busy: an unhealthy worker refused the call and has done nothing.
	Busy
	// OtherInstance: another life of the process is at that address; the one that was meant is over.
	OtherInstance
	// NotSent: the call didn't reach the worker in full; surely nothing was done.
	NotSent
	outcomeCount
)

var outcomeNames = [outcomeCount]string{
	Unknown:         "unknown",
	Done:            "done",
	RefusedFence:    "refused: fence",
	RefusedStale:    "refused: old",
	RefusedLate:     "refused: late",
	RefusedCapacity: "refused: room",
	BadRequest:      "bad request",
	Busy:            "busy",
	OtherInstance:   "other life",
	NotSent:         "not sent",
}

// String names the outcome for logs.
func (outcome Outcome) String() string {
	if outcome >= outcomeCount {
		return "invalid outcome"
	}
	return outcomeNames[outcome]
}

// Answered tells whether the worker's own answer decided the outcome.
func (outcome Outcome) Answered() bool {
	return outcome != Unknown && outcome != NotSent
}

// CertainlyNotDone tells whether this very call started and stopped nothing, and never will. It says nothing of earlier
// calls of the same order: after an Unknown start, RefusedStale may mean that the first one has run and ended.
func (outcome Outcome) CertainlyNotDone() bool {
	return outcome != Unknown && outcome != Done
}

// EndReason is the way in which a run ended, as the worker lists it.
type EndReason uint8

const (
	// EndUnknown is a word that the contract doesn't know.
	EndUnknown EndReason = iota
	// EndDone: the work is done.
	EndDone
	// EndFailed: by the task's own fault or by the worker's.
	EndFailed
	// EndStopped: by an order.
	EndStopped
	// EndLapsed: the hold ran out.
	EndLapsed
	// EndGangBroken: another member of the gang ended.
	EndGangBroken
	// EndGangIncomplete: it waited too long for the other members of the gang.
	EndGangIncomplete
	endReasonCount
)

var endReasonNames = [endReasonCount]string{
	EndUnknown:        "unknown",
	EndDone:           "done",
	EndFailed:         "failed",
	EndStopped:        "stopped",
	EndLapsed:         "lapsed",
	EndGangBroken:     "broken",
	EndGangIncomplete: "alone",
}

// String is the word on the wire.
func (how EndReason) String() string {
	if how >= endReasonCount {
		return endReasonNames[EndUnknown]
	}
	return endReasonNames[how]
}

func howOf(word string) EndReason {
	for how := EndDone; how < endReasonCount; how++ {
		if endReasonNames[how] == word {
			return how
		}
	}
	return EndUnknown
}
