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
	gate     *gate
	accepted time.Time
	phase    phase
	since    time.Time // in this phase
	closed   bool
	head     head
	ahead    []byte // came while the request before it was owed its answer; at most maxAhead
}

// maxAhead is how much of what a client sends beyond its request is kept while that is owed its answer.
const maxAhead = 16 << 10

// head keeps the first bytes of the request that is being read on a connection, from the end of the one before:
// net/http drops a Content-Length that stands beside a Transfer-Encoding before any handler sees it.
type head struct {
	mu    sync.Mutex
	text  []byte // at most maxHeaderBytes and a line
	whole bool   // its end is in text: the body is not kept
}

// headEnd ends a head.
const headEnd = "\r\n\r\n"

// Read keeps what it reads of a request's head, and what comes too early. What has been read is not given away once the
// connection has been closed to make room: its client sends that request once more, and it must not run here as well.
func (c *client) Read(b []byte) (n int, err error) {
	if len(b) == 1 && c.owed() {
		if err := c.watch(); err != nil {
			return 0, err
		}
	}
	if n = copy(b, c.ahead); n > 0 {
		if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
			c.ahead = nil
		}
	} else {
		n, err = c.Conn.Read(b)
	}
	if n > 0 && !c.took(c.keep(b[:n])) {
		return 0, net.ErrClosed
	}
	return n, err
}

// watch is the read with which net/http waits for its client to leave while a request is owed its answer: of one byte,
// where all others have room for many. With that byte net/http would stop to look, though a client that has sent more
// may leave as well; so what comes is put aside, up to maxAhead, and only the end of the connection ends the read. What
// comes beyond stays with the system, and the end is looked for behind it. Nil: it can't be, and the read goes on.
func (c *client) watch() error {
	for more := [512]byte{}; len(c.ahead) < maxAhead; {
		n, err := c.Conn.Read(more[:min(len(more), maxAhead-len(c.ahead))])
		if c.ahead = append(c.ahead, more[:n]...); err != nil {
			return err
		}
	}
	return hungUp(c.Conn)
}

// hungUp waits for the other side to end its sending, behind whatever it has sent that nobody has read. An error says
// that it has, or that the wait was called off; nil that nothing can be told here.
func hungUp(nc net.Conn) error {
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

// owed tells whether a request of this connection is being read or answered.
func (c *client) owed() bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.phase == busy
}

// keep adds to the copy of a request's head, and tells whether the head is whole.
func (c *client) keep(b []byte) (whole bool) {
	c.head.mu.Lock()
	defer c.head.mu.Unlock()
	if room := maxHeaderBytes + 4<<10 - len(c.head.text); room > 0 && !c.head.whole {
		from := max(0, len(c.head.text)-len(headEnd)+1)
		c.head.text = append(c.head.text, b[:min(len(b), room)]...)
		c.head.whole = bytes.Contains(c.head.text[from:], []byte(headEnd))
	}
	return c.head.whole
}

// took notes that bytes have been read: one whose head is whole is owed an answer from here on, not only when net/http
// says so. False: the connection was closed for others before.
func (c *client) took(whole bool) bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	switch {
	case c.closed:
		return false
	case whole && (c.phase == unread || c.phase == idle):
		c.gate.place(c, busy)
	case c.phase == idle:
		c.gate.place(c, unread)
	}
	return true
}

// lengthBesideChunks tells whether the head of the request in hand has a Content-Length line too.
func (c *client) lengthBesideChunks() bool {
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

// nextHead begins the head of the next request.
func (c *client) nextHead() {
	c.head.mu.Lock()
	c.head.text, c.head.whole = c.head.text[:0], false
	c.head.mu.Unlock()
}

// begun tells whether any of the request in hand has been read.
func (h *head) begun() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.text) > 0
}

// gone tells whether the connection has been closed.
func (c *client) gone() bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.closed
}

// Close frees the connection's place.
func (c *client) Close() error {
	err := c.Conn.Close()
	c.gate.mu.Lock()
	c.gate.forget(c)
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
