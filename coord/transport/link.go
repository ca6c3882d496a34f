package transport

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	maxPendingBytes = 16 << 20
	maxSpareBytes   = 256 << 10
	writeTimeout    = 5 * time.Second
	// maxPendingTime is how long bytes may wait to be written: behind one write that takes all its time, and no longer. Whatever waits
	// longer was held up with its whole process, and its callers have long gone.
	maxPendingTime = writeTimeout + time.Second
)

// linkState is what a link still does.
type linkState uint8

const (
	linkOpen linkState = iota
	// linkFinishing writes what is pending, then closes.
	linkFinishing
	linkClosed
)

// link is a connection whose writes never wait: they are kept, and one goroutine writes them, many at a time.
type link struct {
	conn net.Conn
	wake chan struct{}

	mu      sync.Mutex
	state   linkState
	cause   error
	pending []byte
	// pendingSince is when the oldest of the pending bytes came.
	pendingSince time.Time
	spare        []byte
}

// newLink returns a link whose goroutine is still to be started, with run.
func newLink(conn net.Conn) *link {
	return &link{conn: conn, wake: make(chan struct{}, 1)}
}

// Read reads from the connection. It never returns io.EOF, which net/rpc would take for an end of our own.
func (l *link) Read(buffer []byte) (int, error) {
	count, err := l.conn.Read(buffer)
	if err == nil {
		return count, nil
	}
	if cause := l.closeCause(); cause != nil {
		return count, cause
	}
	if err == io.EOF {
		return count, errPeerClosed
	}
	return count, err
}

// Write keeps the data until the next flush. It takes all of it or, with an error, none.
func (l *link) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != linkOpen {
		return 0, errLinkBroken
	}
	if len(l.pending) > maxPendingBytes {
		return 0, errBacklog
	}
	if len(l.pending) == 0 {
		l.pendingSince = time.Now()
	}
	l.pending = append(l.pending, data...)
	return len(data), nil
}

// flush has what was kept written.
func (l *link) flush() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// closeCause returns why the link was closed, or nil while it is not.
func (l *link) closeCause() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == linkClosed {
		return l.cause
	}
	return nil
}

// finish is the change from open to finishing.
func (l *link) finish() {
	l.mu.Lock()
	if l.state == linkOpen {
		l.state = linkFinishing
	}
	l.mu.Unlock()
	l.flush()
}

// close is the change to closed; the first cause stays. What is pending is lost.
func (l *link) close(cause error) {
	l.mu.Lock()
	if l.state == linkClosed {
		l.mu.Unlock()
		return
	}
	l.state = linkClosed
	l.cause = cause
	l.pending = nil
	l.mu.Unlock()
	_ = l.conn.Close()
	l.flush()
}

// run writes what is pending until the link is closed.
func (l *link) run() {
	for {
		data, since, state := l.takePending()
		if state == linkClosed {
			return
		}
		if len(data) > 0 {
			l.writeUnlessStale(data, since)
			continue
		}
		if state == linkFinishing {
			l.close(ErrClosed)
			return
		}
		<-l.wake
	}
}

// takePending swaps the two buffers.
func (l *link) takePending() (data []byte, since time.Time, state linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	data = l.pending
	l.pending = l.spare[:0]
	l.spare = nil
	return data, l.pendingSince, l.state
}

// writeUnlessStale writes, but for bytes that have waited through a freeze: a call isn't carried out long after its caller was told that
// its outcome is unknown.
func (l *link) writeUnlessStale(data []byte, since time.Time) {
	if time.Since(since) > maxPendingTime {
		l.close(errStale)
		return
	}
	l.write(data)
}

func (l *link) write(data []byte) {
	err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		_, err = l.conn.Write(data)
	}
	if err != nil {
		l.close(err)
		return
	}
	l.recycle(data)
}

func (l *link) recycle(buffer []byte) {
	if cap(buffer) > maxSpareBytes {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spare = buffer
}
