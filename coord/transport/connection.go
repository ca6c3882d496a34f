package transport

import (
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"time"
)

// connection is a kept connection to one address. The client's lock guards users and lastUse.
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

// start starts the goroutine that reads answers; the one that writes is the link's.
func (c *connection) start() {
	c.rpc = rpc.NewClientWithCodec(c.codec)
}

// call does one call and waits for its answer. Its error is ErrNotSent, ErrUnknown, a rpc.ServerError, or one for which
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

// classifyError gives a call's error the type that tells what is certain.
func (c *connection) classifyError(err error) error {
	if err == nil || closedBeforeSend(err) || errors.Is(err, ErrNotSent) {
		return err
	}
	if _, answered := err.(rpc.ServerError); answered {
		return err
	}
	return fmt.Errorf("%w: %s: %w", ErrUnknown, c.addr, err)
}
