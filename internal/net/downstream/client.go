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

// client is one connection of the gate. Its fields belong to the gate's lock, but head, which net/http's reads and
// handlers of the connection use one at a time, and ahead, which its reads alone use.
type client struct {
	net.Conn
	gate      *gate
	accepted  time.Time
	phase     phase
	since     time.Time // in this phase
	closed    bool
	head      requestHead
	pipelined []byte // came while the request before it was owed its answer; at most maxPipelined
}

// maxPipelined is how much of what a client sends beyond its request is kept while that is owed its answer.
const maxPipelined = 16 << 10

// requestHead keeps the first bytes of the request that is being read on a connection, from the end of the one before:
// net/http drops a Content-Length that stands beside a Transfer-Encoding before any handler sees it.
type requestHead struct {
	mu       sync.Mutex
	text     []byte // at most maxHeaderBytes and a line
	complete bool   // its end is in text: the body is not kept
}

// headEnd ends a head.
const headEnd = "\r\n\r\n"

// Read keeps what it reads of a request's head, and what comes too early. What has been read is not given away once the
// connection has been closed to make room: its client sends that request once more, and it must not run here as well.
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

// waitForClose is the read with which net/http waits for its client to leave while a request is owed its answer: of one byte,
// where all others have room for many. With that byte net/http would stop to look, though a client that has sent more
// may leave as well; so what comes is put aside, up to maxPipelined, and only the end of the connection ends the read. What
// comes beyond stays with the system, and the end is looked for behind it. Nil: it can't be, and the read goes on.
func (c *client) waitForClose() error {
	for more := [512]byte{}; len(c.pipelined) < maxPipelined; {
		n, err := c.Conn.Read(more[:min(len(more), maxPipelined-len(c.pipelined))])
		if c.pipelined = append(c.pipelined, more[:n]...); err != nil {
			return err
		}
	}
	return waitPeerClosed(c.Conn)
}

// waitPeerClosed waits for the other side to end its sending, behind whatever it has sent that nobody has read. An error says
// that it has, or that the wait was called off; nil that nothing can be told here.
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
	err = raw.Read(func(fd uintptr) bool { // asked again each time that something comes, the end too
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

// isBusy tells whether a request of this connection is being read or answered.
func (c *client) isBusy() bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.phase == busy
}

// recordHead adds to the copy of a request's head, and tells whether the head is whole.
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

// markRead notes that bytes have been read: one whose head is whole is owed an answer from here on, not only when net/http
// says so. False: the connection was closed for others before.
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

// hasContentLength tells whether the head of the request in hand has a Content-Length line too.
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

// resetHead begins the head of the next request.
func (c *client) resetHead() {
	c.head.mu.Lock()
	c.head.text, c.head.complete = c.head.text[:0], false
	c.head.mu.Unlock()
}

// started tells whether any of the request in hand has been read.
func (h *requestHead) started() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.text) > 0
}

// isClosed tells whether the connection has been closed.
func (c *client) isClosed() bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.closed
}

// Close frees the connection's place.
func (c *client) Close() error {
	err := c.Conn.Close()
	c.gate.mu.Lock()
	c.gate.remove(c)
	c.gate.mu.Unlock()
	return err
}

// CloseWrite lets net/http end its sending before it closes, so that an answer is not lost with what the
// client still sends.
func (c *client) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}
