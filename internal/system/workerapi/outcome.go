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
	// RefusedOld: the worker has stopped or ended this run or a later one of the task.
	RefusedOld
	// RefusedLate: the order's due time had passed on the worker's clock.
	RefusedLate
	// RefusedRoom: the worker lacks the free capacity for the task.
	RefusedRoom
	// BadRequest: the worker can't decode the order or rejects its format.
	BadRequest
	// Busy: an unhealthy worker refused the call and did nothing.
	Busy
	// OtherLife: another instance of the process listens at that address; the intended one has ended.
	OtherLife
	// NotSent: the call didn't reach the worker in full, so it certainly had no effect.
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
// calls with the same order: after an Unknown start, RefusedOld may mean that the first start has run and ended.
func (outcome Outcome) CertainlyNotDone() bool {
	return outcome != Unknown && outcome != Done
}

// How is the reason why a run ended, as the worker lists it.
type How uint8

const (
	// HowUnknown: the worker sent a word that the contract doesn't define.
	HowUnknown How = iota
	// HowDone: the task completed.
	HowDone
	// HowFailed: the task or the worker failed.
	HowFailed
	// HowStopped: a stop order ended the run.
	HowStopped
	// HowLapsed: the hold expired.
	HowLapsed
	// HowBroken: another member of the gang ended.
	HowBroken
	// HowAlone: the run waited too long for the other members of the gang.
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

// String returns the word used on the wire.
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
