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

// outcome is what is certain about one call.
type outcome byte

const (
	// replied: the reply's verdict tells.
	replied outcome = iota + 1
	// neverCarriedOut: it surely wasn't and won't be.
	neverCarriedOut
	// unknown: it may have been carried out, and may still be.
	unknown
)

// missingService begins the errors by which net/rpc refuses a call that it has no method for.
const missingService = "rpc: can't find "

func outcomeOf(err error) outcome {
	if err == nil {
		return replied
	}
	if errors.Is(err, transport.ErrNotSent) {
		return neverCarriedOut
	}
	var failure rpc.ServerError
	if errors.As(err, &failure) && strings.HasPrefix(string(failure), missingService) {
		return neverCarriedOut
	}
	return unknown
}
