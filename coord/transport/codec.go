package transport

import (
	"bufio"
	"encoding/gob"
	"fmt"
	"net/rpc"
	"sync/atomic"
)

const readBufferBytes = 8 << 10

// clientCodec implements the client side of the gob protocol of net/rpc over a link.
type clientCodec struct {
	link      *link
	encoder   *gob.Encoder
	decoder   *gob.Decoder
	responses atomic.Uint64
	onClose   func()
}

func newClientCodec(l *link, onEnd func()) *clientCodec {
	return &clientCodec{
		link:    l,
		encoder: gob.NewEncoder(l),
		decoder: gob.NewDecoder(bufio.NewReaderSize(l, readBufferBytes)),
		onClose: onEnd,
	}
}

// WriteRequest implements rpc.ClientCodec. If it returns an error, the request was not completely written.
func (c *clientCodec) WriteRequest(request *rpc.Request, body any) error {
	err := c.encoder.Encode(request)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err != nil {
		c.closeWithCause(err)
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c.link.flush()
	return nil
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(response *rpc.Response) error {
	if err := c.decoder.Decode(response); err != nil {
		c.closeWithCause(err)
		return err
	}
	c.responses.Add(1)
	return nil
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error {
	if slot, ok := body.(*replySlot); ok {
		body = slot.startDecoding()
	}
	err := c.decoder.Decode(body)
	if err != nil {
		c.closeWithCause(err)
	}
	return err
}

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error {
	c.closeWithCause(ErrClosed)
	return nil
}

// closeWithCause closes the connection. It calls onClose first, which removes the connection from the client, so that no new call picks a
// closed connection.
func (c *clientCodec) closeWithCause(cause error) {
	c.onClose()
	c.link.close(cause)
}

// replyState says who may access the reply of a call.
type replyState = int32

const (
	replyAwaited replyState = iota
	replyDecoding
	replyAbandoned
)

// replySlot keeps a late answer from being decoded into the reply of a call that has timed out.
type replySlot struct {
	target any
	state  atomic.Int32
}

// startDecoding changes the state from awaited to decoding and returns the value to decode into. It returns nil if the caller has stopped
// waiting; the answer is then discarded.
func (s *replySlot) startDecoding() any {
	if s.state.CompareAndSwap(replyAwaited, replyDecoding) {
		return s.target
	}
	return nil
}

// abandon changes the state from awaited to abandoned. It returns false if the answer is already being decoded.
func (s *replySlot) abandon() bool {
	return s.state.CompareAndSwap(replyAwaited, replyAbandoned)
}

// serverCodec implements the server side of the gob protocol of net/rpc over a link.
type serverCodec struct {
	link    *link
	encoder *gob.Encoder
	decoder *gob.Decoder
}

func newServerCodec(l *link) *serverCodec {
	return &serverCodec{
		link:    l,
		encoder: gob.NewEncoder(l),
		decoder: gob.NewDecoder(bufio.NewReaderSize(l, readBufferBytes)),
	}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(request *rpc.Request) error {
	return c.decoder.Decode(request)
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	return c.decoder.Decode(body)
}

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(response *rpc.Response, body any) error {
	err := c.encoder.Encode(response)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err != nil {
		c.link.close(err)
		return err
	}
	c.link.flush()
	return nil
}

// Close implements rpc.ServerCodec. Pending answers are still written.
func (c *serverCodec) Close() error {
	c.link.finish()
	return nil
}
