package dataplane

import (
	"errors"
	"net/rpc"
	"strings"
	"time"

	"gaugeslip/coord/transport"
)

// Caller calls other machines, as transport.Client does: an error is transport.ErrNotSent if the call surely never reached
// the peer. It returns within the timeout.
type Caller interface {
	Call(address, method string, args, reply any, timeout time.Duration) error
}

// callOutcome is what is certain about one call.
type callOutcome byte

const (
	// replied: the reply's verdict tells.
	replied callOutcome = iota + 1
	// notExecuted: it surely wasn't and won't be.
	notExecuted
	// unknown: it may have been carried out, and may still be.
	outcomeUnknown
)

// missingServicePrefix begins the errors by which net/rpc refuses a call that it has no method for.
const missingServicePrefix = "rpc: can't find "

func outcomeOf(err error) callOutcome {
	if err == nil {
		return replied
	}
	if errors.Is(err, transport.ErrNotSent) {
		return notExecuted
	}
	var failure rpc.ServerError
	if errors.As(err, &failure) && strings.HasPrefix(string(failure), missingServicePrefix) {
		return notExecuted
	}
	return outcomeUnknown
}
