package transport

import (
	"errors"
	"net/rpc"
)

var (
	// ErrNotSent means that the call definitely did not reach the peer.
	ErrNotSent = errors.New("call not sent")
	// ErrUnknown means that the call was sent and no answer arrived: the peer may have executed it or may still execute it.
	ErrUnknown = errors.New("outcome of call unknown")
	// ErrClosed means that the client or server was closed.
	ErrClosed = errors.New("transport closed")
	// ErrGap means that a batch arrived too far ahead of the batches before it, so that its stream cannot continue.
	ErrGap = errors.New("gap in a stream of batches")
)

var (
	errBackOff    = errors.New("last dial failed a moment ago")
	errBacklog    = errors.New("too many bytes wait to be written")
	errEvicted    = errors.New("connection closed in favour of busier ones")
	errLinkBroken = errors.New("connection is broken")
	errNoAnswer   = errors.New("no answer in time")
	errNoTime     = errors.New("no time left")
	errPeerClosed = errors.New("peer closed the connection")
	errStale      = errors.New("bytes have waited too long to be written")
)

// closedBeforeSend reports whether a call failed only because its kept connection closed before it had accepted the whole call.
func closedBeforeSend(err error) bool {
	return err == rpc.ErrShutdown || errors.Is(err, errLinkBroken)
}
