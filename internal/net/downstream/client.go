package downstream

import (
	"bytes"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// client is one connection of the gate. The gate's lock guards its fields, except head and pipelined. net/http's
// reads and handlers of the connection use head one at a time; only its reads use pipelined.
type client struct {
	net.Conn
	gate      *gate
	accepted  time.Time
	phase     phase
	since     time.Time // in this phase
	closed    bool
	head      requestHead
	pipelined []byte // received while the previous request awaits its answer; at most maxPipelined
}

// maxPipelined is how many bytes beyond the current request are buffered while that request awaits its answer.
const maxPipelined = 16 << 10

// requestHead keeps the first bytes of the request that is being read on a connection, starting at the end of the
// previous request. It is needed because net/http drops a Content-Length that stands beside a Transfer-Encoding
// before any handler sees it.
type requestHead struct {
	mu       sync.Mutex
	text     []byte // at most maxHeaderBytes and a line
	complete bool   // text has the end of the head; the body is not kept
}

// headEnd terminates a request's head.
const headEnd = "\r\n\r\n"

// Read records what it reads of a request's head and buffers pipelined data. After the connection was closed to make
// room, Read returns no more data: the client will retry that request elsewhere, so it must not run here too.
func (c *client) Read(b []byte) (n int, err error) {
	if len(b) == 1 && c.isBusy() {
		if err := c.waitForClose(); err != nil {
			return 0, err
		}
	}
	if n = copy(b, c.pipelined); n > 0 {
		if c.pipelined = c.pipelined[n:]; len(c.pipelined) == 0 {
			c.pipelined = nil
		}
	} else {
		n, err = c.Conn.Read(b)
	}
	if n > 0 && !c.markRead(c.recordHead(b[:n])) {
		return 0, net.ErrClosed
	}
	return n, err
}

// waitForClose handles the one-byte read with which net/http watches for a client's disconnect while a request awaits
// its answer (all its other reads have larger buffers). net/http would stop watching at the first byte, although a
// client that has sent more may still disconnect. So waitForClose buffers incoming data, up to maxPipelined, and
// returns only at the end of the connection. Data beyond that stays in the kernel's buffer, and the end is detected
// behind it. It returns nil if the end cannot be detected; the read then goes on.
func (c *client) waitForClose() error {
	for more := [512]byte{}; len(c.pipelined) < maxPipelined; {
		n, err := c.Conn.Read(more[:min(len(more), maxPipelined-len(c.pipelined))])
		if c.pipelined = append(c.pipelined, more[:n]...); err != nil {
			return err
		}
	}
	return waitPeerClosed(c.Conn)
}

// waitPeerClosed waits for the peer to close its sending side, even behind unread data. It returns an error if the
// peer has closed or the wait was interrupted, and nil if this cannot be detected on the connection.
func waitPeerClosed(nc net.Conn) error {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	ended := false
	err = raw.Read(func(fd uintptr) bool { // called again on each event, including the close
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err := unix.Poll(p, 0)
		ended = err == nil && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		return ended || err != nil && err != unix.EINTR
	})
	if err == nil && ended {
		err = io.EOF
	}
	return err
}

// isBusy reports whether a request of this connection is being read or answered.
func (c *client) isBusy() bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.phase == busy
}

// recordHead adds bytes to the copy of a request's head and reports whether the head is complete.
func (c *client) recordHead(b []byte) (whole bool) {
	c.head.mu.Lock()
	defer c.head.mu.Unlock()
	if room := maxHeaderBytes + 4<<10 - len(c.head.text); room > 0 && !c.head.complete {
		from := max(0, len(c.head.text)-len(headEnd)+1)
		c.head.text = append(c.head.text, b[:min(len(b), room)]...)
		c.head.complete = bytes.Contains(c.head.text[from:], []byte(headEnd))
	}
	return c.head.complete
}

// markRead records that bytes have been read. Once the head is complete the connection counts as busy, without
// waiting for net/http to report it active. It returns false if the connection has already been closed to make room.
func (c *client) markRead(whole bool) bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	switch {
	case c.closed:
		return false
	case whole && (c.phase == awaitingHead || c.phase == idle):
		c.gate.setPhaseLocked(c, busy)
	case c.phase == idle:
		c.gate.setPhaseLocked(c, awaitingHead)
	}
	return true
}

// hasContentLength reports whether the head of the current request has a Content-Length line.
func (c *client) hasContentLength() bool {
	c.head.mu.Lock()
	defer c.head.mu.Unlock()
	text := c.head.text
	if end := bytes.Index(text, []byte(headEnd)); end >= 0 {
		text = text[:end]
	}
	for _, line := range bytes.Split(text, []byte("\n")) {
		name, _, found := bytes.Cut(line, []byte(":"))
		if found && strings.EqualFold(strings.TrimSpace(string(name)), "Content-Length") {
			return true
		}
	}
	return false
}

// resetHead starts the record of the next request's head.
func (c *client) resetHead() {
	c.head.mu.Lock()
	c.head.text, c.head.complete = c.head.text[:0], false
	c.head.mu.Unlock()
}

// started reports whether any byte of the current request has been read.
func (h *requestHead) started() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.text) > 0
}

// isClosed reports whether the connection has been closed.
func (c *client) isClosed() bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.closed
}

// Close closes the connection and removes it from the gate.
func (c *client) Close() error {
	err := c.Conn.Close()
	c.gate.mu.Lock()
	c.gate.remove(c)
	c.gate.mu.Unlock()
	return err
}

// CloseWrite lets net/http close the sending side first, so that an answer is not lost when the client is still
// sending.
func (c *client) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}
