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
	// RefusedOld: the worker has stopped or ended this run or a later one of the task.
	RefusedOld
	// RefusedLate: the order's due time was over on the worker's clock.
	RefusedLate
	// RefusedRoom: the task doesn't fit into what is free on the worker.
	RefusedRoom
	// BadRequest: the worker can't read the order or doesn't accept its form.
	BadRequest
	// Busy: an unhealthy worker refused the call and has done nothing.
	Busy
	// OtherLife: another life of the process is at that address; the one that was meant is over.
	OtherLife
	// NotSent: the call didn't reach the worker in full; surely nothing was done.
	NotSent
	outcomeCount
)

var outcomeNames = [outcomeCount]string{
	Unknown:      "unknown",
	Done:         "done",
	RefusedFence: "refused: fence",
	RefusedOld:   "refused: old",
	RefusedLate:  "refused: late",
	RefusedRoom:  "refused: room",
	BadRequest:   "bad request",
	Busy:         "busy",
	OtherLife:    "other life",
	NotSent:      "not sent",
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
// calls of the same order: after an Unknown start, RefusedOld may mean that the first one has run and ended.
func (outcome Outcome) CertainlyNotDone() bool {
	return outcome != Unknown && outcome != Done
}

// How is the way in which a run ended, as the worker lists it.
type How uint8

const (
	// HowUnknown is a word that the contract doesn't know.
	HowUnknown How = iota
	// HowDone: the work is done.
	HowDone
	// HowFailed: by the task's own fault or by the worker's.
	HowFailed
	// HowStopped: by an order.
	HowStopped
	// HowLapsed: the hold ran out.
	HowLapsed
	// HowBroken: another member of the gang ended.
	HowBroken
	// HowAlone: it waited too long for the other members of the gang.
	HowAlone
	howCount
)

var howNames = [howCount]string{
	HowUnknown: "unknown",
	HowDone:    "done",
	HowFailed:  "failed",
	HowStopped: "stopped",
	HowLapsed:  "lapsed",
	HowBroken:  "broken",
	HowAlone:   "alone",
}

// String is the word on the wire.
func (how How) String() string {
	if how >= howCount {
		return howNames[HowUnknown]
	}
	return howNames[how]
}

func parseEndReason(word string) How {
	for how := HowDone; how < howCount; how++ {
		if howNames[how] == word {
			return how
		}
	}
	return HowUnknown
}
