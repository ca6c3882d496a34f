package workerapi

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptrace"
	"sync/atomic"
)

// errNotDialled marks errors of making a connection.
var errNotDialled = errors.New("not connected")

// sending notes whether a call was ever given a connection.
type sending struct {
	trace     httptrace.ClientTrace
	connected atomic.Bool
}

func newSending() *sending {
	sending := new(sending)
	sending.trace.GotConn = sending.gotConnection
	return sending
}

func (sending *sending) gotConnection(httptrace.GotConnInfo) {
	sending.connected.Store(true)
}

func (sending *sending) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &sending.trace)
}

// failure tells what is certain of a call that got no answer. Without a connection nothing went out. The transport looks for
// another connection after the first only if it wrote nothing on that, so an error of the dial proves the same.
func (sending *sending) failure(err error) (Outcome, error) {
	if !sending.connected.Load() || errors.Is(err, errNotDialled) {
		return NotSent, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return Unknown, fmt.Errorf("%w: %w", ErrUnanswered, err)
}
