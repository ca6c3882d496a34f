package workerapi

import "errors"

// Errors of calls. A call whose answer was understood returns none of them.
var (
	// ErrNotSent means that the call never reached the worker in full, so it certainly had no effect.
	ErrNotSent = errors.New("not sent")
	// ErrUnanswered means that the call was sent, at least in part, and that no complete answer arrived.
	ErrUnanswered = errors.New("no answer")
	// ErrUnreadable means that the body of the answer can't be decoded.
	ErrUnreadable = errors.New("unreadable answer")
	// ErrUnexpectedStatus means that the answer has a status that the contract doesn't define.
	ErrUnexpectedStatus = errors.New("unexpected status")
	// ErrTooManyConnections means that the client's maximum number of connections is in use.
	ErrTooManyConnections = errors.New("too many connections")
)

// Outcome is what is certain about one call. The zero value is Unknown, the safe assumption.
type Outcome uint8

const (
	// Unknown: the order may have been carried out, may still be carried out seconds later, or never.
	Unknown Outcome = iota
	// Done: the worker answered 200.
	Done
	// RefusedFence: the worker has seen a higher fencing token.
	RefusedFence
	// RefusedStale: the worker has stopped or ended this run or a later one of the task.
	RefusedStale
	// RefusedLate: the order's due time had passed on the worker's clock.
	RefusedLate
	// RefusedCapacity: the worker lacks the free capacity for the task.
	RefusedCapacity
	// BadRequest: the worker can't decode the order or rejects its format.
	BadRequest
	// Busy: an unhealthy worker refused the call and did nothing.
	Busy
	// OtherInstance: another instance of the process listens at that address; the intended one has ended.
	OtherInstance
	// NotSent: the call didn't reach the worker in full, so it certainly had no effect.
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

// String returns the outcome's name for logs.
func (outcome Outcome) String() string {
	if outcome >= outcomeCount {
		return "invalid outcome"
	}
	return outcomeNames[outcome]
}

// Answered reports whether the worker's answer determined the outcome.
func (outcome Outcome) Answered() bool {
	return outcome != Unknown && outcome != NotSent
}

// CertainlyNotDone reports whether this call started and stopped nothing, and never will. It says nothing about earlier
// calls with the same order: after an Unknown start, RefusedStale may mean that the first start has run and ended.
func (outcome Outcome) CertainlyNotDone() bool {
	return outcome != Unknown && outcome != Done
}

// EndReason is the reason why a run ended, as the worker lists it.
type EndReason uint8

const (
	// EndUnknown: the worker sent a word that the contract doesn't define.
	EndUnknown EndReason = iota
	// EndDone: the task completed.
	EndDone
	// EndFailed: the task or the worker failed.
	EndFailed
	// EndStopped: a stop order ended the run.
	EndStopped
	// EndLapsed: the hold expired.
	EndLapsed
	// EndGangBroken: another member of the gang ended.
	EndGangBroken
	// EndGangIncomplete: the run waited too long for the other members of the gang.
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

// String returns the word used on the wire.
func (how EndReason) String() string {
	if how >= endReasonCount {
		return endReasonNames[EndUnknown]
	}
	return endReasonNames[how]
}

func parseEndReason(word string) EndReason {
	for how := EndDone; how < endReasonCount; how++ {
		if endReasonNames[how] == word {
			return how
		}
	}
	return EndUnknown
}
