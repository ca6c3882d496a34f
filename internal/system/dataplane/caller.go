package dataplane

import (
	"errors"
	"net/rpc"
	"strings"
	"time"

	"gaugeslip/coord/transport"
)

// Caller calls other machines, as transport.Client does. It returns within the timeout. The error is transport.ErrNotSent if the
// call certainly never reached the peer.
type Caller interface {
	Call(address, method string, args, reply any, timeout time.Duration) error
}

// callOutcome says what is known for certain about the execution of one call.
type callOutcome byte

const (
	// replied: the peer replied; the verdict of the reply decides.
	replied callOutcome = iota + 1
	// notExecuted: the call certainly wasn't executed and won't be.
	notExecuted
	// outcomeUnknown: the call may have been executed, or may still be.
	outcomeUnknown
)

// missingServicePrefix starts the error text with which net/rpc rejects a call to a service or method that isn't registered.
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
