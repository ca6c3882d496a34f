package workerapi

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptrace"
	"sync/atomic"
)

// errDialFailed marks errors of making a connection.
var errDialFailed = errors.New("not connected")

// connectionTrace notes whether a call was ever given a connection.
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

// classifyFailure tells what is certain of a call that got no answer. Without a connection nothing went out. The transport looks for
// another connection after the first only if it wrote nothing on that, so an error of the dial proves the same.
func (trace *connectionTrace) classifyFailure(err error) (Outcome, error) {
	if !trace.connected.Load() || errors.Is(err, errDialFailed) {
		return NotSent, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return Unknown, fmt.Errorf("%w: %w", ErrUnanswered, err)
}
