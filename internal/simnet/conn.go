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

	closed        bool
	failure       error
	readDeadline  deadline
	writeDeadline deadline
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

// unusable reports whether this end is closed or has failed.
func (c *Conn) unusable() bool { return c.closed || c.failure != nil }

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return c.peer.local }

// Peer returns the other end, for tests that act in its place.
func (c *Conn) Peer() *Conn { return c.peer }

// Sent returns the number of bytes written at this end, without those beyond the limit of its direction.
func (c *Conn) Sent() int64 {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	return c.out.written
}

// Read implements net.Conn. Bytes that arrived before a reset can still be read.
func (c *Conn) Read(buffer []byte) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	for {
		c.network.awaitResume(c.host())
		switch {
		case c.closed:
			return 0, c.wrap("read", net.ErrClosed)
		case c.readDeadline.passed():
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
		case c.writeDeadline.passed():
			return written, c.wrap("write", os.ErrDeadlineExceeded)
		case c.failure != nil:
			return written, c.wrap("write", c.failure)
		case c.out.ended:
			return written, c.wrap("write", errPipe)
		case len(data) == 0:
			return 0, nil
		case c.out.unread() < Window:
			part := data[written:min(len(data), written+Window-c.out.unread())]
			c.out.write(part)
			written += len(part)
			continue
		}
		c.cond.Wait()
	}
}

// CloseWrite ends the stream to the peer; the other direction stays open.
func (c *Conn) CloseWrite() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.unusable() {
		return c.wrap("close", net.ErrClosed)
	}
	c.out.finish()
	return nil
}

// Close implements net.Conn. Bytes already written are still delivered; an end with unread bytes resets the connection instead, as TCP does.
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
	c.wakeEnds()
	return nil
}

// Abort closes this end and resets the connection: the peer reads the bytes written before, then gets the reset.
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
		c.out.send(segment{reset: true})
	}
	c.wakeEnds()
}

// resetBoth resets both ends at once; data in flight is lost.
func (c *Conn) resetBoth() {
	c.out.drop()
	c.in.drop()
	c.fail(errReset)
	c.peer.fail(errReset)
}

// fail records err as the failure of this end, unless it is closed or has failed already, and wakes both ends.
func (c *Conn) fail(err error) {
	if c.failure == nil && !c.closed {
		c.failure = err
	}
	c.wakeEnds()
}

// wakeEnds wakes all calls that wait at either end.
func (c *Conn) wakeEnds() {
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
func (c *Conn) SetReadDeadline(t time.Time) error { return c.setDeadline(&c.readDeadline, t) }

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.setDeadline(&c.writeDeadline, t) }

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
