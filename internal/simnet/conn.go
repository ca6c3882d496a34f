package simnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

var (
	errReset   error = os.NewSyscallError("read", syscall.ECONNRESET)
	errPipe    error = os.NewSyscallError("write", syscall.EPIPE)
	errRefused error = os.NewSyscallError("connect", syscall.ECONNREFUSED)
)

// Conn is one end of a connection. It is a net.Conn, and has *net.TCPConn's CloseWrite.
type Conn struct {
	network *Network
	local   *net.TCPAddr
	peer    *Conn
	in, out *stream
	cond    *sync.Cond

	closed  bool
	failure error
	reading deadline
	writing deadline
}

// newPair returns the two ends of a connection.
func (n *Network) newPair(caller, listener *net.TCPAddr, fate Fate) *Conn {
	near := &Conn{network: n, local: caller, cond: sync.NewCond(&n.mu)}
	far := &Conn{network: n, local: listener, cond: sync.NewCond(&n.mu), peer: near}
	near.peer = far
	near.out = &stream{network: n, writer: near, reader: far, limit: fate.Out}
	near.in = &stream{network: n, writer: far, reader: near, limit: fate.Back}
	far.in, far.out = near.out, near.in
	n.conns = append(n.conns, near)
	near.out.applyLimit()
	near.in.applyLimit()
	return near
}

func (c *Conn) host() string { return c.local.IP.String() }

// over tells whether the end is of no more use to its process.
func (c *Conn) over() bool { return c.closed || c.failure != nil }

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return c.peer.local }

// Peer returns the other end, for tests that act in its place.
func (c *Conn) Peer() *Conn { return c.peer }

// Sent returns how many bytes this end has written that its direction's limit let through.
func (c *Conn) Sent() int64 {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	return c.out.written
}

// Read implements net.Conn. Bytes that came before a reset are still read.
func (c *Conn) Read(buffer []byte) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	for {
		c.network.awaitResume(c.host())
		switch {
		case c.closed:
			return 0, c.wrap("read", net.ErrClosed)
		case c.reading.passed():
			return 0, c.wrap("read", os.ErrDeadlineExceeded)
		case len(c.in.inbox) > 0 || len(buffer) == 0:
			return c.in.take(buffer), nil
		case c.in.finished:
			return 0, io.EOF
		case c.failure != nil:
			return 0, c.wrap("read", c.failure)
		}
		c.cond.Wait()
	}
}

// Write implements net.Conn. It waits while the reader leaves Window bytes unread.
func (c *Conn) Write(data []byte) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	written := 0
	for {
		c.network.awaitResume(c.host())
		switch {
		case written > 0 && written == len(data):
			return written, nil
		case c.closed:
			return written, c.wrap("write", net.ErrClosed)
		case c.writing.passed():
			return written, c.wrap("write", os.ErrDeadlineExceeded)
		case c.failure != nil:
			return written, c.wrap("write", c.failure)
		case c.out.ended:
			return written, c.wrap("write", errPipe)
		case len(data) == 0:
			return 0, nil
		case c.out.held() < Window:
			part := data[written:min(len(data), written+Window-c.out.held())]
			c.out.write(part)
			written += len(part)
			continue
		}
		c.cond.Wait()
	}
}

// CloseWrite ends the stream to the peer; the other direction stays.
func (c *Conn) CloseWrite() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.over() {
		return c.wrap("close", net.ErrClosed)
	}
	c.out.finish()
	return nil
}

// Close implements net.Conn. What was written still goes out; an end with unread bytes resets the connection instead, as TCP does.
func (c *Conn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.closed {
		return c.wrap("close", net.ErrClosed)
	}
	if len(c.in.inbox) > 0 && c.failure == nil {
		c.abort()
		return nil
	}
	c.closed = true
	c.out.finish()
	c.end()
	return nil
}

// Abort closes this end and resets the connection: the peer reads what had been written, then learns of the reset.
func (c *Conn) Abort() {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.abort()
}

func (c *Conn) abort() {
	if c.closed {
		return
	}
	c.closed = true
	if c.failure == nil {
		c.out.send(parcel{reset: true})
	}
	c.end()
}

// breakBoth resets both ends at once; what is under way is lost.
func (c *Conn) breakBoth() {
	c.out.drop()
	c.in.drop()
	c.fail(errReset)
	c.peer.fail(errReset)
}

// fail is the receipt of a reset; the first failure stays.
func (c *Conn) fail(err error) {
	if c.failure == nil && !c.closed {
		c.failure = err
	}
	c.end()
}

// end wakes all that wait at either end.
func (c *Conn) end() {
	c.cond.Broadcast()
	c.peer.cond.Broadcast()
}

func (c *Conn) wrap(operation string, cause error) error {
	return &net.OpError{Op: operation, Net: "tcp", Source: c.local, Addr: c.peer.local, Err: cause}
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.setDeadline(&c.reading, t) }

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.setDeadline(&c.writing, t) }

func (c *Conn) setDeadline(d *deadline, t time.Time) error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.closed {
		return c.wrap("set", net.ErrClosed)
	}
	d.set(t, c.network, c.cond)
	c.cond.Broadcast()
	return nil
}
