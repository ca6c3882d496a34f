package transport

import (
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"time"
)

// connection is a kept connection to one address. The lock of the client guards users, the number of calls and batches that use it now,
// and lastUse.
type connection struct {
	addr  string
	codec *clientCodec
	rpc   *rpc.Client

	users   int
	lastUse uint64
}

func newConnection(addr string, conn net.Conn, onEnd func(*connection)) *connection {
	c := &connection{addr: addr}
	c.codec = newClientCodec(newLink(conn), func() { onEnd(c) })
	return c
}

// start starts the goroutine that reads answers. The goroutine that writes belongs to the link.
func (c *connection) start() {
	c.rpc = rpc.NewClientWithCodec(c.codec)
}

// call makes one call and waits for its answer. It returns ErrNotSent, ErrUnknown, an rpc.ServerError, or an error for which
// closedBeforeSend is true.
func (c *connection) call(method string, args, reply any, timeout time.Duration) error {
	responses := c.codec.responses.Load()
	slot := &replySlot{target: reply}
	call := c.rpc.Go(method, args, slot, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		return c.classifyError(call.Error)
	case <-timer.C:
	}
	if !slot.abandon() {
		c.codec.closeWithCause(errNoAnswer)
		<-call.Done
		return c.classifyError(call.Error)
	}
	if c.codec.responses.Load() == responses {
		c.codec.closeWithCause(errNoAnswer)
	}
	return c.classifyError(errNoAnswer)
}

// classifyError returns the error of a call in the form that states whether the peer may have executed it.
func (c *connection) classifyError(err error) error {
	if err == nil || closedBeforeSend(err) || errors.Is(err, ErrNotSent) {
		return err
	}
	if _, answered := err.(rpc.ServerError); answered {
		return err
	}
	return fmt.Errorf("%w: %s: %w", ErrUnknown, c.addr, err)
}
