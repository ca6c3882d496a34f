package workerapi

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptrace"
	"sync/atomic"
)

// errDialFailed marks errors of opening a connection.
var errDialFailed = errors.New("not connected")

// connectionTrace records whether a call ever got a connection.
type connectionTrace struct {
	hooks     httptrace.ClientTrace
	connected atomic.Bool
}

func newConnectionTrace() *connectionTrace {
	trace := new(connectionTrace)
	trace.hooks.GotConn = trace.gotConnection
	return trace
}

func (trace *connectionTrace) gotConnection(httptrace.GotConnInfo) {
	trace.connected.Store(true)
}

func (trace *connectionTrace) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &trace.hooks)
}

// classifyFailure returns the outcome of a call that got no answer. Without a connection nothing was sent. The transport tries a
// second connection only if it wrote nothing on the first, so a dial error also proves that nothing was sent.
func (trace *connectionTrace) classifyFailure(err error) (Outcome, error) {
	if !trace.connected.Load() || errors.Is(err, errDialFailed) {
		return NotSent, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return Unknown, fmt.Errorf("%w: %w", ErrUnanswered, err)
}
